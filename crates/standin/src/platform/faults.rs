//! The platform's fault switches.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PlatformState, lock};

/// What is wrong with the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails at once.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The answers to this many further updates are lost after the change took effect.
    pub lose_answers: u64,
    /// The list of VMs is this old, in milliseconds.
    pub list_lag_ms: u64,
    /// VMs whose calls fail at once, by name.
    pub cut_off: Vec<String>,
}

impl PlatformState {
    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.0.faults) = faults;
        // Waiting watches look at the switches again.
        self.0.changed.notify_waiters();
    }

    /// The fault switches.
    pub(super) fn faults(&self) -> PlatformFaults {
        lock(&self.0.faults).clone()
    }

    /// Whether calls of the sender fail.
    pub(super) fn is_cut_off(&self, sender: &str) -> bool {
        let faults = lock(&self.0.faults);
        faults.down || faults.cut_off.iter().any(|vm| vm == sender)
    }

    /// Waits as long as calls are slowed down.
    pub(super) async fn slow_down(&self) {
        let slow_ms = lock(&self.0.faults).slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    /// Whether this update's answer is to be lost; counts it.
    pub(super) fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.0.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }
}
