//! Books, collectors and the platform under lost, repeated, late and crossed messages, lost answers of
//! updates, two collectors at once, and restarts; in virtual time.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::{
    platform::{Updated, Version},
    report::{Counts, Day, Minute, TallyReport},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::Value;
use tally::{
    book::Book,
    collector::{Collector, CollectorEffect, CollectorEvent},
    ledger::{DayLedger, Source},
};

const VMS: usize = 3;
const COLLECTORS: usize = 2;
const SEED: u64 = 23;
const TESTS: u64 = 1_500;

/// What happens to a message or an update.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    Lost,
    AnswerLost,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Requests end on a VM.
    Count { vm: usize, workspace: usize, good: u64, bad: u64 },
    /// A minute passes.
    Minute,
    /// A VM reports to a collector.
    Report { vm: usize, to: usize, fate: Fate },
    /// A report that was sent earlier arrives once more.
    Again { report: usize, to: usize },
    /// A collector begins to store.
    Tick { collector: usize },
    /// A collector's next call to the platform comes to its end.
    Call { collector: usize, fate: Fate },
    /// A VM is replaced by a new run of it.
    Restart { vm: usize },
    /// A collector is replaced by a new one.
    Replace { collector: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (vm, to) = (usize::arbitrary(g) % VMS, usize::arbitrary(g) % COLLECTORS);
        let fate =
            *g.choose(&[Fate::Done, Fate::Done, Fate::Lost, Fate::AnswerLost]).expect("some");
        match u8::arbitrary(g) % 16 {
            0..4 => Step::Count {
                vm,
                workspace: usize::arbitrary(g) % 2,
                good: u64::arbitrary(g) % 5,
                bad: u64::arbitrary(g) % 2,
            },
            4 => Step::Minute,
            5..8 => Step::Report { vm, to, fate },
            8 => Step::Again { report: usize::arbitrary(g), to },
            9..11 => Step::Tick { collector: to },
            11..14 => Step::Call { collector: to, fate },
            14 => Step::Restart { vm },
            _ => Step::Replace { collector: to },
        }
    }
}

#[derive(Default)]
struct Vm {
    incarnation: u64,
    book: Book,
}

#[derive(Default)]
struct Node {
    collector: Collector,
    calls: Vec<CollectorEffect>,
}

/// What the oracle knows of one run of a VM.
#[derive(Clone, Copy, Default)]
struct Truth {
    counted: u64,
    /// What had been counted when the last report was made that is known to be stored.
    known_stored: u64,
}

struct World {
    minute: u64,
    vms: Vec<Vm>,
    nodes: Vec<Node>,
    objects: BTreeMap<Day, (Version, Value)>,
    sent: Vec<(Source, TallyReport)>,
    truth: BTreeMap<Source, Truth>,
    counted_at: BTreeMap<(Source, u64), u64>,
}

fn workspace(number: usize) -> WorkspaceName {
    WorkspaceName::new(format!("w{number}")).expect("a name")
}

impl World {
    fn new() -> World {
        World {
            minute: 30_000_000,
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            nodes: (0..COLLECTORS).map(|_| Node::default()).collect(),
            objects: BTreeMap::new(),
            sent: Vec::new(),
            truth: BTreeMap::new(),
            counted_at: BTreeMap::new(),
        }
    }

