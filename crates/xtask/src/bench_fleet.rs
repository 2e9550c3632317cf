//! Measures the fleet's control plane: the time until every VM has applied a configuration change, calls
//! to the platform, traffic between VMs and CPU time.

use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command};
use config::KeyState;
use edge::{client::Client, platform::PlatformClient};
use eyre::eyre;
use fleet::placement::holders;
use model::prelude::*;
use proto::platform::{UpdateResult, VmRecord, VmState};
use replay::fleet::{World, large_configuration};
use rig::{Caller, Fleet, FleetSpec};
use serde_json::{Value, json};

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const CONFIGURATION_OBJECT: &str = "configuration";
const WORKSPACE: &str = "calgary-dealer";
const READ: &str = "quote-ledger-1/quote";
/// Time for a new fleet to settle before it is measured.
const SETTLE: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(2);
/// Unit of the CPU times in `/proc/PID/stat` (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;
const LARGE_DATABASES: usize = 670;
const LARGE_KEYS: u64 = 1_000;
const SEED: u64 = 3;

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-fleet")
        .about("Measures the time to apply changes and the cost of control, by number of VMs")
        .arg(number("changes", "20", "Number of changes of each kind for each fleet"))
        .arg(
            Arg::new("controllers-only")
                .long("controllers-only")
                .action(ArgAction::SetTrue)
                .help("Runs the controllers only, without processes"),
        )
        .arg(
            Arg::new("idle-only")
                .long("idle-only")
                .action(ArgAction::SetTrue)
                .help("Only measures idle daemons, at several status intervals"),
        )
        .arg(number("seconds", "10", "Length of each idle and load measurement, in seconds"))
}

/// Measures fleets of processes, then the controllers of larger fleets in virtual time.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let span = Duration::from_secs(number("seconds"));
    if matches.get_flag("idle-only") {
        return measure_idle(span).await;
    }
    println!("processes");
    let fleets = if matches.get_flag("controllers-only") { 0 } else { 3 };
    for vms_per_dc in 1..=fleets {
        measure_processes(vms_per_dc, number("changes"), span).await?;
    }
    println!("controllers alone, 4 data centres, {LARGE_DATABASES} databases, {LARGE_KEYS} keys");
    for vms in [50, 100, 200, 400] {
        measure_controllers(vms)?;
    }
    measure_placement()
}

/// Measures the CPU time of idle daemons, by the number of databases and the interval of status queries.
async fn measure_idle(span: Duration) -> eyre::Result<()> {
    let answers = std::fs::read_to_string(ANSWERS)?;
    for services in [1, 3] {
        for interval_ms in [100, 400, 2_000] {
            let mut spec = FleetSpec::new(&answers)?
                .with_relays()
                .with_daemon_arg("status-interval-ms", interval_ms);
            spec.services =
                spec.answers.services.iter().take(services).map(|s| s.name.clone()).collect();
            spec.answers.services.truncate(services);
            for workspace in &mut spec.answers.workspaces {
                workspace.services.truncate(services);
            }
            let fleet = Fleet::start(spec).await?;
            tokio::time::sleep(SETTLE).await;
            let databases = fleet.databases.len();
            let cost = Cost::measure(&fleet, span, None).await?;
            cost.print(&format!("{databases} databases queried every {interval_ms} ms"));
        }
    }
    Ok(())
}

async fn measure_processes(vms_per_dc: usize, changes: u64, span: Duration) -> eyre::Result<()> {
    let spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?
        .with_vms_per_dc(vms_per_dc)
        .with_relays()
        .with_rates_unlimited();
    let fleet = Fleet::start(spec).await?;
    let count = fleet.vms.len();
    let key = fleet.issue_key(WORKSPACE, "bench").await?;
    tokio::time::sleep(SETTLE).await;

    let idle = Cost::measure(&fleet, span, None).await?;
    idle.print(&format!("{count} VMs idle"));
    let load = Cost::measure(&fleet, span, Some(&key)).await?;
    load.print(&format!("{count} VMs under load"));

    let mut withdrawals = Vec::new();
    let mut others = Vec::new();
    for number in 0..changes {
        let state = if number.is_multiple_of(2) { KeyState::Withdrawn } else { KeyState::Valid };
        withdrawals.push(time_to_apply(&fleet, |cfg| cfg.keys[0].state = state).await?);
        let change = |cfg: &mut config::Configuration| cfg.workspaces[0].burst -= 1;
        others.push(time_to_apply(&fleet, change).await?);
    }
    print_times(&format!("{count} VMs, key withdrawn or restored"), &mut withdrawals);
    print_times(&format!("{count} VMs, workspace changed"), &mut others);
    let last_dc = &fleet.vms[count - 1].dc;
    let cut: Vec<&str> =
        fleet.vms.iter().filter(|vm| vm.dc == *last_dc).map(|vm| vm.vm.as_str()).collect();
    fleet.set_faults(&fleet.platform, &json!({"cut_off": cut})).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut apart = Vec::new();
    for _ in 0..changes {
        apart.push(time_to_apply(&fleet, |cfg| cfg.workspaces[0].burst -= 1).await?);
    }
    print_times(&format!("{count} VMs, one data centre cut off from the platform"), &mut apart);
    Ok(())
}

