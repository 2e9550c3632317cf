//! The share of reads that leaves the nearest databases: the decision in closed loops with queues as plain numbers,
//! and engines that exchange load reports.

mod world;

use gateway::{
    catalog::Freshness,
    policy::Policy,
    spill::{
        DatabaseLoad, Decision, Level, START_AFTER, STEP_INTERVAL, STEP_MAX, ServiceLoad, Side,
        Spill, mix, pick,
    },
};
use model::prelude::*;
use world::{BOUNDED, Caller, Endpoint, KEY, LATEST, World, database_name, dc, read, write};

/// Time of one step of the simulation, in microseconds.
const STEP_US: u64 = 5_000;
/// Age of what VMs know of a database in their data centre, and of one elsewhere, in steps.
const REPORT_AGE: [usize; 2] = [10, 17];
/// Round trip to a database in the same data centre and elsewhere, in microseconds.
const ROUND_TRIP_US: [f64; 2] = [500.0, 35_000.0];

/// A database: requests that it has not answered, and what it reported at each step.
struct Database {
    slots: u32,
    service_us: f64,
    unanswered: f64,
    reports: Vec<(u32, u32)>,
}

/// How reads choose a database.
#[derive(Clone, Copy, PartialEq)]
enum Chooses {
    /// The one of the data centre.
    Near,
    /// The one with the least time by the VM's own measurements, as without the split.
    LeastEstimate,
    /// By the decision.
    Split,
}

/// Databases, one in each data centre, and VMs that read from them.
struct Loop {
    databases: Vec<Database>,
    /// The data centre of each VM, its reads in a second and its decision.
    vms: Vec<(usize, f64, Spill)>,
    chooses: Chooses,
    /// Measured time of each VM at each database in µs, when it was measured, and statements in progress.
    measured: Vec<Vec<(f64, MonoTime, u32)>>,
    /// Answers to come: when, to which VM, from which database, and the time that it took in µs.
    answers: Vec<(MonoTime, usize, usize, f64)>,
    /// Times of reads in ms: each step's sum and number.
    times: Vec<(f64, u64)>,
    now: MonoTime,
    draws: u64,
}

impl Loop {
    /// `vms` VMs for each data centre, with the sum of their reads in a second.
    fn new(databases: &[(u32, f64)], vms: usize, reads_per_s: &[f64]) -> Loop {
        let new = |(slots, service_us): &(u32, f64)| Database {
            slots: *slots,
            service_us: *service_us,
            unanswered: 0.0,
            reports: vec![(*slots, 0)],
        };
        let of =
            |dc: usize| (0..vms).map(move |_| (dc, reads_per_s[dc] / vms as f64, Spill::default()));
        Loop {
            databases: databases.iter().map(new).collect(),
            vms: (0..databases.len()).flat_map(of).collect(),
            chooses: Chooses::Split,
            measured: vec![vec![(0.0, MonoTime(0), 0); databases.len()]; vms * databases.len()],
            answers: Vec::new(),
            times: Vec::new(),
            now: MonoTime(1_000_000),
            draws: 0,
        }
    }

    fn known(&self, dc: usize, database: usize) -> DatabaseLoad {
        let is_far = usize::from(dc != database);
        let state = &self.databases[database];
        let (free, queued) = state.reports[state.reports.len().saturating_sub(REPORT_AGE[is_far])];
        let (slots, service_us) = (state.slots, state.service_us);
        let round_trip_us = ROUND_TRIP_US[is_far];
        DatabaseLoad { slots, free, queued, service_us, round_trip_us, is_primary: false }
    }

    /// The database that a VM chooses by its own measurements, which lose their weight within 2 s.
    fn least_estimate(&self, vm: usize) -> usize {
        let cost = |database: usize| {
            let (mean, at, running) = self.measured[vm][database];
            let far = usize::from(self.vms[vm].0 != database);
            let assumed = ROUND_TRIP_US[far] + 25_000.0;
            let weight = (-(self.now.since(at).0 as f64) / 2e6).exp();
            let answer =
                if mean > 0.0 { mean * weight + assumed * (1.0 - weight) } else { assumed };
            answer + f64::from(running) / 10.0 * 25_000.0
        };
        let all = 0..self.databases.len();
        all.min_by(|a, b| cost(*a).total_cmp(&cost(*b))).unwrap_or_default()
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        mix(self.draws)
    }

