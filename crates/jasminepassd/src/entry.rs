//! The entry VM's side of a request: authenticates the caller, sends the request to a holder and
//! carries out the steps of [`route::dispatch`].

use std::time::Duration;

use board::{Board, RouteKey, ServiceKey, SlotKey};
use edge::client::SendError;
use fleet::access::{Identity, authenticate};
use model::{
    prelude::*,
    request::stable_hash,
    session::{Session, SlotDigest},
};
use proto::{
    caller::{AnswerBody, CallerError, ErrorKind, RequestBody},
    peer::{Answer, Begin, Forward, PeerReply, PeerRequest, Resolve},
};
use route::dispatch::{Dispatch, Event, HolderCall, Step};

use crate::{
    app::App,
    caller_request::{CallerAnswer, RequestHead, session_error},
    counters::Counter,
    event, fleet_io, holder, outcome, transactions,
};

/// How much longer the entry VM waits for a reply than it allows the holder to work.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Work that is sent to a holder.
pub enum Job {
    /// Execute a caller's request.
    Request(Forward),
    /// Open a transaction.
    Begin(Begin),
    /// Resolve the outcome of a transaction's commit. The commit itself is never sent again.
    Commit,
}

/// Result of a [`Job`].
pub enum Finished {
    /// The upstream's answer to the request or commit.
    Answered(Answer),
    /// A transaction with this id was opened on the named VM.
    Begun(VmName, TransactionId),
}

/// A request with the session, route and slot that it was resolved to.
struct Plan {
    session: Session,
    route: RouteKey,
    slot: SlotKey,
    forward: Forward,
}

/// Serves a caller's request.
pub async fn serve(
    app: &App,
    head: RequestHead,
    route: &str,
    body: RequestBody,
) -> Result<CallerAnswer<AnswerBody>, CallerError> {
    let board = app.board();
    let Plan { session, route, slot, forward } = plan(app, &board, &head, route, body)?;
    app.retry_budget().earn();
    let cfg = &board.catalog.routes[route].cfg;
    let workspace = forward.workspace.clone();
    let started = Dispatch::start(&board, slot, cfg, forward.request_id, head.deadline, app.now());
    let finished = drive(app, &board, slot, started, &mut Job::Request(forward)).await?;
    let Finished::Answered(answer) = finished else {
        return Err(route::errors::unavailable());
    };
    let session = seal(app, session, &workspace, board.catalog.slots[slot].digest, &answer)?;
    Ok(CallerAnswer { body: AnswerBody { result: answer.result }, session: Some(session) })
}

fn plan(
    app: &App,
    board: &Board,
    head: &RequestHead,
    route: &str,
    body: RequestBody,
) -> Result<Plan, CallerError> {
    let catalog = &board.catalog;
    let service = find_service(board, &head.service)?;
    let route = catalog.route(service, route).ok_or_else(|| no_such("route", route))?;
    let Identity { workspace, key } = authenticate(board, route, head.key.as_ref(), app.now())?;
    let workspace = &catalog.workspaces[workspace].cfg.name;
    let slot = find_slot(board, service, &body.slot_key)?;
    let session = open_session(app, head, workspace, catalog.slots[slot].digest)?;
    let database = catalog.slots[slot].members.first().copied();
    let database = database.ok_or_else(route::errors::unavailable)?;
    let route_name = &catalog.routes[route].cfg.name;
    let forward = Forward {
        workspace: workspace.clone(),
        key,
        generation: catalog.cfg.generation,
        service: catalog.services[service].name.clone(),
        route: route_name.clone(),
        slot: catalog.slots[slot].name.clone(),
        database: catalog.databases[database].name.clone(),
        min_position: session.seen(catalog.slots[slot].digest),
        request_id: request_id(head, workspace, route_name),
        fingerprint: fingerprint(head, &body),
        statement: body.statement,
        params: body.params,
        time_left: DurationUs::default(),
    };
    Ok(Plan { session, route, slot, forward })
}

/// Finds the service with this name.
pub fn find_service(board: &Board, name: &str) -> Result<ServiceKey, CallerError> {
    board.catalog.service(name).ok_or_else(|| no_such("service", name))
}

/// Finds the slot that the slot key belongs to.
pub fn find_slot(
    board: &Board,
    service: ServiceKey,
    slot_key: &str,
) -> Result<SlotKey, CallerError> {
    board.catalog.slot_for(service, slot_key).ok_or_else(|| no_such("slot", slot_key))
}

/// Decodes the request's session token, or starts an empty session if it has none. Fails if the
/// session has no room for the slot's position.
pub fn open_session(
    app: &App,
    head: &RequestHead,
    workspace: &WorkspaceName,
    slot: SlotDigest,
) -> Result<Session, CallerError> {
    let session = match &head.session {
        Some(token) => {
            Session::open(token, &app.settings.fleet_secret, workspace).map_err(session_error)?
        }
        None => Session::default(),
    };
    session.clone().record(slot, Position::ZERO).map_err(session_error)?;
    Ok(session)
}

