//! Stand-in for a replicated database that stores slots, each with its own log, term and role.
//!
//! Replication is asynchronous, connections are limited, a transaction belongs to the connection
//! that began it, and the log records request ids so that a repeated write runs once.

mod admin;
mod faults;
mod heartbeat;
mod replication;
mod requests;
mod slot;
mod statement;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize},
    },
};

use model::prelude::*;
use proto::database::DatabaseError;
use tokio::sync::Notify;

pub use admin::{admin_app, control_app};
pub use faults::{DatabaseCounts, DatabaseFaults};
pub use heartbeat::start_heartbeats;
pub use replication::start_replication;
pub use requests::serve_requests;
pub use slot::{KnownPrimary, LogEntry, SlotData};
pub use statement::Writes;

/// Identifies a slot of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the slot within the service.
    pub slot: SlotName,
}

impl SlotId {
    /// Parses `service/slot`.
    pub fn parse(text: &str) -> eyre::Result<SlotId> {
        let (service, slot) = text.split_once('/').ok_or_else(|| {
            eyre::eyre!("`{text}` is not a slot: expected service/slot, such as quotes/s1")
        })?;
        Ok(SlotId { service: ServiceName::new(service)?, slot: SlotName::new(slot)? })
    }
}

/// Settings of a stand-in database.
#[derive(Clone, Debug)]
pub struct DatabaseSettings {
    /// Name of the database in the configuration.
    pub name: DatabaseName,
    /// Slots stored by the database.
    pub slots: Vec<SlotId>,
    /// Maximum number of open request connections.
    pub connection_limit: usize,
    /// Delay before a request connection is served, in milliseconds.
    pub connect_ms: u64,
    /// Execution time of each request, in milliseconds.
    pub execute_ms: u64,
}

struct Inner {
    settings: DatabaseSettings,
    slots: BTreeMap<SlotId, Mutex<SlotData>>,
    /// Wakes waiting calls after the log, term or role of any slot changed.
    changed: Notify,
    heartbeats: heartbeat::Heartbeats,
    faults: Mutex<DatabaseFaults>,
    faults_changed: Notify,
    open_connections: AtomicUsize,
    most_connections: AtomicUsize,
    executed: AtomicU64,
    /// Requests refused because of the database's role, without being executed.
    refused: AtomicU64,
    refused_connections: AtomicU64,
}

/// Shared state of a database. Clones refer to the same state.
#[derive(Clone)]
pub struct DatabaseState(Arc<Inner>);

impl DatabaseState {
    /// Creates a database whose slots are empty and have no primary.
    pub fn new(settings: DatabaseSettings) -> DatabaseState {
        let slots =
            settings.slots.iter().map(|s| (s.clone(), Mutex::new(SlotData::new()))).collect();
        DatabaseState(Arc::new(Inner {
            settings,
            slots,
            changed: Notify::new(),
            heartbeats: heartbeat::Heartbeats::default(),
            faults: Mutex::default(),
            faults_changed: Notify::new(),
            open_connections: AtomicUsize::new(0),
            most_connections: AtomicUsize::new(0),
            executed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            refused_connections: AtomicU64::new(0),
        }))
    }

    fn name(&self) -> &DatabaseName {
        &self.0.settings.name
    }

    fn slot(
        &self,
        service: &ServiceName,
        slot: &SlotName,
    ) -> Result<MutexGuard<'_, SlotData>, DatabaseError> {
        let key = SlotId { service: service.clone(), slot: slot.clone() };
        self.0.slots.get(&key).map(lock).ok_or(DatabaseError::UnknownSlot)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
