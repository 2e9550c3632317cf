//! Changes of the witness set while VMs come and go.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use gateway::witnesses::{
    Candidate, Capacity, Health, REACHABLE_MIN, VmHealth, WITNESS_LOST_AFTER, WITNESSES_MAX,
    WitnessSet, next_witness_set,
};
use model::prelude::*;
use quickcheck::{TestResult, quickcheck};
use world::{HOST, KEY, LATEST, World, catalog, dc, read, vm_name, write};

const REACHABLE: Health = Health::Reachable(REACHABLE_MIN);

fn set(vms: impl IntoIterator<Item = usize>) -> WitnessSet {
    WitnessSet { step: 4, vms: vms.into_iter().map(vm_name).collect() }
}

/// Checks which VM is removed from or added to the set next. VMs are numbered by their index in
/// `health`.
fn check(witnesses: &[usize], health: &[Health], expected: Option<(&str, usize)>) {
    let names: Vec<(VmName, DcName)> = (0..health.len()).map(|vm| (vm_name(vm), dc(vm))).collect();
    let fleet_health: Vec<VmHealth<'_>> = names
        .iter()
        .zip(health)
        .map(|((vm, dc), health)| {
            let dc = (*health != Health::Left).then_some(dc);
            VmHealth { vm, dc, health: *health, capacity: Capacity::default() }
        })
        .collect();
    let before = set(witnesses.iter().copied());
    let next = next_witness_set(&before, &fleet_health);
    let expected = expected.map(|(change, vm)| match change {
        "removed" => set(witnesses.iter().copied().filter(|witness| *witness != vm)),
        _ => set(witnesses.iter().copied().chain([vm])),
    });
    assert_eq!(next.as_ref().map(|next| &next.vms), expected.as_ref().map(|next| &next.vms));
    assert!(next.is_none_or(|next| next.step == before.step + 1));
}

#[test]
fn next_witness_set_replaces_lost_witnesses() {
    let up = |count: usize| vec![REACHABLE; count];
    let with = |count: usize, changed: &[(usize, Health)]| {
        let mut health = up(count);
        for (vm, other) in changed {
            health[*vm] = *other;
        }
        health
    };
    let seven = [0, 1, 2, 3, 4, 5, 6];
    let silent = Health::Silent(WITNESS_LOST_AFTER);
    check(&seven, &up(9), None);
    check(&seven, &with(9, &[(2, silent)]), Some(("removed", 2)));
    check(&seven, &with(9, &[(2, Health::Silent(DurationUs(WITNESS_LOST_AFTER.0 - 1)))]), None);
    check(&seven, &with(9, &[(2, silent), (5, Health::Left)]), Some(("removed", 5)));
    // A VM that is shutting down is replaced only if few healthy witnesses are left.
    check(&seven, &with(9, &[(2, Health::Stopping)]), None);
    let two = [(2, Health::Stopping), (4, Health::Silent(DurationUs(0)))];
    check(&seven, &with(9, &two), Some(("removed", 2)));
    // A VM is added from the data centre with the fewest witnesses.
    check(&[0, 1, 3, 4], &up(6), Some(("added", 2)));
    check(
        &[0, 1],
        &with(4, &[(2, Health::Reachable(DurationUs(REACHABLE_MIN.0 - 1)))]),
        Some(("added", 3)),
    );
    check(&[0, 1], &with(3, &[(2, silent)]), None);
    check(&[0], &with(2, &[(0, silent), (1, Health::Stopping)]), None);
}

/// Guards against small VMs that answer for the rates of a whole fleet while larger ones are there.
#[test]
fn witness_set_prefers_vms_with_more_processor_time() {
    const VMS: usize = 24;
    /// One in each data centre.
    const LARGE: [usize; 3] = [5, 10, 15];
    let names: Vec<(VmName, DcName)> = (0..VMS).map(|vm| (vm_name(vm), dc(vm))).collect();
    let capacity = |vm: usize| Capacity(if LARGE.contains(&vm) { 500 } else { 120 });
    let candidates = names.iter().enumerate();
    let candidates =
        candidates.map(|(index, (vm, dc))| Candidate { vm, dc, capacity: capacity(index) });
    let chosen = WitnessSet::default().choose_next(candidates);
    assert_eq!(chosen.vms.len(), WITNESSES_MAX);
    for large in LARGE {
        assert!(chosen.vms.contains(&vm_name(large)), "VM {large} is not in {chosen:?}");
    }
    let fleet_health: Vec<VmHealth<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, (vm, dc))| VmHealth {
            vm,
            dc: Some(dc),
            health: REACHABLE,
            capacity: capacity(index),
        })
        .collect();
    // The third data centre has no witness yet.
    let next = next_witness_set(&set([0, 1, 3, 4]), &fleet_health).expect("a VM is added");
    assert_eq!(next.vms, set([0, 1, 3, 4, 5]).vms);
}

