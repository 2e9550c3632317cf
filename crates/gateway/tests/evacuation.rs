//! Evacuations of data centres: after the grace period nothing is sent to their databases, primaries are handed
//! over without losing an acknowledged write, and what can't be served is refused at once.

mod world;

use gateway::{
    evacuation::{Evacuations, Stage, Work},
    message::{Access, ErrorCode, Statement},
    policy::Policy,
};
use model::prelude::*;
use world::{
    Caller, HOST, KEY, LATEST, World, begin, catalog, database_name, dc, read, vm_name, write,
};

/// Time after the confirmation of an evacuation from which no request may arrive.
const BOUND_MS: u64 = 5_000;
/// Grace period of open transactions: 30 % of the bound.
const GRACE_MS: u64 = 1_500;

/// A fleet of a deployment with evacuations, none of which is in force. VM and database `n` are in data centre
/// `n` modulo 3, and database 0 is the primary.
fn fleet(vms: usize) -> World {
    let policy =
        Policy { evacuation_bound: Some(DurationUs::from_ms(BOUND_MS)), ..Policy::default() };
    let mut world = World::with_policy(vms, policy, FxHashMap::default());
    world.configure(catalog(1, 1e6, 100));
    set_everywhere(&mut world, 1, &[]);
    world.run_for(3_000);
    world
}

fn set_everywhere(world: &mut World, version: u64, dcs: &[usize]) {
    for vm in 0..world.engines.len() {
        world.set_evacuations(vm, version, dcs);
    }
}

/// Requests of callers that reached a database since a time.
fn requests_since(world: &World, database: usize, since: MonoTime) -> usize {
    let arrivals = world.arrivals.iter();
    arrivals.filter(|(at, to, control)| *at >= since && *to == database && !control).count()
}

/// Any request that reached a database since a time.
fn arrivals_since(world: &World, database: usize, since: MonoTime) -> usize {
    world.arrivals.iter().filter(|(at, to, _)| *at >= since && *to == database).count()
}

fn primary(world: &World) -> Option<usize> {
    (0..3).find(|member| world.group.members[*member].is_primary)
}

/// Sends reads and writes at all VMs for a time, one of each per VM every 50 ms. Returns the identifiers of the
/// acknowledged writes.
fn run_load(world: &mut World, name: &str, ms: u64) -> Vec<String> {
    let vms: Vec<usize> =
        (0..world.engines.len()).filter(|vm| !world.frozen.contains(vm)).collect();
    let mut sent: Vec<(Caller, String)> = Vec::new();
    for round in 0..ms / 50 {
        for vm in &vms {
            let (reader, writer) = (world.open(*vm, HOST, KEY), world.open(*vm, LATEST, KEY));
            let id = format!("{name}-{round}-{vm}");
            world.send(reader, &format!("{id}-r"), read("1"));
            world.send(writer, &id, write("1"));
            sent.push((writer, id));
        }
        world.run_for(50);
    }
    world.run_for(1_500);
    let acknowledged = |caller: &Caller| world.response(*caller).is_some_and(|r| r.succeeded());
    sent.iter().filter(|(caller, _)| acknowledged(caller)).map(|(_, id)| id.clone()).collect()
}

fn assert_kept(world: &World, acknowledged: &[String]) {
    let primary = primary(world).expect("a primary");
    let lost: Vec<_> =
        acknowledged.iter().filter(|id| !world.group.has_write(primary, id)).collect();
    assert!(lost.is_empty(), "acknowledged, but not at database {primary}: {lost:?}");
}

