//! The process's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::prelude::*;

/// Time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        Clock { started: Instant::now() }
    }

    /// The present moment.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.started.elapsed().as_micros() as u64)
    }
}

/// Seconds of the wall clock from 1 January 1970; for business days and reports alone.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