quickcheck! {
    fn next_witness_set_changes_one_vm(witnesses: Vec<u8>, health: Vec<(u8, u16)>) -> TestResult {
        let vms: BTreeSet<VmName> = witnesses.iter().map(|vm| vm_name(usize::from(*vm % 12))).collect();
        if vms.is_empty() || vms.len() > WITNESSES_MAX {
            return TestResult::discard();
        }
        let before = WitnessSet { step: 1, vms };
        let names: Vec<(VmName, DcName)> = (0..12).map(|vm| (vm_name(vm), dc(vm))).collect();
        let fleet_health: Vec<VmHealth<'_>> = names.iter().zip(&health).map(|((vm, dc), (kind, ms))| {
            let span = DurationUs::from_ms(u64::from(*ms));
            let health = match kind % 4 {
                0 => Health::Reachable(span),
                1 => Health::Stopping,
                2 => Health::Silent(span),
                _ => Health::Left
            };
            VmHealth { vm, dc: Some(dc), health, capacity: Capacity::default() }
        }).collect();
        let Some(after) = next_witness_set(&before, &fleet_health) else { return TestResult::passed() };
        let changed = before.vms.symmetric_difference(&after.vms).count();
        let is_whole = !after.vms.is_empty() && after.vms.len() <= WITNESSES_MAX;
        TestResult::from_bool(changed == 1 && is_whole && after.step == 2)
    }
}

fn all_ready(world: &World) -> bool {
    let up = (0..world.engines.len()).filter(|vm| !world.frozen.contains(vm));
    up.into_iter().all(|vm| world.engines[vm].is_ready())
}

/// Checks that each VM that is up writes and reads, and that a lost primary is replaced.
fn check_service(world: &mut World) {
    let up: Vec<usize> = (0..world.engines.len()).filter(|vm| !world.frozen.contains(vm)).collect();
    for vm in &up {
        let caller = world.open(*vm, LATEST, KEY);
        assert!(world.query(caller, &format!("w{vm}"), write("1")).succeeded(), "VM {vm} writes");
        let caller = world.open(*vm, HOST, KEY);
        assert!(world.query(caller, &format!("r{vm}"), read("1")).succeeded(), "VM {vm} reads");
    }
    world.run_for(500);
    world.cut_database_from_vms(0);
    let caller = world.open(up[0], LATEST, KEY);
    for round in 0..8 {
        world.query(caller, &format!("a{round}"), write("1"));
    }
    assert_eq!(world.promotions.len(), 1, "the lost primary is replaced");
    assert!(world.query(caller, "last", write("1")).succeeded());
}

#[test]
fn vms_stop_one_after_another() {
    let mut world = World::new(9);
    // A VM is asked to stop every 1.3 s, and takes about 3 s to end.
    let leaving = [8, 0, 4, 2, 6];
    for half in 0..30 {
        world.run_for(650);
        if half % 2 == 0 && half / 2 < leaving.len() {
            world.stop_vm(leaving[half / 2]);
        }
        if half % 2 == 1 && half >= 5 && (half - 5) / 2 < leaving.len() {
            world.remove_stopped_vm(leaving[(half - 5) / 2]);
        }
    }
    assert!(all_ready(&world));
    check_service(&mut world);
}

#[test]
fn vms_are_lost_one_after_another() {
    let mut world = World::new(9);
    for vm in [5, 1, 7, 0, 3, 8] {
        world.kill_vm(vm);
        world.run_for(8_000);
        assert!(all_ready(&world), "after VM {vm}");
    }
    world.run_for(25_000);
    assert_eq!(world.member_list.records.len(), 3, "lost VMs are removed from the list");
    check_service(&mut world);
}

