//! What the VMs of the data centre reported to this one.

use std::sync::{Mutex, MutexGuard};

use tally::status::StatusTracker;

use crate::lock::lock;

/// What the VMs of the data centre reported to this one.
#[derive(Default)]
pub struct StatusReports {
    book: Mutex<StatusTracker>,
}

impl StatusReports {
    /// The reports, for this thread alone.
    pub fn lock(&self) -> MutexGuard<'_, StatusTracker> {
        lock(&self.book)
    }
}
