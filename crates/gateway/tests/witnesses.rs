//! Who the witnesses are while VMs come and go.

mod world;

use std::collections::BTreeSet;

use gateway::witnesses::{
    Health, REACHABLE_MIN, VmHealth, WITNESS_LOST_AFTER, WITNESSES_MAX, WitnessSet,
    next_witness_set,
};
use model::prelude::*;
use quickcheck::{TestResult, quickcheck};
use world::{HOST, KEY, LATEST, World, dc, read, vm_name, write};

const REACHABLE: Health = Health::Reachable(REACHABLE_MIN);

fn set(vms: impl IntoIterator<Item = usize>) -> WitnessSet {
    WitnessSet { step: 4, vms: vms.into_iter().map(vm_name).collect() }
}

/// Who comes or goes next, VMs being numbered by their place in `health`.
fn check(witnesses: &[usize], health: &[Health], expected: Option<(&str, usize)>) {
    let names: Vec<(VmName, DcName)> = (0..health.len()).map(|vm| (vm_name(vm), dc(vm))).collect();
    let fleet_health: Vec<VmHealth<'_>> = names
        .iter()
        .zip(health)
        .map(|((vm, dc), health)| {
            let dc = (*health != Health::Left).then_some(dc);
            VmHealth { vm, dc, health: *health }
        })
        .collect();
    let before = set(witnesses.iter().copied());
    let next = next_witness_set(&before, &fleet_health);
    let expected = expected.map(|(change, vm)| match change {
        "goes" => set(witnesses.iter().copied().filter(|witness| *witness != vm)),
        _ => set(witnesses.iter().copied().chain([vm])),
    });
    assert_eq!(next.as_ref().map(|next| &next.vms), expected.as_ref().map(|next| &next.vms));
    assert!(next.is_none_or(|next| next.step == before.step + 1));
}

#[test]
fn next_set_replaces_what_is_lost() {
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
    check(&seven, &with(9, &[(2, silent)]), Some(("goes", 2)));
    check(&seven, &with(9, &[(2, Health::Silent(DurationUs(WITNESS_LOST_AFTER.0 - 1)))]), None);
    check(&seven, &with(9, &[(2, silent), (5, Health::Left)]), Some(("goes", 5)));
    // One that stops is missed only where the majority is narrow.
    check(&seven, &with(9, &[(2, Health::Stopping)]), None);
    let two = [(2, Health::Stopping), (4, Health::Silent(DurationUs(0)))];
    check(&seven, &with(9, &two), Some(("goes", 2)));
    // Others come from where witnesses are fewest.
    check(&[0, 1, 3, 4], &up(6), Some(("comes", 2)));
    check(
        &[0, 1],
        &with(4, &[(2, Health::Reachable(DurationUs(REACHABLE_MIN.0 - 1)))]),
        Some(("comes", 3)),
    );
    check(&[0, 1], &with(3, &[(2, silent)]), None);
    check(&[0], &with(2, &[(0, silent), (1, Health::Stopping)]), None);
}

quickcheck! {
    fn next_set_changes_one_vm(witnesses: Vec<u8>, health: Vec<(u8, u16)>) -> TestResult {
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
            VmHealth { vm, dc: Some(dc), health }
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

/// A write and a read at each VM that is up, and a lost primary replaced.
fn check_serves(world: &mut World) {
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
fn vms_leave_one_after_another() {
    let mut world = World::new(9);
    // A new one is asked each 1.3 s; each takes 3 s to end.
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
    check_serves(&mut world);
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
    assert_eq!(world.member_list.records.len(), 3, "those that are gone are no longer listed");
    check_serves(&mut world);
}

#[test]
fn most_vms_end_at_once() {
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
    check_serves(&mut world);
}

#[test]
fn vm_that_was_taken_out_enters_again() {
    let mut world = World::new(5);
    world.freeze(3);
    world.run_for(25_000);
    assert_eq!(world.member_list.records.len(), 4);
    world.thaw(3);
    world.run_for(4_000);
    assert_eq!(world.member_list.records.len(), 5);
    assert!(all_ready(&world));
}

/// A VM that missed changes of the set can't find a majority of an older one.
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
        "all use one set, also the one that can't reach the store: {steps:?}"
    );
    assert!(all_ready(&world));
}
