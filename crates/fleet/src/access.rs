//! Who may run what: keys, workspaces and open routes.

use board::{Catalog, RouteKey, ServiceKey, WorkspaceKey};
use config::KeyState;
use model::{key::PresentedKey, prelude::*};
use proto::caller::{CallerError, ErrorKind};

/// The workspace of requests that come without a key, on routes open to all.
pub const PUBLIC_WORKSPACE: &str = "public";

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The workspace that it runs for and counts against.
    pub workspace: WorkspaceKey,
    /// The key that came with it; absent on routes open to all.
    pub key: Option<KeyName>,
}

/// Finds out whose request it is, and whether it may use the route.
pub fn authenticate(
    catalog: &Catalog,
    route: RouteKey,
    presented: Option<&PresentedKey>,
) -> Result<Identity, CallerError> {
    let identity = match presented {
        Some(key) => by_key(catalog, key)?,
        None if catalog.routes[route].cfg.open => public(catalog)?,
        None => return Err(no_key()),
    };
    check_service(catalog, route, identity.workspace)?;
    Ok(identity)
}

/// Finds out whose request it is, where the service and not a route decides: a key is needed.
pub fn authenticate_for_service(
    catalog: &Catalog,
    service: ServiceKey,
    presented: Option<&PresentedKey>,
) -> Result<Identity, CallerError> {
    let identity = by_key(catalog, presented.ok_or_else(no_key)?)?;
    if catalog.workspaces[identity.workspace].services.contains(&service) {
        return Ok(identity);
    }
    Err(not_allowed(catalog, service))
}

/// Checks again, by name, that a key works and stands for the workspace.
pub fn check_key(
    catalog: &Catalog,
    key: &KeyName,
    workspace: &WorkspaceName,
) -> Result<(), CallerError> {
    let record = catalog.key(key.as_str()).filter(|record| record.workspace == *workspace);
    match record.map(|record| record.state) {
        Some(KeyState::Valid) => Ok(()),
        Some(KeyState::Withdrawn) => Err(withdrawn()),
        None => Err(unknown()),
    }
}

fn by_key(catalog: &Catalog, presented: &PresentedKey) -> Result<Identity, CallerError> {
    let record = catalog
        .key(presented.name.as_str())
        .filter(|record| record.hash.matches(&presented.hash()));
    let record = record.ok_or_else(unknown)?;
    if record.state == KeyState::Withdrawn {
        return Err(withdrawn());
    }
    let workspace = catalog.workspace(record.workspace.as_str()).ok_or_else(unknown)?;
    Ok(Identity { workspace, key: Some(record.name.clone()) })
}

fn public(catalog: &Catalog) -> Result<Identity, CallerError> {
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

fn no_key() -> CallerError {
    unauthorized("the request has no key: send `Authorization: Bearer <key>`")
}

fn unknown() -> CallerError {
    unauthorized("the key is unknown: use the one that your operators gave out last")
}

fn withdrawn() -> CallerError {
    unauthorized("the key was withdrawn: ask your operators for a new one")
}

fn unauthorized(message: &str) -> CallerError {
    CallerError::not_run(ErrorKind::Unauthorized, message)
}
