//! Measures the share of reads that replicas serve, and compares it with the share that they could serve,
//! computed from the sampled positions of all databases.

use std::time::{Duration, Instant};

use clap::{ArgMatches, Command};
use edge::client::Client;
use model::{
    key::FleetSecret,
    prelude::*,
    request::stable_hash,
    session::{Session, SlotDigest},
};
use proto::database::{DatabaseError, Role, Status, StatusQuery};
use rig::{Caller, Fleet, FleetSpec};
use serde_json::json;
use tokio::task::JoinSet;

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const SERVICE: &str = "quote-ledger-1";
const WRITE: &str = "quote-ledger-1/annotate-quote";
const READ: &str = "quote-ledger-1/delivery-board";
/// Staleness that the route [`READ`] allows.
const MAX_AGE: Duration = Duration::from_millis(5_000);
const WORKSPACE: &str = "calgary-dealer";
/// Secret of test fleets; opens the session tokens to read the positions in them.
const FLEET_SECRET: &str = "a fleet secret for tests and demos";
const SLOTS: u64 = 3;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(4);
const THINK_TIME: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(2);

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-replica-share")
        .about("Measures the share of eligible reads that replicas serve")
        .arg(number(
            "callers",
            "12",
            "Number of callers, each with a session that moves between VMs",
        ))
        .arg(number("seconds", "6", "Time for each lag, in seconds"))
        .arg(number("writes", "10", "Percentage of writes among the requests"))
}

/// Role and position of a slot at one database at one moment.
struct Sample {
    at: Instant,
    slot: usize,
    database: usize,
    is_primary: bool,
    position: Position,
}

/// A successful read, with the position that its session required.
struct Read {
    slot: usize,
    sent_at: Instant,
    answered_at: Instant,
    min_position: Position,
}

/// Measures several replication lags and prints a row for each.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    println!(
        "{:>8} {:>8} {:>10} {:>10} {:>10} {:>11} {:>10}",
        "lag ms", "reads", "eligible", "possible", "served", "of eligible", "p50 us"
    );
    for lag_ms in [0, 5, 20, 100, 500] {
        let span = Duration::from_secs(number("seconds"));
        measure(lag_ms, number("callers"), span, number("writes")).await?;
    }
    Ok(())
}

async fn measure(lag_ms: u64, callers: u64, span: Duration, writes: u64) -> eyre::Result<()> {
    let fleet = start_fleet().await?;
    let key = fleet.issue_key(WORKSPACE, "bench").await?;
    for database in &fleet.databases {
        fleet.set_faults(&database.process, &json!({"lag_ms": lag_ms})).await?;
    }
    let before = replica_reads(&fleet).await;
    let until = Instant::now() + span;
    let mut samplers = JoinSet::new();
    for (number, database) in fleet.databases.iter().enumerate() {
        samplers.spawn(sample(database.process.address("admin"), number, until));
    }
    let addresses: Vec<String> = fleet.vms.iter().map(|vm| vm.address()).collect();
    let mut loops = JoinSet::new();
    for number in 0..callers {
        loops.spawn(call(Caller::new(&key), addresses.clone(), number, writes, until));
    }
    let reads: Vec<Read> = loops.join_all().await.into_iter().flatten().collect();
    let samples: Vec<Sample> = samplers.join_all().await.into_iter().flatten().collect();
    let served = replica_reads(&fleet).await - before;
    print(lag_ms, &reads, &samples, served);
    Ok(())
}

async fn start_fleet() -> eyre::Result<Fleet> {
    let spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?.with_rates_unlimited();
    Fleet::start(spec).await
}

async fn replica_reads(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for vm in &fleet.vms {
        let counters = fleet.query_ops(vm, "/counters").await.unwrap_or_default();
        sum += counters["replica_reads"].as_u64().unwrap_or(0);
    }
    sum
}

async fn sample(address: String, database: usize, until: Instant) -> Vec<Sample> {
    let client = Client::new("bench");
    let mut samples = Vec::new();
    while Instant::now() < until {
        let reply = client.post_json::<Status, DatabaseError>(
            &address,
            "/status",
            &StatusQuery {},
            TIMEOUT,
        );
        if let Ok(Ok(status)) = reply.await {
            let at = Instant::now();
            samples.extend(status.slots.iter().enumerate().map(|(slot, s)| Sample {
                at,
                slot,
                database,
                is_primary: s.role == Role::Primary,
                position: s.position,
            }));
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

async fn call(
    mut caller: Caller,
    addresses: Vec<String>,
    number: u64,
    writes: u64,
    until: Instant,
) -> Vec<Read> {
    let secret = FleetSecret::new(FLEET_SECRET).expect("a constant");
    let workspace = WorkspaceName::new(WORKSPACE).expect("a constant");
    let mut reads = Vec::new();
    let mut round = 0;
    while Instant::now() < until {
        round += 1;
        let draw =
            |what: &str, sides: u64| stable_hash(&format!("{what} {number} {round}")) % sides;
        let address = &addresses[draw("vm", addresses.len() as u64) as usize];
        let slot_key = format!("deal-{}", draw("slot", 30));
        let slot = stable_hash(&slot_key) % SLOTS;
        let name = json!(format!("quote-{number}"));
        if draw("kind", 100) < writes {
            let params = [name, json!(round)];
            let _ = caller.call(address, WRITE, &slot_key, "put", &params).await;
        } else {
            let token = caller.session.as_deref();
            let session = token.and_then(|t| Session::open(t, &secret, &workspace).ok());
            let digest =
                SlotDigest::new(SERVICE, &format!("{SERVICE}-{}", ["a", "b", "c"][slot as usize]));
            let min_position = session.unwrap_or_default().seen(digest);
            let sent_at = Instant::now();
            let reply = caller.call(address, READ, &slot_key, "get", &[name]).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                let answered_at = Instant::now();
                reads.push(Read { slot: slot as usize, sent_at, answered_at, min_position });
            }
        }
        tokio::time::sleep(THINK_TIME).await;
    }
    reads
}

/// Returns whether a replica could have served the read: when the read was sent, the replica had reached
/// the session's position and its data was no older than the route allows.
fn is_eligible(read: &Read, samples: &[Sample]) -> bool {
    let of_slot = || samples.iter().filter(|s| s.slot == read.slot);
    (0..3).any(|database| {
        let before = of_slot().rfind(|s| s.database == database && s.at <= read.sent_at);
        let Some(replica) = before.filter(|s| !s.is_primary && s.position >= read.min_position)
        else {
            return false;
        };
        let passed = of_slot().find(|s| s.is_primary && s.position > replica.position);
        passed.is_none_or(|s| read.sent_at.saturating_duration_since(s.at) <= MAX_AGE)
    })
}

fn print(lag_ms: u64, reads: &[Read], samples: &[Sample], served: u64) {
    let eligible = reads.iter().filter(|read| is_eligible(read, samples)).count();
    let mut latencies: Vec<u128> =
        reads.iter().map(|r| r.answered_at.duration_since(r.sent_at).as_micros()).collect();
    latencies.sort_unstable();
    let p50 = latencies.get(latencies.len() / 2).copied().unwrap_or_default();
    let share = |part: usize, whole: usize| 100.0 * part as f64 / whole.max(1) as f64;
    println!(
        "{lag_ms:>8} {:>8} {eligible:>10} {:>9.1}% {:>9.1}% {:>10.1}% {p50:>10}",
        reads.len(),
        share(eligible, reads.len()),
        share(served as usize, reads.len()),
        share(served as usize, eligible),
    );
}
