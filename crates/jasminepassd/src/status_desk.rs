//! What the VMs of the data centre reported to this one.

use std::sync::{Mutex, MutexGuard};

use tally::status::StatusBook;

use crate::lock::lock;

/// What the VMs of the data centre reported to this one.
#[derive(Default)]
pub struct StatusDesk {
    book: Mutex<StatusBook>,
}

impl StatusDesk {
    /// The reports, for this thread alone.
    pub fn book(&self) -> MutexGuard<'_, StatusBook> {
        lock(&self.book)
    }
}
