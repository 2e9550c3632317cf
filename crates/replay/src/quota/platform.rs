//! The simulated platform: versioned objects, a list of VMs that may be out of date, and faults.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::platform::{UpdateResult, Version, VmRecord};
use serde_json::Value;

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// Whether the platform is down: calls get no answer and change nothing.
    pub down: bool,
    /// Number of further updates that take effect, but whose answers are lost.
    pub lose_answers: u64,
    /// Number of further updates that take effect only after their sender has given up.
    pub late_updates: u64,
    /// Age of the list that the platform serves.
    pub list_lag: DurationUs,
}

/// Holds the objects and the list of VMs.
#[derive(Debug, Default)]
pub struct Platform {
    /// Current faults.
    pub faults: PlatformFaults,
    /// Number of calls received.
    pub calls: u64,
    objects: BTreeMap<String, (Version, Value)>,
    /// Every state of the list, with the time since which it holds.
    lists: Vec<(MonoTime, Vec<VmRecord>)>,
}

impl Platform {
    /// Returns the object's version and value; version 0 and null if it does not exist.
    pub fn get(&self, name: &str) -> (Version, Value) {
        self.objects.get(name).cloned().unwrap_or((Version(0), Value::Null))
    }

    /// Replaces the object if its version is the expected one.
    pub fn update(&mut self, name: &str, expected: Version, value: Value) -> UpdateResult {
        let (version, _) = self.get(name);
        if version != expected {
            return UpdateResult::Conflict { version };
        }
        let version = Version(version.0 + 1);
        self.objects.insert(name.to_owned(), (version, value));
        UpdateResult::Done { version }
    }

    /// Returns whether the answer to this update is lost, and counts it against the fault.
    pub fn loses_next_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Returns whether this update takes effect only after its sender has given up, and counts it against
    /// the fault.
    pub fn delays_next_update(&mut self) -> bool {
        let late = self.faults.late_updates > 0;
        self.faults.late_updates = self.faults.late_updates.saturating_sub(1);
        late
    }

    /// Changes the list of VMs.
    pub fn change_list(&mut self, now: MonoTime, change: impl FnOnce(&mut Vec<VmRecord>)) {
        let mut list = self.lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.lists.push((now, list));
    }

    /// Returns the list of VMs as it is served now, which is `list_lag` old.
    pub fn list(&self, now: MonoTime) -> Vec<VmRecord> {
        let as_of = now - self.faults.list_lag;
        let version = self.lists.iter().rev().find(|(since, _)| *since <= as_of);
        version.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
