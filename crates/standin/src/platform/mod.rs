//! Stand-in platform: versioned objects with conditional updates and watches, and a list of VMs
//! that can be served with a delay.

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

/// Number of calls received, including those that a fault switch failed. A watch counts as one call
/// however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Calls of all kinds.
    pub calls: u64,
    /// Reads of objects and of the VM list.
    pub reads: u64,
    /// Object reads that wait for a newer version.
    pub watches: u64,
    /// Object updates, whether they succeeded or not.
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
    /// Wakes watches after an object or a fault switch changed.
    changed: Notify,
    vms: Mutex<VmHistory>,
    faults: Mutex<PlatformFaults>,
    counters: Counters,
}

/// Shared state of the platform. Clones refer to the same state.
#[derive(Clone)]
pub struct PlatformState(Arc<Inner>);

impl PlatformState {
    /// Creates a platform without objects or VMs.
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
