//! The process's monotonic clock.

use std::time::Instant;

use model::prelude::*;

/// Time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
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