    /// Runs one step. Returns the decision of each VM.
    fn step(&mut self) -> Vec<Decision> {
        self.now = self.now + DurationUs(STEP_US);
        for (_, vm, database, took) in self.answers.extract_if(.., |answer| answer.0 <= self.now) {
            let (mean, at, running) = &mut self.measured[vm][database];
            *mean = if *mean > 0.0 { *mean * 0.8 + took * 0.2 } else { took };
            (*at, *running) = (self.now, *running - 1);
        }
        let mut time = (0.0, 0);
        let mut decisions = Vec::new();
        for vm in 0..self.vms.len() {
            let (dc, reads_per_s, _) = self.vms[vm];
            let known: Vec<DatabaseLoad> =
                (0..self.databases.len()).map(|database| self.known(dc, database)).collect();
            let mut load = ServiceLoad { reads_per_s, ..ServiceLoad::default() };
            for (database, known) in known.iter().enumerate() {
                load.levels[if database == dc { 0 } else { 2 }].add(Some(*known));
            }
            let decision = self.vms[vm].2.decide(&load, self.now);
            decisions.push(decision);
            // The number of reads in a step is random with the right mean.
            let mean = reads_per_s * STEP_US as f64 / 1e6;
            let random = (self.draw() >> 11) as f64 / (1u64 << 53) as f64;
            for _ in 0..(mean.floor() as u64 + u64::from(random < mean.fract())) {
                let seed = self.draw();
                let side = match decision {
                    Decision::Split(split) if self.chooses == Chooses::Split => split.side(seed),
                    _ => Side::Near,
                };
                let weights = known.iter().enumerate().map(|(database, known)| {
                    let usable = database != dc && known.accepts_far_reads();
                    if usable { known.weight() } else { 0.0 }
                });
                let far = pick(&weights.collect::<Vec<_>>(), mix(seed));
                let to = match self.chooses {
                    Chooses::LeastEstimate => self.least_estimate(vm),
                    _ => far.filter(|_| side == Side::Far).unwrap_or(dc),
                };
                let state = &mut self.databases[to];
                let wait = (state.unanswered - f64::from(state.slots)).max(0.0);
                let run = 1.0 + wait / f64::from(state.slots);
                let took = ROUND_TRIP_US[usize::from(to != dc)] + state.service_us * run;
                time = (time.0 + took / 1e3, time.1 + 1);
                self.measured[vm][to].2 += 1;
                self.answers.push((self.now + DurationUs(took as u64), vm, to, took));
                state.unanswered += 1.0;
            }
        }
        for state in &mut self.databases {
            let running = state.unanswered.min(f64::from(state.slots));
            state.unanswered -= running * STEP_US as f64 / state.service_us;
            let running = state.unanswered.min(f64::from(state.slots));
            let queued = state.unanswered - running;
            state.reports.push((state.slots - running.ceil() as u32, queued.round() as u32));
        }
        self.times.push(time);
        decisions
    }

    fn run_s(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000_000 / STEP_US {
            self.step();
        }
    }

