//! The database's fault switches and counts.

use std::{sync::atomic::Ordering, time::Duration};

use serde::{Deserialize, Serialize};

use super::{DatabaseState, lock};

/// What is wrong with a database.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatabaseFaults {
    /// Nobody reaches it: requests hang, and are taken up late when the switch is turned back.
    pub isolated: bool,
    /// These don't reach it, by the name they send: VMs, and databases that copy its log.
    pub isolated_from: Vec<String>,
    /// Time by which it copies its primary's log late, in milliseconds.
    pub lag_ms: u64,
    /// The answers to this many further writes are lost after they were committed.
    pub lose_answers: u64,
    /// Answers take this much longer, in milliseconds.
    pub slow_ms: u64,
}

/// What a database counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseCounts {
    /// Statements executed.
    pub executed: u64,
    /// Request connections open now.
    pub open_connections: usize,
    /// Most request connections open at once.
    pub most_connections: usize,
    /// Connections refused because every one was taken.
    pub refused_connections: u64,
}

impl DatabaseState {
    /// Sets the fault switches.
    pub fn set_faults(&self, faults: DatabaseFaults) {
        *lock(&self.0.faults) = faults;
        self.0.faults_changed.notify_waiters();
    }

    /// What was counted so far.
    pub fn counts(&self) -> DatabaseCounts {
        DatabaseCounts {
            executed: self.0.executed.load(Ordering::Relaxed),
            open_connections: self.0.open_connections.load(Ordering::Relaxed),
            most_connections: self.0.most_connections.load(Ordering::Relaxed),
            refused_connections: self.0.refused_connections.load(Ordering::Relaxed),
        }
    }

    pub(super) fn lag(&self) -> Duration {
        Duration::from_millis(lock(&self.0.faults).lag_ms)
    }

    pub(super) fn is_isolated_from(&self, sender: &str) -> bool {
        let faults = lock(&self.0.faults);
        faults.isolated || faults.isolated_from.iter().any(|name| name == sender)
    }

    /// Waits as long as the sender is cut off, and as long as answers are slowed down.
    pub(super) async fn apply_faults(&self, sender: &str) {
        loop {
            let changed = self.0.faults_changed.notified();
            if !self.is_isolated_from(sender) {
                break;
            }
            changed.await;
        }
        let slow_ms = lock(&self.0.faults).slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    pub(super) fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.0.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }
}
