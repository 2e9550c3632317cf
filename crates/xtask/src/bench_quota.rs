//! Measures rate limiting in virtual time, with the real controllers: requests that are refused although
//! one token bucket for the whole fleet would admit them, and the controllers' processing time in a large
//! fleet.

use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use edge::peer::encode;
use model::prelude::*;
use proto::{
    peer::PeerRequest,
    platform::Version,
    tokens::{TokenLoanRequest, TokenRequest},
};
use quota::events::{ObjectKind, PortionEvent};
use rand::{SeedableRng, rngs::StdRng};
use replay::quota::{
    check::{Comparison, compare_with_oracle},
    trace_events::{
        FleetParams, LoadParams, WorkspaceParams, schedule_load, start_fleet, within_rate,
    },
    world::World,
};

const RATE_PER_S: u32 = 300;
const BURST: u32 = 600;
/// Start of the arrivals: the small fleet has settled by then.
const SETTLED: MonoTime = MonoTime(20_000_000);
const FAULT_AT: MonoTime = MonoTime(30_000_000);
const END: MonoTime = MonoTime(140_000_000);
const LARGE_WORKSPACES: usize = 200;
const LARGE_DCS: usize = 4;

/// Defines the subcommand and its options.
pub fn command() -> Command {
    let vms = Arg::new("vms").long("vms").default_value("400").value_parser(value_parser!(u32));
    Command::new("bench-quota")
        .about("Measures wrongly refused requests and the processing time of rate limiting")
        .arg(vms.help("Number of VMs of the large fleet"))
}

/// Fault that is injected into a scenario at [`FAULT_AT`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    VmDies,
    DcCutOff,
}

/// Measures wrongful refusals, then the controllers' processing time.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    measure_refusals();
    measure_controllers(matches.get_one::<u32>("vms").copied().unwrap_or(400) as usize);
    Ok(())
}

fn measure_refusals() {
    println!(
        "3 data centres, 2 VMs each; rate {RATE_PER_S}/s, burst {BURST}; 110 s of random arrivals"
    );
    println!(
        "{:<28} {:>6} {:>8} {:>9} {:>9} {:>11} {:>10}",
        "arrivals", "load", "weight", "arrived", "oracle", "refused ppm", "messages/s"
    );
    let skews: [(&str, &[&str]); 4] = [
        ("even", &["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"]),
        ("one data centre", &["a-1", "a-2"]),
        ("one VM", &["a-1"]),
        ("one VM in each", &["a-1", "b-1", "c-1"]),
    ];
    for (name, vms) in skews {
        for (percent, weight) in [(50, 1), (90, 1), (90, 5)] {
            run_scenario(name, vms, percent, weight, Fault::None);
        }
    }
    let left = &["a-1", "b-1", "b-2", "c-1", "c-2"];
    for percent in [50, 70, 90] {
        run_scenario("one VM dead", left, percent, 1, Fault::VmDies);
    }
    run_scenario("one VM dead, all at another", &["a-1"], 70, 1, Fault::VmDies);
    for percent in [20, 30, 50, 90] {
        run_scenario("DC cut off, arrivals in it", &["a-1", "a-2"], percent, 1, Fault::DcCutOff);
    }
    run_scenario("DC cut off, arrivals outside", &["b-1", "c-2"], 60, 1, Fault::DcCutOff);
}

fn run_scenario(name: &str, vms: &[&str], percent: u32, weight: u32, fault: Fault) {
    let dcs = ["a", "b", "c"];
    let mut world = small_fleet(&dcs);
    let mut rng = StdRng::seed_from_u64(7);
    world.run_until(SETTLED);
    let line = LoadParams {
        vms: vms.iter().map(|vm| VmName::new(vm).expect("a constant")).collect(),
        workspace: WorkspaceName::new("w").expect("a constant"),
        per_s: RATE_PER_S * percent / 100 / weight,
        weight,
        for_ms: (END.since(SETTLED).as_ms()) - 10_000,
    };
    schedule_load(&mut world, &line, &mut rng);
    world.run_until(FAULT_AT);
    let dead = VmName::new("a-2").expect("a constant");
    match fault {
        Fault::None => {}
        Fault::VmDies => world.kill(&dead),
        Fault::DcCutOff => {
            world.network.cut_dcs.insert(DcName::new("a").expect("a constant"));
        }
    }
    if fault == Fault::VmDies {
        world.run_until(FAULT_AT + DurationUs::from_ms(2_000));
        world.unlist(&dead);
    }
    let before = message_count(&world);
    world.run_until(END);
    let per_s = (message_count(&world) - before) * 1_000 / END.since(FAULT_AT).as_ms();
    let holds = within_rate(&world);
    let arrivals = &world.arrivals[&line.workspace];
    let from = if fault == Fault::None { SETTLED } else { FAULT_AT };
    let Comparison { arrived, oracle_admitted, .. } =
        compare_with_oracle(arrivals, RATE_PER_S, BURST, from);
    let ppm = compare_with_oracle(arrivals, RATE_PER_S, BURST, from).wrongly_refused_ppm();
    let rule = if holds.is_ok() { "" } else { "  RATE EXCEEDED" };
    println!(
        "{name:<28} {percent:>5}% {weight:>8} {arrived:>9} {oracle_admitted:>9} {ppm:>11} {per_s:>10}{rule}"
    );
}

