//! Requests that reach cold databases, from all VMs together.

mod world;

use gateway::{
    holders::HOLDERS_MAX,
    message::{Access, ErrorCode, Statement, TransactionState},
    policy::Policy,
    warmup::{RecentRequests, Sender, allowance, is_barred},
};
use model::prelude::*;
use world::{BOUNDED, Caller, Endpoint, KEY, LATEST, World, begin, read, write};

/// Requests per second that a cold database may get, and slack beyond it, in these tests.
const RATE_PER_S: f64 = 20.0;
const SLACK: f64 = 5.0;
/// How long databases are cold after their start, in milliseconds.
const COLD_MS: u64 = 6_000;

fn catalog() -> gateway::catalog::Catalog {
    let mut catalog = world::catalog(1, 1e6, 100);
    for limits in catalog.services.values_mut() {
        limits.cold_rate_per_s = Some(RATE_PER_S);
    }
    catalog
}

/// A fleet whose databases all start cold at the same time.
fn cold_fleet(vms: usize, cold_ms: u64) -> World {
    let policy = Policy { cold_slack: SLACK, ..Policy::default() };
    let mut world = World::with_policy(vms, policy, FxHashMap::default());
    for database in &mut world.databases {
        database.cold_left = DurationUs::from_ms(cold_ms);
    }
    world.configure(catalog());
    world
}

/// The greatest number of the times within any second.
fn most_within_a_second(times: &[MonoTime]) -> usize {
    let second = DurationUs::from_ms(1_000);
    let from = |(index, start): (usize, &MonoTime)| {
        times[index..].iter().take_while(|at| at.since(*start) < second).count()
    };
    times.iter().enumerate().map(from).max().unwrap_or(0)
}

/// The greatest number of requests that the database has received in any second since a time.
fn most_in_a_second(world: &World, database: usize, since: MonoTime) -> usize {
    let times = world.requests.iter().filter(|(at, to)| *to == database && *at >= since);
    most_within_a_second(&times.map(|(at, _)| *at).collect::<Vec<_>>())
}

fn assert_rate_kept(world: &World, since: MonoTime) {
    for database in 0..3 {
        let most = most_in_a_second(world, database, since);
        assert!(
            most <= (RATE_PER_S + SLACK) as usize,
            "database {database} got {most} in a second"
        );
    }
}

/// Callers on all VMs that send reads and writes without pause.
struct Load {
    callers: Vec<Caller>,
    sent: usize,
}

impl Load {
    fn new(world: &mut World) -> Load {
        let vms = world.engines.len();
        let host = |index| if index % 4 == 0 { LATEST } else { BOUNDED };
        let open = (0..vms * 4).map(|index| world.open(index % vms, host(index), KEY));
        Load { callers: open.collect(), sent: 0 }
    }

    /// Runs for the time. Returns how many statements succeeded, and how many failed otherwise than as refused.
    fn run(&mut self, world: &mut World, ms: u64) -> (usize, usize) {
        let (mut succeeded, mut failed) = (0, 0);
        for _ in 0..ms / 50 {
            for (index, caller) in self.callers.iter().enumerate() {
                let answer = world.response(*caller);
                if answer.is_none() && !world.responses(*caller).is_empty() {
                    continue;
                }
                let error = answer.as_ref().and_then(|answer| answer.error);
                succeeded += usize::from(answer.is_some_and(|answer| answer.succeeded()));
                failed += usize::from(error.is_some_and(|code| code != ErrorCode::Busy));
                let statement = if index % 4 == 0 { write("1") } else { read("1") };
                self.sent += 1;
                world.send(*caller, &format!("s{}", self.sent), statement);
            }
            world.run_for(50);
        }
        (succeeded, failed)
    }
}

/// Guards against numbers of requests that exceed the rate once those of all VMs are added up: the holders of the
/// present and the previous list of VMs, VMs that reach no holder, and two that carry out a failover.
#[test]
fn allowances_of_two_lists_stay_within_rate_and_slack() {
    for vms in [1, 3, 9, 300] {
        for (rate, slack) in (0..200).flat_map(|rate| [(rate, 0), (rate, 5), (rate, 50)]) {
            let of = |sender| allowance(rate as f64, slack as f64, sender);
            let holders: usize = (0..HOLDERS_MAX).map(|rank| of(Sender::Holder(rank))).sum();
            let outside: usize = (0..vms).map(|rank| of(Sender::Outside(rank))).sum();
            let all = 2 * (holders + outside + of(Sender::Failover));
            assert!(all <= rate + slack, "{all} of {rate} and {slack}");
            let first = of(Sender::Holder(0));
            assert!(rate + slack < 8 || 5 * first >= rate + slack, "{first} of {rate} and {slack}");
        }
    }
}