#[test]
fn stage_goes_from_draining_to_closed_and_returns_gradually() {
    let at = |ms| MonoTime(0) + DurationUs::from_ms(ms);
    let mut evacuations = Evacuations::new(Some(DurationUs::from_ms(BOUND_MS)), MonoTime(0));
    evacuations.replace(at(0), 1, []);
    evacuations.replace(at(100), 2, [dc(0)]);
    assert_eq!(evacuations.stage(at(100), &dc(0)), Stage::Draining);
    assert_eq!(evacuations.stage(at(100 + GRACE_MS), &dc(0)), Stage::Closed);
    assert_eq!(evacuations.stage(at(100), &dc(1)), Stage::Open);
    // A repeated list does not begin the grace period anew, and an earlier one changes nothing.
    evacuations.replace(at(1_000), 3, [dc(0), dc(1)]);
    evacuations.replace(at(1_000), 2, []);
    assert_eq!(evacuations.stage(at(100 + GRACE_MS), &dc(0)), Stage::Closed);
    assert_eq!(evacuations.stage(at(100 + GRACE_MS), &dc(1)), Stage::Draining);
    evacuations.replace(at(10_000), 4, [dc(1)]);
    let share = |ms| evacuations.stage(at(ms), &dc(0)).share();
    assert!((share(10_000) - 0.1).abs() < 1e-9);
    assert!(share(12_500) > 0.5 && share(12_500) < 0.6, "{}", share(12_500));
    assert_eq!(evacuations.stage(at(15_000), &dc(0)), Stage::Open);
}

#[test]
fn stage_is_closed_where_a_process_starts_during_an_evacuation() {
    // It has no work in progress, and the bound may have passed long ago.
    let mut evacuations = Evacuations::new(Some(DurationUs::from_ms(BOUND_MS)), MonoTime(0));
    evacuations.replace(MonoTime(5), 7, [dc(0)]);
    assert_eq!(evacuations.stage(MonoTime(5), &dc(0)), Stage::Closed);
    let mut without_bound = Evacuations::new(None, MonoTime(0));
    without_bound.replace(MonoTime(5), 7, [dc(0)]);
    assert_eq!(without_bound.stage(MonoTime(5), &dc(0)), Stage::Open);
}

#[test]
fn admits_only_what_the_stage_allows() {
    let admitted = |stage: Stage| {
        [Work::New, Work::NeedsPrimary, Work::InProgress, Work::Failover]
            .map(|work| stage.admits(work))
    };
    assert_eq!(admitted(Stage::Open), [true; 4]);
    assert_eq!(admitted(Stage::Returning { share: 0.5 }), [true; 4]);
    assert_eq!(admitted(Stage::Draining), [false, true, true, true]);
    assert_eq!(admitted(Stage::Closed), [false, false, false, true]);
}

#[test]
fn evacuated_primary_is_handed_over_without_loss() {
    let mut world = fleet(6);
    let mut acknowledged = run_load(&mut world, "before", 500);
    let began = world.now;
    // The VMs learn of it one by one; until then they may send to the primary.
    let writers: Vec<Caller> = (0..6).map(|vm| world.open(vm, LATEST, KEY)).collect();
    for vm in 0..6 {
        world.set_evacuations(vm, 2, &[0]);
        for (index, writer) in writers.iter().enumerate() {
            world.send(*writer, &format!("late-{vm}-{index}"), write("1"));
        }
        world.run_for(50);
    }
    acknowledged.extend(run_load(&mut world, "during", 4_000));
    for (index, writer) in writers.iter().enumerate() {
        let answers = world.responses(*writer).iter().enumerate();
        let kept = answers.filter(|(_, response)| response.succeeded());
        acknowledged.extend(kept.map(|(vm, _)| format!("late-{vm}-{index}")));
    }
    assert_eq!(world.promotions.len(), 1, "{:?}", world.promotions);
    assert_ne!(primary(&world), Some(0));
    let grace_ended = began + DurationUs::from_ms(5 * 50 + GRACE_MS + 20);
    assert_eq!(requests_since(&world, 0, grace_ended), 0);
    let bound = began + DurationUs::from_ms(BOUND_MS);
    assert_eq!(arrivals_since(&world, 0, bound), 0, "control requests after the handover");
    let after = run_load(&mut world, "after", 500);
    assert_eq!(after.len(), 60, "all writes succeed after the promotion");
    acknowledged.extend(after);
    assert_kept(&world, &acknowledged);
    let open: usize = world
        .engines
        .iter()
        .map(|e| {
            let status = &e.evacuation_status()[0];
            status.connections + status.channels
        })
        .sum();
    assert_eq!(open, 0, "connections to evacuated databases are closed");
}

