//! Time as the controllers see it: microseconds on the process's own monotonic clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A span of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationUs(pub u64);

impl DurationUs {
    /// A span of the given number of milliseconds.
    pub const fn from_ms(ms: u64) -> DurationUs {
        DurationUs(ms * 1_000)
    }

    /// Whole milliseconds in the span.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }
}

/// A moment on the process's own monotonic clock. Not comparable between processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The span from `earlier` to this moment, or zero where `earlier` is later.
    pub fn since(self, earlier: MonoTime) -> DurationUs {
        DurationUs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationUs> for MonoTime {
    type Output = MonoTime;

    fn add(self, span: DurationUs) -> MonoTime {
        MonoTime(self.0.saturating_add(span.0))
    }
}

impl Sub<DurationUs> for MonoTime {
    type Output = MonoTime;

    fn sub(self, span: DurationUs) -> MonoTime {
        MonoTime(self.0.saturating_sub(span.0))
    }
}
