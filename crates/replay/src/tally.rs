//! Usage accounting: books, collectors and the platform under lost, repeated and crossed messages, lost
//! answers of updates, two collectors at once, and restarts.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::{
    platform::{UpdateResult, Version},
    report::{Counts, Day, Minute, TallyReport},
};
use serde::Deserialize;
use serde_json::Value;
use tally::{
    collector::{Collector, CollectorEffect, CollectorEvent},
    ledger::{DayLedger, Source},
    recorder::UsageRecorder,
};

/// VMs of a world.
pub const VMS: usize = 3;
/// Collectors of a world.
pub const COLLECTORS: usize = 2;

const FIRST_MINUTE: u64 = 30_000_000;
const MINUTES_PER_DAY: u64 = 1_440;
/// Rounds after which everything is stored that can be.
const SETTLING_ROUNDS: usize = 4;

/// What happens to a message or an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// It arrives, and so does its answer.
    Done,
    /// It is lost.
    Lost,
    /// It arrives, and its answer is lost.
    AnswerLost,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Step {
    /// Requests end on a VM.
    Count {
        /// The VM.
        vm: usize,
        /// The workspace.
        workspace: usize,
        /// Requests answered in time.
        good: u64,
        /// Requests answered late or failed by the system.
        bad: u64,
    },
    /// Minutes pass on every wall clock.
    Pass {
        /// How many.
        minutes: u64,
    },
    /// A VM reports to a collector.
    Report {
        /// The VM.
        vm: usize,
        /// The collector.
        to: usize,
        /// What becomes of the message.
        fate: Delivery,
    },
    /// A report that was sent earlier arrives once more.
    Again {
        /// Which, in the order of sending.
        report: usize,
        /// The collector.
        to: usize,
    },
    /// A collector begins to store.
    Tick {
        /// The collector.
        collector: usize,
    },
    /// A collector's next call to the platform comes to its end.
    Call {
        /// The collector.
        collector: usize,
        /// What becomes of the call.
        fate: Delivery,
    },
    /// A VM is replaced by a new run of it.
    Restart {
        /// The VM.
        vm: usize,
    },
    /// A collector is replaced by a new one.
    Replace {
        /// The collector.
        collector: usize,
    },
    /// Every running VM reports to the first collector, and everything is stored.
    Settle,
    /// States how many requests of a VM's run are stored.
    Stored {
        /// The VM.
        vm: usize,
        /// Which run of it, from zero.
        run: u64,
        /// How many requests.
        requests: u64,
    },
}

#[derive(Default)]
struct Vm {
    incarnation: u64,
    recorder: UsageRecorder,
}

#[derive(Default)]
struct CollectorNode {
    collector: Collector,
    calls: Vec<CollectorEffect>,
}

/// What the oracle knows of one run of a VM.
#[derive(Clone, Copy, Default)]
struct OracleCounts {
    counted: u64,
    /// What had been counted when the last report was made that is known to be stored.
    known_stored: u64,
}

/// Books, collectors and the platform in virtual time, with an oracle that knows every count.
pub struct World {
    minute: u64,
    vms: Vec<Vm>,
    collectors: Vec<CollectorNode>,
    objects: BTreeMap<Day, (Version, Value)>,
    sent_reports: Vec<(Source, TallyReport)>,
    oracle: BTreeMap<Source, OracleCounts>,
    counted_at_report: BTreeMap<(Source, u64), u64>,
}

/// What is stored: requests of each source, and requests that count, by counts and by cells.
#[derive(Default)]
struct StoredCounts {
    by_source: BTreeMap<String, u64>,
    total: u64,
    in_buckets: u64,
}

fn source(vm: usize, run: u64) -> Source {
    let vm = VmName::new(format!("vm{vm}")).expect("a name");
    Source { vm, incarnation: Incarnation(run) }
}

fn workspace(number: usize) -> WorkspaceName {
    WorkspaceName::new(format!("w{number}")).expect("a name")
}

impl World {
    /// A world in which nothing was counted.
    pub fn new() -> World {
        World {
            minute: FIRST_MINUTE,
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            collectors: (0..COLLECTORS).map(|_| CollectorNode::default()).collect(),
            objects: BTreeMap::new(),
            sent_reports: Vec::new(),
            oracle: BTreeMap::new(),
            counted_at_report: BTreeMap::new(),
        }
    }

    fn source(&self, vm: usize) -> Source {
        source(vm, self.vms[vm].incarnation)
    }

    fn stored_of(&self, source: &Source) -> u64 {
        self.stored().by_source.get(&source.key()).copied().unwrap_or(0)
    }

    /// What holds at any time: nothing is stored twice, and cells sum up to counts.
    fn check(&self) -> Result<(), String> {
        let stored = self.stored();
        for (source, counts) in &self.oracle {
            let found = stored.by_source.get(&source.key()).copied().unwrap_or(0);
            if found > counts.counted {
                return Err(format!(
                    "{found} of {} requests of {} are stored",
                    counts.counted,
                    source.key()
                ));
            }
        }
        match stored.total == stored.in_buckets {
            true => Ok(()),
            false => Err(format!("cells have {}, counts {}", stored.in_buckets, stored.total)),
        }
    }