#[test]
fn reads_avoid_an_evacuated_replica_at_once() {
    let mut world = fleet(6);
    run_load(&mut world, "before", 500);
    assert!(
        requests_since(&world, 1, MonoTime(0)) > 0,
        "nothing was read there, so this shows nothing"
    );
    set_everywhere(&mut world, 2, &[1]);
    world.run_for(20);
    let since = world.now;
    let acknowledged = run_load(&mut world, "during", 1_000);
    assert_eq!(acknowledged.len(), 120);
    assert_eq!(arrivals_since(&world, 1, since), 0);
    assert!(world.promotions.is_empty());
}

/// Opens a transaction at each VM that has written, of which those at `vms` are returned.
fn open_transactions(world: &mut World) -> Vec<Caller> {
    let callers: Vec<_> = (0..world.engines.len()).map(|vm| world.open(vm, LATEST, KEY)).collect();
    for (index, caller) in callers.iter().enumerate() {
        assert!(world.query(*caller, &format!("b{index}"), begin(Access::Write)).succeeded());
        assert!(world.query(*caller, &format!("w{index}"), write("1")).succeeded());
    }
    callers
}

#[test]
fn transaction_ends_with_a_true_abort_after_the_grace_period() {
    let mut world = fleet(6);
    let callers = open_transactions(&mut world);
    set_everywhere(&mut world, 2, &[0]);
    world.run_for(GRACE_MS / 2);
    let committed = world.query(callers[0], "c0", Statement::Commit);
    assert!(committed.succeeded(), "{committed:?}");
    world.run_for(GRACE_MS);
    for (index, caller) in callers.iter().enumerate().skip(1) {
        let response = world.query(*caller, &format!("c{index}"), Statement::Commit);
        assert_eq!(response.error, Some(ErrorCode::Aborted), "VM {index}");
    }
    world.run_for(3_000);
    let primary = primary(&world).expect("a primary");
    assert!(world.group.has_write(primary, "w0"));
    for index in 1..callers.len() {
        assert!(!world.group.has_write(primary, &format!("w{index}")), "w{index} was kept");
    }
}

/// Only the holder, or only the caller's VM, has learned of the evacuation. A holder rolls back what is open over it,
/// and the caller's VM hears of that with the answer to the next statement, which has to be true also for a commit.
#[test]
fn transaction_is_aborted_whether_the_holder_or_its_user_learns_first() {
    // The coordinator, VM 0, would hand the primary over.
    let sizes = [6, 9, 12, 15].into_iter();
    let size = sizes.into_iter().find(|vms| fleet(*vms).holder(0) != 0);
    let size = size.expect("a fleet whose holder is not the coordinator");
    for holder_first in [true, false] {
        let mut world = fleet(size);
        let (user, holder) = (4, world.holder(0));
        let caller = world.open(user, LATEST, KEY);
        assert!(world.query(caller, "b", begin(Access::Write)).succeeded());
        assert!(world.query(caller, "w", write("1")).succeeded());
        world.set_evacuations(if holder_first { holder } else { user }, 2, &[0]);
        world.run_for(GRACE_MS + 50);
        let since = world.now;
        assert!(world.engines.iter().all(|engine| engine.counts().takeovers == 0));
        let response = world.query(caller, "c", Statement::Commit);
        assert_eq!(response.error, Some(ErrorCode::Aborted));
        assert_eq!(requests_since(&world, 0, since), 0);
        assert!((0..3).all(|member| !world.group.has_write(member, "w")));
    }
}

#[test]
fn holder_refuses_requests_of_a_vm_that_has_not_learned() {
    let mut world = fleet(6);
    let (user, holder) = (4, world.holder(1));
    for vm in (0..6).filter(|vm| *vm != user) {
        world.set_evacuations(vm, 2, &[1]);
    }
    world.run_for(50);
    let (since, refused) = (world.now, world.engines[holder].counts().channel_refusals);
    for index in 0..20 {
        let caller = world.open(user, HOST, KEY);
        let response = world.query(caller, &format!("r{index}"), read("1"));
        assert!(response.succeeded(), "{response:?}");
    }
    assert_eq!(requests_since(&world, 1, since), 0);
    assert!(world.engines[holder].counts().channel_refusals > refused);
}

