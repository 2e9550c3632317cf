//! Resolves the outcome of in-doubt writes by carrying out the steps of [`route::outcome`].

use std::time::Duration;

use board::{Board, DatabaseKey};
use model::{prelude::*, session::SlotDigest};
use proto::{
    caller::CallerError,
    database::{DatabaseError, Executed, OutcomeQuery, OutcomeRecord},
    peer::{Answer, PeerReply, Resolve},
};
use route::{
    errors,
    outcome::{Event, Resolution, Step, WriteOutcome},
};
use serde_json::Value;

use crate::{app::App, confirm::confirm, counters::Counter, redirects::report_redirect};

/// Time limit of an outcome query to a database.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A write whose outcome is unknown.
pub struct InDoubtWrite<'a> {
    /// Service of the slot.
    pub service: &'a ServiceName,
    /// Slot that the write runs in.
    pub slot: &'a SlotName,
    /// Request id under which the upstream records the write.
    pub request_id: RequestId,
}

/// Answers a VM that asks for the outcome of a write.
pub async fn resolve(app: &App, req: &Resolve) -> PeerReply {
    let write = InDoubtWrite { service: &req.service, slot: &req.slot, request_id: req.request_id };
    match run(app, &write, app.now() + req.time_left).await {
        WriteOutcome::Committed(executed) => PeerReply::Answer(Answer {
            result: executed.result,
            position: executed.position,
            from_replica: false,
            resets_session: false,
        }),
        outcome => PeerReply::Error(error(&outcome)),
    }
}

/// Error for a write that was not committed or whose outcome stays unknown.
fn error(outcome: &WriteOutcome) -> CallerError {
    match outcome {
        WriteOutcome::Cancelled => errors::write_cancelled(),
        WriteOutcome::Committed(_) | WriteOutcome::Unknown => errors::outcome_unknown(),
    }
}

/// Resolves the outcome of a write. Returns [`WriteOutcome::Unknown`] at the deadline.
pub async fn run(app: &App, write: &InDoubtWrite<'_>, deadline: MonoTime) -> WriteOutcome {
    let mut resolution = Resolution::new(digest(write), deadline);
    let mut board = app.board();
    let mut step = resolution.start(&board, app.now());
    loop {
        let event = match step {
            Step::Done(outcome) => return outcome,
            step => carry_out(app, &board, write, step, deadline).await,
        };
        board = app.board();
        step = resolution.handle(&board, event, app.now());
    }
}

fn digest(write: &InDoubtWrite<'_>) -> SlotDigest {
    SlotDigest::new(write.service.as_str(), write.slot.as_str())
}

/// Carries out one step of a resolution.
pub async fn carry_out(
    app: &App,
    board: &Board,
    write: &InDoubtWrite<'_>,
    step: Step,
    deadline: MonoTime,
) -> Event {
    match step {
        Step::Query { database, term } => {
            query_outcome(app, board, write, database, term, deadline).await
        }
        Step::Confirm { database, position, term } => {
            let Some(slot) = board.catalog.slot_by_digest(digest(write)) else {
                return Event::Confirmed(false);
            };
            let entry = Executed { result: Value::Null, term, position, repeated: false };
            let until = app.instant(deadline);
            Event::Confirmed(confirm(app, board, slot, database, &entry, until).await.is_ok())
        }
        Step::Pause(span) => {
            tokio::time::sleep(Duration::from_micros(span.0)).await;
            Event::Resumed
        }
        Step::Done(_) => Event::Resumed,
    }
}

async fn query_outcome(
    app: &App,
    board: &Board,
    write: &InDoubtWrite<'_>,
    database: DatabaseKey,
    term: Term,
    deadline: MonoTime,
) -> Event {
    app.counters.count(Counter::OutcomesAsked);
    let query = OutcomeQuery {
        service: write.service.clone(),
        slot: write.slot.clone(),
        term,
        request_id: write.request_id,
        cancel: true,
    };
    let address = &board.catalog.databases[database].cfg.admin_address;
    let timeout = app.time_until(deadline).min(QUERY_TIMEOUT);
    let reply = app
        .admin_client
        .post_json::<OutcomeRecord, DatabaseError>(address, "/outcome", &query, timeout)
        .await
        .ok();
    if let Some(Err(error)) = &reply {
        report_redirect(app, write.service, write.slot, error);
    }
    Event::QueryAnswered(reply)
}
