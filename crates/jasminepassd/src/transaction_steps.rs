//! Executes the steps of transactions that are open on this VM.

use config::RouteKind;
use edge::client::SendError;
use fleet::access::check_key;
use model::{prelude::*, session::SlotDigest};
use proto::{
    caller::{CallerError, ErrorKind, Outcome},
    database::{Access, Commit, DatabaseError, Execute, Executed, Rollback},
    peer::{Answer, PeerReply, TransactionAction, TransactionStep},
};
use route::{
    errors, execution::resolution_reserve, outcome::WriteOutcome, transaction::transaction_ended,
};

use crate::{
    admission::admit,
    app::App,
    confirm::confirm,
    counters::Counter,
    open_transactions::RunningStep,
    outcome::{self, InDoubtWrite},
    redirects::report_redirect,
};

/// Executes a step of a transaction that is open on this VM.
pub async fn run(app: &App, req: &TransactionStep) -> PeerReply {
    match try_run(app, req).await {
        Ok(reply) => reply,
        Err(error) => PeerReply::Error(error),
    }
}

async fn try_run(app: &App, req: &TransactionStep) -> Result<PeerReply, CallerError> {
    check_key(&app.board(), &req.key, &req.workspace, app.now())?;
    let slot = SlotDigest::new(req.service.as_str(), req.slot.as_str());
    let step = app.transactions.start_step(req.transaction, &req.workspace, slot, app.now())?;
    let deadline = app.now() + req.time_left;
    match &req.action {
        TransactionAction::Execute { route, statement, params } => {
            let message = Execute {
                service: req.service.clone(),
                slot: req.slot.clone(),
                term: step.info.term,
                request_id: RequestId::random(),
                fingerprint: 0,
                access: Access::Read,
                statement: statement.clone(),
                params: params.clone(),
                in_transaction: true,
            };
            execute(app, req, step, route, message, deadline).await
        }
        TransactionAction::Commit(request_id) => {
            commit(app, req, step, *request_id, deadline).await
        }
        TransactionAction::Rollback => Ok(rollback(app, step, deadline).await),
    }
}

async fn execute(
    app: &App,
    req: &TransactionStep,
    mut step: RunningStep<'_>,
    route: &RouteName,
    mut message: Execute,
    deadline: MonoTime,
) -> Result<PeerReply, CallerError> {
    match admit_step(app, req, route, deadline).await {
        Ok(RouteKind::Read) => {}
        Ok(RouteKind::Write) => message.access = Access::Write,
        Err(error) => {
            step.finish(app.now());
            return Err(error);
        }
    }
    match step.call("/execute", &message, app.time_until(deadline)).await {
        Ok(Ok(executed)) => {
            step.finish(app.now());
            Ok(PeerReply::Answer(answer(executed)))
        }
        Ok(Err(error @ DatabaseError::Statement { .. })) => {
            step.finish(app.now());
            Err(errors::from_database_error(error))
        }
        Ok(Err(error)) => {
            report_redirect(app, &req.service, &req.slot, &error);
            Err(transaction_ended())
        }
        Err(SendError::NotSent { .. }) => Err(transaction_ended()),
        Err(error) => Err(rolled_back(&error)),
    }
}

/// Charges the step to its workspace's rate, and checks the key again in case that took a while.
async fn admit_step(
    app: &App,
    req: &TransactionStep,
    route: &RouteName,
    deadline: MonoTime,
) -> Result<RouteKind, CallerError> {
    let board = app.board();
    let catalog = &board.catalog;
    let service = catalog.service(req.service.as_str());
    let route = service.and_then(|service| catalog.route(service, route.as_str()));
    let workspace = catalog.workspace(req.workspace.as_str());
    let (Some(route), Some(workspace)) = (route, workspace) else {
        return Err(errors::unavailable());
    };
    admit(app, &board, workspace, route, app.instant(deadline)).await?;
    check_key(&app.board(), &req.key, &req.workspace, app.now())?;
    Ok(catalog.routes[route].cfg.kind)
}

async fn commit(
    app: &App,
    req: &TransactionStep,
    mut step: RunningStep<'_>,
    request_id: RequestId,
    deadline: MonoTime,
) -> Result<PeerReply, CallerError> {
    let left = deadline.since(app.now());
    let until = deadline - resolution_reserve(left);
    let info = step.info.clone();
    let ran = match step.call("/commit", &Commit { request_id }, app.time_until(until)).await {
        Ok(Ok(executed)) => {
            step.end_transaction();
            if is_confirmed(app, &info.database, info.slot, &executed, until).await {
                app.counters.count(Counter::TransactionsCommitted);
                return Ok(PeerReply::Answer(answer(executed)));
            }
            true
        }
        Ok(Err(DatabaseError::Statement { message })) => return Err(CallerError::failed(message)),
        Ok(Err(error)) => {
            report_redirect(app, &req.service, &req.slot, &error);
            return Err(transaction_ended());
        }
        Err(SendError::NotSent { .. }) => return Err(transaction_ended()),
        Err(_) => false,
    };
    let write = InDoubtWrite { service: &req.service, slot: &req.slot, request_id };
    match outcome::run(app, &write, deadline).await {
        WriteOutcome::Committed(executed) => {
            app.counters.count(Counter::TransactionsCommitted);
            Ok(PeerReply::Answer(answer(executed)))
        }
        WriteOutcome::Cancelled if ran => Err(errors::write_undone()),
        WriteOutcome::Cancelled => Err(transaction_ended()),
        WriteOutcome::Unknown => Err(errors::outcome_unknown()),
    }
}

async fn is_confirmed(
    app: &App,
    database: &DatabaseName,
    slot: SlotDigest,
    executed: &Executed,
    until: MonoTime,
) -> bool {
    let board = app.board();
    let catalog = &board.catalog;
    let (Some(slot), Some(database)) =
        (catalog.slot_by_digest(slot), catalog.database(database.as_str()))
    else {
        return false;
    };
    confirm(app, &board, slot, database, executed, app.instant(until)).await.is_ok()
}

async fn rollback(app: &App, mut step: RunningStep<'_>, deadline: MonoTime) -> PeerReply {
    // If no complete answer arrives, the connection is closed, which also rolls back.
    if let Ok(Ok(_)) = step.call("/rollback", &Rollback {}, app.time_until(deadline)).await {
        step.end_transaction();
    }
    PeerReply::RolledBack
}

fn answer(executed: Executed) -> Answer {
    Answer {
        result: executed.result,
        position: executed.position,
        from_replica: false,
        resets_session: false,
    }
}

fn rolled_back(error: &SendError) -> CallerError {
    CallerError {
        kind: ErrorKind::TransactionEnded,
        outcome: Outcome::Failed,
        message: format!("{error}; the transaction was rolled back: begin another"),
        retry_after_ms: None,
    }
}
