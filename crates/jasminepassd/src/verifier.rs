//! Verifies with a majority of a slot's members that its primary is still the current one, in
//! rounds shared by all waiting reads.

use std::sync::Arc;

use board::{Board, DatabaseKey, SlotKey};
use model::prelude::*;
use proto::database::Executed;
use serde_json::Value;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{app::App, confirm::confirm, rounds::PrimaryInTerm};

/// Time limit of a verification round.
const ROUND_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);

/// Whether a majority confirms, after this call began, that the primary has not been replaced.
/// Returns `false` if there is no answer by `until`.
pub async fn verify(
    app: &App,
    board: &Board,
    slot: SlotKey,
    primary: DatabaseKey,
    term: Term,
    until: MonoTime,
) -> bool {
    let primary_in_term =
        (board.catalog.slots[slot].digest, term, board.catalog.databases[primary].name.clone());
    let (mut result, is_first) = app.verification_rounds.join(&primary_in_term);
    if is_first {
        app.verification_rounds.start(primary_in_term);
    }
    let verified = result.wait_for(Option::is_some);
    match tokio::time::timeout_at(app.instant(until), verified).await {
        Ok(Ok(verified)) => *verified == Some(true),
        _ => false,
    }
}

/// Runs requested rounds until the process exits. A round isn't cancelled when its reads stop
/// waiting.
pub async fn run(app: Arc<App>, mut starts: UnboundedReceiver<PrimaryInTerm>) {
    while let Some(primary_in_term) = starts.recv().await {
        tokio::spawn(run_rounds(app.clone(), primary_in_term));
    }
}

async fn run_rounds(app: Arc<App>, primary_in_term: PrimaryInTerm) {
    while let Some(tx) = app.verification_rounds.start_next(&primary_in_term) {
        let board = app.board();
        let slot = board.catalog.slot_by_digest(primary_in_term.0);
        let primary = board.catalog.database(primary_in_term.2.as_str());
        let verified = match slot.zip(primary) {
            Some((slot, primary)) => {
                run_round(&app, &board, slot, primary, primary_in_term.1).await
            }
            None => false,
        };
        tx.send_replace(Some(verified));
    }
}

async fn run_round(
    app: &App,
    board: &Board,
    slot: SlotKey,
    primary: DatabaseKey,
    term: Term,
) -> bool {
    let nothing = Executed { result: Value::Null, term, position: Position::ZERO, repeated: false };
    let until = app.instant(app.now() + ROUND_TIMEOUT);
    confirm(app, board, slot, primary, &nothing, until).await.is_ok()
}
