//! Heartbeats by which each replica tracks when its primary was last in service, independently of
//! replication lag.
//!
//! A primary counts as in service when a VM asks it for its status: a primary that only replicas
//! reach doesn't.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use edge::client::Client;
use model::prelude::*;
use proto::database::{DatabaseError, Role};
use serde::{Deserialize, Serialize};

use super::{DatabaseState, SlotId, lock};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(300);

/// Body of `POST /heartbeat` on the primary's admin address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatQuery {
    /// Service that the slot belongs to.
    pub service: ServiceName,
    /// Name of the slot.
    pub slot: SlotName,
    /// Term of the replica.
    pub term: Term,
}

/// Response to [`HeartbeatQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time since a VM last asked the primary for its status, in milliseconds.
    pub asked_ms: u64,
}

/// The last time at which the primary of `term` is known to have been in service.
struct LastInService {
    term: Term,
    at: Instant,
}

/// Times of the last status query and of the last service of each slot's primary.
#[derive(Default)]
pub(super) struct Heartbeats {
    status_queried_at: Mutex<Option<Instant>>,
    in_service: Mutex<FxHashMap<String, LastInService>>,
}

impl Heartbeats {
    /// Records that a VM asked for the status now.
    pub(super) fn record_status_query(&self) {
        *lock(&self.status_queried_at) = Some(Instant::now());
    }

    /// Returns the milliseconds since the last status query; half of `u64::MAX` before the first.
    pub(super) fn since_status_query_ms(&self) -> u64 {
        let status_queried_at = *lock(&self.status_queried_at);
        status_queried_at.map_or(u64::MAX / 2, |at| at.elapsed().as_millis() as u64)
    }

    /// Records that the slot's primary of `term` was in service `ago`.
    pub(super) fn record_in_service(&self, slot_id: &SlotId, term: Term, ago: Duration) {
        let Some(at) = Instant::now().checked_sub(ago) else {
            return;
        };
        lock(&self.in_service).insert(key(slot_id), LastInService { term, at });
    }

    /// Returns the milliseconds since the primary of `term` was in service; `None` if unknown.
    pub(super) fn since_in_service_ms(&self, slot_id: &SlotId, term: Term) -> Option<u64> {
        let in_service = lock(&self.in_service);
        let last = in_service.get(&key(slot_id)).filter(|last| last.term == term)?;
        Some(last.at.elapsed().as_millis() as u64)
    }
}

fn key(slot_id: &SlotId) -> String {
    format!("{}/{}", slot_id.service, slot_id.slot)
}

/// Starts a background task for every slot that polls the slot's primary while this is a replica.
pub fn start_heartbeats(state: &DatabaseState) {
    let client = Client::new(state.name().as_str());
    for slot_id in state.0.slots.keys() {
        tokio::spawn(poll_slot_primary(state.clone(), client.clone(), slot_id.clone()));
    }
}

async fn poll_slot_primary(state: DatabaseState, client: Client, slot_id: SlotId) {
    loop {
        poll_primary(&state, &client, &slot_id).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_primary(state: &DatabaseState, client: &Client, slot_id: &SlotId) {
    let Some((address, query)) = next_query(state, slot_id) else {
        return;
    };
    let sent_at = Instant::now();
    let reply =
        client.post_json::<Heartbeat, DatabaseError>(&address, "/heartbeat", &query, TIMEOUT);
    let Ok(Ok(heartbeat)) = reply.await else {
        return;
    };
    if !state.is_isolated_from("") {
        let ago = sent_at.elapsed() + Duration::from_millis(heartbeat.asked_ms);
        state.0.heartbeats.record_in_service(slot_id, query.term, ago);
    }
}

/// Returns the primary's admin address and the query, or `None` if this is no replica of a known
/// primary or is isolated.
fn next_query(state: &DatabaseState, slot_id: &SlotId) -> Option<(String, HeartbeatQuery)> {
    if state.is_isolated_from("") {
        return None;
    }
    let slot = state.slot(&slot_id.service, &slot_id.slot).ok()?;
    let primary = slot.primary.as_ref().filter(|_| slot.role == Role::Replica)?;
    let query = HeartbeatQuery {
        service: slot_id.service.clone(),
        slot: slot_id.slot.clone(),
        term: slot.granted_term,
    };
    Some((primary.admin_address.clone()?, query))
}
