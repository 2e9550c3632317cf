//! Failover and planned change of a primary: no acknowledged write is lost, no read is stale, and
//! service resumes soon.

mod world;

use gateway::{
    failover::PLANNED_SUSPEND_TIMEOUT,
    message::{Access, ErrorCode, Statement},
    peers::PeerBody,
    promotions::RecordedPromotion,
    witnesses::LEASE_DURATION,
};
use model::prelude::*;
use world::{
    Caller, Endpoint, HOST, KEY, LATEST, World, begin, database_name, read, service, write,
};

/// A recorded promotion of the second database.
fn promotion(term: u64, token: u64) -> RecordedPromotion {
    let database = Some(database_name(1));
    RecordedPromotion { term: Term(term), database, token, ended: false }
}

/// Indices of the databases that are primary.
fn primaries(world: &World) -> Vec<usize> {
    (0..3).filter(|member| world.group.members[*member].is_primary).collect()
}

#[test]
fn unreachable_primary_is_replaced_once() {
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
    let holder = (1..3).find(|member| world.group.has_write(*member, "a7"));
    assert!(holder.is_some(), "the new primary holds a7");
    assert!(
        world.group.has_write(holder.unwrap_or(0), "a0"),
        "the new primary holds a0, which was replicated"
    );
}

#[test]
fn writes_resume_within_four_seconds_of_losing_the_primary() {
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

/// Guards against a VM that keeps using the old primary after it has lost contact with its peers,
/// but not with that primary.
fn check_isolated_vm(statement: impl Fn(&str) -> Statement) {
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
        let response = world.query(outside, &id, statement("1"));
        if !response.succeeded() {
            continue;
        }
        let run = world.group.runs.iter().find(|run| *run.id == *id).expect("it ran");
        let member = world.group.member_index(&run.database).expect("a member");
        for commit in &acknowledged {
            let missing = !world.group.has_write(member, commit);
            assert!(!missing, "{id} succeeded at {} without {commit}", run.database);
        }
    }
    assert_eq!(world.promotions.len(), 1);
    assert!(!acknowledged.is_empty(), "the majority keeps serving");
}

#[test]
fn isolated_vm_reads_no_stale_data() {
    check_isolated_vm(read);
}

#[test]
fn isolated_vm_acknowledges_no_write_that_is_lost() {
    check_isolated_vm(write);
}

#[test]
fn minority_promotes_no_database() {
    let mut world = World::new(5);
    for vm in [3, 4] {
        for other in 0..3 {
            world.cut(Endpoint::Vm(vm), Endpoint::Vm(other));
        }
        world.cut(Endpoint::Vm(vm), Endpoint::Database(0));
    }
    let a = world.open(4, LATEST, KEY);
    for round in 0..6 {
        let response = world.query(a, &format!("a{round}"), write("1"));
        assert!(!response.succeeded());
    }
    assert!(world.promotions.is_empty());
}

#[test]
fn vm_without_a_member_list_promotes_no_database() {
    let mut world = World::unconfigured(3);
    let catalog = std::sync::Arc::new(world::catalog(1, 1e6, 100));
    let (now, records) = (world.now, world.databases.clone());
    // It has received everything except the member list.
    world.engines[1].set_databases(now, 1, records);
    world.engines[1].set_catalog(now, catalog);
    world.cut_database_from_vms(0);
    world.run_for(5_000);
    assert!(world.promotions.is_empty());
    assert!(!world.engines[1].is_ready());
}

#[test]
fn frozen_vm_thaws_without_a_lease() {
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
    // The statement reaches the VM before any heartbeat does.
    world.send(a, "a1", read("1"));
    world.run_for(1_500);
    let response = world.response(a).expect("it is answered");
    let run = world.group.runs.iter().find(|run| &*run.id == "a1");
    let stale = run.is_some_and(|run| run.database == database_name(0));
    assert!(!(response.succeeded() && stale), "{response:?} {run:?}");
}

#[test]
fn planned_change_loses_no_acknowledged_write() {
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
            let response = world.query(*caller, &id, write("1"));
            if response.succeeded() {
                acknowledged.push(id);
            }
        }
    }
    assert_eq!(world.promotions.len(), 1);
    let primary = primaries(&world);
    assert_eq!(primary.len(), 1, "the old primary was demoted");
    for id in acknowledged {
        assert!(world.group.has_write(primary[0], &id), "{id} is lost");
    }
}

