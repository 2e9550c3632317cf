//! Measures how long writes are without service when a primary fails.

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
const REQUEST_LIMIT: DurationUs = DurationUs::from_ms(1_000);
const LEAD_TIME: Duration = Duration::from_millis(700);
const SERVICE_LIMIT: Duration = Duration::from_secs(30);
const SUCCESSES_AFTER: usize = 20;

/// The command line of the bench.
pub fn command() -> Command {
    Command::new("bench-failover")
        .about("Measures the time from the last write before a primary fails to the first after")
        .arg(number("kills", "20", "Primaries killed, each in a fleet of its own"))
        .arg(number("freezes", "10", "Primaries stopped and continued, in one fleet"))
        .arg(number("isolations", "10", "Primaries that nobody reaches, in one fleet"))
        .arg(number("status-interval-ms", "100", "How often databases are asked for their status"))
        .arg(number("vms-per-dc", "2", "VMs in each data centre"))
}

/// When writes succeeded.
type Successes = Arc<Mutex<Vec<Instant>>>;

/// Runs the bench.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?
        .with_rates_unlimited()
        .with_vms_per_dc(number("vms-per-dc") as usize)
        .with_daemon_arg("status-interval-ms", number("status-interval-ms"));
    println!(
        "{:<10} {:>6} {:>8} {:>8} {:>8}  each, in ms",
        "fault", "rounds", "p50 ms", "worst", "no end"
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
        gaps.push(one_round(&mut running, &key, fault).await?);
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

/// The longest time between two successes around the fault; absent where none followed it.
async fn one_round(fleet: &mut Fleet, key: &str, fault: Fault) -> eyre::Result<Option<Duration>> {
    let (_, primary) = fleet.first_primary().await.ok_or_else(|| eyre!("no primary"))?;
    let successes = Successes::default();
    let addresses = fleet.vms.iter().map(|vm| vm.address()).collect();
    let load =
        tokio::spawn(send(addresses, key.to_owned(), fleet.first_slot_key()?, successes.clone()));
    tokio::time::sleep(LEAD_TIME).await;
    let at = Instant::now();
    fleet.inject_fault(fault, &primary).await?;
    let served = wait_for_successes(&successes, at).await;
    load.abort();
    fleet.end_fault(fault, &primary).await?;
    let moments = lock(&successes).clone();
    Ok(served.then(|| longest_gap(moments)))
}

/// Sends a write every few milliseconds, whatever becomes of the others.
async fn send(addresses: Vec<String>, key: String, slot_key: String, successes: Successes) {
    let caller = Caller::new(key).with_timeout(REQUEST_LIMIT);
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

async fn wait_for_successes(successes: &Successes, fault_at: Instant) -> bool {
    // What was under way when the fault came may still succeed.
    let settled = fault_at + Duration::from_millis(300);
    while fault_at.elapsed() < SERVICE_LIMIT {
        if lock(successes).iter().filter(|at| **at > settled).count() >= SUCCESSES_AFTER {
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

fn lock(successes: &Successes) -> std::sync::MutexGuard<'_, Vec<Instant>> {
    successes.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn print(fault: Fault, gaps: &[Option<Duration>]) {
    let mut ended: Vec<u128> = gaps.iter().flatten().map(Duration::as_millis).collect();
    let each: Vec<String> = ended.iter().map(u128::to_string).collect();
    ended.sort_unstable();
    let p50 = ended.get(ended.len() / 2).copied().unwrap_or_default();
    let worst = ended.last().copied().unwrap_or_default();
    let never = gaps.len() - ended.len();
    println!(
        "{:<10} {:>6} {p50:>8} {worst:>8} {never:>8}  {}",
        format!("{fault:?}"),
        gaps.len(),
        each.join(" ")
    );
}