    fn source(&self, vm: usize) -> Source {
        let name = VmName::new(format!("vm{vm}")).expect("a name");
        Source { vm: name, incarnation: Incarnation(self.vms[vm].incarnation) }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Count { vm, workspace: number, good, bad } => {
                let counts = Counts { requests: good + bad, weight: good, good, bad };
                let day = Day((self.minute / 1_440) as i32);
                let minute = Minute(self.minute);
                self.truth.entry(self.source(vm)).or_default().counted += counts.requests;
                self.vms[vm].book.record(&workspace(number), day, minute, counts);
            }
            // Some steps pass midnight.
            Step::Minute => self.minute += 337,
            Step::Report { vm, to, fate } => self.report(vm, to, fate),
            Step::Again { report, to } => {
                if let Some((source, report)) = self.sent.get(report % self.sent.len().max(1)) {
                    let event =
                        CollectorEvent::Report { source: source.clone(), report: report.clone() };
                    self.feed(to, event);
                }
            }
            Step::Tick { collector } => self.feed(collector, CollectorEvent::Tick),
            Step::Call { collector, fate } => self.call(collector, fate),
            Step::Restart { vm } => {
                let incarnation = self.vms[vm].incarnation + 1;
                self.vms[vm] = Vm { incarnation, book: Book::default() };
            }
            Step::Replace { collector } => self.nodes[collector] = Node::default(),
        }
    }

    fn report(&mut self, vm: usize, to: usize, fate: Fate) {
        let source = self.source(vm);
        let report = self.vms[vm].book.report();
        let counted = self.truth.entry(source.clone()).or_default().counted;
        self.counted_at.insert((source.clone(), report.number), counted);
        self.sent.push((source.clone(), report.clone()));
        if matches!(fate, Fate::Lost) {
            return;
        }
        self.feed(to, CollectorEvent::Report { source: source.clone(), report });
        if matches!(fate, Fate::Done) {
            let stored = self.nodes[to].collector.stored(&source);
            self.vms[vm].book.stored(stored);
            let counted = self.counted_at.get(&(source.clone(), stored)).copied().unwrap_or(0);
            let truth = self.truth.entry(source).or_default();
            truth.known_stored = counted.max(truth.known_stored);
        }
    }

    fn feed(&mut self, node: usize, event: CollectorEvent) {
        let calls = self.nodes[node].collector.handle(event);
        self.nodes[node].calls.extend(calls);
    }

    fn call(&mut self, node: usize, fate: Fate) {
        if self.nodes[node].calls.is_empty() {
            return;
        }
        let call = self.nodes[node].calls.remove(0);
        let lost = !matches!(fate, Fate::Done);
        let event = match call {
            CollectorEffect::Read { day } if lost => CollectorEvent::NoAnswer { day },
            CollectorEffect::Read { day } => {
                let (version, value) = self.objects.get(&day).cloned().unwrap_or_default();
                CollectorEvent::Read { day, version, value }
            }
            CollectorEffect::Update { day, .. } if matches!(fate, Fate::Lost) => {
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
        self.feed(node, event);
    }

    fn update(&mut self, day: Day, expected: Version, value: Value) -> Updated {
        let (version, _) = self.objects.get(&day).cloned().unwrap_or_default();
        if version != expected {
            return Updated::Conflict { version };
        }
        let version = Version(version.0 + 1);
        self.objects.insert(day, (version, value));
        Updated::Done { version }
    }

    /// What is stored of each source, and of requests with an end that counts, by cells.
    fn stored(&self) -> (BTreeMap<String, u64>, u64, u64) {
        let (mut by_source, mut total, mut in_cells) = (BTreeMap::new(), 0, 0);
        for (_, value) in self.objects.values() {
            let ledger: DayLedger = serde_json::from_value(value.clone()).expect("a ledger");
            for workspace in ledger.workspaces.values() {
                for (source, counts) in &workspace.by_source {
                    *by_source.entry(source.clone()).or_default() += counts.requests;
                }
                total += workspace.total().good + workspace.total().bad;
                in_cells += workspace.cells.iter().map(|cell| cell.good + cell.bad).sum::<u64>();
            }
        }
        (by_source, total, in_cells)
    }

    /// Every running VM reports, and everything is stored.
    fn settle(&mut self) {
        for _ in 0..4 {
            for vm in 0..VMS {
                self.report(vm, 0, Fate::Done);
            }
            self.feed(0, CollectorEvent::Tick);
            while !self.nodes[0].calls.is_empty() {
                self.call(0, Fate::Done);
            }
        }
    }
}

/// Whether no count is ever stored twice, none of a running VM is lost, and a VM that went loses no
/// more than what it counted after the last report that it knew to be stored.
fn counts_are_exact(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in steps {
        world.step(step);
        let (by_source, total, in_cells) = world.stored();
        let truth = |source: &Source| world.truth[source].counted;
        let within =
            world.truth.keys().all(|s| by_source.get(&s.key()).copied().unwrap_or(0) <= truth(s));
        if !within || total != in_cells {
            return false;
        }
    }
    world.settle();
    let (by_source, total, in_cells) = world.stored();
    let running: Vec<Source> = (0..VMS).map(|vm| world.source(vm)).collect();
    let exact = world.truth.iter().all(|(source, truth)| {
        let stored = by_source.get(&source.key()).copied().unwrap_or(0);
        match running.contains(source) {
            true => stored == truth.counted,
            false => (truth.known_stored..=truth.counted).contains(&stored),
        }
    });
    exact
        && total == in_cells
        && running.iter().enumerate().all(|(vm, _)| !world.vms[vm].book.has_unstored())
}

#[test]
fn collector_stores_each_count_once_under_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(TESTS)
        .quickcheck(counts_are_exact as fn(Vec<Step>) -> bool);
}

