//! Primaries that are lost, leave or are cut off, and who may use them meanwhile.

mod world;

use gateway::{
    PromotionIntent,
    message::{Access, ErrorCode, Statement},
    peers::LEASE_DURATION,
};
use model::prelude::*;
use world::{Endpoint, HOST, KEY, LATEST, World, begin, database_name, read, service, write};

/// Terms of the members, the highest last.
fn leaders(world: &World) -> Vec<usize> {
    (0..3).filter(|member| world.group.members[*member].is_primary).collect()
}

#[test]
fn dark_primary_is_replaced_once() {
    let mut world = World::new(5);
    let a = world.open(2, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.cut_database_from_vms(0);
    for id in ["a1", "a2", "a3", "a4", "a5", "a6"] {
        world.query(a, id, write("1"));
    }
    world.run_for(2_000);
    assert_eq!(world.promotions.len(), 1, "{:?}", world.promotions);
    assert!(world.query(a, "a7", write("1")).succeeded());
    let holder = (1..3).find(|member| world.group.holds(*member, "a7"));
    assert!(holder.is_some(), "the new primary has it");
    assert!(world.group.holds(holder.unwrap_or(0), "a0"), "what was replicated is kept");
}

#[test]
fn dark_primary_gap_stays_below_four_seconds() {
    let mut world = World::new(5);
    let a = world.open(2, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.cut_database_from_vms(0);
    let began = world.now;
    for round in 0..40 {
        if world.query(a, &format!("a{round}"), write("1")).succeeded() {
            break;
        }
    }
    let gap = world.now.since(began);
    assert!(gap < DurationUs::from_ms(4_000), "{} ms", gap.as_ms());
}

/// A VM that is cut off from its peers, but not from the old primary, must not go on with it.
fn check_cut_off_vm(statement: impl Fn(&str) -> Statement) {
    let mut world = World::new(5);
    let (inside, outside) = (world.open(0, LATEST, KEY), world.open(4, LATEST, KEY));
    assert!(world.query(inside, "i0", write("1")).succeeded());
    assert!(world.query(outside, "o0", write("1")).succeeded());
    world.isolate_vm(4);
    world.isolate_database_with_vm(0, 4);
    let mut acknowledged = Vec::new();
    for round in 0..30 {
        let id = format!("i{}", round + 1);
        if world.query(inside, &id, write("1")).succeeded() {
            acknowledged.push(id);
        }
        let id = format!("o{}", round + 1);
        let told = world.query(outside, &id, statement("1"));
        if !told.succeeded() {
            continue;
        }
        let run = world.group.runs.iter().find(|run| *run.id == *id).expect("it ran");
        let member = world.group.index(&run.database).expect("a member");
        for commit in &acknowledged {
            let missing = !world.group.holds(member, commit);
            assert!(!missing, "{id} succeeded at {} without {commit}", run.database);
        }
    }
    assert_eq!(world.promotions.len(), 1);
    assert!(!acknowledged.is_empty(), "the majority goes on");
}

#[test]
fn cut_off_vm_reads_nothing_old() {
    check_cut_off_vm(read);
}

#[test]
fn cut_off_vm_acknowledges_nothing_that_is_lost() {
    check_cut_off_vm(write);
}

#[test]
fn minority_appoints_nobody() {
    let mut world = World::new(5);
    for vm in [3, 4] {
        for other in 0..3 {
            world.cut(Endpoint::Vm(vm), Endpoint::Vm(other));
        }
        world.cut(Endpoint::Vm(vm), Endpoint::Database(0));
    }
    let a = world.open(4, LATEST, KEY);
    for round in 0..6 {
        let told = world.query(a, &format!("a{round}"), write("1"));
        assert!(!told.succeeded());
    }
    assert!(world.promotions.is_empty());
}

#[test]
fn vm_that_knows_no_other_appoints_nobody() {
    let mut world = World::unconfigured(3);
    let catalog = std::sync::Arc::new(world::catalog(1, 1e6, 100));
    let (now, records) = (world.now, world.databases.clone());
    // It has read everything but the list of VMs.
    world.engines[1].set_databases(now, 1, records);
    world.engines[1].set_catalog(now, catalog);
    world.cut_database_from_vms(0);
    world.run_for(5_000);
    assert!(world.promotions.is_empty());
    assert!(!world.engines[1].is_ready());
}

#[test]
fn frozen_vm_wakes_without_a_lease() {
    let mut world = World::new(5);
    let (a, b) = (world.open(4, LATEST, KEY), world.open(1, LATEST, KEY));
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.freeze(4);
    world.isolate_database_with_vm(0, 4);
    for round in 0..10 {
        world.query(b, &format!("b{round}"), write("1"));
    }
    assert_eq!(world.promotions.len(), 1);
    world.thaw(4);
    // The statement reaches it before any heartbeat does.
    world.send(a, "a1", read("1"));
    world.run_for(1_500);
    let told = world.response(a).expect("it is answered");
    let run = world.group.runs.iter().find(|run| &*run.id == "a1");
    let stale = run.is_some_and(|run| run.database == database_name(0));
    assert!(!(told.succeeded() && stale), "{told:?} {run:?}");
}

#[test]
fn leaving_primary_is_handed_over_without_loss() {
    let mut world = World::new(5);
    let callers: Vec<_> = (0..5).map(|vm| world.open(vm, LATEST, KEY)).collect();
    for (vm, caller) in callers.iter().enumerate() {
        assert!(world.query(*caller, &format!("before{vm}"), write("1")).succeeded());
    }
    world.databases[0].leaving = true;
    world.publish_databases(2);
    let mut acknowledged = Vec::new();
    for round in 0..20 {
        for (vm, caller) in callers.iter().enumerate() {
            let id = format!("w{vm}-{round}");
            let told = world.query(*caller, &id, write("1"));
            if told.succeeded() {
                acknowledged.push(id);
            }
        }
    }
    assert_eq!(world.promotions.len(), 1);
    let leader = leaders(&world);
    assert_eq!(leader.len(), 1, "the old primary was demoted");
    for id in acknowledged {
        assert!(world.group.holds(leader[0], &id), "{id} is lost");
    }
}

#[test]
fn transaction_may_end_before_its_primary_is_handed_over() {
    let mut world = World::new(5);
    let a = world.open(3, LATEST, KEY);
    world.query(a, "a0", begin(Access::Write));
    assert!(world.query(a, "a1", write("1")).succeeded());
    world.databases[0].leaving = true;
    world.publish_databases(2);
    world.run_for(500);
    assert!(world.promotions.is_empty());
    assert!(world.query(a, "a2", Statement::Commit).succeeded());
    world.run_for(1_500);
    assert_eq!(world.promotions.len(), 1);
    assert!(world.group.holds(leaders(&world)[0], "a1"));
}

/// A write is on its way to the old primary while another is appointed.
#[test]
fn late_answer_of_the_old_primary_is_no_success() {
    let mut in_doubt = 0;
    for delay_ms in (500..1_000).step_by(10) {
        in_doubt += check_late_answer(delay_ms);
    }
    assert!(in_doubt > 0, "no write was under way at a promotion");
}

/// Returns how many writes were acknowledged or left in doubt that ran after the promotion.
fn check_late_answer(delay_ms: u64) -> usize {
    let mut world = World::new(5);
    let (a, b) = (world.open(4, LATEST, KEY), world.open(1, LATEST, KEY));
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.run_for(100);
    world.isolate_database_with_vm(0, 4);
    // The write leaves before its VM is told to stop, and arrives after the promotion.
    world.delays_ms.insert((Endpoint::Vm(4), Endpoint::Database(0)), delay_ms);
    for round in 1..12 {
        world.send(a, &format!("a{round}"), write("1"));
        world.query(b, &format!("b{round}"), write("1"));
        world.run_for(300);
    }
    world.run_for(3_000);
    let told = world.responses(a).iter().enumerate();
    let acknowledged: Vec<String> =
        told.filter(|(_, told)| told.succeeded()).map(|(round, _)| format!("a{round}")).collect();
    assert_eq!(world.promotions.len(), 1);
    let leader = (1..3).find(|member| world.group.members[*member].is_primary).expect("one leads");
    let promoted = &world.group.members[leader];
    let after: Vec<&String> = acknowledged
        .iter()
        .filter(|id| !world.group.holds(leader, id))
        .filter(|id| world.committed_after_promotion(0, id))
        .collect();
    assert!(after.is_empty(), "{after:?} acknowledged, not at {}", promoted.name);
    let late = (1..12).filter(|round| world.committed_after_promotion(0, &format!("a{round}")));
    late.count()
}

/// The end of a transaction that only read is under way while another primary is appointed.
#[test]
fn late_end_of_a_reading_transaction_runs_once() {
    for delay_ms in (300..900).step_by(20) {
        let mut world = World::new(5);
        let (a, b) = (world.open(4, LATEST, KEY), world.open(1, LATEST, KEY));
        assert!(world.query(a, "a0", write("1")).succeeded());
        world.isolate_database_with_vm(0, 4);
        world.query(a, "a1", begin(Access::Read));
        assert!(world.query(a, "a2", read("1")).succeeded());
        world.delays_ms.insert((Endpoint::Vm(4), Endpoint::Database(0)), delay_ms);
        for round in 0..12 {
            world.send(b, &format!("b{round}"), write("1"));
            world.run_for(100);
        }
        world.send(a, "a3", Statement::Commit);
        world.run_for(4_000);
        let strays = world.group.stray_commits;
        assert_eq!(strays, 0, "an end without a transaction, {delay_ms} ms late");
    }
}

#[test]
fn promotion_waits_for_a_vm_that_has_not_stopped() {
    let mut world = World::new(5);
    let a = world.open(1, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    // Nobody can ask it to stop, and its last heartbeat has just been answered.
    world.isolate_vm(4);
    world.cut_database_from_vms(0);
    let began = world.now;
    while world.promotions.is_empty() && world.now.since(began) < DurationUs::from_ms(6_000) {
        world.send(a, "a1", write("1"));
        world.run_for(100);
    }
    let gap = world.now.since(began);
    assert!(!world.promotions.is_empty());
    assert!(gap >= LEASE_DURATION, "{} ms", gap.as_ms());
}

#[test]
fn tokens_of_orders_only_rise() {
    let mut world = World::new(5);
    let a = world.open(1, LATEST, KEY);
    let mut round = 0;
    for lost in [0, 1] {
        world.cut_database_from_vms(lost);
        for _ in 0..12 {
            round += 1;
            world.query(a, &format!("a{round}"), write("1"));
        }
    }
    assert!(world.promotions.len() >= 2, "{:?}", world.promotions);
    let tokens: Vec<u64> = world.orders.iter().map(|(_, token)| *token).collect();
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
}

#[test]
fn transaction_at_a_lost_primary_is_aborted() {
    let mut world = World::new(5);
    let a = world.open(1, HOST, KEY);
    world.query(a, "a0", begin(Access::Write));
    assert!(world.query(a, "a1", write("1")).succeeded());
    world.cut_database_from_vms(0);
    let told = world.query(a, "a2", write("2"));
    assert_eq!(told.error, Some(ErrorCode::Aborted));
    assert!(world.query(a, "a3", Statement::Rollback).succeeded());
}

#[test]
fn commit_without_an_answer_is_in_doubt() {
    let mut world = World::new(5);
    let a = world.open(1, HOST, KEY);
    world.query(a, "a0", begin(Access::Write));
    assert!(world.query(a, "a1", write("1")).succeeded());
    world.cut_database_from_vms(0);
    assert_eq!(world.query(a, "a2", Statement::Commit).error, Some(ErrorCode::InDoubt));
}

/// A VM that starts anew has forgotten what it promised; the store tells it what may be under way.
#[test]
fn vm_that_starts_anew_does_not_use_a_primary_that_may_be_replaced() {
    let mut world = World::new(1);
    let a = world.open(0, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.restart(0, world::catalog(1, 1e6, 100));
    let now = world.now;
    world.engines[0].set_intents(now, vec![PromotionIntent { service: service(), term: Term(2) }]);
    let b = world.open(0, LATEST, KEY);
    world.run_for(100);
    assert!(!world.query(b, "b0", read("1")).succeeded());
    world.group.promote(&database_name(1));
    world.databases[0].role = gateway::catalog::Role::Replica;
    world.databases[1].role = gateway::catalog::Role::Primary;
    world.publish_databases(2);
    world.run_for(1_000);
    assert!(world.query(b, "b1", read("1")).succeeded());
    let run = world.group.runs.last().expect("it ran");
    assert_eq!(run.database, database_name(1));
}

/// A VM comes back after a primary was replaced, and reaches only the old one at first.
#[test]
fn vm_that_comes_back_learns_of_the_change_before_it_reads() {
    let mut world = World::new(5);
    let (a, b) = (world.open(4, LATEST, KEY), world.open(1, LATEST, KEY));
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.isolate_vm(4);
    world.isolate_database_with_vm(0, 4);
    for round in 0..12 {
        world.query(b, &format!("b{round}"), write("1"));
    }
    assert_eq!(world.promotions.len(), 1);
    // The change is no longer news.
    world.run_for(6_000);
    for other in 0..4 {
        world.heal(Endpoint::Vm(4), Endpoint::Vm(other));
    }
    let mut served = 0;
    for round in 1..60 {
        let id = format!("a{round}");
        let told = world.query(a, &id, read("1"));
        if !told.succeeded() {
            continue;
        }
        served += 1;
        let run = world.group.runs.iter().find(|run| *run.id == *id).expect("it ran");
        assert_ne!(run.database, database_name(0), "{id} saw nothing of the new term");
    }
    assert!(served > 10, "{served}");
}

/// Databases enter themselves one after the other, the primary last.
#[test]
fn primary_that_starts_last_is_not_replaced() {
    let mut world = World::unconfigured(5);
    let all = world.databases.clone();
    world.databases = vec![all[1].clone()];
    world.configure(world::catalog(1, 1e6, 100));
    world.run_for(3_000);
    world.databases = all;
    world.publish_databases(2);
    world.run_for(3_000);
    assert!(world.promotions.is_empty());
    let a = world.open(1, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    assert!(world.group.holds(0, "a0"));
}

/// No VM has known a leader, and none enters itself: the term that is prepared is above all that began.
#[test]
fn service_without_a_leader_gets_one_of_a_new_term() {
    let mut world = World::unconfigured(3);
    world.cut_database_from_vms(0);
    let all = world.databases.clone();
    world.databases = all[1..].to_vec();
    world.configure(world::catalog(1, 1e6, 100));
    world.run_for(10_000);
    assert_eq!(world.promotions.len(), 1);
    // The old primary is back and takes itself for one.
    world.cuts.clear();
    world.databases = all;
    world.replicating = false;
    world.publish_databases(2);
    let a = world.open(1, LATEST, KEY);
    for round in 0..5 {
        let id = format!("a{round}");
        assert!(world.query(a, &id, write("1")).succeeded());
        assert!(!world.group.holds(0, &id), "it was replaced");
    }
}

/// The store was silent, and every entry lapsed meanwhile.
#[test]
fn entries_that_return_replace_nobody() {
    let mut world = World::new(5);
    let a = world.open(1, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    let all = std::mem::take(&mut world.databases);
    world.publish_databases(2);
    world.run_for(1_500);
    assert!(world.query(a, "a1", write("1")).succeeded());
    world.databases = all;
    world.publish_databases(3);
    world.run_for(3_000);
    assert!(world.query(a, "a2", write("1")).succeeded());
    assert!(world.promotions.is_empty());
}

/// The VM that replaces a primary stops at some moment of its attempt.
#[test]
fn attempt_of_a_vm_that_is_gone_is_taken_over() {
    for after_ms in [0, 20, 60, 150, 300, 400] {
        let mut world = World::new(5);
        let a = world.open(3, LATEST, KEY);
        assert!(world.query(a, "a0", write("1")).succeeded());
        world.cut_database_from_vms(0);
        while world.engines[0].counts().takeovers == 0 {
            world.send(a, "lost", write("1"));
            world.run_for(50);
        }
        world.run_for(after_ms);
        world.freeze(0);
        let b = world.open(3, LATEST, KEY);
        let began = world.now;
        let mut round = 0;
        loop {
            round += 1;
            if world.query(b, &format!("b{round}"), write("1")).succeeded() {
                break;
            }
            let gap = world.now.since(began);
            assert!(
                gap < DurationUs::from_ms(9_000),
                "{after_ms} ms in: none after {}",
                gap.as_ms()
            );
        }
        let tokens: Vec<u64> = world.orders.iter().map(|(_, token)| *token).collect();
        assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    }
}

/// The store turns away the VM that would act, and serves the others.
fn check_replaced_without_the_store(make_due: impl Fn(&mut World)) {
    for turned_away in [1, 3] {
        let mut world = World::new(5);
        let caller = world.open(4, LATEST, KEY);
        assert!(world.query(caller, "w0", write("1")).succeeded());
        world.vms_without_store.extend(0..turned_away);
        make_due(&mut world);
        let began = world.now;
        while world.promotions.is_empty() {
            world.run_for(100);
            let gap = world.now.since(began);
            assert!(gap < DurationUs::from_ms(5_000), "{turned_away} VMs turned away");
        }
        world.run_for(1_000);
        assert!(world.query(caller, "w1", write("1")).succeeded());
        assert_eq!(world.promotions.len(), 1);
    }
}

#[test]
fn lost_primary_is_replaced_by_a_vm_that_the_store_answers() {
    check_replaced_without_the_store(|world| {
        world.cut_database_from_vms(0);
        // Its silence is noticed by those who use it.
        let caller = world.open(1, LATEST, KEY);
        world.send(caller, "x", write("1"));
    });
}

#[test]
fn leaving_primary_is_replaced_by_a_vm_that_the_store_answers() {
    check_replaced_without_the_store(|world| {
        world.databases[0].leaving = true;
        world.publish_databases(2);
    });
}

/// The old primary takes a write after another has taken over, and answers a VM that has heard of it.
#[test]
fn answer_of_the_old_primary_after_the_new_term_is_known_is_no_success() {
    let mut world = World::new(5);
    let caller = world.open(2, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(2)), 100);
    world.send(caller, "w1", write("1"));
    world.run_for(20);
    world.group.promote(&database_name(1));
    world.announce_primary(2, 2, 1);
    world.run_for(500);
    let told = world.response(caller).expect("it is answered");
    assert_eq!((told.complete, told.error), (None, Some(ErrorCode::InDoubt)));
}

/// A transaction that wrote at the old primary is not committed there once another has taken over, whatever
/// of it was in progress when that became known.
#[test]
fn transaction_is_not_committed_at_the_old_primary() {
    for delay_ms in [0, 100] {
        let mut world = World::new(5);
        let caller = world.open(2, LATEST, KEY);
        world.query(caller, "b0", begin(Access::Write));
        assert!(world.query(caller, "w0", write("1")).succeeded());
        world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(2)), delay_ms);
        world.send(caller, "w1", write("2"));
        world.run_for(20);
        world.replicating = false;
        world.group.promote(&database_name(1));
        world.announce_primary(2, 2, 1);
        world.run_for(300);
        let told = world.query(caller, "c0", Statement::Commit);
        assert_eq!(told.error, Some(ErrorCode::Aborted), "{delay_ms} ms");
        assert!(!world.group.holds(0, "w0"), "{delay_ms} ms: it was said that nothing is kept");
    }
}

/// The store turns everybody away: the VM that acts does not call it without pause, and goes on once it is
/// back.
#[test]
fn store_that_is_away_is_not_called_without_pause() {
    let mut world = World::new(5);
    let caller = world.open(1, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.vms_without_store.extend(0..5);
    world.cut_database_from_vms(0);
    world.send(caller, "x", write("1"));
    world.run_for(10_000);
    assert!(world.promotions.is_empty());
    // Ten seconds, at most four calls each.
    assert!(world.failed_store_calls <= 40, "{} calls", world.failed_store_calls);
    world.vms_without_store.clear();
    world.run_for(3_000);
    assert_eq!(world.promotions.len(), 1);
}

/// The token was raised for a promotion that was given up before its order, and VMs that start anew read of
/// it. Nobody is at it any more, so somebody has to take it over.
#[test]
fn promotion_that_was_never_ordered_does_not_stop_the_service() {
    let mut world = World::new(5);
    let caller = world.open(0, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    for vm in [1, 4] {
        world.restart(vm, world::catalog(1, 1e6, 100));
        let (now, intent) = (world.now, PromotionIntent { service: service(), term: Term(2) });
        world.engines[vm].set_intents(now, vec![intent]);
    }
    world.run_for(5_000);
    for vm in 0..5 {
        let caller = world.open(vm, LATEST, KEY);
        assert!(world.query(caller, &format!("w{vm}-1"), write("1")).succeeded(), "VM {vm}");
    }
}