/// Guards against a window that forgets requests, and against one that holds back more than it has to: many senders
/// that always have work send what they may in each second, and no more, also when their process starts again.
#[test]
fn senders_under_load_use_their_allowance_in_each_second() {
    for limit in [1, 2, 4, 7, 25, 100] {
        let (mut recent, mut started_at) = (RecentRequests::default(), MonoTime(0));
        let mut sent: Vec<MonoTime> = Vec::new();
        // What belongs together is sent at once, unless it exceeds the allowance of a second.
        assert!(recent.admits(MonoTime(0), limit, limit));
        assert!(!recent.admits(MonoTime(0), limit, limit + 1));
        for ms in 0..10_000 {
            let now = MonoTime(1_000_000 + ms * 1_000);
            if ms == 5_000 {
                (recent, started_at) = (RecentRequests::default(), now);
            }
            if is_barred(started_at, now) {
                continue;
            }
            for _ in 0..recent.room(now, limit) {
                recent.record(now);
                sent.push(now);
            }
        }
        assert_eq!(most_within_a_second(&sent), limit);
        assert!(sent.len() >= limit * 8, "{} of {limit} a second in 10 s", sent.len());
    }
}

/// Guards against a database that gets its rate from each VM instead of from all: all start cold together, and serve
/// as usual once they are warm.
#[test]
fn all_vms_together_keep_the_rate_of_cold_databases() {
    let mut usual = World::new(12);
    let mut load = Load::new(&mut usual);
    load.run(&mut usual, 1_000);
    let (usually_served, _) = load.run(&mut usual, 2_000);

    let mut world = cold_fleet(12, COLD_MS);
    let began = world.now;
    let mut load = Load::new(&mut world);
    let (served, failed) = load.run(&mut world, COLD_MS);
    assert_rate_kept(&world, began);
    assert!(served >= 60, "{served} served by three databases in 6 s");
    assert_eq!(failed, 0, "failed otherwise than as refused");
    assert!(world.engines.iter().any(|engine| engine.counts().cold_held_back > 0));
    load.run(&mut world, 1_000);
    assert!(world.engines.iter().all(|engine| engine.cold_databases() == 0));
    let (served, _) = load.run(&mut world, 2_000);
    assert!(
        served * 10 >= usually_served * 9,
        "{served} served once warm, {usually_served} usually"
    );
}

/// Guards against a replica that starts again under its name and is taken for the warm one of before; the reads go to
/// the others meanwhile.
#[test]
fn database_that_starts_again_is_cold_again() {
    let mut world = cold_fleet(12, 0);
    let mut load = Load::new(&mut world);
    world.run_for(3_000);
    let (before, _) = load.run(&mut world, 2_000);
    world.databases[1].incarnation = 2;
    world.databases[1].cold_left = DurationUs::from_ms(COLD_MS);
    world.publish_databases(2);
    let began = world.now;
    let (served, _) = load.run(&mut world, 2_000);
    let most = most_in_a_second(&world, 1, began + DurationUs::from_ms(20));
    assert!(most <= (RATE_PER_S + SLACK) as usize, "{most} requests in a second");
    assert!(served * 2 >= before, "{served} served by the others, {before} before");
}

/// Guards against holders of an earlier list of VMs that add to those of the present one, and against a VM that spends
/// its number again after it has restarted.
#[test]
fn rate_is_kept_while_holders_change_and_restart() {
    let mut world = cold_fleet(12, 20_000);
    let began = world.now;
    let mut load = Load::new(&mut world);
    load.run(&mut world, 4_000);
    let (first, second) = (world.holder(0), world.holder(1));
    // Others learn that this holder has left; it goes on by itself with the earlier list.
    world.isolate_vm(first);
    let name = world::vm_name(first);
    world.change_member_list(|list| list.records.retain(|record| record.vm != name));
    load.run(&mut world, 4_000);
    world.restart(second, catalog());
    load.run(&mut world, 4_000);
    assert_rate_kept(&world, began);
}

/// Guards against VMs that reach no holder and each take the whole rate.
#[test]
fn vms_without_a_reachable_holder_keep_the_rate() {
    let mut world = cold_fleet(12, 20_000);
    let began = world.now;
    world.run_for(3_000);
    for (vm, holder) in (0..12).flat_map(|vm| (0..12).map(move |holder| (vm, holder))) {
        if vm != holder && world::dc(holder) == world::dc(0) && world::dc(vm) != world::dc(0) {
            world.cut(Endpoint::Vm(vm), Endpoint::Vm(holder));
        }
    }
    let mut load = Load::new(&mut world);
    load.run(&mut world, 6_000);
    assert_rate_kept(&world, began);
}

