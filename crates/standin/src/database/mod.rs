//! A replicated database that carries slots: terms, positions, asynchronous replication, scarce
//! connections, transactions bound to a connection, recorded request ids.

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

/// Names a slot of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub slot: SlotName,
}

impl SlotId {
    /// Parses `service/slot`.
    pub fn parse(text: &str) -> eyre::Result<SlotId> {
        let (service, slot) = text.split_once('/').ok_or_else(|| {
            eyre::eyre!("`{text}` is not a slot: write service/slot, such as quotes/s1")
        })?;
        Ok(SlotId { service: ServiceName::new(service)?, slot: SlotName::new(slot)? })
    }
}

/// Settings of a database.
#[derive(Clone, Debug)]
pub struct DatabaseSettings {
    /// Its name in the configuration.
    pub name: DatabaseName,
    /// Slots that it carries.
    pub slots: Vec<SlotId>,
    /// Request connections open at once.
    pub connection_limit: usize,
    /// Time to set up a request connection, in milliseconds.
    pub connect_ms: u64,
    /// Time to execute a statement, in milliseconds.
    pub execute_ms: u64,
}

struct Inner {
    settings: DatabaseSettings,
    slots: BTreeMap<SlotId, Mutex<SlotData>>,
    changed: Notify,
    heartbeats: heartbeat::Heartbeats,
    faults: Mutex<DatabaseFaults>,
    faults_changed: Notify,
    open_connections: AtomicUsize,
    most_connections: AtomicUsize,
    executed: AtomicU64,
    refused_connections: AtomicU64,
}

/// A database's state. Cheap to clone.
#[derive(Clone)]
pub struct DatabaseState(Arc<Inner>);

impl DatabaseState {
    /// A database whose slots are empty and have no primary yet.
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
