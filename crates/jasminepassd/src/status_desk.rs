//! What the VMs of the data centre reported to this one.

use std::sync::{Mutex, MutexGuard};

use tally::status::StatusTracker;

use crate::lock::lock;

/// What the VMs of the data centre reported to this one.
#[derive(Default)]
pub struct StatusDesk {
    book: Mutex<StatusTracker>,
}

impl StatusDesk {
    /// The reports, for this thread alone.
    pub fn book(&self) -> MutexGuard<'_, StatusTracker> {
        lock(&self.book)
    }
}