/// Builds the session token that records the answer's position in the slot.
pub fn seal(
    app: &App,
    mut session: Session,
    workspace: &WorkspaceName,
    slot: SlotDigest,
    answer: &Answer,
) -> Result<String, CallerError> {
    if answer.resets_session {
        session.reset(slot, answer.position);
    }
    session.record(slot, answer.position).map_err(session_error)?;
    Ok(session.seal(&app.settings.fleet_secret, workspace))
}

fn request_id(head: &RequestHead, workspace: &WorkspaceName, route: &RouteName) -> RequestId {
    match &head.idempotency_key {
        Some(key) => {
            RequestId::from_idempotency_key(workspace.as_str(), &head.service, route.as_str(), key)
        }
        None => RequestId::random(),
    }
}

/// Hash of the body, which detects that an idempotency key is reused for another request. It is the
/// same on every VM; requests without a key have 0.
fn fingerprint(head: &RequestHead, body: &RequestBody) -> u64 {
    if head.idempotency_key.is_none() {
        return 0;
    }
    stable_hash(&serde_json::to_string(body).unwrap_or_default())
}

/// Carries out the steps of a job until it has a final result.
pub async fn drive(
    app: &App,
    board: &Board,
    slot: SlotKey,
    (mut dispatch, mut step): (Dispatch, Step),
    job: &mut Job,
) -> Result<Finished, CallerError> {
    loop {
        let event = match step {
            Step::Done(result) => return result.map(Finished::Answered),
            Step::Run(send) => match run(app, board, &send, job).await {
                Event::Reply(PeerReply::Begun(id)) => return Ok(Finished::Begun(send.holder, id)),
                event => event,
            },
            Step::Resolve(send) => resolve(app, board, slot, &send).await,
        };
        if let Event::Reply(PeerReply::Redirect(redirect)) = &event {
            let slot = board.catalog.slots[slot].digest;
            let (term, primary) = (redirect.term, redirect.primary.clone());
            app.send_event(event::Event::PrimarySeen { slot, term, primary });
        }
        step = dispatch.handle(board, event, &mut app.retry_budget(), app.now());
        if !matches!(step, Step::Done(_)) {
            app.counters.count(Counter::Retries);
        }
    }
}

async fn run(app: &App, board: &Board, send: &HolderCall, job: &mut Job) -> Event {
    let time_left = send.until.since(app.now());
    let database = &board.catalog.databases[send.database].name;
    let is_local = send.holder == app.settings.vm;
    match job {
        Job::Request(forward) => {
            forward.database = database.clone();
            forward.request_id = send.request_id;
            forward.time_left = time_left;
            match is_local {
                true => Event::Reply(holder::run(app, forward).await),
                false => {
                    app.counters.count(Counter::Forwarded);
                    let req = PeerRequest::Forward(Box::new(forward.clone()));
                    call(app, board, send, req).await
                }
            }
        }
        Job::Begin(begin) => {
            begin.database = database.clone();
            begin.time_left = time_left;
            match is_local {
                true => Event::Reply(transactions::begin(app, begin).await),
                false => {
                    let req = PeerRequest::Begin(Box::new(begin.clone()));
                    call(app, board, send, req).await
                }
            }
        }
        Job::Commit => Event::NotSent,
    }
}

async fn resolve(app: &App, board: &Board, slot: SlotKey, send: &HolderCall) -> Event {
    let slot = &board.catalog.slots[slot];
    let req = Resolve {
        service: board.catalog.services[slot.service].name.clone(),
        slot: slot.name.clone(),
        request_id: send.request_id,
        time_left: send.until.since(app.now()),
    };
    if send.holder == app.settings.vm {
        return Event::Reply(outcome::resolve(app, &req).await);
    }
    call(app, board, send, PeerRequest::Resolve(Box::new(req))).await
}

async fn call(app: &App, board: &Board, send: &HolderCall, req: PeerRequest) -> Event {
    let Some(holder) = board.fleet.vm(send.holder.as_str()) else {
        return Event::NotSent;
    };
    let timeout = app.time_until(send.until) + REPLY_MARGIN;
    match fleet_io::call(app, holder, &req, timeout).await {
        Ok(reply) => Event::Reply(reply),
        Err(SendError::NotSent { .. }) => Event::NotSent,
        Err(error) => Event::Lost(error.to_string()),
    }
}

/// Error for a name that is not in the configuration. `what` is the kind of the named thing.
pub fn no_such(what: &str, name: &str) -> CallerError {
    let message = format!("there is no {what} `{name}`: check the name against the configuration");
    CallerError::not_run(ErrorKind::NotFound, message)
}
