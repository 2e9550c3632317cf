//! Opens transactions on this VM, and rolls back those that have expired.

use std::{sync::Arc, time::Duration};

use board::{Board, DatabaseKey, SlotKey, WorkspaceKey};
use fleet::access::check_key;
use model::prelude::*;
use proto::{
    database::{self, DatabaseError, Executed},
    peer::{Begin, PeerReply},
};
use route::{errors, execution::redirect, transaction::TransactionInfo};
use tokio::time::Instant;

use crate::{
    admission::{connect, unavailable},
    app::App,
    counters::Counter,
    redirects::report_redirect,
    verifier::verify,
};

const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Rolls back expired transactions periodically until the process exits.
pub async fn run_sweeps(app: Arc<App>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        for _ in 0..app.transactions.sweep(&app.board(), app.now()) {
            app.counters.count(Counter::TransactionsExpired);
        }
    }
}

/// Waits until no transaction is open on this VM.
pub async fn wait_until_none(app: &App) {
    while !app.transactions.is_empty() {
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}

/// Opens a transaction on this VM, on a connection to the requested database.
pub async fn begin(app: &App, req: &Begin) -> PeerReply {
    match try_begin(app, req).await {
        Ok(id) => PeerReply::Begun(id),
        Err(reply) => reply,
    }
}

async fn try_begin(app: &App, req: &Begin) -> Result<TransactionId, PeerReply> {
    let board = app.board();
    let (workspace, slot, database) = find(&board, req).ok_or_else(unavailable_reply)?;
    check_key(&board, &req.key, &req.workspace, app.now()).map_err(PeerReply::Error)?;
    // The failover from a leaving database would roll the transaction back.
    if board.fleet.leaving || board.catalog.databases[database].cfg.leaving {
        return Err(unavailable_reply());
    }
    if board.slots[slot].primary != Some(database) {
        return Err(PeerReply::Redirect(redirect(&board, slot)));
    }
    let until = app.now() + req.time_left;
    let deadline = app.instant(until);
    let term = board.slots[slot].term;
    let mut lease =
        connect(app, &board, workspace, database, deadline).await.map_err(PeerReply::Error)?;
    let message = database::Begin { service: req.service.clone(), slot: req.slot.clone(), term };
    let left = deadline.saturating_duration_since(Instant::now());
    let reply = lease.connection.call::<Executed, DatabaseError>("/begin", &message, left).await;
    let begun = match reply {
        Ok(Ok(begun)) => begun,
        Ok(Err(error)) => {
            lease.release();
            report_redirect(app, &req.service, &req.slot, &error);
            return Err(match errors::redirect_for(&error) {
                Some(redirect) => PeerReply::Redirect(redirect),
                None => PeerReply::Error(errors::from_database_error(error)),
            });
        }
        // If the transaction was begun, closing the connection rolls it back.
        Err(_) => return Err(unavailable_reply()),
    };
    let covers = begun.position >= req.min_position
        || verify(app, &board, slot, database, term, until).await;
    if !covers {
        return Err(unavailable_reply());
    }
    let info = TransactionInfo {
        workspace: req.workspace.clone(),
        key: req.key.clone(),
        slot: board.catalog.slots[slot].digest,
        database: req.database.clone(),
        term,
    };
    app.counters.count(Counter::TransactionsBegun);
    Ok(app.transactions.begin(info, lease, app.now()))
}

fn find(board: &Board, req: &Begin) -> Option<(WorkspaceKey, SlotKey, DatabaseKey)> {
    let catalog = &board.catalog;
    let service = catalog.service(req.service.as_str())?;
    Some((
        catalog.workspace(req.workspace.as_str())?,
        catalog.slot(service, req.slot.as_str())?,
        catalog.database(req.database.as_str())?,
    ))
}

fn unavailable_reply() -> PeerReply {
    PeerReply::Error(unavailable())
}
