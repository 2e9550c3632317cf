//! The holder's side of a request: carries out the steps of [`route::execution`] on its database.

use std::time::Duration;

use board::Board;
use config::RouteKind;
use edge::client::SendError;
use model::prelude::*;
use proto::{
    database::{Access, DatabaseError, Execute, Executed, Wait, WaitResult},
    peer::{Forward, PeerReply},
};
use route::execution::{Event, Execution, Step, Target};

use crate::{
    admission::{admit, connect},
    app::App,
    confirm::confirm,
    counters::Counter,
    outcome::{self, InDoubtWrite},
    pools::Lease,
    redirects::report_redirect,
    verifier::verify,
};

/// Executes a request that this VM received from a caller or from an entry VM.
pub async fn run(app: &App, forward: &Forward) -> PeerReply {
    let mut board = app.board();
    let (mut execution, mut step) = match Execution::start(&board, forward, app.now()) {
        Ok(started) => started,
        Err(reply) => return reply,
    };
    let mut lease: Option<Lease> = None;
    loop {
        let event = match step {
            Step::Done(reply) => {
                // The request ended before its connection was used.
                if let Some(lease) = lease.take() {
                    lease.release();
                }
                count(app, &board, execution.target(), &reply);
                return reply;
            }
            step => carry_out(app, &board, forward, &execution, step, &mut lease).await,
        };
        board = app.board();
        step = execution.handle(&board, event, app.now());
    }
}

async fn carry_out(
    app: &App,
    board: &Board,
    forward: &Forward,
    execution: &Execution<'_>,
    step: Step,
    lease: &mut Option<Lease>,
) -> Event {
    let target = execution.target();
    let deadline = app.instant(execution.deadline());
    match step {
        Step::Verify { term, until } => {
            let verified = verify(app, board, target.slot, target.database, term, until);
            Event::Confirmed(verified.await)
        }
        Step::CatchUp { position, term, wait } => {
            Event::Confirmed(catch_up(app, board, target, position, term, wait).await)
        }
        Step::Admit => {
            Event::Admitted(admit(app, board, target.workspace, target.route, deadline).await)
        }
        Step::Connect => {
            let connected = connect(app, board, target.workspace, target.database, deadline).await;
            Event::Connected(connected.map(|connected| *lease = Some(connected)))
        }
        Step::Execute { access, term, until } => match lease.take() {
            Some(lease) => execute(app, forward, lease, access, term, until).await,
            None => Event::NotSent,
        },
        Step::Confirm { executed, until } => {
            let until = app.instant(until);
            let confirmed =
                confirm(app, board, target.slot, target.database, &executed, until).await;
            Event::Confirmed(confirmed.is_ok())
        }
        Step::Resolve(step) => {
            let write = InDoubtWrite {
                service: &forward.service,
                slot: &forward.slot,
                request_id: forward.request_id,
            };
            let deadline = execution.deadline();
            Event::Outcome(outcome::carry_out(app, board, &write, step, deadline).await)
        }
        Step::Done(_) => Event::NotSent,
    }
}

async fn execute(
    app: &App,
    forward: &Forward,
    mut lease: Lease,
    access: Access,
    term: Term,
    until: MonoTime,
) -> Event {
    let message = Execute {
        service: forward.service.clone(),
        slot: forward.slot.clone(),
        term,
        request_id: forward.request_id,
        fingerprint: forward.fingerprint,
        access,
        statement: forward.statement.clone(),
        params: forward.params.clone(),
        in_transaction: false,
    };
    let left = app.time_until(until);
    match lease.connection.call::<Executed, DatabaseError>("/execute", &message, left).await {
        Ok(reply) => {
            lease.release();
            if let Err(error) = &reply {
                report_redirect(app, &forward.service, &forward.slot, error);
            }
            Event::Executed(reply)
        }
        // Dropping the lease closes the connection, so that a late answer can't reach another
        // request.
        Err(SendError::NotSent { .. }) => Event::NotSent,
        Err(error) => Event::Lost(error.to_string()),
    }
}

async fn catch_up(
    app: &App,
    board: &Board,
    target: Target,
    position: Position,
    term: Term,
    wait: DurationUs,
) -> bool {
    let slot = &board.catalog.slots[target.slot];
    let message = Wait {
        service: board.catalog.services[slot.service].name.clone(),
        slot: slot.name.clone(),
        position,
        term,
        wait_ms: wait.as_ms(),
    };
    let address = &board.catalog.databases[target.database].cfg.admin_address;
    let timeout = 2 * Duration::from_micros(wait.0);
    let reply = app
        .admin_client
        .post_json::<WaitResult, DatabaseError>(address, "/wait", &message, timeout);
    matches!(reply.await, Ok(Ok(waited)) if waited.held || waited.status.position > position)
}

fn count(app: &App, board: &Board, target: Target, reply: &PeerReply) {
    let PeerReply::Answer(answer) = reply else {
        return;
    };
    if board.catalog.routes[target.route].cfg.kind == RouteKind::Read {
        app.counters.count(match answer.from_replica {
            true => Counter::ReplicaReads,
            false => Counter::PrimaryReads,
        });
    }
}
