//! What a data centre counted on one business day: the value of an object on the platform.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{Counts, Day, Minute, Snapshot};
use serde::{Deserialize, Serialize};

/// Minutes that are kept apart; older ones are taken together to cells of [`COARSE_MINUTES`].
pub const FINE_MINUTES: u64 = 90;
/// Length of the cells of older minutes.
pub const COARSE_MINUTES: u64 = 10;

/// Who counted: one incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// The VM.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

impl Source {
    /// The source as a key of a JSON object.
    pub fn key(&self) -> String {
        format!("{}.{}", self.vm, self.incarnation.0)
    }
}

/// Requests answered well and badly in some minutes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct TimeBucket {
    /// The first of the minutes.
    pub from: Minute,
    /// How many minutes.
    pub span: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late or failed by the system.
    pub bad: u64,
}

impl From<(u64, u64, u64, u64)> for TimeBucket {
    fn from((from, span, good, bad): (u64, u64, u64, u64)) -> TimeBucket {
        TimeBucket { from: Minute(from), span, good, bad }
    }
}

impl From<TimeBucket> for (u64, u64, u64, u64) {
    fn from(cell: TimeBucket) -> (u64, u64, u64, u64) {
        (cell.from.0, cell.span, cell.good, cell.bad)
    }
}

/// What was counted for one workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLedger {
    /// The running counts of each source.
    pub by_source: BTreeMap<String, Counts>,
    /// When requests were answered well and badly, in the order of time.
    pub cells: Vec<TimeBucket>,
}

/// What a data centre counted on one business day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DayLedger {
    /// Each workspace.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceLedger>,
}

/// Name of the object that holds a data centre's counts of a day.
pub fn object_name(dc: &DcName, day: Day) -> String {
    format!("tally/{dc}/{}", crate::day::format(day))
}

impl DayLedger {
    /// Merges what a source reported. What the ledger has already changes nothing.
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

    /// The counts of the workspace from all sources.
    pub fn total(&self, workspace: &WorkspaceName) -> Counts {
        self.workspaces.get(workspace).map(WorkspaceLedger::total).unwrap_or_default()
    }
}

impl WorkspaceLedger {
    /// The counts from all sources.
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
        let at = self.cells.partition_point(|cell| cell.from.0 + cell.span <= minute.0);
        let covers = self.cells.get(at).is_some_and(|cell| cell.from <= minute);
        if !covers {
            self.cells.insert(at, TimeBucket { from: minute, span: 1, ..TimeBucket::default() });
        }
        self.cells[at].good += added.good;
        self.cells[at].bad += added.bad;
    }

    fn coarsen(&mut self) {
        let newest = self.cells.last().map_or(0, |cell| cell.from.0);
        let is_old = |cell: &TimeBucket| cell.from.0 + FINE_MINUTES + COARSE_MINUTES <= newest;
        let is_fine = |cell: &TimeBucket| cell.span < COARSE_MINUTES;
        if !self.cells.iter().any(|cell| is_old(cell) && is_fine(cell)) {
            return;
        }
        let mut coarse: Vec<TimeBucket> = Vec::with_capacity(self.cells.len());
        for mut cell in std::mem::take(&mut self.cells) {
            let start = cell.from.0 - cell.from.0 % COARSE_MINUTES;
            if start + COARSE_MINUTES + FINE_MINUTES <= newest {
                cell.from = Minute(start);
                cell.span = COARSE_MINUTES;
            }
            match coarse.last_mut() {
                Some(last) if last.from == cell.from => {
                    last.good += cell.good;
                    last.bad += cell.bad;
                }
                _ => coarse.push(cell),
            }
        }
        self.cells = coarse;
    }
}
