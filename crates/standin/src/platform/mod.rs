//! The platform: objects with versions, conditional updates and watches, and a lagging list of VMs.

mod faults;
mod http;
mod objects;
mod vms;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

pub use faults::PlatformFaults;
pub use http::{control_app, object_app};

use objects::Objects;
use vms::VmHistory;

/// How often the platform was called. A waiting watch counts as one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Calls of all kinds, also those that a fault switch failed.
    pub calls: u64,
    /// Reads of objects and of the list.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Updates, whether they took effect or not.
    pub updates: u64,
}

#[derive(Default)]
struct Counters {
    reads: AtomicU64,
    watches: AtomicU64,
    updates: AtomicU64,
}

impl Counters {
    fn counts(&self) -> PlatformCounts {
        let reads = self.reads.load(Ordering::Relaxed);
        let watches = self.watches.load(Ordering::Relaxed);
        let updates = self.updates.load(Ordering::Relaxed);
        PlatformCounts { calls: reads + watches + updates, reads, watches, updates }
    }
}

struct Inner {
    started: Instant,
    objects: Mutex<Objects>,
    changed: Notify,
    vms: Mutex<VmHistory>,
    faults: Mutex<PlatformFaults>,
    counters: Counters,
}

/// The platform's state. Cheap to clone.
#[derive(Clone)]
pub struct PlatformState(Arc<Inner>);

impl PlatformState {
    /// A platform without objects or VMs.
    pub fn new() -> PlatformState {
        PlatformState(Arc::new(Inner {
            started: Instant::now(),
            objects: Mutex::default(),
            changed: Notify::new(),
            vms: Mutex::default(),
            faults: Mutex::default(),
            counters: Counters::default(),
        }))
    }

    fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }
}

impl Default for PlatformState {
    fn default() -> PlatformState {
        PlatformState::new()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
