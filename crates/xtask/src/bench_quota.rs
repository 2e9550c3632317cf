//! Measures rates in virtual time, over the real controllers: wrongful refusals against one bucket for
//! all, and what the controllers cost at the size aimed at.

use std::time::Instant;

use clap::{Arg, ArgMatches, Command, value_parser};
use edge::peer::encode;
use model::prelude::*;
use proto::peer::PeerRequest;
use proto::tokens::{TokenAsk, TokenRequest};
use rand::{SeedableRng, rngs::StdRng};
use replay::quota::{
    check::{Comparison, compare},
    lines::{FleetLine, LoadLine, WorkspaceLine, load, start, within_rate},
    world::World,
};

const RATE_PER_S: u32 = 300;
const BURST: u32 = 600;
const SETTLED: MonoTime = MonoTime(20_000_000);
const FAULT_AT: MonoTime = MonoTime(30_000_000);
const END: MonoTime = MonoTime(140_000_000);
const LARGE_WORKSPACES: usize = 200;
const LARGE_DCS: usize = 4;

/// The command line of the bench.
pub fn command() -> Command {
    let vms = Arg::new("vms").long("vms").default_value("400").value_parser(value_parser!(u32));
    Command::new("bench-quota")
        .about(
            "Measures wrongful refusals, and what the controllers of rates cost, in virtual time",
        )
        .arg(vms.help("VMs of the large fleet"))
}

/// What goes wrong in a scenario.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    VmDies,
    DcCutOff,
}

/// Runs the bench.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    refusals();
    controllers(matches.get_one::<u32>("vms").copied().unwrap_or(400) as usize);
    Ok(())
}

fn refusals() {
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
            scenario(name, vms, percent, weight, Fault::None);
        }
    }
    let left = &["a-1", "b-1", "b-2", "c-1", "c-2"];
    for percent in [50, 70, 90] {
        scenario("one VM dead", left, percent, 1, Fault::VmDies);
    }
    scenario("one VM dead, all at another", &["a-1"], 70, 1, Fault::VmDies);
    for percent in [20, 30, 50, 90] {
        scenario("DC cut off, arrivals in it", &["a-1", "a-2"], percent, 1, Fault::DcCutOff);
    }
    scenario("DC cut off, arrivals outside", &["b-1", "c-2"], 60, 1, Fault::DcCutOff);
}

fn scenario(name: &str, vms: &[&str], percent: u32, weight: u32, fault: Fault) {
    let dcs = ["a", "b", "c"];
    let mut world = small_fleet(&dcs);
    let mut rng = StdRng::seed_from_u64(7);
    world.run_until(SETTLED);
    let line = LoadLine {
        vms: vms.iter().map(|vm| VmName::new(vm).expect("a constant")).collect(),
        workspace: WorkspaceName::new("w").expect("a constant"),
        per_s: RATE_PER_S * percent / 100 / weight,
        weight,
        for_ms: (END.since(SETTLED).as_ms()) - 10_000,
    };
    load(&mut world, &line, &mut rng);
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
    let before = messages(&world);
    world.run_until(END);
    let per_s = (messages(&world) - before) * 1_000 / END.since(FAULT_AT).as_ms();
    let holds = within_rate(&world);
    let arrivals = &world.arrivals[&line.workspace];
    let from = if fault == Fault::None { SETTLED } else { FAULT_AT };
    let Comparison { arrived, oracle_admitted, .. } = compare(arrivals, RATE_PER_S, BURST, from);
    let ppm = compare(arrivals, RATE_PER_S, BURST, from).wrongful_ppm();
    let rule = if holds.is_ok() { "" } else { "  RULE BROKEN" };
    println!(
        "{name:<28} {percent:>5}% {weight:>8} {arrived:>9} {oracle_admitted:>9} {ppm:>11} {per_s:>10}{rule}"
    );
}