/// Guards against a failover of a cold service that is never held, or that sends its queries without limit.
#[test]
fn cold_primary_that_is_lost_is_replaced_within_the_rate() {
    let mut world = cold_fleet(12, 30_000);
    let began = world.now;
    world.run_for(4_000);
    let mut load = Load::new(&mut world);
    load.run(&mut world, 1_000);
    world.cut_database_from_vms(0);
    load.run(&mut world, 8_000);
    assert_eq!(world.promotions.len(), 1, "{:?}", world.promotions);
    assert_rate_kept(&world, began);
}

/// Guards against a transaction whose statement is lost, sent twice or run outside it while it waits for room, both on
/// the holder and through it.
#[test]
fn transactions_on_a_cold_primary_wait_and_stay_whole() {
    let mut world = cold_fleet(9, 60_000);
    world.run_for(4_000);
    let callers: Vec<Caller> = (0..9).map(|vm| world.open(vm, LATEST, KEY)).collect();
    let mut steps = vec![(0, 0); callers.len()];
    let (mut committed, mut ended) = (0, 0);
    for _ in 0..2_000 {
        for (vm, caller) in callers.iter().enumerate() {
            let (round, step) = steps[vm];
            let answer = world.response(*caller);
            if answer.is_none() && !world.responses(*caller).is_empty() {
                continue;
            }
            let error = answer.as_ref().and_then(|answer| answer.error);
            if error.is_some() || step == 5 {
                let writes =
                    (0..3).filter(|n| world.group.has_write(0, &format!("t{round}-{vm}-{n}")));
                let kept = writes.count();
                match error {
                    None => assert_eq!(kept, 3, "committed, and {kept} writes kept"),
                    // Whatever waited in vain was not sent.
                    Some(code @ (ErrorCode::InDoubt | ErrorCode::Timeout)) => {
                        panic!("{code} after step {step} though nothing was lost")
                    }
                    Some(code) => assert_eq!(kept, 0, "{code} although {kept} writes are kept"),
                }
                committed += usize::from(error.is_none());
                ended += 1;
                steps[vm] = (round + 1, 0);
                if answer.is_some_and(|answer| answer.state == Some(TransactionState::Failed)) {
                    world.send(*caller, "rollback", Statement::Rollback);
                }
                continue;
            }
            let (id, statement) = match step {
                0 => ("b".to_owned(), begin(Access::Write)),
                1..4 => (format!("t{round}-{vm}-{}", step - 1), write("1")),
                _ => ("c".to_owned(), Statement::Commit),
            };
            world.send(*caller, &id, statement);
            steps[vm].1 += 1;
        }
        world.run_for(10);
    }
    assert!(committed >= 20, "{committed} of {ended} transactions in 20 s");
    let runs = world.group.runs.iter().filter(|run| run.id.starts_with('t'));
    let ids: Vec<&str> = runs.map(|run| &*run.id).collect();
    let distinct: std::collections::BTreeSet<&str> = ids.iter().copied().collect();
    assert_eq!(ids.len(), distinct.len(), "a statement ran twice");
    assert_eq!(world.group.commits_outside_transaction, 0);
}

/// Guards against a `COMMIT` that is said to be in doubt though a holder never sent it: it waited there for room at the
/// cold primary until its time was over.
#[test]
fn commit_that_waits_in_vain_at_a_holder_is_aborted() {
    let mut world = cold_fleet(9, 60_000);
    let mut catalog = catalog();
    catalog.generation = 2;
    catalog.services.values_mut().for_each(|limits| limits.cold_rate_per_s = Some(8.0));
    world.configure(catalog);
    world.run_for(4_000);
    let holder = world.holder(0);
    let vm = (0..9).find(|vm| world::dc(*vm) != world::dc(0)).expect("another data centre");
    let caller = world.open(vm, LATEST, KEY);
    assert!(world.query(caller, "b", begin(Access::Write)).succeeded());
    assert!(world.query(caller, "w", write("1")).succeeded());
    world.run_for(1_500);
    let others: Vec<Caller> = (0..30).map(|_| world.open(holder, LATEST, KEY)).collect();
    others.iter().for_each(|other| world.send(*other, "r", read("1")));
    world.run_for(200);
    let response = world.query(caller, "c", Statement::Commit);
    assert_eq!(response.error, Some(ErrorCode::Aborted));
    assert_eq!(response.state, Some(TransactionState::Idle));
    world.run_for(100);
    assert!(!world.group.has_write(0, "w"));
}