#[test]
fn planned_change_waits_for_open_transactions() {
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
    assert!(world.group.has_write(primaries(&world)[0], "a1"));
}

/// Guards against a success for a write that reached the old primary only after the promotion of
/// another database, and is lost.
#[test]
fn late_answer_of_the_old_primary_is_not_a_success() {
    let mut in_doubt = 0;
    for delay_ms in (500..1_000).step_by(10) {
        in_doubt += check_late_answer(delay_ms);
    }
    assert!(in_doubt > 0, "no write was in progress during a promotion");
}

/// Delays the messages of one VM to the old primary by `delay_ms`. Returns the number of its writes
/// that the old primary committed after the promotion.
fn check_late_answer(delay_ms: u64) -> usize {
    let mut world = World::new(5);
    let holder = world.holder(0);
    let (a, b) = (world.open(holder, LATEST, KEY), world.open(1, LATEST, KEY));
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.run_for(100);
    world.isolate_database_with_vm(0, holder);
    // The write is sent before its VM suspends use of the primary, and arrives after the promotion.
    world.delays_ms.insert((Endpoint::Vm(holder), Endpoint::Database(0)), delay_ms);
    for round in 1..12 {
        world.send(a, &format!("a{round}"), write("1"));
        world.query(b, &format!("b{round}"), write("1"));
        world.run_for(300);
    }
    world.run_for(3_000);
    let responses = world.responses(a).iter().enumerate();
    let acknowledged: Vec<String> = responses
        .filter(|(_, response)| response.succeeded())
        .map(|(round, _)| format!("a{round}"))
        .collect();
    assert_eq!(world.promotions.len(), 1);
    let primary =
        (1..3).find(|member| world.group.members[*member].is_primary).expect("a new primary");
    let promoted = &world.group.members[primary];
    let after: Vec<&String> = acknowledged
        .iter()
        .filter(|id| !world.group.has_write(primary, id))
        .filter(|id| world.committed_after_promotion(0, id))
        .collect();
    assert!(after.is_empty(), "{after:?} acknowledged, not at {}", promoted.name);
    let late = (1..12).filter(|round| world.committed_after_promotion(0, &format!("a{round}")));
    late.count()
}

/// Guards against sending the commit of a read-only transaction again to a database that has no
/// such transaction, when its answer is late during a failover.
#[test]
fn late_commit_of_a_read_only_transaction_is_not_repeated() {
    for delay_ms in (300..900).step_by(20) {
        let mut world = World::new(5);
        let holder = world.holder(0);
        let (a, b) = (world.open(holder, LATEST, KEY), world.open(1, LATEST, KEY));
        assert!(world.query(a, "a0", write("1")).succeeded());
        world.isolate_database_with_vm(0, holder);
        world.query(a, "a1", begin(Access::Read));
        assert!(world.query(a, "a2", read("1")).succeeded());
        world.delays_ms.insert((Endpoint::Vm(holder), Endpoint::Database(0)), delay_ms);
        for round in 0..12 {
            world.send(b, &format!("b{round}"), write("1"));
            world.run_for(100);
        }
        world.send(a, "a3", Statement::Commit);
        world.run_for(4_000);
        let strays = world.group.commits_outside_transaction;
        assert_eq!(strays, 0, "commits without a transaction, {delay_ms} ms late");
    }
}