fn small_fleet(dcs: &[&str]) -> World {
    let dc = |dc: &&str| DcName::new(dc).expect("a constant");
    let workspace = WorkspaceParams {
        name: WorkspaceName::new("w").expect("a constant"),
        rate_per_s: RATE_PER_S,
        burst: BURST,
    };
    start_fleet(&FleetParams {
        dcs: dcs.iter().map(dc).collect(),
        vms_per_dc: 2,
        workspaces: vec![workspace],
        connection_limit: 20,
        seed: 1,
    })
}

fn message_count(world: &World) -> u64 {
    world.vms.values().map(|vm| vm.messages_sent).sum()
}

/// Measures the mean time that one VM's controllers take for each kind of event in a large fleet.
fn measure_controllers(vms: usize) {
    let dcs = (0..LARGE_DCS).map(|n| DcName::new(format!("dc{n}")).expect("a constant"));
    let workspaces = (0..LARGE_WORKSPACES).map(|n| WorkspaceParams {
        name: large_workspace(n),
        rate_per_s: 100,
        burst: 200,
    });
    let mut world = start_fleet(&FleetParams {
        dcs: dcs.collect(),
        vms_per_dc: vms / LARGE_DCS,
        workspaces: workspaces.collect(),
        connection_limit: 20,
        seed: 1,
    });
    world.run_until(MonoTime(6_000_000));
    println!("\n{vms} VMs in {LARGE_DCS} data centres, {LARGE_WORKSPACES} workspaces: one VM");
    let Some(mut vm) = world.vms.pop_first().map(|(_, vm)| vm) else {
        return;
    };
    let now = world.now;
    let list = world.platform.list(now);
    let (version, value) = world.platform.get("dc/dc0");
    timed("tick", 10_000, |_| {
        vm.tick(now);
    });
    timed("unchanged list of VMs read", 200, |_| {
        vm.set_list(list.clone(), now);
    });
    timed("newer object read", 200, |n| {
        let version = Version(version.0 + 1 + n);
        let read =
            PortionEvent::ObjectRead { object: ObjectKind::Dc, version, value: value.clone() };
        vm.handle(read, now);
    });
    let mut effects = Vec::new();
    timed("request admitted or refused", 100_000, |n| {
        let workspace = large_workspace(n as usize % LARGE_WORKSPACES);
        let at = now + DurationUs(n * 10);
        vm.rate_limiter.record_contact(at);
        vm.rate_limiter.admit(&workspace, 1, at, &mut effects);
        effects.clear();
    });
    timed("token loan request answered", 100_000, |n| {
        let at = now + DurationUs(1_000_000 + n * 10);
        vm.rate_limiter.record_contact(at);
        vm.rate_limiter.handle_request(&TokenRequest::Ask(loan_request(n)), at);
    });
    println!("object dc/dc0: {} bytes of JSON", value.to_string().len());
    println!("token loan request: {} bytes of MessagePack", loan_request_bytes());
    println!(
        "rate limiter of a workspace: {} bytes without heap data",
        size_of::<quota::workspace_limiter::WorkspaceLimiter>()
    );
}

fn timed(what: &str, count: u64, mut f: impl FnMut(u64)) {
    let started = Instant::now();
    (0..count).for_each(&mut f);
    let us = started.elapsed().as_micros() as f64 / count as f64;
    println!("{what}: {us:.2} us");
}

fn large_workspace(n: usize) -> WorkspaceName {
    WorkspaceName::new(format!("workspace-{n}")).expect("a constant")
}

fn loan_request(id: u64) -> TokenLoanRequest {
    TokenLoanRequest {
        vm: VmName::new("uusimaa-a-101").expect("a constant"),
        incarnation: Incarnation(1_000_000),
        workspace: large_workspace(id as usize % LARGE_WORKSPACES),
        id: 1_000_000 + id,
        want_micro: 5_000_000,
        lifetime: DurationUs::from_ms(250),
    }
}

fn loan_request_bytes() -> usize {
    encode(&PeerRequest::Tokens(TokenRequest::Ask(loan_request(100)))).len()
}