/// The data centre of the database that a failover has chosen is evacuated while that failover is in progress.
#[test]
fn second_evacuation_during_a_handover_moves_the_primary_on() {
    for after_ms in [0, 10, 500, 1_400, 1_700, 2_000] {
        let mut world = fleet(6);
        let mut acknowledged = run_load(&mut world, "a", 50);
        // They delay the handover for 1.5 s.
        open_transactions(&mut world);
        set_everywhere(&mut world, 2, &[0]);
        world.run_for(after_ms);
        let is_early = world.promotion_requests.is_empty();
        let began = world.now;
        set_everywhere(&mut world, 3, &[0, 1]);
        acknowledged.extend(run_load(&mut world, "b", 6_000));
        assert_eq!(primary(&world), Some(2), "{after_ms} ms: {:?}", world.promotions);
        assert_eq!(world.promotions.len(), if is_early { 1 } else { 2 }, "{after_ms} ms");
        let bound = began + DurationUs::from_ms(BOUND_MS);
        assert_eq!(arrivals_since(&world, 1, bound), 0, "{after_ms} ms");
        assert_kept(&world, &acknowledged);
    }
}

#[test]
fn all_evacuated_is_refused_at_once() {
    let mut world = fleet(6);
    let began = world.now;
    set_everywhere(&mut world, 2, &[0, 1, 2]);
    world.run_for(GRACE_MS + 50);
    for (index, statement) in [read("1"), write("1"), begin(Access::Write)].into_iter().enumerate()
    {
        for host in [HOST, LATEST] {
            let caller = world.open(4, host, KEY);
            world.send(caller, &format!("{host}-{index}"), statement.clone());
            let response = world.response(caller).expect("an answer at once");
            assert_eq!(response.error, Some(ErrorCode::Busy));
        }
    }
    run_load(&mut world, "b", BOUND_MS);
    let bound = began + DurationUs::from_ms(BOUND_MS);
    assert!((0..3).all(|database| arrivals_since(&world, database, bound) == 0));
    assert!(world.promotions.is_empty());
    set_everywhere(&mut world, 3, &[]);
    assert!(run_load(&mut world, "c", 500).len() >= 50, "served again after the end");
}

#[test]
fn work_returns_gradually_after_the_end() {
    let mut world = fleet(6);
    set_everywhere(&mut world, 2, &[1]);
    world.run_for(2_000);
    set_everywhere(&mut world, 3, &[]);
    let ended = world.now;
    run_load(&mut world, "a", 1_000);
    let early = requests_since(&world, 1, ended);
    world.run_for(3_000);
    let warm = world.now;
    run_load(&mut world, "b", 1_000);
    let late = requests_since(&world, 1, warm);
    assert!(early < 30, "{early} of 120 reads in the first second");
    assert!(late > 2 * early, "{early}, later {late}");
}

/// Guards against a VM that takes the start of its process for the beginning of the grace period.
#[test]
fn restarted_vm_sends_nothing_to_the_evacuated_databases() {
    let mut world = fleet(6);
    set_everywhere(&mut world, 2, &[0]);
    world.run_for(4_000);
    let since = world.now;
    world.restart(3, catalog(1, 1e6, 100));
    // The list of evacuations arrives after those of databases and VMs.
    for index in 0..10 {
        let caller = world.open(3, HOST, KEY);
        world.send(caller, &format!("early-{index}"), read("1"));
        world.run_for(100);
    }
    world.set_evacuations(3, 2, &[0]);
    let acknowledged = run_load(&mut world, "a", 2_000);
    assert_eq!(arrivals_since(&world, 0, since), 0);
    assert!(acknowledged.len() >= 200, "{}", acknowledged.len());
    assert_kept(&world, &acknowledged);
}

