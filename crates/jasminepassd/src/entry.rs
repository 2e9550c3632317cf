//! The entry VM's part: finds out whose request it is and where it should run, and sends it there.

use std::time::Duration;

use board::{Board, DatabaseKey, RouteKey, SlotKey};
use config::RouteKind;
use edge::client::SendError;
use fleet::{
    access::{Identity, authenticate, check_trust},
    placement::holders_to_try,
};
use model::{prelude::*, session::Session};
use proto::{
    caller::{AnswerBody, CallerError, ErrorKind},
    peer::{Answer, Forward, PeerReply, PeerRequest, Redirect},
    platform::VmRecord,
};
use route::replica::databases_to_try;

use crate::{
    app::App,
    caller::{CallerAnswer, CallerRequest, session_error},
    control::Event,
    counters::Counter,
    fleet_io, holder,
};

const REDIRECTS_MAX: usize = 4;
const FORWARD_MARGIN: Duration = Duration::from_millis(50);
const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// A request together with what the configuration says of it.
struct Plan {
    identity: Identity,
    session: Session,
    route: RouteKey,
    slot: SlotKey,
    forward: Forward,
}

/// Serves a caller's request.
pub async fn serve(app: &App, req: CallerRequest) -> Result<CallerAnswer, CallerError> {
    let board = app.board();
    let mut plan = plan(app, &board, &req)?;
    let answer = run(app, &board, &plan, req.deadline).await?;
    let digest = board.catalog.slots[plan.slot].digest;
    plan.session.record(digest, answer.position).map_err(session_error)?;
    let workspace = &board.catalog.workspaces[plan.identity.workspace].cfg.name;
    let session = plan.session.seal(&app.settings.fleet_secret, workspace);
    Ok(CallerAnswer { body: AnswerBody { result: answer.result }, session })
}

fn plan(app: &App, board: &Board, req: &CallerRequest) -> Result<Plan, CallerError> {
    let catalog = &board.catalog;
    let service = catalog.service(&req.service).ok_or_else(|| no_such("service", &req.service))?;
    let route = catalog.route(service, &req.route).ok_or_else(|| no_such("route", &req.route))?;
    let identity = authenticate(catalog, route, req.key.as_ref())?;
    if identity.key.is_some() {
        check_trust(board, app.now())?;
    }
    let workspace = &catalog.workspaces[identity.workspace].cfg.name;
    let session = match &req.session {
        Some(token) => {
            Session::open(token, &app.settings.fleet_secret, workspace).map_err(session_error)?
        }
        None => Session::default(),
    };
    let slot = catalog
        .slot_for(service, &req.body.slot_key)
        .ok_or_else(|| no_such("slot", &req.body.slot_key))?;
    // The session must have room for the slot before anything runs.
    session.clone().record(catalog.slots[slot].digest, Position::ZERO).map_err(session_error)?;
    let route_name = &catalog.routes[route].cfg.name;
    let database = catalog.slots[slot].members.first().copied().ok_or_else(unavailable)?;
    let forward = Forward {
        workspace: workspace.clone(),
        key: identity.key.clone(),
        generation: catalog.cfg.generation,
        service: catalog.services[service].name.clone(),
        route: route_name.clone(),
        slot: catalog.slots[slot].name.clone(),
        database: catalog.databases[database].name.clone(),
        min_position: session.seen(catalog.slots[slot].digest),
        request_id: request_id(req, workspace, route_name),
        statement: req.body.statement.clone(),
        params: req.body.params.clone(),
        time_left: DurationUs::default(),
    };
    Ok(Plan { identity, session, route, slot, forward })
}

fn request_id(req: &CallerRequest, workspace: &WorkspaceName, route: &RouteName) -> RequestId {
    match &req.idempotency_key {
        Some(key) => {
            RequestId::from_idempotency_key(workspace.as_str(), &req.service, route.as_str(), key)
        }
        None => RequestId::random(),
    }
}

