//! Merges the usage reports of a data centre's VMs into the platform's objects by conditional
//! updates.
//!
//! Any VM can collect at any time. Two collectors at once do no harm, since two values of a count
//! merge to the greater one. A collector that stops loses no counts: each VM keeps its own until it
//! learns that they are stored.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::{
    platform::{UpdateResult, Version},
    report::{Counts, Day, Minute, Snapshot, TallyReport},
};
use serde_json::Value;

use crate::ledger::{DayLedger, Source};

/// Conflicts of an update that are retried within a round.
const CONFLICTS_MAX: u32 = 3;
/// Maximum number of days whose stored ledgers are cached.
const DAYS_CACHED: usize = 3;

/// An event that a collector handles.
#[derive(Clone, Debug)]
pub enum CollectorEvent {
    /// A VM sent a report.
    Report {
        /// The VM and incarnation that counted.
        source: Source,
        /// The counts that are not known to be stored.
        report: TallyReport,
    },
    /// A round is due, which stores everything reported so far.
    Tick,
    /// The object of a day was read.
    Read {
        /// The business day of the object.
        day: Day,
        /// Version of the object.
        version: Version,
        /// Value of the object; null if it doesn't exist.
        value: Value,
    },
    /// The platform answered an update.
    Updated {
        /// The business day of the object.
        day: Day,
        /// Whether the update was done or conflicted with another one.
        updated: UpdateResult,
    },
    /// The platform didn't answer. If the request was an update, it may have taken effect.
    NoAnswer {
        /// The business day of the object.
        day: Day,
    },
}

/// A request to the platform that a collector wants to be made.
#[derive(Clone, Debug, PartialEq)]
pub enum CollectorEffect {
    /// Read the object of a day.
    Read {
        /// The business day of the object.
        day: Day,
    },
    /// Replace the object of a day if its version is still the expected one.
    Update {
        /// The business day of the object.
        day: Day,
        /// Version of the object to replace.
        expected: Version,
        /// New value of the object.
        value: Value,
    },
}

type Minutes = BTreeMap<Minute, BTreeMap<WorkspaceName, Counts>>;
type Reported = BTreeMap<Source, Minutes>;

/// The part of a round that concerns one day's object.
#[derive(Debug)]
struct DayUpdate {
    /// Reported counts to merge.
    reported: Reported,
    /// The ledger of the update that was last sent.
    ledger: DayLedger,
    /// Number of conflicts in this round.
    conflicts: u32,
}

/// A round: stores everything that had been reported when it began.
#[derive(Debug)]
struct Round {
    /// Last report of each source when the round began. It is stored once the round succeeds.
    report_numbers: FxHashMap<Source, u64>,
    /// Updates that are not done.
    updates: BTreeMap<Day, DayUpdate>,
    /// Whether an update was given up, so that the reports don't count as stored.
    failed: bool,
}

/// The state machine that merges reports into the platform's objects, one round at a time.
#[derive(Debug, Default)]
pub struct Collector {
    /// Reported counts that the next round stores.
    pending: BTreeMap<Day, Reported>,
    /// Number of the last report received from each source.
    last_received: FxHashMap<Source, u64>,
    /// Number of the last report of each source whose counts are stored.
    last_stored: FxHashMap<Source, u64>,
    /// Ledgers as this collector last stored them, which saves reading the objects again.
    cached: BTreeMap<Day, (Version, DayLedger)>,
    round: Option<Round>,
}

impl Collector {
    /// Number of the last report of the source whose counts are stored, with all earlier ones; zero
    /// if there is none.
    pub fn stored(&self, source: &Source) -> u64 {
        self.last_stored.get(source).copied().unwrap_or(0)
    }

    /// Whether all reported counts are stored.
    pub fn is_idle(&self) -> bool {
        self.round.is_none() && self.pending.is_empty()
    }

    /// Handles an event and returns the requests to make.
    pub fn handle(&mut self, event: CollectorEvent) -> Vec<CollectorEffect> {
        match event {
            CollectorEvent::Report { source, report } => {
                self.add_report(source, report);
                Vec::new()
            }
            CollectorEvent::Tick => self.begin_round(),
            CollectorEvent::Read { day, version, value } => self.handle_read(day, version, value),
            CollectorEvent::Updated { day, updated: UpdateResult::Done { version } } => {
                self.finish_day(day, version)
            }
            CollectorEvent::Updated { day, updated: UpdateResult::Conflict { .. } } => {
                self.retry_day(day)
            }
            CollectorEvent::NoAnswer { day } => self.fail_day(day),
        }
    }