#[test]
fn most_witnesses_stop_at_once() {
    let mut world = World::new(9);
    let witnesses = world.member_list.witnesses.clone().expect("a set").vms;
    let ending: Vec<usize> = (0..9).filter(|vm| witnesses.contains(&vm_name(*vm))).collect();
    for vm in &ending {
        world.stop_vm(*vm);
    }
    world.run_for(200);
    for vm in ending {
        world.remove_stopped_vm(vm);
    }
    world.run_for(6_000);
    assert!(all_ready(&world));
    check_service(&mut world);
}

#[test]
fn removed_vm_enters_the_list_again() {
    let mut world = World::new(5);
    world.freeze(3);
    world.run_for(25_000);
    assert_eq!(world.member_list.records.len(), 4);
    world.thaw(3);
    world.run_for(4_000);
    assert_eq!(world.member_list.records.len(), 5);
    assert!(all_ready(&world));
}

/// Guards against a lease from a majority of an outdated witness set.
#[test]
fn vm_that_missed_changes_has_no_lease_from_an_older_set() {
    let mut world = World::new(9);
    world.vms_without_store.insert(8);
    for vm in [5, 1, 7] {
        world.kill_vm(vm);
        world.run_for(8_000);
    }
    let steps: BTreeSet<u64> =
        [0, 2, 3, 4, 6, 8].iter().map(|vm| world.engines[*vm].witness_step()).collect();
    assert_eq!(
        steps.len(),
        1,
        "all use one set, including the VM that can't reach the store: {steps:?}"
    );
    assert!(all_ready(&world));
}

/// Kills the second witness and waits until the witness set has changed, then takes the store back to the set before.
/// Returns the lost set.
fn lose_a_change_of_the_witnesses(world: &mut World) -> WitnessSet {
    let before = world.member_list.witnesses.clone();
    let killed = *world.witnesses().iter().nth(1).expect("a second witness");
    world.kill_vm(killed);
    world.run_for(8_000);
    let lost = world.member_list.witnesses.clone().expect("a set");
    assert!(Some(lost.step) > before.as_ref().map(|set| set.step));
    world.change_member_list(|list| list.witnesses = before);
    lost
}

#[test]
fn witness_set_is_written_again_after_the_store_lost_it() {
    let mut world = World::new(9);
    let lost = lose_a_change_of_the_witnesses(&mut world);
    world.run_for(4_000);
    let stored = world.member_list.witnesses.clone().expect("a set");
    assert!(stored.step > lost.step, "{stored:?}");
    assert_eq!(stored.vms, lost.vms);
    assert!(all_ready(&world));
    check_service(&mut world);
}

/// Guards against two sets of one step, whose majorities may share no VM.
#[test]
fn witnesses_that_know_only_an_older_set_leave_it_as_it_is() {
    let mut world = World::new(9);
    let lost = lose_a_change_of_the_witnesses(&mut world);
    let witnesses: Vec<usize> =
        world.witnesses().into_iter().filter(|vm| !world.frozen.contains(vm)).collect();
    // Most witnesses, with the coordinator, read the older set as they start again, and have to replace another one.
    // Those that know the later set don't reach the store at first.
    let restarted = &witnesses[..4];
    for vm in restarted {
        world.restart(*vm, catalog(1, 1e6, 100));
    }
    world.kill_vm(witnesses[5]);
    world.vms_without_store = (0..9).filter(|vm| !restarted.contains(vm)).collect();
    let mut sets = BTreeMap::from([(lost.step, lost.clone())]);
    for tenth in 0..200 {
        if tenth == 100 {
            world.vms_without_store.clear();
        }
        world.run_for(100);
        for engine in &world.engines {
            let set = engine.witness_set();
            let first = sets.entry(set.step).or_insert_with(|| set.clone());
            assert_eq!(first, set, "two sets of one step");
        }
    }
    let stored = world.member_list.witnesses.clone().expect("a set");
    assert!(stored.step > lost.step, "{stored:?}");
    assert!(all_ready(&world));
    check_service(&mut world);
}
