//! What one VM has counted.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{Counts, Day, Minute, Snapshot, TallyReport};

/// Most minutes kept apart while nothing is stored; older ones are taken together.
pub const UNSTORED_MINUTES_MAX: usize = 120;

const DAYS_KEPT: i32 = 3;

#[derive(Clone, Debug, Default)]
struct UnstoredMinute {
    totals: FxHashMap<WorkspaceName, Counts>,
    /// The first report that has all of it.
    complete_in_report: u64,
}

/// The running counts of one incarnation of a VM, and those of its minutes that are not known to be
/// stored.
#[derive(Clone, Debug, Default)]
pub struct UsageRecorder {
    totals: BTreeMap<Day, FxHashMap<WorkspaceName, Counts>>,
    unstored: BTreeMap<(Minute, Day), UnstoredMinute>,
    last_report: u64,
}

impl UsageRecorder {
    /// Adds what a request came to.
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

    /// Everything that is not known to be stored.
    pub fn report(&mut self) -> TallyReport {
        self.last_report += 1;
        let snapshots = self.unstored.iter().map(|(&(minute, day), unstored)| {
            let mut totals: Vec<_> = unstored.totals.iter().map(|(w, c)| (w.clone(), *c)).collect();
            totals.sort_by(|a, b| a.0.cmp(&b.0));
            Snapshot { day, minute, totals }
        });
        TallyReport { number: self.last_report, snapshots: snapshots.collect() }
    }

    /// Takes note that everything in the reports up to `number` is stored.
    pub fn mark_stored(&mut self, number: u64) {
        self.unstored.retain(|_, unstored| unstored.complete_in_report > number);
        let Some(newest) = self.totals.keys().next_back().copied() else {
            return;
        };
        // A day in use in some time zone is at most two days behind another one.
        self.totals.retain(|day, _| {
            day.0 > newest.0 - DAYS_KEPT
                || self.unstored.keys().any(|(_, unstored)| unstored == day)
        });
    }

    /// Whether something is not known to be stored.
    pub fn has_unstored(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// The running counts of the workspace on the day.
    pub fn total(&self, workspace: &WorkspaceName, day: Day) -> Counts {
        let totals = self.totals.get(&day);
        totals.and_then(|totals| totals.get(workspace)).copied().unwrap_or_default()
    }

    /// Takes the oldest minute together with the next one of its day. Since counts are running ones,
    /// only the time at which they were made gets coarser.
    fn merge_oldest(&mut self) {
        let days: Vec<(Minute, Day)> = self.unstored.keys().copied().collect();
        let later = |of: &(Minute, Day)| {
            days.iter().find(|other| other.1 == of.1 && other.0 > of.0).copied()
        };
        let Some((oldest, next)) = days.iter().find_map(|of| Some((*of, later(of)?))) else {
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
