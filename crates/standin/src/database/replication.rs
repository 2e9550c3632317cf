//! Asynchronous replication: each replica pulls log entries from its primary.

use std::time::Duration;

use edge::client::Client;
use model::prelude::*;
use proto::database::{DatabaseError, Role};
use serde::{Deserialize, Serialize};

use super::{DatabaseState, SlotId, slot::LogEntry};

const LOG_WAIT_MS: u64 = 200;
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Body of `POST /log` on the primary's admin address, which requests the entries that the replica
/// lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogQuery {
    /// Service that the slot belongs to.
    pub service: ServiceName,
    /// Name of the slot.
    pub slot: SlotName,
    /// Term of the replica.
    pub term: Term,
    /// Last position of each term in the replica's log, in ascending order.
    pub ends: Vec<Position>,
    /// Longest wait for a new entry, in milliseconds.
    pub wait_ms: u64,
}

/// Response to [`LogQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogChunk {
    /// Length of the common prefix of both logs. The replica discards its entries after it.
    pub keep: u64,
    /// Entries that follow the common prefix.
    pub entries: Vec<LogEntry>,
}

impl LogChunk {
    /// Maximum number of entries in one response.
    pub const MAX_ENTRIES: usize = 1_000;
}

/// Starts a background task for every slot that copies the primary's log while this is a replica.
pub fn start_replication(state: &DatabaseState) {
    let client = Client::new(state.name().as_str());
    for slot_id in state.0.slots.keys() {
        tokio::spawn(replicate_slot(state.clone(), client.clone(), slot_id.clone()));
    }
}

async fn replicate_slot(state: DatabaseState, client: Client, slot_id: SlotId) {
    loop {
        if !copy_once(&state, &client, &slot_id).await {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Pulls and applies one chunk. Returns false if the caller must wait before the next try.
async fn copy_once(state: &DatabaseState, client: &Client, slot_id: &SlotId) -> bool {
    let Some((address, query)) = next_query(state, slot_id) else {
        return false;
    };
    let timeout = Duration::from_millis(LOG_WAIT_MS + 1_000);
    let reply = client.post_json::<LogChunk, DatabaseError>(&address, "/log", &query, timeout);
    let reply = tokio::select! {
        reply = reply => reply,
        // A replaced primary may never respond.
        () = left_term(state, slot_id, query.term) => return true,
    };
    let Ok(Ok(chunk)) = reply else {
        return false;
    };
    let lag = state.lag();
    if !lag.is_zero() {
        tokio::time::sleep(lag).await;
    }
    if state.is_isolated_from("") {
        return false;
    }
    let Ok(mut slot) = state.slot(&slot_id.service, &slot_id.slot) else {
        return false;
    };
    let unchanged = slot.granted_term == query.term
        && slot.role == Role::Replica
        && slot.term_ends == query.ends;
    if unchanged && (!chunk.entries.is_empty() || chunk.keep < slot.log.len() as u64) {
        slot.replicate(chunk.keep, chunk.entries);
        state.0.changed.notify_waiters();
    }
    true
}

/// Waits until the slot's term at this database isn't `term` or this database is its primary.
async fn left_term(state: &DatabaseState, slot_id: &SlotId, term: Term) {
    loop {
        let changed = state.0.changed.notified();
        let left = state
            .slot(&slot_id.service, &slot_id.slot)
            .is_ok_and(|slot| slot.granted_term != term || slot.role == Role::Primary);
        if left {
            return;
        }
        changed.await;
    }
}

/// Returns the primary's admin address and the query, or `None` if this is no replica of a known
/// primary or is isolated.
fn next_query(state: &DatabaseState, slot_id: &SlotId) -> Option<(String, LogQuery)> {
    if state.is_isolated_from("") {
        return None;
    }
    let slot = state.slot(&slot_id.service, &slot_id.slot).ok()?;
    let primary = slot.primary.as_ref().filter(|_| slot.role == Role::Replica)?;
    let query = LogQuery {
        service: slot_id.service.clone(),
        slot: slot_id.slot.clone(),
        term: slot.granted_term,
        ends: slot.term_ends.clone(),
        wait_ms: LOG_WAIT_MS,
    };
    Some((primary.admin_address.clone()?, query))
}