#[test]
fn promotion_waits_for_the_lease_of_a_vm_that_has_not_confirmed() {
    let mut world = World::new(5);
    let a = world.open(1, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    // It can't confirm the suspension, and its last heartbeat has just been answered.
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
fn promotion_requests_have_rising_tokens() {
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
    let tokens: Vec<u64> = world.promotion_requests.iter().map(|(_, token)| *token).collect();
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
}

#[test]
fn transaction_at_a_lost_primary_is_aborted() {
    let mut world = World::new(5);
    let a = world.open(1, HOST, KEY);
    world.query(a, "a0", begin(Access::Write));
    assert!(world.query(a, "a1", write("1")).succeeded());
    world.cut_database_from_vms(0);
    let response = world.query(a, "a2", write("2"));
    assert_eq!(response.error, Some(ErrorCode::Aborted));
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

/// Guards against a VM that forgets its promises in a restart: the intents in the store tell it
/// which promotions may be in progress.
#[test]
fn restarted_vm_does_not_use_a_primary_that_may_be_replaced() {
    let mut world = World::new(1);
    let a = world.open(0, LATEST, KEY);
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.restart(0, world::catalog(1, 1e6, 100));
    let now = world.now;
    let recorded = promotion(2, 1);
    world.engines[0].set_intents(now, &[(service(), recorded)]);
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

/// Guards against stale reads at a VM that rejoins after a failover, and at first reaches only the
/// old primary.
#[test]
fn rejoining_vm_learns_the_new_term_before_it_reads() {
    let mut world = World::new(5);
    let (a, b) = (world.open(4, LATEST, KEY), world.open(1, LATEST, KEY));
    assert!(world.query(a, "a0", write("1")).succeeded());
    world.isolate_vm(4);
    world.isolate_database_with_vm(0, 4);
    for round in 0..12 {
        world.query(b, &format!("b{round}"), write("1"));
    }
    assert_eq!(world.promotions.len(), 1);
    // By now, heartbeats no longer report the new term as news.
    world.run_for(6_000);
    for other in 0..4 {
        world.heal(Endpoint::Vm(4), Endpoint::Vm(other));
    }
    let mut served = 0;
    for round in 1..60 {
        let id = format!("a{round}");
        let response = world.query(a, &id, read("1"));
        if !response.succeeded() {
            continue;
        }
        served += 1;
        let run = world.group.runs.iter().find(|run| *run.id == *id).expect("it ran");
        assert_ne!(run.database, database_name(0), "{id} ran at the old primary");
    }
    assert!(served > 10, "{served}");
}

/// Guards against replacing a primary that starts after the replicas, so that they register first.
#[test]
fn primary_that_registers_last_is_not_replaced() {
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
    assert!(world.group.has_write(0, "a0"));
}

/// No VM has ever known the primary, and it does not register: the prepared term has to be above
/// every term that has begun.
#[test]
fn service_without_a_primary_gets_one_in_a_new_term() {
    let mut world = World::unconfigured(3);
    world.cut_database_from_vms(0);
    let all = world.databases.clone();
    world.databases = all[1..].to_vec();
    world.configure(world::catalog(1, 1e6, 100));
    world.run_for(10_000);
    assert_eq!(world.promotions.len(), 1);
    // The old primary returns and claims to be primary.
    world.cuts.clear();
    world.databases = all;
    world.replicating = false;
    world.publish_databases(2);
    let a = world.open(1, LATEST, KEY);
    for round in 0..5 {
        let id = format!("a{round}");
        assert!(world.query(a, &id, write("1")).succeeded());
        assert!(!world.group.has_write(0, &id), "the old primary was replaced");
    }
}

/// Guards against a failover after a store outage in which the entries of all databases expired.
#[test]
fn database_entries_that_return_cause_no_failover() {
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

/// The VM that replaces a primary is lost during its attempt.
#[test]
fn attempt_of_a_lost_vm_is_taken_over() {
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
                "attempt lost after {after_ms} ms: no write in {} ms",
                gap.as_ms()
            );
        }
        let tokens: Vec<u64> = world.promotion_requests.iter().map(|(_, token)| *token).collect();
        assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    }
}

/// The VM that replaces a primary loses its state during its attempt. Its next run learns of the suspension from
/// the others, and must not keep it alive.
#[test]
fn attempt_of_a_restarted_vm_is_taken_over() {
    for after_ms in [0, 100, 200, 300] {
        let mut world = World::new(5);
        let a = world.open(3, LATEST, KEY);
        assert!(world.query(a, "a0", write("1")).succeeded());
        // The VM that acts in its place is not the one to act after its return.
        world.freeze(0);
        world.cut_database_from_vms(0);
        for round in 0..500 {
            if world.engines.iter().any(|engine| engine.counts().takeovers > 0) {
                break;
            }
            if world.response(a).is_some() {
                world.send(a, &format!("lost{round}"), write("1"));
            }
            world.run_for(10);
        }
        let by = world.engines.iter().position(|engine| engine.counts().takeovers > 0);
        world.run_for(after_ms);
        world.thaw(0);
        let by = by.expect("a VM that replaces the primary");
        world.restart(by, world::catalog(1, 1e6, 100));
        world.run_for(7_000);
        let b = world.open((by + 1) % 5, LATEST, KEY);
        let response = world.query(b, "b0", write("1"));
        assert!(response.succeeded(), "restarted after {after_ms} ms: {response:?}");
    }
}

/// Guards against an attempt that hangs because the store refuses calls of the VM that would be the
/// coordinator, but serves other VMs.
fn check_replaced_while_the_store_refuses_some(make_due: impl Fn(&mut World)) {
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
    check_replaced_while_the_store_refuses_some(|world| {
        world.cut_database_from_vms(0);
        // Only VMs that use the primary notice that it does not answer.
        let caller = world.open(1, LATEST, KEY);
        world.send(caller, "x", write("1"));
    });
}

#[test]
fn leaving_primary_is_replaced_by_a_vm_that_the_store_answers() {
    check_replaced_while_the_store_refuses_some(|world| {
        world.databases[0].leaving = true;
        world.publish_databases(2);
    });
}

/// Guards against a success when the old primary commits a write after a failover, and its answer
/// reaches a VM that knows the new term.
#[test]
fn answer_of_the_old_primary_after_the_new_term_is_known_is_not_a_success() {
    let mut world = World::new(5);
    let caller = world.open(2, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.delays_ms.insert((Endpoint::Database(0), Endpoint::Vm(2)), 100);
    world.send(caller, "w1", write("1"));
    world.run_for(20);
    world.group.promote(&database_name(1));
    world.announce_primary(2, 2, 1);
    world.run_for(500);
    let response = world.response(caller).expect("it is answered");
    assert_eq!((response.complete, response.error), (None, Some(ErrorCode::InDoubt)));
}

/// Guards against committing a transaction that wrote at the old primary, whatever was in progress
/// in it when the new term became known.
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
        let response = world.query(caller, "c0", Statement::Commit);
        assert_eq!(response.error, Some(ErrorCode::Aborted), "{delay_ms} ms");
        assert!(
            !world.group.has_write(0, "w0"),
            "{delay_ms} ms: the transaction was reported as aborted"
        );
    }
}

/// Guards against calling a store without pause while it refuses all calls. The failover completes
/// once the store is back.
#[test]
fn calls_to_an_unavailable_store_are_limited() {
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

/// Guards against a service that stays suspended because a token was raised for a promotion that
/// was then given up before it was requested. VMs that restart read its intent, and one of them has
/// to complete the change.
#[test]
fn abandoned_promotion_does_not_suspend_the_service() {
    let mut world = World::new(5);
    let caller = world.open(0, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    for vm in [1, 4] {
        world.restart(vm, world::catalog(1, 1e6, 100));
        let now = world.now;
        world.recorded = Some(promotion(2, 0));
        let recorded = world.recorded();
        world.engines[vm].set_intents(now, &recorded);
    }
    world.run_for(5_000);
    for vm in 0..5 {
        let caller = world.open(vm, LATEST, KEY);
        assert!(world.query(caller, &format!("w{vm}-1"), write("1")).succeeded(), "VM {vm}");
    }
}

/// A connection on which bytes were lost may stay open and silent for ever. One that carried a status query
/// has no caller whose time limit would close it.
#[test]
fn lost_answer_to_a_status_query_does_not_end_the_use_of_a_database() {
    for cut_after_ms in (0..400).step_by(10) {
        let mut world = World::new(5);
        let (a, other) = (world.open(3, LATEST, KEY), world.open(1, LATEST, KEY));
        let mut writes = 0;
        // The other VM keeps the primary in use, so that it is not replaced.
        let mut run_for = |world: &mut World, ms: u64| {
            for _ in 0..ms / 10 {
                if world.responses(other).last().is_none_or(|response| response.state.is_some()) {
                    writes += 1;
                    world.send(other, &format!("o{writes}"), write("1"));
                }
                world.run_for(10);
            }
        };
        assert!(world.query(a, "a0", write("1")).succeeded());
        let path = (Endpoint::Vm(3), Endpoint::Database(0));
        // The VM suspects the primary and queries its status until it answers.
        world.cut(path.0, path.1);
        world.send(a, "a1", write("1"));
        run_for(&mut world, 1_500);
        world.heal(path.0, path.1);
        run_for(&mut world, cut_after_ms);
        world.cut(path.0, path.1);
        run_for(&mut world, 20);
        world.heal(path.0, path.1);
        run_for(&mut world, 3_000);
        assert!(world.promotions.is_empty(), "cut after {cut_after_ms} ms");
        let response = world.query(a, "a2", write("1"));
        assert!(response.succeeded(), "cut after {cut_after_ms} ms: {response:?}");
    }
}

/// Returns the VM that requested the first promotion.
fn run_until_promotion_requested(world: &mut World) -> usize {
    for _ in 0..500 {
        if let Some((by, _)) = world.promotion_requests.first() {
            return *by;
        }
        world.run_for(10);
    }
    panic!("no promotion was requested within 5 s");
}

/// The VM that replaces a leaving primary loses the store after it has requested the promotion, so another VM is the
/// coordinator. A second promotion, of another database, would take the lead from the first one while VMs use it.
#[test]
fn coordinator_leaves_a_promotion_under_way_to_the_vm_that_requested_it() {
    for after_ms in [0, 20, 50, 100, 200, 250] {
        let mut world = World::new(5);
        let a = world.open(3, LATEST, KEY);
        assert!(world.query(a, "a0", write("1")).succeeded());
        world.databases[0].leaving = true;
        world.publish_databases(2);
        let by = run_until_promotion_requested(&mut world);
        world.run_for(after_ms);
        let now = world.now;
        world.vms_without_store.insert(by);
        world.engines[by].note_store_result(now, false);
        world.run_for(4_000);
        assert_eq!(world.promotion_requests.len(), 1, "store lost after {after_ms} ms");
        assert!(world.query(a, "a1", write("1")).succeeded());
    }
}

/// Transactions that their callers don't end are rolled back once a planned change has waited long enough, however
/// often the VM that carries the change out repeats its request. They are open on most witnesses, whose
/// confirmations the change needs.
#[test]
fn planned_change_does_not_wait_for_idle_transactions_for_ever() {
    let mut world = World::new(5);
    let callers: Vec<_> = (0..5).map(|vm| world.open(vm, LATEST, KEY)).collect();
    for (index, caller) in callers.iter().enumerate() {
        assert!(world.query(*caller, &format!("b{index}"), begin(Access::Write)).succeeded());
        assert!(world.query(*caller, &format!("w{index}"), write("1")).succeeded());
    }
    world.databases[0].leaving = true;
    world.publish_databases(2);
    world.run_for(PLANNED_SUSPEND_TIMEOUT.as_ms() + 1_000);
    assert_eq!(world.promotions.len(), 1);
    for (index, caller) in callers.iter().enumerate() {
        let response = world.query(*caller, &format!("c{index}"), Statement::Commit);
        assert_eq!(response.error, Some(ErrorCode::Aborted));
    }
}

/// Two VMs prepare the same term, since neither knew of the other when it began. One of them gives up
/// while the other one's promotion is under way. No VM may use the old primary until that has ended.
#[test]
fn old_primary_stays_suspended_while_one_of_two_vms_prepares_its_replacement() {
    for after_ms in [0, 50, 100, 200] {
        let mut world = World::new(5);
        let sessions: Vec<Caller> = (0..5).map(|vm| world.open(vm, LATEST, KEY)).collect();
        assert!(world.query(sessions[3], "w0", write("1")).succeeded());
        world.cut_database_from_vms(0);
        world.send(sessions[3], "w1", write("1"));
        let by = run_until_promotion_requested(&mut world);
        world.run_for(after_ms);
        let other = (by + 1) % 5;
        let prepares = PeerBody::Stop { service: service(), term: Term(2), planned: false };
        let gives_up = PeerBody::Decided { service: service(), term: Term(2), primary: None };
        for body in [prepares, gives_up] {
            for vm in (0..5).filter(|vm| *vm != other) {
                world.deliver_from_peer(other, vm, body.clone());
            }
            world.run_for(20);
        }
        world.cuts.clear();
        let earlier_runs = world.group.runs.len();
        for vm in (0..5).filter(|vm| *vm != 3) {
            world.send(sessions[vm], &format!("r{vm}"), read("1"));
        }
        world.run_for(2_000);
        for run in &world.group.runs[earlier_runs..] {
            assert_ne!(run.database, database_name(0), "{} {after_ms} ms later", run.id);
        }
        for vm in (0..5).filter(|vm| *vm != 3) {
            assert!(world.response(sessions[vm]).is_some_and(|r| r.succeeded()), "VM {vm}");
        }
    }
}

/// VMs 1 and 2 have confirmed a suspension to VM 0 and then to VM 3, and report the latter to VM 4, which has
/// not heard of VM 0. Once VM 3 gives up, the lease of VM 4 still rests on those reports, so it may not use
/// the old primary before newer ones have come, and those name VM 0.
#[test]
fn suspension_outlasts_the_lease_that_rests_on_earlier_reports() {
    for after_ms in (310..610).step_by(50) {
        let mut world = World::new(5);
        let caller = world.open(4, LATEST, KEY);
        assert!(world.query(caller, "w0", write("1")).succeeded());
        let prepares = PeerBody::Stop { service: service(), term: Term(2), planned: false };
        for (by, vm) in [(0, 1), (0, 2), (3, 1), (3, 2), (3, 4)] {
            world.deliver_from_peer(by, vm, prepares.clone());
        }
        world.run_for(after_ms);
        let gives_up = PeerBody::Decided { service: service(), term: Term(2), primary: None };
        for vm in 0..5 {
            world.deliver_from_peer(3, vm, gives_up.clone());
        }
        let earlier_runs = world.group.runs.len();
        for id in ["r0", "r1"] {
            let caller = world.open(4, LATEST, KEY);
            world.send(caller, id, read("1"));
            world.run_for(LEASE_DURATION.as_ms() + 50);
            assert!(world.engines[4].is_ready(), "no lease, so this shows nothing");
        }
        for run in &world.group.runs[earlier_runs..] {
            assert_ne!(run.database, database_name(0), "{} after {after_ms} ms", run.id);
        }
    }
}

/// The VM that replaces a primary stands still in its attempt, and another one takes the failover over. Guards against a
/// second promotion for the same term, after which writes are acknowledged at the first of the two databases.
#[test]
fn vm_that_stood_still_promotes_no_second_database_in_the_term() {
    for after_ms in [0, 10, 20, 100, 400, 620] {
        for still_ms in [1_700, 2_100, 2_600, 3_400] {
            check_standstill(after_ms, still_ms);
        }
    }
}

fn check_standstill(after_ms: u64, still_ms: u64) {
    let case = format!("stands still after {after_ms} ms, for {still_ms} ms");
    let mut world = World::new(5);
    world.promotion_ms = 1_000;
    let callers: Vec<Caller> = (1..5).map(|vm| world.open(vm, LATEST, KEY)).collect();
    for (index, caller) in callers.iter().enumerate() {
        assert!(world.query(*caller, &format!("w{index}-0"), write("1")).succeeded());
    }
    // Replicas that differ, so that VMs with different answers choose different databases.
    world.replicating = false;
    assert!(world.query(callers[0], "last", write("1")).succeeded());
    world.group.replicate(0, 1);
    world.cut_database_from_vms(0);
    world.delays_ms.insert((Endpoint::Database(1), Endpoint::Vm(0)), 8_000);
    let mut sent = 0;
    let mut write_all = |world: &mut World, ms: u64| {
        for _ in 0..ms / 10 {
            for (index, caller) in callers.iter().enumerate() {
                if world.response(*caller).is_some() {
                    sent += 1;
                    world.send(*caller, &format!("w{index}-{sent}"), write("1"));
                }
            }
            world.run_for(10);
        }
    };
    for _ in 0..300 {
        if world.engines[0].counts().takeovers > 0 {
            break;
        }
        write_all(&mut world, 10);
    }
    write_all(&mut world, after_ms);
    world.freeze(0);
    write_all(&mut world, still_ms);
    world.thaw(0);
    write_all(&mut world, 9_000);
    let late = world.succeeded_at_old_primaries();
    assert!(late.is_empty(), "{case}: {late:?} at an old primary, {:?}", world.promotions);
    let served = callers.iter().all(|caller| {
        world.responses(*caller).iter().rev().take(20).any(|response| response.succeeded())
    });
    assert!(served, "{case}: not served at the end");
}

/// Checks that every VM serves writes.
fn check_all_serve(world: &mut World, case: &str) {
    for vm in 0..world.engines.len() {
        if world.frozen.contains(&vm) {
            continue;
        }
        let caller = world.open(vm, LATEST, KEY);
        let response = world.query(caller, &format!("end-{vm}"), write("1"));
        assert!(response.succeeded(), "{case}: VM {vm}, {response:?}");
    }
}

/// Runs until a VM raises the token for a promotion, and returns that VM.
fn run_until_recorded(world: &mut World, caller: Caller) -> usize {
    for round in 0..800 {
        if world.recorded.is_some() {
            let by = (0..world.engines.len()).find(|vm| world.engines[*vm].counts().takeovers > 0);
            return by.expect("a VM that replaces the primary");
        }
        if world.response(caller).is_some() {
            world.send(caller, &format!("lost{round}"), write("1"));
        }
        world.run_for(10);
    }
    panic!("the token was not raised within 8 s");
}

/// All VMs are killed after the store has recorded a promotion that is never requested, and the primary returns. Guards
/// against waiting for that promotion for ever after the start.
#[test]
fn recorded_promotion_that_nobody_requests_ends_after_a_restart_of_all() {
    for down_ms in [0, 500, 2_500] {
        let mut world = World::new(5);
        let caller = world.open(3, LATEST, KEY);
        assert!(world.query(caller, "w0", write("1")).succeeded());
        world.cut_database_from_vms(0);
        run_until_recorded(&mut world, caller);
        world.restart_all(&world::catalog(1, 1e6, 100));
        world.run_for(down_ms);
        world.restart_database(0, 2);
        world.run_for(9_000);
        check_all_serve(&mut world, &format!("primary back after {down_ms} ms"));
        let recorded = world.recorded.clone().expect("a record");
        assert!(recorded.ended || !world.promotions.is_empty(), "{down_ms} ms: {recorded:?}");
    }
}

/// The VM that replaces a primary is lost for good between the record and the request of the promotion, and the primary
/// returns. Guards against failovers that are given up and begun again for as long as the suspension lasts.
#[test]
fn recorded_promotion_of_a_lost_vm_ends() {
    for back_after_ms in [0, 500, 1_500, 3_000] {
        let mut world = World::new(5);
        let caller = world.open(3, LATEST, KEY);
        assert!(world.query(caller, "w0", write("1")).succeeded());
        world.cut_database_from_vms(0);
        let by = run_until_recorded(&mut world, caller);
        world.kill_vm(by);
        world.run_for(back_after_ms);
        world.restart_database(0, 2);
        world.run_for(9_000);
        check_all_serve(&mut world, &format!("primary back after {back_after_ms} ms"));
    }
}

/// The store's answer to the record of a promotion is lost and the failover is given up as the primary returns. Guards
/// against VMs that start much later and take the record for a promotion under way.
#[test]
fn promotion_recorded_without_an_answer_does_not_outlast_its_failover() {
    let mut world = World::new(3);
    let caller = world.open(1, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.lost_token_answers = 1;
    world.cut_database_from_vms(0);
    run_until_recorded(&mut world, caller);
    world.restart_database(0, 2);
    world.run_for(15_000);
    check_all_serve(&mut world, "before the restart");
    world.restart_all(&world::catalog(1, 1e6, 100));
    world.run_for(9_000);
    check_all_serve(&mut world, "after the restart");
}

/// Returns a fleet in which one replica has received nothing of the last write, which the other one has.
fn synchronous_world_with_a_replica_behind() -> (World, Caller) {
    let mut world = World::synchronous(5);
    let caller = world.open(1, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.run_for(100);
    world.deaf.insert(2);
    assert!(world.query(caller, "w1", write("1")).succeeded());
    world.run_for(50);
    assert!(world.group.has_write(1, "w1") && !world.group.has_write(2, "w1"));
    (world, caller)
}

/// The two databases that have an acknowledged commit crash together. Guards against promoting the third one because
/// the others stay silent for long, or because their entries have lapsed.
#[test]
fn synchronous_commit_is_not_lost_while_its_databases_are_silent() {
    for lapses in [false, true] {
        let (mut world, caller) = synchronous_world_with_a_replica_behind();
        world.crash_database(0);
        world.crash_database(1);
        world.send(caller, "lost", write("1"));
        let all = world.databases.clone();
        if lapses {
            world.databases.truncate(0);
            world.databases.push(all[2].clone());
            world.publish_databases(2);
        }
        world.run_for(20_000);
        assert!(world.promotions.is_empty(), "lapses: {lapses}, {:?}", world.promotions);
        world.databases = all;
        world.restart_database(1, 3);
        world.run_for(4_000);
        let response = world.query(caller, "w2", write("1"));
        assert!(response.succeeded(), "lapses: {lapses}, {response:?}");
        let primary = primaries(&world).into_iter().max_by_key(|p| world.group.members[*p].term);
        assert!(world.group.has_write(primary.expect("a primary"), "w1"), "lapses: {lapses}");
    }
}

/// The primary alone crashes. Guards against a slower replacement where commits are synchronous.
#[test]
fn synchronous_service_replaces_a_crashed_primary_soon() {
    let mut world = World::synchronous(5);
    let caller = world.open(1, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.run_for(100);
    world.crash_database(0);
    let began = world.now;
    for round in 0..40 {
        if world.query(caller, &format!("w1-{round}"), write("1")).succeeded() {
            break;
        }
    }
    let gap = world.now.since(began);
    assert!(gap < DurationUs::from_ms(4_000), "{} ms", gap.as_ms());
    assert_eq!(world.promotions.len(), 1);
}

/// Guards against forgetting a database whose entry has lapsed as all VMs start again: it may be the only one that has
/// a commit. Once its loss is accepted, the remaining one is promoted.
#[test]
fn synchronous_commit_is_not_lost_by_a_restart_of_all_vms() {
    let (mut world, caller) = synchronous_world_with_a_replica_behind();
    world.crash_database(0);
    world.crash_database(1);
    world.send(caller, "lost", write("1"));
    let remaining = world.databases[2].clone();
    world.databases = vec![remaining];
    world.publish_databases(2);
    world.run_for(5_000);
    world.restart_all(&world::synchronous_catalog());
    world.run_for(20_000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    let roster = world.rosters.get_mut(&service()).expect("a roster");
    roster.lost.insert(database_name(1));
    world.run_for(8_000);
    assert_eq!(world.promotions, [database_name(2)]);
    check_all_serve(&mut world, "after the loss was accepted");
}

/// A replica that starts again without its log answers at once, and shows nothing of what it had acknowledged.
#[test]
fn synchronous_commit_is_not_lost_with_a_replica_that_restarts_empty() {
    let (mut world, caller) = synchronous_world_with_a_replica_behind();
    world.crash_database(0);
    world.group.members[1].log.clear();
    world.deaf.insert(1);
    world.send(caller, "lost", write("1"));
    world.run_for(10_000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    world.restart_database(0, 2);
    world.run_for(4_000);
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
    check_all_serve(&mut world, "after the primary is back");
    assert!(world.group.has_write(0, "w1"));
}

/// A database that leaves with notice is no longer waited for.
#[test]
fn synchronous_service_does_not_wait_for_a_database_that_has_left() {
    let mut world = World::synchronous(5);
    let caller = world.open(1, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.databases[2].leaving = true;
    world.publish_databases(2);
    world.run_for(500);
    world.databases.truncate(2);
    world.publish_databases(3);
    world.run_for(3_000);
    assert!(!world.rosters[&service()].members.contains(&database_name(2)));
    world.crash_database(2);
    world.crash_database(0);
    world.send(caller, "lost", write("1"));
    world.run_for(6_000);
    assert_eq!(world.promotions, [database_name(1)]);
}

/// The primary crashes while a new replica has received nothing yet. Guards against waiting for a log that it never had.
#[test]
fn synchronous_service_does_not_wait_for_a_replica_that_has_just_joined() {
    let mut world = World::unconfigured(5);
    let all = world.databases.clone();
    world.databases.truncate(2);
    world.group.members[2].log.clear();
    world.deaf.insert(2);
    world.configure(world::synchronous_catalog());
    world.run_for(6_000);
    let caller = world.open(1, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.run_for(100);
    world.databases = all;
    world.publish_databases(2);
    world.run_for(200);
    world.crash_database(0);
    world.send(caller, "lost", write("1"));
    world.run_for(6_000);
    assert_eq!(world.promotions, [database_name(1)]);
}

/// A VM is cut off while the record of a promotion ends, and reports its suspension afterwards. Guards against keeping
/// the others from the primary for good.
#[test]
fn vm_that_misses_the_end_of_a_promotion_learns_of_it() {
    let mut world = World::new(5);
    let caller = world.open(3, LATEST, KEY);
    assert!(world.query(caller, "w0", write("1")).succeeded());
    world.cut_database_from_vms(0);
    run_until_recorded(&mut world, caller);
    world.restart_all(&world::catalog(1, 1e6, 100));
    world.restart_database(0, 2);
    world.run_for(1_000);
    world.isolate_vm(4);
    for _ in 0..1_000 {
        if world.recorded.as_ref().is_some_and(|recorded| recorded.ended) {
            break;
        }
        world.run_for(10);
    }
    assert!(world.recorded.as_ref().is_some_and(|recorded| recorded.ended));
    world.run_for(2_000);
    for other in 0..4 {
        world.heal(Endpoint::Vm(4), Endpoint::Vm(other));
    }
    world.run_for(9_000);
    check_all_serve(&mut world, "after the cut");
    assert!(world.promotions.is_empty(), "{:?}", world.promotions);
}
