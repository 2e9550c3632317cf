//! Time in microseconds on the process's monotonic clock. Controllers are given the time as these
//! types and read no clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A span of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DurationUs(pub u64);

impl DurationUs {
    /// Converts from milliseconds.
    pub const fn from_ms(ms: u64) -> DurationUs {
        DurationUs(ms.saturating_mul(1_000))
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }
}

/// A moment in microseconds on the process's monotonic clock. Moments of different processes can't
/// be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// The span from `earlier` to this moment; zero if `earlier` is later.
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
