//! Asks a majority whether primaries are still the current ones, once for all reads that wait for it.

use std::sync::Arc;

use board::{Board, DatabaseKey, SlotKey};
use model::prelude::*;
use proto::database::Executed;
use serde_json::Value;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{app::App, confirm::confirm, rounds::Claim};

const ROUND_LIMIT: DurationUs = DurationUs::from_ms(1_000);

/// Whether a majority says, after this call began, that the primary has not been replaced in the term.
pub async fn verify(
    app: &App,
    board: &Board,
    slot: SlotKey,
    primary: DatabaseKey,
    term: Term,
    until: MonoTime,
) -> bool {
    let claim =
        (board.catalog.slots[slot].digest, term, board.catalog.databases[primary].name.clone());
    let (mut answer, is_first) = app.verifier.join(&claim);
    if is_first {
        app.verifier.start(claim);
    }
    let verified = answer.wait_for(Option::is_some);
    match tokio::time::timeout_at(app.instant(until), verified).await {
        Ok(Ok(verified)) => *verified == Some(true),
        _ => false,
    }
}

/// Runs rounds for as long as the daemon runs, whoever waits for them.
pub async fn run(app: Arc<App>, mut claims: UnboundedReceiver<Claim>) {
    while let Some(claim) = claims.recv().await {
        tokio::spawn(run_rounds(app.clone(), claim));
    }
}

async fn run_rounds(app: Arc<App>, claim: Claim) {
    while let Some(tx) = app.verifier.start_next(&claim) {
        let board = app.board();
        let slot = board.catalog.slot_by_digest(claim.0);
        let primary = board.catalog.database(claim.2.as_str());
        let verified = match slot.zip(primary) {
            Some((slot, primary)) => ask(&app, &board, slot, primary, claim.1).await,
            None => false,
        };
        tx.send_replace(Some(verified));
    }
}

async fn ask(app: &App, board: &Board, slot: SlotKey, primary: DatabaseKey, term: Term) -> bool {
    let nothing = Executed { result: Value::Null, term, position: Position::ZERO, repeated: false };
    let until = app.instant(app.now() + ROUND_LIMIT);
    confirm(app, board, slot, primary, &nothing, until).await.is_ok()
}
