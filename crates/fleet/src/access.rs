//! Authenticates requests by their keys, and checks which routes and services a workspace may use.

use board::{Board, Catalog, RouteKey, ServiceKey, WorkspaceKey, fleet::Age};
use config::{KeyState, PUBLIC_WORKSPACE};
use model::{key::PresentedKey, prelude::*};
use proto::caller::{CallerError, ErrorKind};

/// Retry hint for requests refused because this data centre no longer trusts keys.
const CUT_OFF_RETRY_AFTER: DurationUs = DurationUs::from_ms(5_000);

/// The workspace on whose behalf a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The workspace, whose rate limit and permissions apply.
    pub workspace: WorkspaceKey,
    /// The key of the request; absent for a request without a key on an open route.
    pub key: Option<KeyName>,
}

/// Identifies the workspace of a request, and checks that it may use the route.
pub fn authenticate(
    board: &Board,
    route: RouteKey,
    presented: Option<&PresentedKey>,
    now: MonoTime,
) -> Result<Identity, CallerError> {
    let catalog = &board.catalog;
    let identity = match presented {
        Some(key) => identify_by_key(board, key, now)?,
        None if catalog.routes[route].cfg.open => public_identity(catalog)?,
        None => return Err(missing_key()),
    };
    check_service(catalog, route, identity.workspace)?;
    Ok(identity)
}

/// Identifies the workspace of a request to a service instead of a single route, and checks that it may
/// use the service. A key is always required.
pub fn authenticate_for_service(
    board: &Board,
    service: ServiceKey,
    presented: Option<&PresentedKey>,
    now: MonoTime,
) -> Result<Identity, CallerError> {
    let catalog = &board.catalog;
    let identity = identify_by_key(board, presented.ok_or_else(missing_key)?, now)?;
    if catalog.workspaces[identity.workspace].services.contains(&service) {
        return Ok(identity);
    }
    Err(not_allowed(catalog, service))
}

/// Checks, for a key that was authenticated before, that it is still valid, belongs to the workspace
/// and is trusted here.
pub fn check_key(
    board: &Board,
    key: &KeyName,
    workspace: &WorkspaceName,
    now: MonoTime,
) -> Result<(), CallerError> {
    check_trust(board, now)?;
    let catalog = &board.catalog;
    let record = catalog.key(key.as_str()).filter(|record| record.workspace == *workspace);
    match record.map(|record| record.state) {
        Some(KeyState::Valid) => Ok(()),
        Some(KeyState::Withdrawn) => Err(withdrawn_key()),
        None => Err(unknown_key()),
    }
}

/// Checks that this VM's list of keys is recent enough: within `cut_off_trust_s`, either the platform
/// is known to have answered this VM or another one, or every other data centre was heard from. In
/// the second case no data centre reaches the platform, so that no VM can know of a newer withdrawal
/// of a key.
pub fn check_trust(board: &Board, now: MonoTime) -> Result<(), CallerError> {
    let cfg = &board.catalog.cfg;
    let limit = DurationUs::from_ms(cfg.cut_off_trust_s.saturating_mul(1_000));
    let is_young = |age: Option<&Age>| age.is_some_and(|age| age.now(now) <= limit);
    if is_young(board.fleet.platform_contact.as_ref()) {
        return Ok(());
    }
    let mut others = cfg
        .data_centres
        .iter()
        .map(|dc| &dc.name)
        .filter(|dc| **dc != board.fleet.me.dc)
        .peekable();
    let hears_all =
        others.peek().is_some() && others.all(|dc| is_young(board.fleet.dc_contacts.get(dc)));
    if hears_all {
        return Ok(());
    }
    let message = format!(
        "this data centre has been cut off for more than {} s, so that keys are no longer trusted here: try another data centre",
        cfg.cut_off_trust_s
    );
    Err(CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(CUT_OFF_RETRY_AFTER))
}

fn identify_by_key(
    board: &Board,
    presented: &PresentedKey,
    now: MonoTime,
) -> Result<Identity, CallerError> {
    check_trust(board, now)?;
    let workspace = workspace_of_key(&board.catalog, presented)?;
    Ok(Identity { workspace, key: Some(presented.name.clone()) })
}

/// The workspace of a presented key, if the key is known and valid. Does not check whether keys are
/// still trusted here.
pub fn workspace_of_key(
    catalog: &Catalog,
    presented: &PresentedKey,
) -> Result<WorkspaceKey, CallerError> {
    let record = catalog
        .key(presented.name.as_str())
        .filter(|record| record.hash.matches(&presented.hash()));
    let record = record.ok_or_else(unknown_key)?;
    if record.state == KeyState::Withdrawn {
        return Err(withdrawn_key());
    }
    catalog.workspace(record.workspace.as_str()).ok_or_else(unknown_key)
}

/// The identity of requests without a key on open routes.
fn public_identity(catalog: &Catalog) -> Result<Identity, CallerError> {
    let workspace = catalog.workspace(PUBLIC_WORKSPACE).ok_or_else(|| {
        unauthorized("the route is open, but the configuration has no workspace `public`: ask the operators to add it")
    })?;
    Ok(Identity { workspace, key: None })
}

fn check_service(
    catalog: &Catalog,
    route: RouteKey,
    workspace: WorkspaceKey,
) -> Result<(), CallerError> {
    let route = &catalog.routes[route];
    let allowed = route.cfg.open || catalog.workspaces[workspace].services.contains(&route.service);
    if allowed {
        return Ok(());
    }
    Err(not_allowed(catalog, route.service))
}

fn not_allowed(catalog: &Catalog, service: ServiceKey) -> CallerError {
    let service = &catalog.services[service].name;
    let message =
        format!("the key's workspace may not use service `{service}`: ask the operators to add it");
    CallerError::not_run(ErrorKind::Forbidden, message)
}

fn missing_key() -> CallerError {
    unauthorized("the request has no key: send `Authorization: Bearer <key>`")
}

fn unknown_key() -> CallerError {
    unauthorized("the key is unknown: use the one that your operators gave out last")
}

fn withdrawn_key() -> CallerError {
    unauthorized("the key was withdrawn: ask your operators for a new one")
}

fn unauthorized(message: &str) -> CallerError {
    CallerError::not_run(ErrorKind::Unauthorized, message)
}
