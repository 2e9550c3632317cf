//! Fault switches of the stand-in platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PlatformState, lock};

/// Faults that the platform shows. The default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call fails at once.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of further updates that are applied but return an error.
    pub lose_answers: u64,
    /// Age of the VM list that is served, in milliseconds.
    pub list_lag_ms: u64,
    /// Names of VMs whose calls fail at once.
    pub cut_off: Vec<String>,
}

impl PlatformState {
    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.0.faults) = faults;
        // Waiting watches check the switches again.
        self.0.changed.notify_waiters();
    }

    /// Returns a copy of the fault switches.
    pub(super) fn faults(&self) -> PlatformFaults {
        lock(&self.0.faults).clone()
    }

    /// Returns whether calls of the sender fail.
    pub(super) fn is_cut_off(&self, sender: &str) -> bool {
        let faults = lock(&self.0.faults);
        faults.down || faults.cut_off.iter().any(|vm| vm == sender)
    }

    /// Waits for the delay that `slow_ms` adds to a call.
    pub(super) async fn slow_down(&self) {
        let slow_ms = lock(&self.0.faults).slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    /// Returns whether the response to an update must be lost, and counts `lose_answers` down.
    pub(super) fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.0.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }
}