    /// Mean time of the reads of the last seconds, in ms.
    fn mean_ms(&self, seconds: u64) -> f64 {
        let steps = (seconds * 1_000_000 / STEP_US) as usize;
        let last = &self.times[self.times.len() - steps..];
        let (sum, count) = last.iter().fold((0.0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        sum / count as f64
    }

    /// Mean share of the VMs of a data centre.
    fn share(&self, dc: usize) -> f64 {
        let shares: Vec<f64> =
            self.vms.iter().filter(|vm| vm.0 == dc).map(|vm| vm.2.share()).collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    }
}

fn load(free: u32, queued: u32) -> DatabaseLoad {
    let (service_us, round_trip_us) = (25_000.0, 500.0);
    DatabaseLoad { slots: 10, free, queued, service_us, round_trip_us, is_primary: false }
}

/// A near and a far database.
fn two(near: DatabaseLoad, far: Option<DatabaseLoad>) -> ServiceLoad {
    let mut load = ServiceLoad { reads_per_s: 100.0, ..ServiceLoad::default() };
    load.levels[0].add(Some(near));
    load.levels[2].add(far.map(|far| DatabaseLoad { round_trip_us: 35_000.0, ..far }));
    load
}

fn share_of(decision: Decision) -> f64 {
    match decision {
        Decision::Split(split) => split.share,
        Decision::Unrestricted => 0.0,
    }
}

/// Guards against reads that leave a data centre whose databases suffice: with 70 % of the capacity in use, each
/// decision leaves the choice as it is.
#[test]
fn near_capacity_suffices_is_unrestricted() {
    // 400 reads a second are the capacity of each database.
    let mut world = Loop::new(&[(10, 25_000.0); 3], 80, &[280.0, 280.0, 280.0]);
    for _ in 0..2_000 {
        let decisions = world.step();
        assert!(decisions.iter().all(|decision| *decision == Decision::Unrestricted));
    }
}

/// Guards against VMs that move together: 80 VMs with the same reports, whose data centre gets 1.75 times what its
/// database can run. Shares settle, no database gets more than 1.5 times the mean, and callers' times fall.
#[test]
fn eighty_vms_three_databases_settle() {
    let run = |chooses: Chooses| {
        let mut world = Loop::new(&[(10, 25_000.0); 3], 80, &[700.0, 100.0, 100.0]);
        world.chooses = chooses;
        world.run_s(8);
        let (mut shares, mut busy, mut queued) = (Vec::new(), [0.0; 3], [0.0; 3]);
        for _ in 0..2_000 {
            world.step();
            shares.push(world.share(0));
            for (database, state) in world.databases.iter().enumerate() {
                busy[database] += state.unanswered.min(10.0) / 2_000.0;
                queued[database] += (state.unanswered - 10.0).max(0.0) / 2_000.0;
            }
        }
        (shares, busy, queued, world.mean_ms(10))
    };
    let (shares, busy, queued, mean_ms) = run(Chooses::Split);
    let mean = busy.iter().sum::<f64>() / 3.0;
    let most = busy.iter().fold(0.0f64, |a, b| a.max(*b));
    assert!(most <= 1.5 * mean, "{busy:?}");
    let middle = shares.iter().sum::<f64>() / shares.len() as f64;
    let variance = shares.iter().map(|share| (share - middle).powi(2)).sum::<f64>();
    let deviation = (variance / shares.len() as f64).sqrt();
    assert!((0.38..=0.5).contains(&middle), "{middle}");
    assert!(deviation <= 0.06, "the share moves by {deviation}");
    assert!(busy[0] >= 9.8, "slots of the near database are idle: {busy:?}");
    assert!(queued[1] <= 0.5 && queued[2] <= 0.5, "far databases are overloaded: {queued:?}");
    let (.., near_only_ms) = run(Chooses::Near);
    // Least estimates keep less of the reads near.
    let (_, least_busy, _, estimate_ms) = run(Chooses::LeastEstimate);
    assert!(mean_ms <= estimate_ms, "{mean_ms} ms, {estimate_ms} ms by least estimates");
    assert!(busy[0] >= least_busy[0] + 1.0, "{busy:?}, {least_busy:?}");
    assert!(mean_ms <= 120.0 && mean_ms * 5.0 < near_only_ms, "{mean_ms} ms, {near_only_ms} ms");
}

/// Guards against an overload of the far databases by the VMs of two data centres that both lack capacity.
#[test]
fn far_capacity_is_short_is_not_overloaded() {
    let mut world = Loop::new(&[(10, 25_000.0); 3], 40, &[900.0, 900.0, 280.0]);
    world.run_s(5);
    let mut queued = 0.0;
    for _ in 0..1_000 {
        world.step();
        queued += (world.databases[2].unanswered - 10.0).max(0.0) / 1_000.0;
    }
    assert!(queued <= 2.0, "{queued} requests wait at the far database");
    assert!(world.databases[2].unanswered >= 5.0, "its capacity is not used");
}

/// Guards against a share that stays after the load has gone.
#[test]
fn load_ends_share_returns_to_zero() {
    let mut world = Loop::new(&[(10, 25_000.0); 3], 80, &[700.0, 0.0, 0.0]);
    world.run_s(8);
    assert!(world.share(0) > 0.3);
    for vm in &mut world.vms {
        vm.1 *= 0.3;
    }
    world.run_s(8);
    assert!(world.step().iter().all(|decision| *decision == Decision::Unrestricted));
}

/// A database that answers slowly has free slots, but its time counts.
#[test]
fn near_is_slow_share_grows() {
    let mut world = Loop::new(&[(10, 400_000.0), (10, 25_000.0)], 4, &[20.0, 0.0]);
    world.run_s(8);
    assert!(world.share(0) >= 0.7, "{}", world.share(0));
}

/// Guards against decisions on reports that have expired.
#[test]
fn reports_missing_is_unrestricted_and_forgotten() {
    let (mut spill, mut now) = (Spill::default(), MonoTime(1_000_000));
    let full = two(load(0, 60), Some(load(10, 0)));
    for _ in 0..7 {
        now = now + STEP_INTERVAL;
        spill.decide(&full, now);
    }
    let before = spill.share();
    assert!(before > 0.2);
    let unknown = two(load(0, 60), None);
    assert_eq!(spill.decide(&unknown, now), Decision::Unrestricted);
    assert!(share_of(spill.decide(&full, now)) >= before, "a short gap ended the share");
    now = now + DurationUs::from_ms(2_100);
    assert_eq!(spill.decide(&unknown, now), Decision::Unrestricted);
    assert_eq!(spill.share(), 0.0);
    let near_unknown =
        ServiceLoad { levels: [Level::Unknown, Level::Empty, full.levels[2]], ..full };
    assert_eq!(spill.decide(&near_unknown, now), Decision::Unrestricted);
}

/// Guards against a share that changes back and forth while the times are about equal.
#[test]
fn excess_within_margin_share_holds() {
    let (mut spill, mut now) = (Spill::default(), MonoTime(1_000_000));
    for _ in 0..6 {
        now = now + STEP_INTERVAL;
        spill.decide(&two(load(0, 60), Some(load(8, 0))), now);
    }
    // The share first follows the excess back to the margin.
    let within = two(load(0, 9), Some(load(8, 0)));
    let mut share = 0.0;
    for _ in 0..4 {
        now = now + STEP_INTERVAL;
        share = share_of(spill.decide(&within, now));
    }
    assert!(share > 0.0);
    for queued in [9, 8, 9, 8, 9] {
        now = now + STEP_INTERVAL;
        let next = share_of(spill.decide(&two(load(0, queued), Some(load(8, 0))), now));
        assert!((next - share).abs() <= 0.01, "{share} {next}");
    }
    let mut fresh = Spill::default();
    assert_eq!(fresh.decide(&within, now), Decision::Unrestricted);
    // More than the margin is needed to begin with.
    let beyond = two(load(0, 12), Some(load(8, 0)));
    assert_eq!(fresh.decide(&beyond, now), Decision::Unrestricted);
}

/// Guards against steps that are too large, and against any share of a far side that has nothing to spare.
#[test]
fn far_is_full_share_falls_to_zero() {
    let (mut spill, mut now) = (Spill::default(), MonoTime(1_000_000));
    let mut last = 0.0;
    let mut step = |far: DatabaseLoad, steps: u32| {
        for _ in 0..steps {
            now = now + STEP_INTERVAL;
            let share = share_of(spill.decide(&two(load(0, 200), Some(far)), now));
            assert!((share - last).abs() <= STEP_MAX + 1e-9, "{last} {share}");
            last = share;
        }
        last
    };
    assert!(step(load(10, 0), 10) > 0.4);
    // One free slot of ten is the reserve.
    assert_eq!(step(load(1, 0), 60), 0.0);
    // After that it grows carefully, since other VMs see the same capacity.
    assert!((0.05..=0.1).contains(&step(load(10, 0), 10)));
    let (full, mut fresh) = (two(load(0, 200), Some(load(0, 0))), Spill::default());
    for ms in [0, 100, 200, 300] {
        let decision = fresh.decide(&full, MonoTime(1_000_000) + DurationUs::from_ms(ms));
        assert_eq!(share_of(decision), 0.0);
    }
}

/// Guards against a share beyond what the far side can run of a VM with many reads.
#[test]
fn little_to_spare_bounds_the_step() {
    let (mut spill, now) = (Spill::default(), MonoTime(1_000_000));
    let later = now + START_AFTER;
    let mut many = two(load(0, 200), Some(load(2, 0)));
    many.reads_per_s = 10_000.0;
    // One request beyond the reserve is 40 a second.
    assert_eq!(spill.decide(&many, now), Decision::Unrestricted);
    let share = share_of(spill.decide(&many, later));
    assert!(share > 0.0 && share <= 40.0 / 10_000.0, "{share}");
}

/// Nine VMs in three data centres 20 ms apart, whose databases run 71 reads a second each. Callers of `dc-1` read.
struct Readers {
    world: World,
    callers: Vec<Caller>,
    /// When each caller's read was sent; `None` while it is idle.
    sent_at: Vec<Option<MonoTime>>,
    /// Reads sent, and those that succeeded with their times in ms.
    sent: usize,
    times_ms: Vec<u64>,
}

impl Readers {
    fn new(spread_reads: bool) -> Readers {
        let policy = Policy { spread_reads, ..Policy::default() };
        let mut world = World::with_policy(9, policy, FxHashMap::default());
        let mut catalog = world::catalog(1, 1e6, 60);
        if let Some(route) = catalog.routes.get_mut(BOUNDED) {
            route.freshness = Freshness::Bounded { max_age: None, own_commits: false };
        }
        world.configure(catalog);
        for a in 0..9 {
            for b in (0..9).filter(|b| dc(*b) != dc(a)) {
                world.delays_ms.insert((Endpoint::Vm(a), Endpoint::Vm(b)), 20);
            }
            for database in 0..3 {
                world.delays_ms.insert((Endpoint::Database(database), Endpoint::Vm(a)), 40);
            }
        }
        world.run_for(4_000);
        let callers: Vec<Caller> =
            (0..90).map(|index| world.open([1, 4, 7][index % 3], BOUNDED, KEY)).collect();
        let sent_at = vec![None; callers.len()];
        Readers { world, callers, sent_at, sent: 0, times_ms: Vec::new() }
    }

    /// Sends reads at a steady rate, as far as callers are idle.
    fn run(&mut self, seconds: u64, reads_per_s: u64) {
        for step in 0..seconds * 100 {
            self.run_step((step + 1) * reads_per_s / 100 - step * reads_per_s / 100);
        }
    }

    /// Sends a number of reads, as far as callers are idle, and runs 10 ms.
    fn run_step(&mut self, reads: u64) {
        self.collect();
        for _ in 0..reads {
            let Some(idle) = self.sent_at.iter().position(Option::is_none) else { break };
            self.sent += 1;
            self.sent_at[idle] = Some(self.world.now);
            self.world.send(self.callers[idle], &format!("r{}", self.sent), read("1"));
        }
        self.world.run_for(10);
    }

    fn collect(&mut self) {
        for (caller, sent_at) in self.callers.iter().zip(&mut self.sent_at) {
            let Some(at) = *sent_at else { continue };
            if let Some(response) = self.world.response(*caller) {
                let took = self.world.now.since(at).as_ms();
                self.times_ms.extend(response.succeeded().then_some(took));
                *sent_at = None;
            }
        }
    }

    /// Forgets the times of earlier reads.
    fn settle(&mut self, seconds: u64, reads_per_s: u64) {
        self.run(seconds, reads_per_s);
        self.times_ms.clear();
        self.world.group.runs.clear();
    }

    fn mean_ms(&self) -> u64 {
        self.times_ms.iter().sum::<u64>() / self.times_ms.len().max(1) as u64
    }

    /// The time that 95 of 100 reads don't exceed.
    fn p95_ms(&self) -> u64 {
        let mut times = self.times_ms.clone();
        times.sort_unstable();
        times.get(times.len() * 95 / 100).copied().unwrap_or_default()
    }

    /// Number of reads at each database.
    fn runs(&self) -> [usize; 3] {
        [0, 1, 2].map(|index| {
            let name = database_name(index);
            self.world.group.runs.iter().filter(|run| run.database == name).count()
        })
    }

    /// Greatest share at the VMs of `dc-1`.
    fn share(&self) -> f64 {
        let shares = [1, 4, 7].map(|vm| {
            self.world.engines[vm].spill_shares().map(|(_, share)| share).fold(0.0, f64::max)
        });
        shares.into_iter().fold(0.0, f64::max)
    }
}

/// Guards against reads that leave a data centre whose database suffices: the choices are those without the split,
/// and nothing is reported where the settings don't ask for it.
#[test]
fn near_database_suffices_same_choices() {
    let run = |spread_reads: bool| {
        let mut readers = Readers::new(spread_reads);
        readers.run(10, 40);
        let runs = readers.world.group.runs.iter();
        let runs: Vec<_> = runs.map(|run| (run.id.clone(), run.database.clone())).collect();
        (runs, readers.share(), readers.world.load_reports.len())
    };
    let (with, share, reports) = run(true);
    let (without, _, none) = run(false);
    assert!(with.len() > 380 && with == without);
    assert_eq!((share, none), (0.0, 0));
    assert!(reports > 20, "{reports}");
}

/// The near database runs 50 reads a second and gets twice that. All are served, and the far primary keeps a third of
/// its slots for writes.
#[test]
fn near_database_full_reads_leave() {
    let mut readers = Readers::new(true);
    readers.settle(6, 100);
    readers.run(10, 100);
    let (served, runs) = (readers.times_ms.len(), readers.runs());
    assert!(served >= 990, "{served}");
    assert!(readers.mean_ms() <= 150 && readers.p95_ms() <= 300, "{}", readers.p95_ms());
    assert!(runs[1] >= 450 && runs[0] <= 340, "{runs:?}");
}

/// The near database gets 2.6 times what it can run, all three together seven eighths of it. Callers' times fall
/// against the least estimate, which fills one database after the other.
#[test]
fn databases_nearly_full_times_fall() {
    let run = |spread_reads: bool| {
        let mut readers = Readers::new(spread_reads);
        readers.settle(6, 130);
        readers.run(20, 130);
        (readers.mean_ms(), readers.times_ms.len())
    };
    let ((mean, served), (without, _)) = (run(true), run(false));
    assert!(mean * 3 <= without * 2, "{mean} ms, {without} ms without the split");
    assert!(served >= 2_550, "{served}");
}

/// Guards against overload of a far primary, whose writes can't go elsewhere: reads ask for more than all databases
/// can run.
#[test]
fn all_databases_full_writes_stay_fast() {
    let write_ms = |spread_reads: bool| {
        let mut readers = Readers::new(spread_reads);
        readers.settle(6, 180);
        let writer = readers.world.open(0, LATEST, KEY);
        let mut spent = 0;
        for index in 0..20 {
            let began = readers.world.now;
            readers.world.send(writer, &format!("w{index}"), write("1"));
            while readers.world.response(writer).is_none() {
                readers.run_step(180 / 100 + index % 2);
            }
            spent += readers.world.now.since(began).as_ms();
        }
        spent / 20
    };
    let (with, without) = (write_ms(true), write_ms(false));
    assert!(with * 2 <= without, "{with} ms, {without} ms without the split");
}

/// Guards against reads that stay at a database that has free slots and answers slowly.
#[test]
fn near_database_slow_reads_leave() {
    let run = |spread_reads: bool| {
        let mut readers = Readers::new(spread_reads);
        for vm in 0..9 {
            readers.world.delays_ms.insert((Endpoint::Database(1), Endpoint::Vm(vm)), 400);
        }
        readers.settle(8, 40);
        readers.run(10, 40);
        (readers.mean_ms(), readers.share(), readers.runs(), readers.times_ms.len())
    };
    let (mean, share, runs, served) = run(true);
    let (without, ..) = run(false);
    assert!(mean <= without * 6 / 5, "{mean} ms, {without} ms without the split");
    assert!(served >= 395, "{served}");
    assert!(share >= 0.7, "{share}");
    assert!(runs[1] > 0, "the near database is not measured any more");
}

/// Guards against shares that rest on reports that don't come any more.
#[test]
fn reports_lost_is_as_without() {
    let mut readers = Readers::new(true);
    readers.run(6, 100);
    assert!(readers.share() > 0.1);
    readers.world.loses_load_reports = true;
    readers.settle(3, 100);
    readers.run(10, 100);
    assert_eq!(readers.share(), 0.0);
    assert!(readers.times_ms.len() >= 990, "{}", readers.times_ms.len());
}

/// The far database's holder is killed while it gets a share.
#[test]
fn far_holder_killed_reads_are_served() {
    let mut readers = Readers::new(true);
    readers.settle(6, 100);
    let holder = readers.world.holder(2);
    readers.world.kill_vm(holder);
    readers.run(10, 100);
    assert!(readers.times_ms.len() >= 950, "{}", readers.times_ms.len());
}

/// Guards against messages that a peer of an earlier build can't decode: it would close the link.
#[test]
fn peer_of_an_earlier_build_gets_no_reports() {
    let mut readers = Readers::new(true);
    readers.world.vms_of_earlier_build.insert(1);
    readers.settle(6, 100);
    readers.run(5, 100);
    let receivers: Vec<Option<usize>> =
        readers.world.load_reports.iter().map(|(_, to)| *to).collect();
    assert!(receivers.contains(&Some(4)) && !receivers.contains(&Some(1)));
    assert_eq!(readers.world.engines[1].spill_shares().map(|(_, s)| s).fold(0.0, f64::max), 0.0);
    assert!(readers.times_ms.len() >= 480, "{}", readers.times_ms.len());
}