/// Tries one database after the other until one answers, or until another try could run it twice.
async fn run(
    app: &App,
    board: &Board,
    plan: &Plan,
    deadline: MonoTime,
) -> Result<Answer, CallerError> {
    let route = &board.catalog.routes[plan.route].cfg;
    let mut databases = databases_to_try(board, plan.slot, route);
    databases.reverse();
    let mut redirects = 0;
    let mut last_error = unavailable();
    while let Some(database) = databases.pop() {
        match run_on(app, board, plan, database, deadline).await {
            Ok(PeerReply::Answer(answer)) => return Ok(answer),
            Ok(PeerReply::Redirect(redirect)) => {
                let primary = learn(app, board, plan.slot, &redirect);
                redirects += 1;
                if let Some(primary) = primary.filter(|_| redirects <= REDIRECTS_MAX) {
                    databases.retain(|d| *d != primary);
                    databases.push(primary);
                }
            }
            Ok(PeerReply::Error(error)) if may_try_another(&error, route.kind) => {
                last_error = error
            }
            Ok(PeerReply::Error(error)) => return Err(error),
            Ok(_) => {
                return Err(CallerError::unknown(
                    ErrorKind::Unavailable,
                    "a VM of the fleet answered nonsense",
                ));
            }
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

/// Runs the request on a database, through the first of its holders that can be reached.
async fn run_on(
    app: &App,
    board: &Board,
    plan: &Plan,
    database: DatabaseKey,
    deadline: MonoTime,
) -> Result<PeerReply, CallerError> {
    let mut forward = plan.forward.clone();
    forward.database = board.catalog.databases[database].name.clone();
    for holder in holders_to_try(board, database) {
        let left = deadline.since(app.now());
        if left == DurationUs::default() {
            return Err(timed_out());
        }
        forward.time_left = left;
        if holder.vm == app.settings.vm {
            return Ok(holder::run(app, forward).await);
        }
        match send(app, holder, forward.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(SendError::NotSent { .. }) => continue,
            Err(error) if repeatable(board, plan) => {
                slog::debug!(app.log, "holder lost"; "holder" => holder.vm.to_string(), "error" => error.to_string());
                continue;
            }
            Err(error) => {
                return Err(CallerError::unknown(ErrorKind::Unavailable, error.to_string()));
            }
        }
    }
    Ok(PeerReply::Error(unavailable()))
}

async fn send(app: &App, holder: &VmRecord, forward: Forward) -> Result<PeerReply, SendError> {
    app.counters.count(Counter::Forwarded);
    let timeout = Duration::from_micros(forward.time_left.0) + FORWARD_MARGIN;
    let req = PeerRequest::Forward(Box::new(forward));
    fleet_io::call(app, holder, &req, timeout).await
}

fn repeatable(board: &Board, plan: &Plan) -> bool {
    let route = &board.catalog.routes[plan.route].cfg;
    route.repeatable || route.kind == RouteKind::Read
}

fn may_try_another(error: &CallerError, kind: RouteKind) -> bool {
    kind == RouteKind::Read && error.kind == ErrorKind::Unavailable
}

fn learn(app: &App, board: &Board, slot: SlotKey, redirect: &Redirect) -> Option<DatabaseKey> {
    let entry = &board.catalog.slots[slot];
    app.tell(Event::PrimarySeen {
        slot: entry.digest,
        term: redirect.term,
        primary: redirect.primary.clone(),
    });
    redirect.primary.as_ref().and_then(|name| board.catalog.database(name.as_str()))
}

fn no_such(what: &str, name: &str) -> CallerError {
    let message = format!("there is no {what} `{name}`: check the name against the configuration");
    CallerError::not_run(ErrorKind::NotFound, message)
}

fn unavailable() -> CallerError {
    let message = "no upstream that can serve the request is reachable: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}

fn timed_out() -> CallerError {
    let message =
        "the request's time ran out before it was sent: give it more time or try again later";
    CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}