    fn add_report(&mut self, source: Source, report: TallyReport) {
        self.forget_older_incarnations(&source);
        for snapshot in report.snapshots {
            let reported = self.pending.entry(snapshot.day).or_default();
            add(reported.entry(source.clone()).or_default(), snapshot);
        }
        let last_received = self.last_received.entry(source).or_default();
        *last_received = report.number.max(*last_received);
    }

    fn forget_older_incarnations(&mut self, source: &Source) {
        let is_older =
            |other: &Source| other.vm == source.vm && other.incarnation < source.incarnation;
        self.last_received.retain(|other, _| !is_older(other));
        self.last_stored.retain(|other, _| !is_older(other));
    }

    fn begin_round(&mut self) -> Vec<CollectorEffect> {
        if self.round.is_some() || self.pending.is_empty() {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.pending);
        let days: Vec<Day> = pending.keys().copied().collect();
        let new_update =
            |reported| DayUpdate { reported, ledger: DayLedger::default(), conflicts: 0 };
        let updates = pending.into_iter().map(|(day, reported)| (day, new_update(reported)));
        self.round = Some(Round {
            report_numbers: self.last_received.clone(),
            updates: updates.collect(),
            failed: false,
        });
        days.into_iter().filter_map(|day| self.start_day(day)).collect()
    }

    fn start_day(&mut self, day: Day) -> Option<CollectorEffect> {
        match self.cached.remove(&day) {
            Some((version, ledger)) => self.update(day, version, ledger),
            None => Some(CollectorEffect::Read { day }),
        }
    }

    fn update(
        &mut self,
        day: Day,
        expected: Version,
        mut ledger: DayLedger,
    ) -> Option<CollectorEffect> {
        let update = self.round.as_mut()?.updates.get_mut(&day)?;
        for (source, minutes) in &update.reported {
            for snapshot in snapshots(day, minutes) {
                ledger.apply(source, &snapshot);
            }
        }
        update.ledger = ledger;
        let value = serde_json::to_value(&update.ledger).ok()?;
        Some(CollectorEffect::Update { day, expected, value })
    }

    fn handle_read(&mut self, day: Day, version: Version, value: Value) -> Vec<CollectorEffect> {
        let ledger = match value {
            Value::Null => Ok(DayLedger::default()),
            value => serde_json::from_value(value),
        };
        match ledger {
            Ok(ledger) => self.update(day, version, ledger).into_iter().collect(),
            // Another release wrote the object. The counts stay pending until it can be decoded.
            Err(_) => self.fail_day(day),
        }
    }

    fn retry_day(&mut self, day: Day) -> Vec<CollectorEffect> {
        let update = self.round.as_mut().and_then(|round| round.updates.get_mut(&day));
        match update {
            Some(update) if update.conflicts < CONFLICTS_MAX => {
                update.conflicts += 1;
                vec![CollectorEffect::Read { day }]
            }
            _ => self.fail_day(day),
        }
    }

    fn finish_day(&mut self, day: Day, version: Version) -> Vec<CollectorEffect> {
        let Some(update) = self.round.as_mut().and_then(|round| round.updates.remove(&day)) else {
            return Vec::new();
        };
        self.cached.insert(day, (version, update.ledger));
        while self.cached.len() > DAYS_CACHED {
            self.cached.pop_first();
        }
        self.end_round();
        Vec::new()
    }

    fn fail_day(&mut self, day: Day) -> Vec<CollectorEffect> {
        let Some(round) = &mut self.round else {
            return Vec::new();
        };
        round.failed = true;
        if let Some(update) = round.updates.remove(&day) {
            let pending = self.pending.entry(day).or_default();
            for (source, minutes) in update.reported {
                let known = pending.entry(source).or_default();
                for snapshot in snapshots(day, &minutes) {
                    add(known, snapshot);
                }
            }
        }
        self.end_round();
        Vec::new()
    }

    fn end_round(&mut self) {
        let ended = self.round.as_ref().is_some_and(|round| round.updates.is_empty());
        let Some(round) = self.round.take_if(|_| ended) else {
            return;
        };
        if round.failed {
            return;
        }
        for (source, number) in round.report_numbers {
            let stored = self.last_stored.entry(source).or_default();
            *stored = number.max(*stored);
        }
    }
}

/// Merges a snapshot into the reported counts of its source.
fn add(minutes: &mut Minutes, snapshot: Snapshot) {
    let known = minutes.entry(snapshot.minute).or_default();
    for (workspace, counts) in snapshot.totals {
        let total = known.entry(workspace).or_default();
        *total = total.max(counts);
    }
}

fn snapshots(day: Day, minutes: &Minutes) -> impl Iterator<Item = Snapshot> {
    minutes.iter().map(move |(minute, totals)| Snapshot {
        day,
        minute: *minute,
        totals: totals.iter().map(|(workspace, counts)| (workspace.clone(), *counts)).collect(),
    })
}
