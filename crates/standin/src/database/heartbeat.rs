//! Heartbeats: each replica asks its primary whether it is in service, apart from the log's lag.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use edge::client::Client;
use model::prelude::*;
use proto::database::{DatabaseError, Role};
use serde::{Deserialize, Serialize};

use super::{DatabaseState, SlotSettings, lock};

const INTERVAL: Duration = Duration::from_millis(100);
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
struct InService {
    term: Term,
    at: Instant,
}

/// What a database knows of its primaries, and of the VMs that ask it.
#[derive(Default)]
pub(super) struct Heartbeats {
    asked_at: Mutex<Option<Instant>>,
    in_service: Mutex<FxHashMap<String, InService>>,
}

impl Heartbeats {
    /// A VM asked for the status.
    pub(super) fn asked_by_vm(&self) {
        *lock(&self.asked_at) = Some(Instant::now());
    }

    /// How long ago a VM asked for the status, in milliseconds.
    pub(super) fn asked_ms(&self) -> u64 {
        let asked_at = *lock(&self.asked_at);
        asked_at.map_or(u64::MAX / 2, |at| at.elapsed().as_millis() as u64)
    }

    /// The slot's primary was in service that long ago.
    pub(super) fn heard(&self, slot: &SlotSettings, term: Term, ago: Duration) {
        let Some(at) = Instant::now().checked_sub(ago) else {
            return;
        };
        lock(&self.in_service).insert(key(slot), InService { term, at });
    }

    /// How long ago the primary of the term was in service, in milliseconds.
    pub(super) fn in_service_ms(&self, slot: &SlotSettings, term: Term) -> Option<u64> {
        let in_service = lock(&self.in_service);
        let last = in_service.get(&key(slot)).filter(|last| last.term == term)?;
        Some(last.at.elapsed().as_millis() as u64)
    }
}

fn key(slot: &SlotSettings) -> String {
    format!("{}/{}", slot.service, slot.slot)
}

/// Starts asking the primary of every slot in the background.
pub fn send_heartbeats(state: &DatabaseState) {
    let client = Client::new(state.name().as_str());
    for settings in state.0.slots.keys() {
        tokio::spawn(send_for_slot(state.clone(), client.clone(), settings.clone()));
    }
}

async fn send_for_slot(state: DatabaseState, client: Client, settings: SlotSettings) {
    loop {
        ask(&state, &client, &settings).await;
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn ask(state: &DatabaseState, client: &Client, settings: &SlotSettings) {
    let Some((address, query)) = next_query(state, settings) else {
        return;
    };
    let sent_at = Instant::now();
    let reply =
        client.post_json::<Heartbeat, DatabaseError>(&address, "/heartbeat", &query, TIMEOUT);
    let Ok(Ok(heartbeat)) = reply.await else {
        return;
    };
    if !state.is_cut_from("") {
        let ago = sent_at.elapsed() + Duration::from_millis(heartbeat.asked_ms);
        state.0.heartbeats.heard(settings, query.term, ago);
    }
}

fn next_query(state: &DatabaseState, settings: &SlotSettings) -> Option<(String, HeartbeatQuery)> {
    if state.is_cut_from("") {
        return None;
    }
    let slot = state.slot(&settings.service, &settings.slot).ok()?;
    let leader = slot.leader.as_ref().filter(|_| slot.role == Role::Replica)?;
    let query = HeartbeatQuery {
        service: settings.service.clone(),
        slot: settings.slot.clone(),
        term: slot.granted,
    };
    Some((leader.admin_address.clone()?, query))
}
