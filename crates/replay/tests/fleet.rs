//! Recorded traces and generated schedules of configuration changes and fleet faults.

use model::prelude::*;
use quickcheck::{QuickCheck, TestResult};
use replay::{
    fleet::{FleetTraceEvent, World},
    trace,
};

const TRUST_S: u64 = 20;
const SEED: u64 = 11;
const SCHEDULES: u64 = 150;
const CONVERGENCE_LIMIT: DurationUs = DurationUs::from_ms(3_000);

fn dcs(count: usize) -> Vec<DcName> {
    let names = ["a", "b", "c", "d"];
    names[..count].iter().map(|name| DcName::new(name).expect("a name")).collect()
}

fn vm(dc: &DcName, number: usize) -> VmName {
    VmName::new(format!("{dc}-{number}")).expect("a name")
}

fn replay(name: &str, dc_count: usize) {
    for seed in 1..=5 {
        let mut world = World::new(&dcs(dc_count), TRUST_S, seed);
        for line in
            trace::read::<FleetTraceEvent>(&format!("fleet/{name}.jsonl")).expect("a valid trace")
        {
            world.run_until(line.at()).expect("no VM goes back to an older generation");
            if let Err(found) = world.apply(&line.event) {
                panic!("{name}, seed {seed}, at {} ms: {found}", line.at_ms);
            }
        }
    }
}

#[test]
fn trace_watcher_killed() {
    replay("watcher_killed", 1);
}

#[test]
fn trace_watcher_frozen() {
    replay("watcher_frozen", 1);
}

#[test]
fn trace_cut_from_platform() {
    replay("cut_from_platform", 2);
}

#[test]
fn trace_cut_from_everything() {
    replay("cut_from_everything", 2);
}

#[test]
fn trace_platform_outage() {
    replay("platform_outage", 2);
}

#[test]
fn trace_planned_stop() {
    replay("planned_stop", 2);
}

/// Applies one step of a generated schedule: `kind` chooses the event, `which` the VM or data centre.
fn step(world: &mut World, dcs: &[DcName], kind: u8, which: u8) -> Result<(), String> {
    let dc = &dcs[usize::from(which) % dcs.len()];
    let other = &dcs[(usize::from(which) + 1) % dcs.len()];
    let vm = vm(dc, usize::from(which / 4) % 3 + 1);
    let flag = which >= 128;
    match kind % 8 {
        0 => world.change_configuration(),
        1 => {
            world.start(&vm, dc);
            world.introduce(&vm)?;
        }
        2 => world.apply(&FleetTraceEvent::CutPlatform { dc: dc.clone(), cut: flag })?,
        3 => world.apply(&FleetTraceEvent::Cut {
            dc: dc.clone(),
            other: other.clone(),
            cut: flag,
        })?,
        4 => world.apply(&FleetTraceEvent::PlatformDown { down: flag })?,
        5 => world.apply(&FleetTraceEvent::Freeze { vm })?,
        6 => world.apply(&FleetTraceEvent::Thaw { vm })?,
        _ => {}
    }
    Ok(())
}

fn heal(world: &mut World, dcs: &[DcName]) -> Result<(), String> {
    world.apply(&FleetTraceEvent::PlatformDown { down: false })?;
    for (at, dc) in dcs.iter().enumerate() {
        world.apply(&FleetTraceEvent::CutPlatform { dc: dc.clone(), cut: false })?;
        for other in &dcs[at + 1..] {
            let (dc, other) = (dc.clone(), other.clone());
            world.apply(&FleetTraceEvent::Cut { dc, other, cut: false })?;
        }
        for number in 1..=3 {
            world.apply(&FleetTraceEvent::Thaw { vm: vm(dc, number) })?;
        }
    }
    Ok(())
}

/// Runs a schedule, then ends all faults and expects every VM to adopt the highest generation. The
/// simulation itself fails if a VM instance goes back to an older generation.
fn run_schedule(steps: &[(u16, u8, u8)], seed: u64) -> Result<(), String> {
    let dcs = dcs(3);
    let mut world = World::new(&dcs, TRUST_S, seed);
    for dc in &dcs {
        for number in 1..=3 {
            world.start(&vm(dc, number), dc);
        }
    }
    world.run_until(MonoTime(0) + DurationUs::from_ms(3_000))?;
    for (wait_ms, kind, which) in steps {
        let until = world.now() + DurationUs::from_ms(u64::from(wait_ms % 3_000));
        world.run_until(until)?;
        step(&mut world, &dcs, *kind, *which)?;
    }
    heal(&mut world, &dcs)?;
    // VMs that were suspected failed are considered live again, and pending timeouts pass.
    world.run_until(world.now() + DurationUs::from_ms(8_000))?;
    world.change_configuration();
    world.run_until(world.now() + CONVERGENCE_LIMIT)?;
    let generation = world.platform_generation();
    world.apply(&FleetTraceEvent::ExpectGeneration { vms: Vec::new(), generation })
}

#[test]
fn schedule_never_reverts_and_converges() {
    fn holds(steps: Vec<(u16, u8, u8)>, seed: u64) -> TestResult {
        match run_schedule(&steps, seed) {
            Ok(()) => TestResult::passed(),
            Err(found) => TestResult::error(found),
        }
    }
    QuickCheck::new()
        .tests(SCHEDULES)
        .rng(quickcheck::Gen::from_size_and_seed(40, SEED))
        .quickcheck(holds as fn(_, _) -> _);
}

#[test]
fn change_configuration_reaches_400_vms_in_time() {
    let dcs = dcs(4);
    let mut world = World::new(&dcs, 600, SEED);
    for number in 1..=100 {
        for dc in &dcs {
            world.start(&vm(dc, number), dc);
        }
    }
    world
        .run_until(MonoTime(0) + DurationUs::from_ms(6_000))
        .expect("no VM goes back to an older generation");
    world.change_configuration();
    let limit = world.now() + CONVERGENCE_LIMIT;
    world.run_until(limit).expect("no VM goes back to an older generation");
    let expected = FleetTraceEvent::ExpectGeneration { vms: Vec::new(), generation: Generation(2) };
    world.apply(&expected).expect("every VM adopts the change");
}
