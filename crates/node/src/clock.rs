//! The monotonic clock that the engine's decisions are based on.

use model::prelude::*;
use nix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including the time that the machine was suspended.
///
/// # Panics
/// Panics if the system has no `CLOCK_BOOTTIME`; Linux always has it.
pub fn now() -> MonoTime {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has CLOCK_BOOTTIME");
    MonoTime(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000)
}