    /// What holds once everything is settled: running VMs have lost nothing, and those that are gone at
    /// most what they did not know to be stored.
    pub fn check_settled(&self) -> Result<(), String> {
        let running: Vec<Source> = (0..VMS).map(|vm| self.source(vm)).collect();
        for (source, counts) in &self.oracle {
            let stored = self.stored_of(source);
            let least = if running.contains(source) { counts.counted } else { counts.known_stored };
            if stored < least {
                return Err(format!(
                    "{stored} requests of {} are stored, not {least}",
                    source.key()
                ));
            }
        }
        match self.vms.iter().any(|vm| vm.recorder.has_unstored()) {
            true => Err("a VM does not know that its counts are stored".to_owned()),
            false => Ok(()),
        }
    }

    /// Lets a step happen. An error names a statement that does not hold.
    pub fn apply(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Count { vm, workspace: number, good, bad } => {
                let counts = Counts { requests: good + bad, weight: good, good, bad };
                let day = Day((self.minute / MINUTES_PER_DAY) as i32);
                let minute = Minute(self.minute);
                self.oracle.entry(self.source(vm)).or_default().counted += counts.requests;
                self.vms[vm].recorder.record(&workspace(number), day, minute, counts);
            }
            Step::Pass { minutes } => self.minute += minutes,
            Step::Report { vm, to, fate } => self.report(vm, to, fate),
            Step::Again { report, to } => {
                if let Some((source, report)) =
                    self.sent_reports.get(report % self.sent_reports.len().max(1))
                {
                    let event =
                        CollectorEvent::Report { source: source.clone(), report: report.clone() };
                    self.handle_at_collector(to, event);
                }
            }
            Step::Tick { collector } => self.handle_at_collector(collector, CollectorEvent::Tick),
            Step::Call { collector, fate } => self.call(collector, fate),
            Step::Restart { vm } => {
                let incarnation = self.vms[vm].incarnation + 1;
                self.vms[vm] = Vm { incarnation, recorder: UsageRecorder::default() };
            }
            Step::Replace { collector } => self.collectors[collector] = CollectorNode::default(),
            Step::Settle => self.settle(),
            Step::Stored { vm, run, requests } => {
                let stored = self.stored_of(&source(vm, run));
                if stored != requests {
                    return Err(format!("{stored} requests of run {run} of VM {vm} are stored"));
                }
            }
        }
        self.check()
    }

    fn report(&mut self, vm: usize, to: usize, fate: Delivery) {
        let source = self.source(vm);
        let report = self.vms[vm].recorder.report();
        let counted = self.oracle.entry(source.clone()).or_default().counted;
        self.counted_at_report.insert((source.clone(), report.number), counted);
        self.sent_reports.push((source.clone(), report.clone()));
        if matches!(fate, Delivery::Lost) {
            return;
        }
        self.handle_at_collector(to, CollectorEvent::Report { source: source.clone(), report });
        if matches!(fate, Delivery::Done) {
            let stored = self.collectors[to].collector.stored(&source);
            self.vms[vm].recorder.mark_stored(stored);
            let counted =
                self.counted_at_report.get(&(source.clone(), stored)).copied().unwrap_or(0);
            let counts = self.oracle.entry(source).or_default();
            counts.known_stored = counted.max(counts.known_stored);
        }
    }

    fn handle_at_collector(&mut self, node: usize, event: CollectorEvent) {
        let calls = self.collectors[node].collector.handle(event);
        self.collectors[node].calls.extend(calls);
    }

    fn call(&mut self, node: usize, fate: Delivery) {
        if self.collectors[node].calls.is_empty() {
            return;
        }
        let call = self.collectors[node].calls.remove(0);
        let lost = !matches!(fate, Delivery::Done);
        let event = match call {
            CollectorEffect::Read { day } if lost => CollectorEvent::NoAnswer { day },
            CollectorEffect::Read { day } => {
                let (version, value) = self.objects.get(&day).cloned().unwrap_or_default();
                CollectorEvent::Read { day, version, value }
            }
            CollectorEffect::Update { day, .. } if matches!(fate, Delivery::Lost) => {
                CollectorEvent::NoAnswer { day }
            }
            CollectorEffect::Update { day, expected, value } => {
                let updated = self.update(day, expected, value);
                match lost {
                    true => CollectorEvent::NoAnswer { day },
                    false => CollectorEvent::Updated { day, updated },
                }
            }
        };
        self.handle_at_collector(node, event);
    }

    fn update(&mut self, day: Day, expected: Version, value: Value) -> UpdateResult {
        let (version, _) = self.objects.get(&day).cloned().unwrap_or_default();
        if version != expected {
            return UpdateResult::Conflict { version };
        }
        let version = Version(version.0 + 1);
        self.objects.insert(day, (version, value));
        UpdateResult::Done { version }
    }

    fn stored(&self) -> StoredCounts {
        let mut stored = StoredCounts::default();
        for (_, value) in self.objects.values() {
            let ledger: DayLedger = serde_json::from_value(value.clone()).unwrap_or_default();
            for workspace in ledger.workspaces.values() {
                for (source, counts) in &workspace.by_source {
                    *stored.by_source.entry(source.clone()).or_default() += counts.requests;
                }
                stored.total += workspace.total().good + workspace.total().bad;
                stored.in_buckets +=
                    workspace.cells.iter().map(|cell| cell.good + cell.bad).sum::<u64>();
            }
        }
        stored
    }

    /// Every running VM reports, and everything is stored.
    fn settle(&mut self) {
        for _ in 0..SETTLING_ROUNDS {
            for vm in 0..VMS {
                self.report(vm, 0, Delivery::Done);
            }
            self.handle_at_collector(0, CollectorEvent::Tick);
            while !self.collectors[0].calls.is_empty() {
                self.call(0, Delivery::Done);
            }
        }
    }
}

impl Default for World {
    fn default() -> World {
        World::new()
    }
}