fn small_fleet(dcs: &[&str]) -> World {
    let dc = |dc: &&str| DcName::new(dc).expect("a constant");
    let workspace = WorkspaceLine {
        name: WorkspaceName::new("w").expect("a constant"),
        rate_per_s: RATE_PER_S,
        burst: BURST,
    };
    start(&FleetLine {
        dcs: dcs.iter().map(dc).collect(),
        vms_per_dc: 2,
        workspaces: vec![workspace],
        connection_limit: 20,
        seed: 1,
    })
}

fn messages(world: &World) -> u64 {
    world.vms.values().map(|vm| vm.messages).sum()
}

/// A large fleet: what it exchanges when it is idle and when every VM asks for tokens.
fn controllers(vms: usize) {
    let dcs = (0..LARGE_DCS).map(|n| DcName::new(format!("dc{n}")).expect("a constant"));
    let workspaces = (0..LARGE_WORKSPACES).map(|n| WorkspaceLine {
        name: WorkspaceName::new(format!("workspace-{n}")).expect("a constant"),
        rate_per_s: 100,
        burst: 200,
    });
    let mut world = start(&FleetLine {
        dcs: dcs.collect(),
        vms_per_dc: vms / LARGE_DCS,
        workspaces: workspaces.collect(),
        connection_limit: 20,
        seed: 1,
    });
    println!("\n{vms} VMs in {LARGE_DCS} data centres, {LARGE_WORKSPACES} workspaces");
    let timed = |what: &str, world: &mut World, seconds: u64| {
        let (calls, sent, handled) = (world.platform.calls, messages(world), world.handled);
        let started = Instant::now();
        let until = world.now + DurationUs::from_ms(seconds * 1_000);
        world.run_until(until);
        let us = started.elapsed().as_micros() as f64;
        let events = world.handled - handled;
        println!(
            "{what}: {seconds} s virtual, {events} events, {:.1} us an event, {:.0} us a VM and second, {:.1} platform calls/s, {:.2} messages/s a VM",
            us / events as f64,
            us / vms as f64 / seconds as f64,
            (world.platform.calls - calls) as f64 / seconds as f64,
            (messages(world) - sent) as f64 / vms as f64 / seconds as f64,
        );
    };
    timed("start", &mut world, 10);
    timed("idle", &mut world, 20);
    let workspace = |n: usize| WorkspaceName::new(format!("workspace-{n}")).expect("a constant");
    let names: Vec<VmName> = world.vms.keys().map(|owner| owner.vm.clone()).collect();
    let mut rng = StdRng::seed_from_u64(3);
    for n in 0..LARGE_WORKSPACES {
        let line = LoadLine {
            vms: names.clone(),
            workspace: workspace(n),
            per_s: 80,
            weight: 1,
            for_ms: 20_000,
        };
        load(&mut world, &line, &mut rng);
    }
    timed("requests at 80% of every rate, all VMs", &mut world, 20);
    let refused: u64 = world
        .arrivals
        .values()
        .map(|arrivals| compare(arrivals, 100, 200, MonoTime(0)).wrongly_refused)
        .sum();
    let arrived: usize = world.arrivals.values().map(Vec::len).sum();
    println!("wrongly refused: {refused} of {arrived}; {:?}", within_rate(&world));
    let object = world.platform.get("dc/dc0").1.to_string();
    println!(
        "object dc/dc0: {} bytes, {} a workspace",
        object.len(),
        object.len() / LARGE_WORKSPACES
    );
    println!("token message: {} bytes of MessagePack", ask_bytes());
}

fn ask_bytes() -> usize {
    let ask = TokenAsk {
        vm: VmName::new("uusimaa-a-101").expect("a constant"),
        incarnation: Incarnation(1_000_000),
        workspace: WorkspaceName::new("workspace-100").expect("a constant"),
        id: 1_000_000,
        want_micro: 5_000_000,
        lifetime: DurationUs::from_ms(250),
    };
    encode(&PeerRequest::Tokens(TokenRequest::Ask(ask))).len()
}
