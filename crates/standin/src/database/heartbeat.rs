//! Heartbeats: each replica asks its primary whether it is in service, apart from the log's lag.

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

/// `POST /heartbeat` on the admin address of the primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatQuery {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The replica's term.
    pub term: Term,
}

/// Answer to [`HeartbeatQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How long ago a VM last asked the primary for its status, in milliseconds.
    pub asked_ms: u64,
}

/// When a slot's primary is last known to have been in service, and in which term.
struct LastInService {
    term: Term,
    at: Instant,
}

/// What a database knows of its primaries, and of the VMs that ask it.
#[derive(Default)]
pub(super) struct Heartbeats {
    status_queried_at: Mutex<Option<Instant>>,
    in_service: Mutex<FxHashMap<String, LastInService>>,
}

impl Heartbeats {
    /// A VM asked for the status.
    pub(super) fn record_status_query(&self) {
        *lock(&self.status_queried_at) = Some(Instant::now());
    }

    /// How long ago a VM asked for the status, in milliseconds.
    pub(super) fn since_status_query_ms(&self) -> u64 {
        let status_queried_at = *lock(&self.status_queried_at);
        status_queried_at.map_or(u64::MAX / 2, |at| at.elapsed().as_millis() as u64)
    }

    /// The slot's primary was in service that long ago.
    pub(super) fn record_in_service(&self, slot_id: &SlotId, term: Term, ago: Duration) {
        let Some(at) = Instant::now().checked_sub(ago) else {
            return;
        };
        lock(&self.in_service).insert(key(slot_id), LastInService { term, at });
    }

    /// How long ago the primary of the term was in service, in milliseconds.
    pub(super) fn since_in_service_ms(&self, slot_id: &SlotId, term: Term) -> Option<u64> {
        let in_service = lock(&self.in_service);
        let last = in_service.get(&key(slot_id)).filter(|last| last.term == term)?;
        Some(last.at.elapsed().as_millis() as u64)
    }
}

fn key(slot_id: &SlotId) -> String {
    format!("{}/{}", slot_id.service, slot_id.slot)
}

/// Starts asking the primary of every slot in the background.
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