#[test]
fn collector_resolves_a_lost_answer_without_counting_twice() {
    let mut world = World::new();
    let count = Step::Count { vm: 0, workspace: 0, good: 3, bad: 1 };
    for step in [
        count,
        Step::Report { vm: 0, to: 0, fate: Fate::Done },
        Step::Tick { collector: 0 },
        Step::Call { collector: 0, fate: Fate::Done },
        Step::Call { collector: 0, fate: Fate::AnswerLost },
        Step::Tick { collector: 0 },
        Step::Call { collector: 0, fate: Fate::Done },
        Step::Call { collector: 0, fate: Fate::Done },
    ] {
        world.step(step);
    }
    assert_eq!(world.stored().0["vm0.0"], 4);
    assert!(world.nodes[0].collector.is_idle());
}

#[test]
fn collector_keeps_the_report_of_a_lost_vm_through_an_outage() {
    let mut world = World::new();
    let lost = Step::Call { collector: 0, fate: Fate::Lost };
    let tick = Step::Tick { collector: 0 };
    for step in [
        Step::Count { vm: 0, workspace: 0, good: 3, bad: 1 },
        Step::Report { vm: 0, to: 0, fate: Fate::Done },
        tick,
        lost,
        tick,
        lost,
        Step::Restart { vm: 0 },
    ] {
        world.step(step);
    }
    world.settle();
    assert_eq!(world.stored().0["vm0.0"], 4);
}

#[test]
fn collector_calls_the_platform_once_a_round_however_many_vms_report() {
    for vms in [1, 9, 400] {
        let mut collector = Collector::default();
        let mut calls = 0;
        for round in 1..=10 {
            for vm in 0..vms {
                let name = VmName::new(format!("vm{vm}")).expect("a name");
                let mut book = Book::default();
                let counts = Counts { requests: round, weight: round, good: round, bad: 0 };
                book.record(&workspace(0), Day(1), Minute(round), counts);
                let source = Source { vm: name, incarnation: Incarnation(1) };
                let report = TallyReport { number: round, ..book.report() };
                collector.handle(CollectorEvent::Report { source, report });
            }
            let mut effects = collector.handle(CollectorEvent::Tick);
            while let Some(effect) = effects.pop() {
                calls += 1;
                let event = match effect {
                    CollectorEffect::Read { day } => {
                        CollectorEvent::Read { day, version: Version(0), value: Value::Null }
                    }
                    CollectorEffect::Update { day, expected, .. } => {
                        let version = Version(expected.0 + 1);
                        CollectorEvent::Updated { day, updated: Updated::Done { version } }
                    }
                };
                effects.extend(collector.handle(event));
            }
        }
        assert_eq!(calls, 11, "{vms} VMs: one read, then an update a round");
    }
}
