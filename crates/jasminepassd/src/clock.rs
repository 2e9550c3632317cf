//! The process's monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::prelude::*;

/// Monotonic clock that starts at zero when it is created.
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
    /// Creates a clock that starts now.
    pub fn new() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Time since the clock was created, in microseconds.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.started.elapsed().as_micros() as u64)
    }
}

/// Seconds since the Unix epoch by the wall clock. Used only for business days and reports.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
