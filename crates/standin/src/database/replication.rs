//! Asynchronous replication: each replica reads its primary's log.

use std::time::Duration;

use edge::client::Client;
use model::prelude::*;
use proto::database::{DatabaseError, Role};
use serde::{Deserialize, Serialize};

use super::{DatabaseState, SlotId, slot::LogEntry};

const LOG_WAIT_MS: u64 = 200;
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// `POST /log` on the admin address: the entries that a replica lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogQuery {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The replica's term.
    pub term: Term,
    /// The last index of each term in the replica's log.
    pub ends: Vec<Position>,
    /// How long to wait for an entry, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to [`LogQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogChunk {
    /// How many of the replica's entries the primary shares; the others go.
    pub keep: u64,
    /// The entries after them.
    pub entries: Vec<LogEntry>,
}

impl LogChunk {
    /// Most entries in one answer.
    pub const MAX_ENTRIES: usize = 1_000;
}

/// Starts copying the primary's log in the background, for every slot.
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

/// Copies what is there; false where there is no primary to copy from.
async fn copy_once(state: &DatabaseState, client: &Client, slot_id: &SlotId) -> bool {
    let Some((address, query)) = next_query(state, slot_id) else {
        return false;
    };
    let timeout = Duration::from_millis(LOG_WAIT_MS + 1_000);
    let reply = client.post_json::<LogChunk, DatabaseError>(&address, "/log", &query, timeout);
    let reply = tokio::select! {
        reply = reply => reply,
        // A primary that was replaced may never answer.
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

/// Ends once the slot has left the term here.
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
