//! Measures how long no write succeeds when a primary fails.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use clap::{ArgMatches, Command};
use eyre::eyre;
use model::prelude::*;
use rig::{Caller, Fault, Fleet, FleetSpec};
use serde_json::json;

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const WRITE: &str = "quote-ledger-1/annotate-quote";
const WORKSPACE: &str = "calgary-dealer";
const SEND_INTERVAL: Duration = Duration::from_millis(10);
const REQUEST_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
/// Time during which writes are sent before the fault.
const LOAD_BEFORE_FAULT: Duration = Duration::from_millis(700);
/// A round counts as unrecovered after this time.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Successful writes after the fault at which writes count as recovered.
const SUCCESSES_TO_RECOVER: usize = 20;

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-failover")
        .about("Measures how long no write succeeds when a primary fails")
        .arg(number("kills", "20", "Number of primaries killed, each in a fleet of its own"))
        .arg(number("freezes", "10", "Number of primaries frozen and continued, in one fleet"))
        .arg(number(
            "isolations",
            "10",
            "Number of primaries isolated from all peers, in one fleet",
        ))
        .arg(number(
            "status-interval-ms",
            "100",
            "Interval between status queries to a database, in milliseconds",
        ))
        .arg(number("vms-per-dc", "2", "VMs in each data centre"))
}

/// Times at which writes succeeded.
type SuccessTimes = Arc<Mutex<Vec<Instant>>>;

/// Measures each kind of fault and prints the gaps.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?
        .with_rates_unlimited()
        .with_vms_per_dc(number("vms-per-dc") as usize)
        .with_daemon_arg("status-interval-ms", number("status-interval-ms"));
    println!(
        "{:<10} {:>6} {:>8} {:>8} {:>11}  each, in ms",
        "fault", "rounds", "p50 ms", "worst", "unrecovered"
    );
    for (fault, rounds) in [
        (Fault::Killed, number("kills")),
        (Fault::Frozen, number("freezes")),
        (Fault::Isolated, number("isolations")),
    ] {
        let gaps = measure(&spec, fault, rounds).await?;
        print(fault, &gaps);
    }
    Ok(())
}

async fn measure(
    spec: &FleetSpec,
    fault: Fault,
    rounds: u64,
) -> eyre::Result<Vec<Option<Duration>>> {
    let mut gaps = Vec::new();
    let mut fleet: Option<(Fleet, String)> = None;
    for _ in 0..rounds {
        let (mut running, key) = match fleet.take() {
            Some(running) => running,
            None => start(spec).await?,
        };
        gaps.push(measure_round(&mut running, &key, fault).await?);
        if fault != Fault::Killed {
            running.wait_until_healed().await?;
            fleet = Some((running, key));
        }
    }
    Ok(gaps)
}

async fn start(spec: &FleetSpec) -> eyre::Result<(Fleet, String)> {
    let fleet = Fleet::start(spec.clone()).await?;
    let key = fleet.issue_key(WORKSPACE, "bench").await?;
    Ok((fleet, key))
}

/// Injects a fault into a primary and returns the longest time between two successful writes around it,
/// or `None` if writes didn't recover.
async fn measure_round(
    fleet: &mut Fleet,
    key: &str,
    fault: Fault,
) -> eyre::Result<Option<Duration>> {
    let (_, primary) = fleet.first_primary().await.ok_or_else(|| eyre!("no primary"))?;
    let successes = SuccessTimes::default();
    let addresses = fleet.vms.iter().map(|vm| vm.address()).collect();
    let load =
        tokio::spawn(send(addresses, key.to_owned(), fleet.first_slot_key()?, successes.clone()));
    tokio::time::sleep(LOAD_BEFORE_FAULT).await;
    let at = Instant::now();
    fleet.inject_fault(fault, &primary).await?;
    let served = wait_for_successes(&successes, at).await;
    load.abort();
    fleet.end_fault(fault, &primary).await?;
    let moments = lock(&successes).clone();
    Ok(served.then(|| longest_gap(moments)))
}

/// Sends a write every [`SEND_INTERVAL`] without waiting for the previous ones.
async fn send(addresses: Vec<String>, key: String, slot_key: String, successes: SuccessTimes) {
    let caller = Caller::new(key).with_timeout(REQUEST_TIMEOUT);
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    for number in 0_usize.. {
        ticks.tick().await;
        let address = addresses[number % addresses.len()].clone();
        let (mut caller, slot_key, successes) =
            (caller.clone(), slot_key.clone(), successes.clone());
        tokio::spawn(async move {
            let params = [json!(format!("quote-{number}")), json!(number)];
            let reply = caller.call(&address, WRITE, &slot_key, "put", &params).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                lock(&successes).push(Instant::now());
            }
        });
    }
}

async fn wait_for_successes(successes: &SuccessTimes, fault_at: Instant) -> bool {
    // Writes that were in flight when the fault occurred may still succeed.
    let settled = fault_at + Duration::from_millis(300);
    while fault_at.elapsed() < RECOVERY_TIMEOUT {
        if lock(successes).iter().filter(|at| **at > settled).count() >= SUCCESSES_TO_RECOVER {
            return true;
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    false
}

fn longest_gap(mut moments: Vec<Instant>) -> Duration {
    moments.sort();
    moments.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

fn lock(successes: &SuccessTimes) -> std::sync::MutexGuard<'_, Vec<Instant>> {
    successes.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn print(fault: Fault, gaps: &[Option<Duration>]) {
    let mut ended: Vec<u128> = gaps.iter().flatten().map(Duration::as_millis).collect();
    let each: Vec<String> = ended.iter().map(u128::to_string).collect();
    ended.sort_unstable();
    let p50 = ended.get(ended.len() / 2).copied().unwrap_or_default();
    let worst = ended.last().copied().unwrap_or_default();
    let unrecovered = gaps.len() - ended.len();
    println!(
        "{:<10} {:>6} {p50:>8} {worst:>8} {unrecovered:>11}  {}",
        format!("{fault:?}"),
        gaps.len(),
        each.join(" ")
    );
}
