//! The platform in virtual time: objects, a lagging list, and its faults.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::platform::{UpdateResult, Version, VmRecord};
use serde_json::Value;

/// What is wrong with the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// Calls get no answer and change nothing.
    pub down: bool,
    /// Answers to this many further updates are lost after they took effect.
    pub lose_answers: u64,
    /// Updates take effect this much later than their sender gives up.
    pub late_updates: u64,
    /// The list is this old.
    pub list_lag: DurationUs,
}

/// Objects and the list of VMs.
#[derive(Debug, Default)]
pub struct Platform {
    /// What is wrong.
    pub faults: PlatformFaults,
    /// Calls taken.
    pub calls: u64,
    objects: BTreeMap<String, (Version, Value)>,
    lists: Vec<(MonoTime, Vec<VmRecord>)>,
}

impl Platform {
    /// The object's version and value.
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

    /// Whether this update's answer is lost; counts it.
    pub fn loses_next_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Whether this update takes effect only after its sender has given up; counts it.
    pub fn delays_next_update(&mut self) -> bool {
        let late = self.faults.late_updates > 0;
        self.faults.late_updates = self.faults.late_updates.saturating_sub(1);
        late
    }

    /// Changes the list.
    pub fn change_list(&mut self, now: MonoTime, change: impl FnOnce(&mut Vec<VmRecord>)) {
        let mut list = self.lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.lists.push((now, list));
    }

    /// The list as it is served now.
    pub fn list(&self, now: MonoTime) -> Vec<VmRecord> {
        let as_of = now - self.faults.list_lag;
        let version = self.lists.iter().rev().find(|(since, _)| *since <= as_of);
        version.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
