//! Recorded traces and generated schedules of rate limits and connection limits.

use model::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rand::{SeedableRng, rngs::StdRng};
use replay::{
    quota::{
        network::MessageFaults,
        trace_events::{
            FleetParams, LoadParams, QuotaTraceEvent, WorkspaceParams, replay, schedule_load,
            start_fleet, within_connection_limit, within_rate,
        },
        world::World,
    },
    trace::read,
};

fn check(trace: &str) {
    let lines = read::<QuotaTraceEvent>(&format!("quota/{trace}.jsonl")).expect("a valid trace");
    let unmet = replay(&lines);
    assert!(unmet.is_empty(), "{trace}: {unmet:#?}");
}

macro_rules! traces {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                check(stringify!($name).strip_prefix("trace_").expect("a trace"));
            }
        )*
    };
}

traces!(
    trace_healthy_skew,
    trace_holder_killed,
    trace_holder_paused,
    trace_platform_down,
    trace_answers_lost,
    trace_updates_late,
    trace_dc_cut_off,
    trace_false_list,
    trace_planned_stop,
    trace_vm_replaced,
    trace_heavy_request,
    trace_demand_moves,
);

/// An event of a generated schedule; VMs and data centres are indices.
#[derive(Clone, Debug)]
enum Step {
    Load { vm: usize, per_s: u32, weight: u32, for_ms: u64 },
    Kill { vm: usize },
    Replace { vm: usize },
    Unlist { vm: usize },
    Pause { vm: usize },
    Wake { vm: usize },
    Stop { vm: usize },
    Platform { down: bool, lose_answers: u64, late_updates: u64, list_lag_ms: u64 },
    Messages { lost: u32, doubled: u32, delayed: u32 },
    CutDc { dc: usize },
    CutVm { vm: usize },
    Heal,
}

const DCS: [&str; 2] = ["a", "b"];
const VMS: usize = 5;
const SPANS_MS: [u64; 6] = [1, 40, 300, 1_500, 5_000, 14_000];

fn vm(at: usize) -> (VmName, DcName) {
    let dc = DCS[at % DCS.len()];
    let name = format!("{dc}-{}", at / DCS.len() + 1);
    (VmName::new(name).expect("a name"), DcName::new(dc).expect("a name"))
}

fn pick(g: &mut Gen, below: u32) -> u32 {
    u32::arbitrary(g) % below
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let vm = pick(g, VMS as u32) as usize;
        match pick(g, 18) {
            0..=5 => Step::Load {
                vm,
                per_s: 50 + pick(g, 400),
                weight: 1 + pick(g, 9),
                for_ms: u64::from(pick(g, 6_000)),
            },
            6 => Step::Kill { vm },
            7 => Step::Replace { vm },
            8 => Step::Unlist { vm },
            9 => Step::Pause { vm },
            10 | 11 => Step::Wake { vm },
            12 => Step::Stop { vm },
            13 | 14 => Step::Platform {
                down: pick(g, 3) == 0,
                lose_answers: u64::from(pick(g, 6)),
                late_updates: u64::from(pick(g, 4)),
                list_lag_ms: u64::from(pick(g, 5_000)),
            },
            15 => Step::Messages {
                lost: pick(g, 300_000),
                doubled: pick(g, 300_000),
                delayed: pick(g, 500_000),
            },
            16 => match pick(g, 2) {
                0 => Step::CutDc { dc: pick(g, 2) as usize },
                _ => Step::CutVm { vm },
            },
            _ => Step::Heal,
        }
    }
}

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    steps: Vec<(u64, Step)>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        let step = |g: &mut Gen| (SPANS_MS[pick(g, 6) as usize], Step::arbitrary(g));
        let count = 4 + pick(g, 16);
        Schedule { seed: u64::arbitrary(g), steps: (0..count).map(|_| step(g)).collect() }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Schedule>> {
        let all = self.clone();
        Box::new((0..all.steps.len()).map(move |at| {
            let mut fewer = all.clone();
            fewer.steps.remove(at);
            fewer
        }))
    }
}

