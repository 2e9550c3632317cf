//! Replays traces of usage accounting: VMs count requests and report them to collectors, which store
//! them on the platform. The traces have lost, repeated and reordered messages, lost answers to updates,
//! two collectors at once, and restarts. Checks that each count is stored exactly once.

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

/// Number of simulated VMs.
pub const VMS: usize = 3;
/// Number of simulated collectors.
pub const COLLECTORS: usize = 2;

const FIRST_MINUTE: u64 = 30_000_000;
const MINUTES_PER_DAY: u64 = 1_440;
/// Rounds of reports and updates after which everything is stored.
const SETTLING_ROUNDS: usize = 4;

/// Whether a message or call, and the answer to it, arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// The message arrives, and so does the answer.
    Done,
    /// The message is lost.
    Lost,
    /// The message arrives, and the answer is lost.
    AnswerLost,
}

/// An event of a trace, or an expectation. VMs, workspaces and collectors are numbered from zero.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Step {
    /// Counts finished requests on a VM.
    Count {
        /// Number of the VM.
        vm: usize,
        /// Number of the workspace.
        workspace: usize,
        /// Count of requests answered in time.
        good: u64,
        /// Count of requests that were answered late or that the system failed.
        bad: u64,
    },
    /// Advances every wall clock.
    Pass {
        /// Minutes to advance.
        minutes: u64,
    },
    /// Sends a VM's report to a collector.
    Report {
        /// Number of the VM.
        vm: usize,
        /// Number of the collector.
        to: usize,
        /// Whether the report and the answer arrive.
        fate: Delivery,
    },
    /// Delivers an earlier report again.
    Again {
        /// Number of the report in the order of sending, from zero; wraps around at the number sent.
        report: usize,
        /// Number of the collector.
        to: usize,
    },
    /// Lets a collector begin to store what it collected.
    Tick {
        /// Number of the collector.
        collector: usize,
    },
    /// Completes a collector's next call to the platform.
    Call {
        /// Number of the collector.
        collector: usize,
        /// Whether the call and the answer arrive.
        fate: Delivery,
    },
    /// Restarts a VM under a new incarnation; counts that it has not reported are lost.
    Restart {
        /// Number of the VM.
        vm: usize,
    },
    /// Replaces a collector by a new one without state.
    Replace {
        /// Number of the collector.
        collector: usize,
    },
    /// Lets every running VM report to the first collector until everything is stored.
    Settle,
    /// Expects how many requests of a VM's incarnation are stored.
    Stored {
        /// Number of the VM.
        vm: usize,
        /// Incarnation of the VM, from zero.
        run: u64,
        /// Expected number of requests.
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

/// Exact counts of one VM incarnation, kept by the simulation.
#[derive(Clone, Copy, Default)]
struct OracleCounts {
    /// Requests counted so far.
    counted: u64,
    /// Requests counted up to the last report that the VM knows to be stored.
    known_stored: u64,
}

/// Simulated VMs, collectors and platform, with an oracle that knows the exact counts.
pub struct World {
    /// Wall clock, in minutes since the epoch.
    minute: u64,
    vms: Vec<Vm>,
    collectors: Vec<CollectorNode>,
    /// The platform's objects: one ledger for each day.
    objects: BTreeMap<Day, (Version, Value)>,
    sent_reports: Vec<(Source, TallyReport)>,
    oracle: BTreeMap<Source, OracleCounts>,
    /// Requests counted when a report, identified by its source and number, was made.
    counted_at_report: BTreeMap<(Source, u64), u64>,
}

/// Sums over all stored ledgers.
#[derive(Default)]
struct StoredCounts {
    /// Requests of each source, by its key.
    by_source: BTreeMap<String, u64>,
    /// Good and bad requests, summed over sources.
    total: u64,
    /// Good and bad requests, summed over time buckets.
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
    /// Creates a system in which nothing was counted yet.
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

    /// Checks what must hold at any time: no source has more requests stored than counted, and the time
    /// buckets have the same sum as the sources.
    fn check(&self) -> Result<(), String> {
        let stored = self.stored();
        for (source, counts) in &self.oracle {
            let found = stored.by_source.get(&source.key()).copied().unwrap_or(0);
            if found > counts.counted {
                return Err(format!(
                    "{found} requests are stored, but only {} were counted, of {}",
                    counts.counted,
                    source.key()
                ));
            }
        }
        match stored.total == stored.in_buckets {
            true => Ok(()),
            false => Err(format!(
                "time buckets hold {} requests, sources {}",
                stored.in_buckets, stored.total
            )),
        }
    }

    /// Checks what must hold after [`Step::Settle`]: running VMs lost no counts, and ended incarnations
    /// only counts that they did not know to be stored.
    pub fn check_settled(&self) -> Result<(), String> {
        let running: Vec<Source> = (0..VMS).map(|vm| self.source(vm)).collect();
        for (source, counts) in &self.oracle {
            let stored = self.stored_of(source);
            let least = if running.contains(source) { counts.counted } else { counts.known_stored };
            if stored < least {
                return Err(format!(
                    "{stored} requests of {} are stored, expected at least {least}",
                    source.key()
                ));
            }
        }
        match self.vms.iter().any(|vm| vm.recorder.has_unstored()) {
            true => Err("a VM does not know that all its counts are stored".to_owned()),
            false => Ok(()),
        }
    }

    /// Applies an event or checks an expectation, and checks the invariants. The error says what does not
    /// hold.
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
                    return Err(format!(
                        "{stored} requests of incarnation {run} of VM {vm} are stored, expected {requests}"
                    ));
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

    /// Lets every running VM report until everything is stored.
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
