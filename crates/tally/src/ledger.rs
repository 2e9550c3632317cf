//! The counts of a data centre for one business day, as stored in an object of the platform.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{Counts, Day, Minute, Snapshot};
use serde::{Deserialize, Serialize};

/// Number of recent minutes that have a bucket each. Older ones are merged to buckets of
/// [`COARSE_MINUTES`].
pub const FINE_MINUTES: u64 = 90;
/// Length of the buckets of older minutes, in minutes.
pub const COARSE_MINUTES: u64 = 10;

/// The source of a running count: one incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The VM that counted.
    pub vm: VmName,
    /// Incarnation of the VM, which differs with each start.
    pub incarnation: Incarnation,
}

impl Source {
    /// The key of the source in [`WorkspaceLedger::by_source`].
    pub fn key(&self) -> String {
        format!("{}.{}", self.vm, self.incarnation.0)
    }
}

/// Numbers of good and bad requests in a span of minutes. Stored as `[from, span, good, bad]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct TimeBucket {
    /// The first minute of the span.
    pub from: Minute,
    /// Length of the span, in minutes.
    pub span: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late, or failed for a reason that the system is responsible for.
    pub bad: u64,
}

impl From<(u64, u64, u64, u64)> for TimeBucket {
    fn from((from, span, good, bad): (u64, u64, u64, u64)) -> TimeBucket {
        TimeBucket { from: Minute(from), span, good, bad }
    }
}

impl From<TimeBucket> for (u64, u64, u64, u64) {
    fn from(bucket: TimeBucket) -> (u64, u64, u64, u64) {
        (bucket.from.0, bucket.span, bucket.good, bucket.bad)
    }
}

/// The counts of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLedger {
    /// Running counts by the key of their source.
    pub by_source: BTreeMap<String, Counts>,
    /// Good and bad requests over time, in the order of time, without overlaps.
    pub cells: Vec<TimeBucket>,
}

/// The counts of a data centre for one business day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DayLedger {
    /// Counts of each workspace.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceLedger>,
}

/// Name of the platform's object that stores the ledger of a data centre and day.
pub fn object_name(dc: &DcName, day: Day) -> String {
    format!("tally/{dc}/{}", crate::day::format(day))
}

impl DayLedger {
    /// Merges a snapshot of a source. Counts that the ledger already contains are not added again.
    pub fn apply(&mut self, source: &Source, snapshot: &Snapshot) {
        let key = source.key();
        for (workspace, counts) in &snapshot.totals {
            let ledger = match self.workspaces.get_mut(workspace) {
                Some(ledger) => ledger,
                None => self.workspaces.entry(workspace.clone()).or_default(),
            };
            ledger.apply(&key, snapshot.minute, *counts);
        }
    }

    /// The sum of a workspace's counts over all sources.
    pub fn total(&self, workspace: &WorkspaceName) -> Counts {
        self.workspaces.get(workspace).map(WorkspaceLedger::total).unwrap_or_default()
    }
}

impl WorkspaceLedger {
    /// The sum of the counts over all sources.
    pub fn total(&self) -> Counts {
        self.by_source.values().fold(Counts::default(), |sum, counts| sum.plus(*counts))
    }

    fn apply(&mut self, source: &str, minute: Minute, counts: Counts) {
        let known = self.by_source.get(source).copied().unwrap_or_default();
        let added = counts.since(known);
        if added == Counts::default() {
            return;
        }
        self.by_source.insert(source.to_owned(), known.max(counts));
        self.add(minute, added);
        self.coarsen();
    }

    fn add(&mut self, minute: Minute, added: Counts) {
        if (added.good, added.bad) == (0, 0) {
            return;
        }
        let at = self.cells.partition_point(|bucket| bucket.from.0 + bucket.span <= minute.0);
        let covers = self.cells.get(at).is_some_and(|bucket| bucket.from <= minute);
        if !covers {
            self.cells.insert(at, TimeBucket { from: minute, span: 1, ..TimeBucket::default() });
        }
        self.cells[at].good += added.good;
        self.cells[at].bad += added.bad;
    }

    /// Merges the buckets that are older than [`FINE_MINUTES`] to buckets of [`COARSE_MINUTES`].
    fn coarsen(&mut self) {
        let newest = self.cells.last().map_or(0, |bucket| bucket.from.0);
        let is_old = |bucket: &TimeBucket| bucket.from.0 + FINE_MINUTES + COARSE_MINUTES <= newest;
        let is_fine = |bucket: &TimeBucket| bucket.span < COARSE_MINUTES;
        if !self.cells.iter().any(|bucket| is_old(bucket) && is_fine(bucket)) {
            return;
        }
        let mut coarse: Vec<TimeBucket> = Vec::with_capacity(self.cells.len());
        for mut bucket in std::mem::take(&mut self.cells) {
            let start = bucket.from.0 - bucket.from.0 % COARSE_MINUTES;
            if start + COARSE_MINUTES + FINE_MINUTES <= newest {
                bucket.from = Minute(start);
                bucket.span = COARSE_MINUTES;
            }
            match coarse.last_mut() {
                Some(last) if last.from == bucket.from => {
                    last.good += bucket.good;
                    last.bad += bucket.bad;
                }
                _ => coarse.push(bucket),
            }
        }
        self.cells = coarse;
    }
}
