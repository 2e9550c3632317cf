//! The entry VM's side of transactions: sends each step to the VM on which the transaction is open,
//! which is encoded in the transaction's handle.

use std::time::Duration;

use board::{Board, ServiceKey, SlotKey};
use edge::{client::SendError, peer::PeerInstance};
use fleet::access::authenticate_for_service;
use model::{prelude::*, transaction::TransactionHandle};
use proto::{
    caller::{
        AnswerBody, CallerError, ErrorKind, Outcome, StepBody, TransactionBody, TransactionOpened,
    },
    peer::{Begin, PeerReply, PeerRequest, TransactionAction, TransactionStep},
};
use route::{
    dispatch::Dispatch, errors, execution::resolution_reserve, transaction::transaction_ended,
};
use serde_json::Value;

use crate::{
    app::App,
    caller_request::{CallerAnswer, RequestHead},
    entry::{Finished, Job, drive, find_service, find_slot, no_such, open_session, seal},
    transaction_steps,
};

/// How much longer the entry VM waits for a reply than it allows the other VM to work.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// A request on an open transaction, with the caller and the slot that it was resolved to.
struct Plan {
    workspace: WorkspaceName,
    key: KeyName,
    service: ServiceKey,
    slot: SlotKey,
    handle: TransactionHandle,
}

/// Opens a transaction.
pub async fn begin(
    app: &App,
    head: RequestHead,
    body: TransactionBody,
) -> Result<CallerAnswer<TransactionOpened>, CallerError> {
    let board = app.board();
    let catalog = &board.catalog;
    let service = find_service(&board, &head.service)?;
    let (workspace, key) = authenticate(&board, service, &head, app.now())?;
    let slot = find_slot(&board, service, &body.slot_key)?;
    let entry = &catalog.slots[slot];
    let session = open_session(app, &head, &workspace, entry.digest)?;
    let database = entry.members.first().copied().ok_or_else(errors::unavailable)?;
    let begin = Begin {
        workspace: workspace.clone(),
        key,
        service: catalog.services[service].name.clone(),
        slot: entry.name.clone(),
        database: catalog.databases[database].name.clone(),
        min_position: session.seen(entry.digest),
        time_left: DurationUs::default(),
    };
    app.retry_budget().earn();
    let started = Dispatch::start_begin(&board, slot, head.deadline, app.now());
    let finished = drive(app, &board, slot, started, &mut Job::Begin(begin)).await?;
    let Finished::Begun(vm, id) = finished else {
        return Err(errors::unavailable());
    };
    let record = board.fleet.vm(vm.as_str()).ok_or_else(errors::unavailable)?;
    let handle = TransactionHandle { vm, incarnation: record.incarnation, id, slot: entry.digest };
    let transaction = handle.seal(&app.settings.fleet_secret, &workspace);
    Ok(CallerAnswer { body: TransactionOpened { transaction }, session: head.session })
}

/// Executes a statement inside a transaction.
pub async fn step(
    app: &App,
    head: RequestHead,
    transaction: &str,
    route: &str,
    body: StepBody,
) -> Result<CallerAnswer<AnswerBody>, CallerError> {
    let board = app.board();
    let plan = plan(app, &board, &head, transaction)?;
    let route_key =
        board.catalog.route(plan.service, route).ok_or_else(|| no_such("route", route))?;
    if let Some(slot_key) = &body.slot_key {
        check_slot(&board, &plan, slot_key)?;
    }
    let action = TransactionAction::Execute {
        route: board.catalog.routes[route_key].cfg.name.clone(),
        statement: body.statement,
        params: body.params,
    };
    match send(app, &board, &plan, action, head.deadline).await {
        Ok(PeerReply::Answer(answer)) => {
            let body = AnswerBody { result: answer.result };
            Ok(CallerAnswer { body, session: head.session })
        }
        other => Err(reply_error(other)),
    }
}

/// Commits a transaction. If the reply leaves that in doubt, resolves whether it was committed.
pub async fn commit(
    app: &App,
    head: RequestHead,
    transaction: &str,
) -> Result<CallerAnswer<AnswerBody>, CallerError> {
    let board = app.board();
    let plan = plan(app, &board, &head, transaction)?;
    let digest = board.catalog.slots[plan.slot].digest;
    let session = open_session(app, &head, &plan.workspace, digest)?;
    let left = head.deadline.since(app.now());
    let until = head.deadline - resolution_reserve(left);
    let action = TransactionAction::Commit(plan.handle.commit_id());
    let answer = match send(app, &board, &plan, action, until).await {
        Ok(PeerReply::Answer(answer)) => answer,
        Ok(PeerReply::Error(error)) if !is_in_doubt(&error) => return Err(error),
        // The VM knows only transactions that are open; whether this one was committed is recorded
        // in the database.
        _ => resolve_commit(app, &board, &plan, head.deadline).await?,
    };
    let session = seal(app, session, &plan.workspace, digest, &answer)?;
    Ok(CallerAnswer { body: AnswerBody { result: answer.result }, session: Some(session) })
}