fn fleet(seed: u64) -> World {
    let name = |text: &str| WorkspaceName::new(text).expect("a name");
    let mut world = start_fleet(&FleetParams {
        dcs: DCS.iter().map(|dc| DcName::new(dc).expect("a name")).collect(),
        vms_per_dc: 0,
        workspaces: vec![WorkspaceParams { name: name("w"), rate_per_s: 100, burst: 150 }],
        connection_limit: 7,
        seed,
    });
    for at in 0..VMS {
        let (name, dc) = vm(at);
        world.start(&name, &dc);
    }
    world.run_until(MonoTime(5_000_000));
    world
}

/// Applies a step of a schedule. The platform's list may be old but is never wrong: a VM is taken off it
/// only if it was killed, or while it is paused.
fn apply(world: &mut World, step: &Step, paused_gone: &mut FxHashSet<VmName>, rng: &mut StdRng) {
    match step {
        Step::Load { vm: at, per_s, weight, for_ms } => {
            let workspace = WorkspaceName::new("w").expect("a name");
            let vms = vec![vm(*at).0];
            let line =
                LoadParams { vms, workspace, per_s: *per_s, weight: *weight, for_ms: *for_ms };
            schedule_load(world, &line, rng);
        }
        Step::Kill { vm: at } => world.kill(&vm(*at).0),
        Step::Replace { vm: at } => {
            let (name, dc) = vm(*at);
            world.kill(&name);
            paused_gone.remove(&name);
            world.start(&name, &dc);
        }
        Step::Unlist { vm: at } => {
            let (name, _) = vm(*at);
            let paused = world.instance(&name).is_some_and(|o| world.vms[&o].paused.is_some());
            if world.instance(&name).is_none() || paused {
                world.unlist(&name);
                paused_gone.insert(name);
            }
        }
        Step::Pause { vm: at } => world.pause(&vm(*at).0),
        Step::Wake { vm: at } => world.wake(&vm(*at).0),
        Step::Stop { vm: at } => world.stop(&vm(*at).0),
        Step::Platform { down, lose_answers, late_updates, list_lag_ms } => {
            let faults = &mut world.platform.faults;
            faults.down = *down;
            faults.lose_answers = *lose_answers;
            faults.late_updates = *late_updates;
            faults.list_lag = DurationUs::from_ms(*list_lag_ms);
        }
        Step::Messages { lost, doubled, delayed } => {
            world.network.faults = MessageFaults {
                lost_ppm: *lost,
                doubled_ppm: *doubled,
                delayed_ppm: *delayed,
                delay_ms: 2_000,
            };
        }
        Step::CutDc { dc } => {
            world.network.cut_dcs.insert(DcName::new(DCS[*dc]).expect("a name"));
        }
        Step::CutVm { vm: at } => {
            world.network.cut_vms.insert(vm(*at).0);
        }
        Step::Heal => {
            world.network.cut_dcs.clear();
            world.network.cut_vms.clear();
            world.platform.faults.down = false;
        }
    }
}

fn holds(schedule: &Schedule) -> Result<(), String> {
    let mut world = fleet(schedule.seed);
    let mut rng = StdRng::seed_from_u64(schedule.seed);
    let mut paused_gone = FxHashSet::default();
    for (span_ms, step) in &schedule.steps {
        apply(&mut world, step, &mut paused_gone, &mut rng);
        let next = world.now + DurationUs::from_ms(*span_ms);
        world.run_until(next);
    }
    let end = world.now + DurationUs::from_ms(8_000);
    world.run_until(end);
    within_rate(&world)?;
    within_connection_limit(&world)
}

#[test]
fn schedule_keeps_rates_and_connection_limits() {
    fn property(schedule: Schedule) -> TestResult {
        match holds(&schedule) {
            Ok(()) => TestResult::passed(),
            Err(what) => TestResult::error(what),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(300)
        .quickcheck(property as fn(_) -> _);
}
