//! Consistency under random faults: network cuts, delays, frozen and restarted VMs and unreachable
//! databases, while callers at every VM read and write. A seed always gives the same schedule.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use gateway::{
    message::{Access, ErrorCode, Statement},
    policy::Policy,
};
use model::prelude::*;
use world::{Caller, Endpoint, KEY, LATEST, Response, World, begin, catalog, read, write};

const VMS: usize = 5;
const ROUNDS: usize = 120;
const ROUND_MS: u64 = 100;

/// Pseudo-random number generator (linear congruential).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

/// A statement that has been sent and whose answer is not complete.
struct PendingStatement {
    caller: Caller,
    id: String,
    writes: bool,
    /// When it was sent.
    at: MonoTime,
    /// Index among its caller's answers.
    number: usize,
}

/// Outcomes that were reported to callers.
#[derive(Default)]
struct History {
    /// Ids of acknowledged writes, with the time of the acknowledgement.
    acknowledged: Vec<(MonoTime, String)>,
    /// Ids of writes whose error says that nothing was kept.
    refused: Vec<String>,
    /// Number of reads that succeeded.
    reads: usize,
}

#[test]
fn random_faults_preserve_consistency() {
    let mut answered = 0;
    for seed in 0..40 {
        answered += run_schedule(seed, None);
    }
    assert!(answered > 5_000, "{answered}");
}

/// The same while data centres are evacuated, at times all of them. No VM may send anything of a caller there once
/// the grace period is over, whatever fails meanwhile.
#[test]
fn random_faults_during_evacuations_preserve_consistency() {
    let mut answered = 0;
    for seed in 0..40 {
        answered += run_schedule(seed, Some(EvacuationSchedule::default()));
    }
    assert!(answered > 2_000, "{answered}");
}

/// Evacuations during a schedule.
#[derive(Default)]
struct EvacuationSchedule {
    version: u64,
    /// Data centres that are being evacuated, and since when.
    since: BTreeMap<usize, MonoTime>,
}

impl EvacuationSchedule {
    /// Grace period and the longest delay of a message, in milliseconds.
    const LATEST_ARRIVAL_MS: u64 = 1_500 + 1_000;

    /// Changes the list at times, gives it to all VMs that run, and checks what has arrived.
    fn advance(&mut self, world: &mut World, random: &mut Random, round: usize) {
        let now = world.now;
        for (at, database, control) in &world.arrivals {
            let Some(since) = self.since.get(database).filter(|_| !control) else { continue };
            let latest = *since + DurationUs::from_ms(Self::LATEST_ARRIVAL_MS);
            assert!(*at <= latest, "request at database {database} in round {round}");
        }
        if round.is_multiple_of(30) {
            self.version += 1;
            let count = [0, 1, 1, 2, 3][random.below(5)];
            let dcs: BTreeSet<usize> = (0..count).map(|_| random.below(3)).collect();
            self.since.retain(|dc, _| dcs.contains(dc));
            for dc in dcs {
                self.since.entry(dc).or_insert(now);
            }
        }
        let dcs: Vec<usize> = self.since.keys().copied().collect();
        for vm in (0..VMS).filter(|vm| !world.frozen.contains(vm)).collect::<Vec<_>>() {
            world.set_evacuations(vm, self.version, &dcs);
        }
    }
}

/// Runs the schedule of a seed and returns how many statements succeeded.
fn run_schedule(seed: u64, mut evacuations: Option<EvacuationSchedule>) -> usize {
    let mut random = Random(seed.wrapping_mul(7_919) + 1);
    let mut world = match &evacuations {
        None => World::new(VMS),
        Some(_) => {
            let evacuation_bound = Some(DurationUs::from_ms(5_000));
            let policy = Policy { evacuation_bound, ..Policy::default() };
            let mut world = World::with_policy(VMS, policy, FxHashMap::default());
            world.configure(catalog(1, 1e6, 100));
            (0..VMS).for_each(|vm| world.set_evacuations(vm, 0, &[]));
            world.run_for(3_000);
            world
        }
    };
    let mut history = History::default();
    let mut pending: Vec<PendingStatement> = Vec::new();
    let mut callers: Vec<Caller> = (0..VMS).map(|vm| world.open(vm, LATEST, KEY)).collect();
    let mut sent = 0;
    for round in 0..ROUNDS {
        if round % 8 == 3 {
            inject_fault(&mut world, &mut random, &mut callers, &mut pending);
        }
        if let Some(evacuations) = &mut evacuations {
            evacuations.advance(&mut world, &mut random, round);
        }
        for caller in callers.iter().copied() {
            let waits = pending.iter().any(|asked| asked.caller == caller);
            if waits || world.frozen.contains(&caller.vm) {
                continue;
            }
            sent += 1;
            let writes = random.below(2) == 0;
            let id = format!("{}{sent}", if writes { "w" } else { "r" });
            let number = world.responses(caller).len();
            world.send(caller, &id, if writes { write("1") } else { read("1") });
            pending.push(PendingStatement { caller, id, writes, at: world.now, number });
        }
        world.run_for(ROUND_MS);
        pending.retain(|asked| {
            let response = world.responses(asked.caller)[asked.number].clone();
            let open = response.state.is_none();
            if !open {
                record_response(&world, &mut history, asked, &response, seed);
            }
            open
        });
    }
    if let Some(evacuations) = evacuations {
        for vm in 0..VMS {
            world.set_evacuations(vm, evacuations.version + 1, &[]);
        }
    }
    check_final_state(&mut world, &history, seed);
    history.reads + history.acknowledged.len()
}

