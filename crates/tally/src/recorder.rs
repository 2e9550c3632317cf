//! Counts the requests of one VM and keeps the counts until they are known to be stored.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{Counts, Day, Minute, Snapshot, TallyReport};

/// Maximum number of minutes that are kept apart while they are not stored. The oldest are merged.
pub const UNSTORED_MINUTES_MAX: usize = 120;

/// Business days whose stored counts are kept in memory. A day in use in some time zone is at most
/// two days behind the newest one.
const DAYS_KEPT: i32 = 3;

/// Running counts as they were at the end of a minute.
#[derive(Clone, Debug, Default)]
struct UnstoredMinute {
    /// Counts of the workspaces that changed in the minute.
    totals: FxHashMap<WorkspaceName, Counts>,
    /// Number of the first report that contains all counts of the minute.
    complete_in_report: u64,
}

/// The running counts of one incarnation of a VM, and their values at the end of each minute that
/// is not known to be stored.
#[derive(Clone, Debug, Default)]
pub struct UsageRecorder {
    /// Running counts of each business day.
    totals: BTreeMap<Day, FxHashMap<WorkspaceName, Counts>>,
    unstored: BTreeMap<(Minute, Day), UnstoredMinute>,
    /// Number of the last report made.
    last_report: u64,
}

impl UsageRecorder {
    /// Adds the counts of a request to the workspace's business day. `minute` is the time at which
    /// the request ended.
    pub fn record(&mut self, workspace: &WorkspaceName, day: Day, minute: Minute, counts: Counts) {
        let totals = self.totals.entry(day).or_default();
        let total = match totals.get_mut(workspace) {
            Some(total) => total,
            None => totals.entry(workspace.clone()).or_default(),
        };
        *total = total.plus(counts);
        let total = *total;
        let unstored = self.unstored.entry((minute, day)).or_default();
        unstored.complete_in_report = self.last_report + 1;
        match unstored.totals.get_mut(workspace) {
            Some(known) => *known = total,
            None => {
                unstored.totals.insert(workspace.clone(), total);
            }
        }
        if self.unstored.len() > UNSTORED_MINUTES_MAX {
            self.merge_oldest();
        }
    }

    /// Makes the next report, with all counts that are not known to be stored.
    pub fn report(&mut self) -> TallyReport {
        self.last_report += 1;
        let snapshots = self.unstored.iter().map(|(&(minute, day), unstored)| {
            let mut totals: Vec<_> = unstored.totals.iter().map(|(w, c)| (w.clone(), *c)).collect();
            totals.sort_by(|a, b| a.0.cmp(&b.0));
            Snapshot { day, minute, totals }
        });
        TallyReport { number: self.last_report, snapshots: snapshots.collect() }
    }

    /// Records that the contents of all reports up to `number` are stored.
    pub fn mark_stored(&mut self, number: u64) {
        self.unstored.retain(|_, unstored| unstored.complete_in_report > number);
        let Some(newest) = self.totals.keys().next_back().copied() else {
            return;
        };
        self.totals.retain(|day, _| {
            day.0 > newest.0 - DAYS_KEPT
                || self.unstored.keys().any(|(_, unstored_day)| unstored_day == day)
        });
    }

    /// Whether any counts are not known to be stored.
    pub fn has_unstored(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// The running counts of a workspace on a business day.
    pub fn total(&self, workspace: &WorkspaceName, day: Day) -> Counts {
        let totals = self.totals.get(&day);
        totals.and_then(|totals| totals.get(workspace)).copied().unwrap_or_default()
    }

    /// Merges the oldest minute that has a later one of the same day into that one. Counts are
    /// running totals, so none is lost; only their time gets coarser.
    fn merge_oldest(&mut self) {
        let keys: Vec<(Minute, Day)> = self.unstored.keys().copied().collect();
        let later = |of: &(Minute, Day)| {
            keys.iter().find(|other| other.1 == of.1 && other.0 > of.0).copied()
        };
        let Some((oldest, next)) = keys.iter().find_map(|of| Some((*of, later(of)?))) else {
            return;
        };
        let Some(merged) = self.unstored.remove(&oldest) else {
            return;
        };
        let next = self.unstored.entry(next).or_default();
        next.complete_in_report = next.complete_in_report.max(merged.complete_in_report);
        for (workspace, counts) in merged.totals {
            next.totals.entry(workspace).or_insert(counts);
        }
    }
}