/// All processes start again before the primary was handed over. Nobody knows it, and promoting another database
/// without asking it would lose what only it has.
#[test]
fn primary_is_handed_over_after_all_vms_restarted() {
    let mut world = fleet(6);
    let mut acknowledged = run_load(&mut world, "a", 500);
    world.replicating = false;
    let caller = world.open(2, LATEST, KEY);
    assert!(world.query(caller, "last", write("1")).succeeded());
    acknowledged.push("last".into());
    for vm in 0..6 {
        world.restart(vm, catalog(1, 1e6, 100));
        world.set_evacuations(vm, 2, &[0]);
    }
    world.replicating = true;
    acknowledged.extend(run_load(&mut world, "b", 6_000));
    assert_ne!(primary(&world), Some(0));
    assert_eq!(requests_since(&world, 0, world.now - DurationUs::from_ms(6_000)), 0);
    assert_kept(&world, &acknowledged);
    assert!(run_load(&mut world, "c", 200).len() == 24);
}

#[test]
fn coordinator_killed_in_the_middle_of_a_handover() {
    for after_ms in [20, 150, 350, 700, 1_600] {
        let mut world = fleet(7);
        let callers = open_transactions(&mut world);
        let began = world.now;
        set_everywhere(&mut world, 2, &[0]);
        world.run_for(after_ms);
        let by = (0..7).find(|vm| world.engines[*vm].counts().takeovers > 0);
        let by = by.expect("a VM that hands over");
        world.kill_vm(by);
        let acknowledged = run_load(&mut world, "a", 8_000);
        assert_ne!(primary(&world), Some(0), "killed {} after {after_ms} ms", vm_name(by));
        let bound = began + DurationUs::from_ms(BOUND_MS);
        assert_eq!(requests_since(&world, 0, bound), 0, "after {after_ms} ms");
        assert_kept(&world, &acknowledged);
        for (index, caller) in callers.iter().enumerate().filter(|(vm, _)| *vm != by) {
            let response = world.query(*caller, &format!("c{index}"), Statement::Commit);
            assert_eq!(response.error, Some(ErrorCode::Aborted));
        }
    }
}

/// A replica outside that lags does not get the primary before it has received everything.
#[test]
fn handover_waits_for_the_replicas_outside() {
    let mut world = fleet(6);
    world.replicating = false;
    let caller = world.open(2, LATEST, KEY);
    assert!(world.query(caller, "w", write("1")).succeeded());
    set_everywhere(&mut world, 2, &[0]);
    world.run_for(6_000);
    assert!(world.promotions.is_empty(), "w would be lost");
    let asked = arrivals_since(&world, 0, world.now - DurationUs::from_ms(4_000));
    assert!(asked < 10, "{asked} requests of the failover at the old primary in 4 s");
    let since = world.now;
    world.replicating = true;
    world.run_for(5_000);
    assert_eq!(world.promotions.len(), 1);
    assert_eq!(requests_since(&world, 0, since), 0);
    assert_kept(&world, &["w".into()]);
}

/// The primary fails, and the only replica that has everything is in an evacuated data centre. The others are
/// behind, so promoting one would lose an acknowledged write.
#[test]
fn lagging_replica_is_not_promoted_over_an_evacuated_one() {
    let mut world = fleet(6);
    set_everywhere(&mut world, 2, &[1]);
    world.run_for(2_000);
    world.replicating = false;
    let caller = world.open(2, LATEST, KEY);
    assert!(world.query(caller, "w", write("1")).succeeded());
    world.group.replicate(0, 1);
    world.cut_database_from_vms(0);
    let since = world.now;
    let acknowledged = run_load(&mut world, "a", 4_000);
    assert!(acknowledged.is_empty());
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    assert_eq!(requests_since(&world, 1, since), 0);
    set_everywhere(&mut world, 3, &[]);
    let acknowledged = run_load(&mut world, "b", 5_000);
    assert!(!acknowledged.is_empty());
    assert_eq!(world.promotions, [database_name(1)]);
    assert!(world.group.has_write(1, "w"));
}