fn inject_fault(
    world: &mut World,
    random: &mut Random,
    callers: &mut [Caller],
    pending: &mut Vec<PendingStatement>,
) {
    let vm = random.below(VMS);
    let database = random.below(3);
    match random.below(10) {
        // A partition with the primary and one VM on one side, and everything else on the other.
        0 | 7 => {
            let primary = primary(world);
            world.isolate_vm(vm);
            world.isolate_database_with_vm(primary, vm);
        }
        8 => {
            let ms = 200 + 100 * random.below(8) as u64;
            world.delays_ms.insert((Endpoint::Vm(vm), Endpoint::Database(database)), ms);
        }
        9 => world.delays_ms.clear(),
        1 => world.cut_database_from_vms(database),
        2 => world.cut(Endpoint::Vm(vm), Endpoint::Database(database)),
        3 => {
            for other in (0..3).filter(|other| *other != database) {
                world.cut(Endpoint::Database(database), Endpoint::Database(other));
            }
        }
        4 if world.frozen.is_empty() => world.freeze(vm),
        5 => {
            pending.retain(|asked| asked.caller.vm != vm);
            world.thaw(vm);
            world.restart(vm, catalog(1, 1e6, 100));
            callers[vm] = world.open(vm, LATEST, KEY);
        }
        _ => {
            world.cuts.clear();
            let frozen: Vec<usize> = world.frozen.iter().copied().collect();
            frozen.into_iter().for_each(|vm| world.thaw(vm));
        }
    }
}

fn record_response(
    world: &World,
    history: &mut History,
    asked: &PendingStatement,
    response: &Response,
    seed: u64,
) {
    let id = &asked.id;
    match response.error {
        None if asked.writes => history.acknowledged.push((world.now, id.clone())),
        None => {
            history.reads += 1;
            check_read(world, history, asked, seed);
        }
        Some(ErrorCode::InDoubt | ErrorCode::Timeout | ErrorCode::Failed) => {}
        Some(_) if asked.writes => history.refused.push(id.clone()),
        Some(_) => {}
    }
}

/// Checks that a read of the latest state saw every write that had been acknowledged before and that the
/// present primary holds.
fn check_read(world: &World, history: &History, asked: &PendingStatement, seed: u64) {
    let run = world.group.runs.iter().rev().find(|run| *run.id == *asked.id).expect("it ran");
    let member = world.group.member_index(&run.database).expect("a member");
    let primary = primary(world);
    for (at, write) in &history.acknowledged {
        let earlier = *at <= asked.at;
        if earlier && world.group.has_write(primary, write) {
            let seen = world.group.has_write(member, write);
            assert!(seen, "seed {seed}: {} at {} lacks {write}", asked.id, run.database);
        }
    }
}

fn primary(world: &World) -> usize {
    let leads = (0..3).filter(|member| world.group.members[*member].is_primary);
    let lead = leads.max_by_key(|member| world.group.members[*member].term);
    // A handover demotes the old primary first. Without evacuations there is none.
    let newest = (0..3).max_by_key(|member| world.group.position(*member));
    lead.or(newest.filter(|_| world.policy.evacuation_bound.is_some())).expect("a primary")
}

/// Checks that no write ran twice, that no refused write was kept, and that fencing tokens only rose.
fn check_final_state(world: &mut World, history: &History, seed: u64) {
    let ran: Vec<&str> = world
        .group
        .runs
        .iter()
        .filter(|run| run.text.starts_with("WRITE"))
        .map(|run| &*run.id)
        .collect();
    let distinct: BTreeSet<&&str> = ran.iter().collect();
    assert_eq!(distinct.len(), ran.len(), "seed {seed}: a write ran twice");
    for id in &history.refused {
        for member in 0..3 {
            assert!(
                !world.group.has_write(member, id),
                "seed {seed}: {id} was refused and is kept"
            );
        }
    }
    assert_eq!(world.group.commits_outside_transaction, 0, "seed {seed}");
    let tokens: Vec<u64> = world.promotion_requests.iter().map(|(_, token)| *token).collect();
    assert!(tokens.is_sorted_by(|a, b| a < b), "seed {seed}: {tokens:?}");
    // Once all faults are healed, every VM serves reads and writes again.
    world.cuts.clear();
    world.delays_ms.clear();
    (0..VMS).for_each(|vm| world.thaw(vm));
    world.run_for(12_000);
    for vm in 0..VMS {
        let caller = world.open(vm, LATEST, KEY);
        assert!(
            world.query(caller, "end", begin(Access::Write)).succeeded(),
            "seed {seed}: VM {vm}"
        );
        let response = world.query(caller, "end-w", write("1"));
        assert!(response.succeeded(), "seed {seed}: VM {vm}: {response:?}");
        assert!(
            world.query(caller, "end-c", Statement::Commit).succeeded(),
            "seed {seed}: VM {vm}"
        );
    }
}