/// Rolls a transaction back.
pub async fn rollback(
    app: &App,
    head: RequestHead,
    transaction: &str,
) -> Result<CallerAnswer<AnswerBody>, CallerError> {
    let board = app.board();
    let plan = plan(app, &board, &head, transaction)?;
    match send(app, &board, &plan, TransactionAction::Rollback, head.deadline).await {
        Ok(PeerReply::RolledBack) => {
            Ok(CallerAnswer { body: AnswerBody { result: Value::Null }, session: head.session })
        }
        other => Err(reply_error(other)),
    }
}

/// Error for the caller from a reply other than the expected one.
fn reply_error(reply: Result<PeerReply, SendError>) -> CallerError {
    match reply {
        Ok(PeerReply::Error(error)) => error,
        Ok(_) => errors::reply_lost("a VM of the fleet sent an unexpected reply"),
        Err(SendError::NotSent { .. }) => errors::unavailable(),
        Err(error) => errors::reply_lost(error),
    }
}

fn is_in_doubt(error: &CallerError) -> bool {
    error.kind == ErrorKind::TransactionEnded || error.outcome == Outcome::Unknown
}

async fn resolve_commit(
    app: &App,
    board: &Board,
    plan: &Plan,
    deadline: MonoTime,
) -> Result<proto::peer::Answer, CallerError> {
    let id = plan.handle.commit_id();
    let started = Dispatch::start_resolution(board, plan.slot, id, deadline, app.now());
    match drive(app, board, plan.slot, started, &mut Job::Commit).await {
        Ok(Finished::Answered(answer)) => Ok(answer),
        Ok(Finished::Begun(..)) => Err(errors::outcome_unknown()),
        Err(error) if error.outcome == Outcome::NotRun => Err(transaction_ended()),
        Err(error) => Err(error),
    }
}

fn plan(
    app: &App,
    board: &Board,
    head: &RequestHead,
    transaction: &str,
) -> Result<Plan, CallerError> {
    let service = find_service(board, &head.service)?;
    let (workspace, key) = authenticate(board, service, head, app.now())?;
    let missing = || {
        CallerError::not_run(
            ErrorKind::NotFound,
            model::transaction::TransactionHandleError.to_string(),
        )
    };
    let handle = TransactionHandle::open(transaction, &app.settings.fleet_secret, &workspace)
        .map_err(|_| missing())?;
    let slot = board.catalog.slot_by_digest(handle.slot);
    let slot = slot.filter(|&s| board.catalog.slots[s].service == service).ok_or_else(missing)?;
    Ok(Plan { workspace, key, service, slot, handle })
}

fn authenticate(
    board: &Board,
    service: ServiceKey,
    head: &RequestHead,
    now: MonoTime,
) -> Result<(WorkspaceName, KeyName), CallerError> {
    let identity = authenticate_for_service(board, service, head.key.as_ref(), now)?;
    let workspace = board.catalog.workspaces[identity.workspace].cfg.name.clone();
    let key = identity.key.ok_or_else(errors::unavailable)?;
    Ok((workspace, key))
}

fn check_slot(board: &Board, plan: &Plan, slot_key: &str) -> Result<(), CallerError> {
    if find_slot(board, plan.service, slot_key)? == plan.slot {
        return Ok(());
    }
    let message =
        "the transaction is open in another slot: send the slot key that opened it, or none";
    Err(CallerError::not_run(ErrorKind::BadRequest, message))
}

/// Sends a step to the VM that holds the transaction's connection.
async fn send(
    app: &App,
    board: &Board,
    plan: &Plan,
    action: TransactionAction,
    until: MonoTime,
) -> Result<PeerReply, SendError> {
    let step = TransactionStep {
        transaction: plan.handle.id,
        workspace: plan.workspace.clone(),
        key: plan.key.clone(),
        service: board.catalog.services[plan.service].name.clone(),
        slot: board.catalog.slots[plan.slot].name.clone(),
        action,
        time_left: until.since(app.now()),
    };
    let instance =
        PeerInstance { vm: plan.handle.vm.clone(), incarnation: plan.handle.incarnation };
    if instance == app.peer_instance() {
        return Ok(transaction_steps::run(app, &step).await);
    }
    let record = board.fleet.vm(instance.vm.as_str());
    let Some(record) = record.filter(|r| r.incarnation == instance.incarnation) else {
        // That incarnation of the VM has ended, and its connections are closed.
        return Ok(PeerReply::Error(transaction_ended()));
    };
    let timeout = app.time_until(until) + REPLY_MARGIN;
    let req = PeerRequest::Step(Box::new(step));
    app.peers.call(&instance, &record.peer_address, &req, timeout).await
}
