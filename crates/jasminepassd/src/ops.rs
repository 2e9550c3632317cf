//! HTTP listener for operators: health, readiness, state and counters.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use board::{Board, SlotMember, SlotState};
use fleet::{access::check_trust, placement::holds_any};
use model::prelude::*;
use proto::platform::{Version, VmState};
use serde::Serialize;

use crate::app::App;

/// Response body for a client that does not speak HTTP.
pub const NOT_HTTP: &str = "this listener is for operators and speaks HTTP";

/// Shared state of the operators' listener.
#[derive(Clone)]
pub struct Ops {
    app: Arc<App>,
    ready: Arc<AtomicBool>,
}

impl Ops {
    /// Creates the listener's state; `ready` becomes false when a planned stop begins.
    pub fn new(app: Arc<App>, ready: Arc<AtomicBool>) -> Ops {
        Ops { app, ready }
    }
}

/// A slot as this VM sees it.
#[derive(Serialize)]
struct SlotView {
    service: ServiceName,
    slot: SlotName,
    term: Term,
    primary: Option<DatabaseName>,
    /// Highest position that this VM knows to be confirmed by a majority.
    confirmed: Position,
    /// Whether this VM holds connections to a database of the service, and so monitors the slot.
    held: bool,
    /// Whether a majority has confirmed that the primary is the one of the current term.
    primary_verified: bool,
    /// Whether every member is in the slot's term and follows the primary.
    in_step: bool,
}

/// Body of `GET /state`: the fleet and the slots as this VM sees them.
#[derive(Serialize)]
struct StateView {
    vm: VmName,
    incarnation: Incarnation,
    dc: DcName,
    generation: Generation,
    vms: Vec<VmName>,
    /// VMs that did not answer.
    suspects: Vec<VmName>,
    leaving: Vec<VmName>,
    watches_platform: bool,
    /// Time since the last known contact with the platform, in milliseconds.
    platform_age_ms: Option<u64>,
    /// Time since the last known contact with each other data centre, in milliseconds.
    heard_age_ms: BTreeMap<String, u64>,
    /// Whether this VM had contact with the platform, or with all other data centres, recently
    /// enough to trust its list of caller keys.
    keys_trusted: bool,
    /// Version of the data centre's object whose portions this VM applies.
    portions_version: Version,
    /// Portion of each workspace's rate and burst that this VM owns, in millionths.
    portions: BTreeMap<WorkspaceName, u32>,
    /// Maximum number of connections of this VM to each database that it holds connections for.
    connections: BTreeMap<DatabaseName, u32>,
    slots: Vec<SlotView>,
}

/// Routes of the operators' listener.
pub fn router(ops: Ops) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/ready", get(ready))
        .route("/state", get(state))
        .route("/counters", get(counters))
        .with_state(ops)
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(State(ops): State<Ops>) -> (StatusCode, &'static str) {
    let configured = ops.app.board.load().catalog.cfg.generation > Generation(0);
    match (configured, ops.ready.load(Ordering::Relaxed)) {
        (true, true) => (StatusCode::OK, "ready\n"),
        (false, _) => {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration has arrived yet: apply one\n")
        }
        (_, false) => (StatusCode::SERVICE_UNAVAILABLE, "a planned stop has begun\n"),
    }
}

async fn state(State(ops): State<Ops>) -> Json<StateView> {
    let board = ops.app.board();
    let catalog = &board.catalog;
    let slots = catalog.slots.iter_enumerated().map(|(key, entry)| {
        let state = &board.slots[key];
        SlotView {
            service: catalog.services[entry.service].name.clone(),
            slot: entry.name.clone(),
            term: state.term,
            primary: state.primary.map(|d| catalog.databases[d].name.clone()),
            confirmed: state.confirmed,
            held: holds_any(&board, &catalog.services[entry.service].databases),
            primary_verified: state.primary_verified_at.is_some(),
            in_step: in_step(state),
        }
    });
    let (fleet, now) = (&board.fleet, ops.app.now());
    let leaving = fleet.vms.iter().filter(|vm| vm.state == VmState::Leaving);
    let heard = fleet.dc_contacts.iter().map(|(dc, age)| (dc.to_string(), age.now(now).as_ms()));
    Json(StateView {
        vm: board.fleet.me.vm.clone(),
        incarnation: board.fleet.me.incarnation,
        dc: board.fleet.me.dc.clone(),
        generation: catalog.cfg.generation,
        vms: fleet.vms.iter().map(|vm| vm.vm.clone()).collect(),
        suspects: fleet.suspects.keys().cloned().collect(),
        leaving: leaving.map(|vm| vm.vm.clone()).collect(),
        watches_platform: *ops.app.watching.borrow(),
        platform_age_ms: fleet.platform_contact.map(|age| age.now(now).as_ms()),
        heard_age_ms: heard.collect(),
        keys_trusted: check_trust(&board, now).is_ok(),
        portions_version: board.quota.version,
        portions: board.quota.portions.clone(),
        connections: connections(&board),
        slots: slots.collect(),
    })
}

/// This VM's connection limits; 0 for a database that it should have connections to but has no
/// limit for.
fn connections(board: &Board) -> BTreeMap<DatabaseName, u32> {
    let mut connections = board.quota.connections.clone();
    for (key, entry) in board.catalog.databases.iter_enumerated() {
        if holds_any(board, &[key]) {
            connections.entry(entry.name.clone()).or_insert(0);
        }
    }
    connections
}

fn in_step(state: &SlotState) -> bool {
    let in_term = |m: &SlotMember| m.term == state.term && m.position.term == state.term;
    let follows_primary = |m: &SlotMember| m.follows == state.primary && m.follows.is_some();
    state.members.iter().all(|m| in_term(m) && follows_primary(m))
}

async fn counters(State(ops): State<Ops>) -> Json<BTreeMap<&'static str, u64>> {
    Json(ops.app.counters.snapshot())
}
