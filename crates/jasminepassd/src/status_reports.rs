//! What the VMs of the data centre reported to this one.

use std::sync::{Mutex, MutexGuard};

use tally::status::StatusBook;

use crate::lock::lock;

/// What the VMs of the data centre reported to this one.
#[derive(Default)]
pub struct StatusReports {
    book: Mutex<StatusBook>,
}

impl StatusReports {
    /// The reports, for this thread alone.
    pub fn lock(&self) -> MutexGuard<'_, StatusBook> {
        lock(&self.book)
    }
}
