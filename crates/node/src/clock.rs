//! The clock that all decisions use.

use model::prelude::*;
use nix::time::{ClockId, clock_gettime};

/// The time since the machine started, suspension included.
///
/// # Panics
/// Panics where the system has no such clock; Linux always does.
pub fn now() -> MonoTime {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has CLOCK_BOOTTIME");
    MonoTime(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000)
}
