//! Confirms that a majority of a slot's members has applied a position in the current term.

use std::time::Duration;

use board::{Board, DatabaseKey, SlotKey};
use edge::client::SendError;
use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind},
    database::{DatabaseError, Executed, Wait, WaitResult},
};
use tokio::{task::JoinSet, time::Instant};

use crate::{app::App, event::Event};

/// A member's answer to [`Wait`].
type WaitReply = Result<Result<WaitResult, DatabaseError>, SendError>;

/// Waits until a majority of the slot's members has applied `executed` under its term.
///
/// `primary` executed it and counts as one member of the majority. This also confirms a read on the
/// primary: members that are still in the term show that the primary had not been replaced when it
/// answered.
pub async fn confirm(
    app: &App,
    board: &Board,
    slot: SlotKey,
    primary: DatabaseKey,
    executed: &Executed,
    deadline: Instant,
) -> Result<(), CallerError> {
    let mut waits = start_waits(app, board, slot, primary, executed, deadline);
    let majority = board.slots[slot].majority();
    let mut confirmations = 1;
    while confirmations < majority {
        let Some(reply) = waits.join_next().await else {
            return Err(unconfirmed());
        };
        match reply {
            Ok(Ok(Ok(waited))) if waited.held => confirmations += 1,
            Ok(Ok(Err(DatabaseError::StaleTerm { term }))) => learn_term(app, board, slot, term),
            _ => {}
        }
    }
    Ok(())
}

fn start_waits(
    app: &App,
    board: &Board,
    slot: SlotKey,
    primary: DatabaseKey,
    executed: &Executed,
    deadline: Instant,
) -> JoinSet<WaitReply> {
    let entry = &board.catalog.slots[slot];
    let left = deadline.saturating_duration_since(Instant::now());
    let message = Wait {
        service: board.catalog.services[entry.service].name.clone(),
        slot: entry.name.clone(),
        position: executed.position,
        term: executed.term,
        wait_ms: left.as_millis() as u64,
    };
    let mut waits = JoinSet::new();
    for &member in entry.members.iter().filter(|m| **m != primary) {
        let address = board.catalog.databases[member].cfg.admin_address.clone();
        waits.spawn(wait(app.admin_client.clone(), address, message.clone(), left));
    }
    waits
}

async fn wait(
    client: edge::client::Client,
    address: String,
    message: Wait,
    left: Duration,
) -> WaitReply {
    client.post_json::<WaitResult, DatabaseError>(&address, "/wait", &message, left).await
}

/// Reports the higher term that a member has granted: the primary has been or is being replaced.
fn learn_term(app: &App, board: &Board, slot: SlotKey, term: Term) {
    let slot = board.catalog.slots[slot].digest;
    app.send_event(Event::PrimarySeen { slot, term, primary: None });
}

fn unconfirmed() -> CallerError {
    let message =
        "the write ran but no majority confirmed it in time: retry with the same idempotency key";
    CallerError::unknown(ErrorKind::Timeout, message)
}