/// Changes the configuration, and returns the time from the platform's acceptance until every VM has
/// applied the change.
async fn time_to_apply(
    fleet: &Fleet,
    edit: impl FnOnce(&mut config::Configuration),
) -> eyre::Result<Duration> {
    let platform = PlatformClient::new(Client::new("bench"), fleet.platform.address("listen"));
    let object = platform.get(CONFIGURATION_OBJECT).await?;
    let mut cfg: config::Configuration = serde_json::from_value(object.value)?;
    edit(&mut cfg);
    cfg.generation.0 += 1;
    cfg.change_id += 1;
    let updated =
        platform.update(CONFIGURATION_OBJECT, object.version, serde_json::to_value(&cfg)?).await?;
    let accepted = Instant::now();
    if !matches!(updated, UpdateResult::Done { .. }) {
        return Err(eyre!("the configuration was changed concurrently"));
    }
    for vm in &fleet.vms {
        loop {
            let state = fleet.query_ops(vm, "/state").await.unwrap_or_default();
            if state["generation"].as_u64() >= Some(cfg.generation.0) {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(accepted.elapsed())
}

fn print_times(what: &str, times: &mut [Duration]) {
    times.sort();
    let ms = |at: usize| times[at].as_secs_f64() * 1_000.0;
    println!(
        "  {what:<48} applied after p50 {:>6.0} ms, worst {:>6.0} ms, {} changes",
        ms(times.len() / 2),
        ms(times.len() - 1),
        times.len()
    );
}

/// Cost of a fleet's control plane, averaged over a time span. `core_share_per_vm` is the share of one
/// CPU core.
struct Cost {
    platform_calls_per_s: f64,
    peer_bytes_per_vm_s: f64,
    digests_per_vm_s: f64,
    core_share_per_vm: f64,
    answers_per_s: f64,
}

/// Counters summed over a fleet at one moment, from the platform, the relays and the daemons.
struct Totals {
    platform_calls: u64,
    peer_bytes: u64,
    digests: u64,
    cpu_ticks: u64,
    answered: u64,
}

impl Cost {
    async fn measure(fleet: &Fleet, span: Duration, load_key: Option<&str>) -> eyre::Result<Cost> {
        let before = Totals::read(fleet).await?;
        let started = Instant::now();
        match load_key {
            Some(key) => load(fleet, key, span).await,
            None => tokio::time::sleep(span).await,
        }
        let after = Totals::read(fleet).await?;
        let (seconds, vms) = (started.elapsed().as_secs_f64(), fleet.vms.len() as f64);
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
        Ok(Cost {
            platform_calls_per_s: rate(before.platform_calls, after.platform_calls),
            peer_bytes_per_vm_s: rate(before.peer_bytes, after.peer_bytes) / vms,
            digests_per_vm_s: rate(before.digests, after.digests) / vms,
            core_share_per_vm: rate(before.cpu_ticks, after.cpu_ticks) / CLOCK_TICKS_PER_S / vms,
            answers_per_s: rate(before.answered, after.answered),
        })
    }

    fn print(&self, what: &str) {
        println!(
            "  {what:<20} platform calls/s {:>5.1}, digests/s per VM {:>4.2}, bytes between VMs/s per VM {:>8.0}, core per VM {:>5.2}%, answers/s {:>6.0}",
            self.platform_calls_per_s,
            self.digests_per_vm_s,
            self.peer_bytes_per_vm_s,
            self.core_share_per_vm * 100.0,
            self.answers_per_s
        );
    }
}

impl Totals {
    async fn read(fleet: &Fleet) -> eyre::Result<Totals> {
        let mut totals = Totals {
            platform_calls: fleet.counts(&fleet.platform).await?["calls"].as_u64().unwrap_or(0),
            // Bytes of messages and their replies, counted at the receiving VM only.
            peer_bytes: fleet.recorded_peer_bytes() as u64,
            digests: 0,
            cpu_ticks: 0,
            answered: 0,
        };
        for vm in &fleet.vms {
            let counters = fleet.query_ops(vm, "/counters").await.unwrap_or_default();
            let counter = |name: &str| counters[name].as_u64().unwrap_or(0);
            totals.digests += counter("gossip_sent");
            totals.answered += counter("answered");
            totals.cpu_ticks += cpu_ticks(vm.process.id())?;
        }
        Ok(totals)
    }
}

/// CPU time of a process in user and kernel mode, in clock ticks.
fn cpu_ticks(pid: u32) -> eyre::Result<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    Ok(fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum())
}

/// Runs two callers per VM, each of which sends reads one after the other, until `span` has passed.
async fn load(fleet: &Fleet, key: &str, span: Duration) {
    let end = Instant::now() + span;
    let callers = fleet.vms.iter().flat_map(|vm| [vm.address(), vm.address()]);
    let tasks: Vec<_> = callers
        .enumerate()
        .map(|(number, address)| {
            let mut caller = Caller::new(key);
            tokio::spawn(async move {
                while Instant::now() < end {
                    let site = format!("site-{number}");
                    // Failures are ignored: the counter of answers shows them.
                    let _ = caller.call(&address, READ, &site, "get", &[Value::from("x")]).await;
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

fn dcs() -> Vec<DcName> {
    ["a", "b", "c", "d"].iter().filter_map(|name| DcName::new(name).ok()).collect()
}

fn measure_controllers(vms: usize) -> eyre::Result<()> {
    const WARM_UP_S: u64 = 6;
    const IDLE_S: u64 = 10;
    const CHANGES: usize = 8;
    let dcs = dcs();
    let mut world = World::new(&dcs, 600, SEED);
    world.set_configuration(large_configuration(LARGE_DATABASES, LARGE_KEYS, &dcs));
    for number in 0..vms {
        let dc = &dcs[number % dcs.len()];
        world.start(&VmName::new(format!("{dc}-{number}"))?, dc);
    }
    let later = |world: &World, ms: u64| world.now() + DurationUs::from_ms(ms);
    let fails = |found: String| eyre!("{found}");
    world.run_until(later(&world, WARM_UP_S * 1_000)).map_err(fails)?;
    let before = world.traffic;
    let started = Instant::now();
    world.run_until(later(&world, IDLE_S * 1_000)).map_err(fails)?;
    let wall = started.elapsed();
    let idle = world.traffic;
    let mut times = Vec::new();
    let mut bytes = 0;
    for _ in 0..CHANGES {
        let from = world.now();
        let sent = world.traffic.bytes;
        world.change_configuration();
        let applied = world.platform_generation();
        while world.generations().iter().any(|(_, generation)| *generation < applied) {
            world.run_until(later(&world, 10)).map_err(fails)?;
        }
        times.push(Duration::from_micros(world.now().since(from).0));
        world.run_until(from + DurationUs::from_ms(5_000)).map_err(fails)?;
        bytes += world.traffic.bytes - sent;
    }
    let per_vm_s = |count: u64| count as f64 / vms as f64 / IDLE_S as f64;
    let idle_bytes = per_vm_s(idle.bytes - before.bytes);
    let change_bytes = bytes as f64 / CHANGES as f64 / vms as f64 - 5.0 * idle_bytes;
    println!(
        "  {vms:>3} VMs: messages/s per VM {:.2}, bytes/s per VM {idle_bytes:.0}, platform calls/s {:.1}, {:.0} us per event, {change_bytes:.0} bytes per VM and change",
        per_vm_s(idle.messages - before.messages),
        (idle.platform_calls - before.platform_calls) as f64 / IDLE_S as f64,
        wall.as_micros() as f64 / (idle.events - before.events) as f64,
    );
    print_times(&format!("{vms} VMs, key withdrawn"), &mut times);
    Ok(())
}

/// Measures the time to find a database's holders, computed on each call and read from the board's cached
/// placement.
fn measure_placement() -> eyre::Result<()> {
    const LOOKUPS: usize = 20_000;
    let dcs = dcs();
    let vm = |number: usize| VmRecord {
        vm: VmName::new(format!("vm-{number}")).expect("a name"),
        incarnation: Incarnation(1),
        dc: dcs[number % dcs.len()].clone(),
        peer_address: String::new(),
        state: VmState::Live,
    };
    let me = vm(0);
    let mut board = board::Board::new(board::VmIdentity {
        vm: me.vm,
        incarnation: me.incarnation,
        dc: me.dc,
        peer_address: me.peer_address,
    });
    let cfg = large_configuration(LARGE_DATABASES, LARGE_KEYS, &dcs);
    board.adopt(board::Catalog::new(cfg).into());
    board.fleet.vms = (0..400).map(vm).collect::<Vec<_>>().into();
    let count = board.catalog.databases.len();
    for what in ["computed", "cached"] {
        let started = Instant::now();
        let found: usize = (0..LOOKUPS).map(|n| holders(&board, (n % count).into()).len()).sum();
        let each = started.elapsed().as_nanos() / LOOKUPS as u128;
        println!("  holders of a database among 400 VMs, {what}: {each} ns ({found} found)");
        board.update_placement();
    }
    Ok(())
}
