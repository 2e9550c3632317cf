//! Status reports that VMs of the data centre sent to this VM.

use std::sync::{Mutex, MutexGuard};

use tally::status::StatusTracker;

use crate::lock::lock;

/// Status reports that VMs of the data centre sent to this VM.
#[derive(Default)]
pub struct StatusReports {
    tracker: Mutex<StatusTracker>,
}

impl StatusReports {
    /// Locks the reports.
    pub fn lock(&self) -> MutexGuard<'_, StatusTracker> {
        lock(&self.tracker)
    }
}
