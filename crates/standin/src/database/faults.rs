//! Fault switches and counters of a stand-in database.

use std::{sync::atomic::Ordering, time::Duration};

use serde::{Deserialize, Serialize};

use super::{DatabaseState, lock};

/// Faults that a database shows. The default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DatabaseFaults {
    /// Whether requests of all senders hang. They continue when the switch is turned off.
    pub isolated: bool,
    /// Names of the VMs and replicas whose requests hang.
    pub isolated_from: Vec<String>,
    /// Delay before received log entries are applied on a replica, in milliseconds.
    pub lag_ms: u64,
    /// Number of further writes whose responses are lost after the commit.
    pub lose_answers: u64,
    /// Delay added to every admin request, and before and after every statement, in milliseconds.
    pub slow_ms: u64,
}

/// Counters of a database.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseCounts {
    /// Requests executed since the start, including begin, commit and rollback.
    pub executed: u64,
    /// Requests refused because the database is not the slot's primary or its term is later.
    pub refused_requests: u64,
    /// Request connections open now, including refused ones that are not closed yet.
    pub open_connections: usize,
    /// Highest number of admitted request connections open at once.
    pub most_connections: usize,
    /// Connections refused because of the connection limit.
    pub refused_connections: u64,
}

impl DatabaseState {
    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: DatabaseFaults) {
        *lock(&self.0.faults) = faults;
        self.0.faults_changed.notify_waiters();
    }

    /// Returns the counters.
    pub fn counts(&self) -> DatabaseCounts {
        DatabaseCounts {
            executed: self.0.executed.load(Ordering::Relaxed),
            refused_requests: self.0.refused.load(Ordering::Relaxed),
            open_connections: self.0.open_connections.load(Ordering::Relaxed),
            most_connections: self.0.most_connections.load(Ordering::Relaxed),
            refused_connections: self.0.refused_connections.load(Ordering::Relaxed),
        }
    }

    pub(super) fn lag(&self) -> Duration {
        Duration::from_millis(lock(&self.0.faults).lag_ms)
    }

    /// Returns whether requests of the sender hang. The empty name is only affected by `isolated`.
    pub(super) fn is_isolated_from(&self, sender: &str) -> bool {
        let faults = lock(&self.0.faults);
        faults.isolated || faults.isolated_from.iter().any(|name| name == sender)
    }

    /// Waits until the sender is not isolated, then for the delay of `slow_ms`.
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

    /// Returns whether the response to a write must be lost, and counts `lose_answers` down.
    pub(super) fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.0.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }
}
