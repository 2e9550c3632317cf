//! What the VMs of the data centre reported to this one.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tally::status::StatusBook;

/// What the VMs of the data centre reported to this one.
#[derive(Default)]
pub struct StatusDesk {
    book: Mutex<StatusBook>,
}

impl StatusDesk {
    /// The reports, for this thread alone.
    pub fn book(&self) -> MutexGuard<'_, StatusBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
