//! Measures fairness between workspaces: the latency of some of them alone, and while another workspace
//! floods the same daemons.

use std::time::Duration;

use clap::{ArgMatches, Command};
use edge::connection::Connection;
use http::{HeaderValue, header::AUTHORIZATION};
use loadgen::closed::{self, Report, Worker};
use proto::caller::{AnswerBody, ErrorBody, RequestBody};
use rig::{Fleet, FleetSpec};
use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const READ: &str = "/v1/quote-ledger-1/quote";
const FLOODING_WORKSPACE: &str = "calgary-dealer";
const OTHER_WORKSPACES: [&str; 3] = ["regina-dealer", "brandon-dealer", "winnipeg-dealer"];
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-fairness")
        .about("Measures the latency of workspaces beside one that sends five times its share")
        .arg(number("seconds", "8", "Time for each load, in seconds"))
        .arg(number("connection-limit", "12", "Connection limit of each database"))
        .arg(number("execute-ms", "30", "Time to execute a statement, in milliseconds"))
        .arg(number("flood", "60", "Number of connections of the flooding workspace"))
}

/// A caller that sends one request per interval `every`, or without a pause if that is zero.
struct PacedCaller {
    connection: Connection,
    body: RequestBody,
    every: Duration,
    next: Instant,
}

impl Worker for PacedCaller {
    async fn request(&mut self) -> bool {
        let reply =
            self.connection.call::<AnswerBody, ErrorBody>(READ, &self.body, REPLY_TIMEOUT).await;
        matches!(reply, Ok(Ok(_)))
    }

    async fn pause(&mut self) {
        sleep_until(self.next).await;
        self.next += self.every;
    }
}

/// Measures each workspace alone and beside the flood, and prints the ratio of the latencies.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let span = Duration::from_secs(number("seconds"));
    let mut spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?
        .with_database_arg("execute-ms", number("execute-ms"))
        .with_rates_unlimited();
    for database in spec.answers.services.iter_mut().flat_map(|s| &mut s.databases) {
        database.connection_limit = number("connection-limit") as u32;
    }
    let fleet = Fleet::start(spec).await?;
    let flood_key = fleet.issue_key(FLOODING_WORKSPACE, "flood").await?;
    let mut keys = Vec::new();
    for (number, workspace) in OTHER_WORKSPACES.iter().enumerate() {
        keys.push((*workspace, fleet.issue_key(workspace, &format!("other-{number}")).await?));
    }
    println!(
        "{} connections a database, statements take {} ms, {} s each",
        number("connection-limit"),
        number("execute-ms"),
        span.as_secs()
    );
    println!(
        "{:<18} {:<8} {:>9} {:>8} {:>9} {:>9}",
        "workspace", "", "answered", "failed", "p50 us", "p99 us"
    );
    let mut alone = Vec::new();
    for (workspace, key) in &keys {
        let report = closed::run(callers(&fleet, key, 4, span / 200).await?, span).await?;
        print(workspace, "alone", &report);
        alone.push(report);
    }
    let flood = callers(&fleet, &flood_key, number("flood") as usize, Duration::ZERO).await?;
    let flood = tokio::spawn(closed::run(flood, span + Duration::from_secs(2)));
    let mut beside = Vec::new();
    for (_, key) in &keys {
        let callers = callers(&fleet, key, 4, span / 200).await?;
        beside.push(tokio::spawn(closed::run(callers, span)));
    }
    let mut worst: f64 = 0.0;
    for (((workspace, _), alone), beside) in keys.iter().zip(&alone).zip(beside) {
        let report = beside.await??;
        print(workspace, "beside", &report);
        worst = worst.max(report.p99_us as f64 / alone.p99_us as f64);
    }
    print(FLOODING_WORKSPACE, "flood", &flood.await??);
    println!("worst p99 beside the flood: {worst:.2} times its p99 alone");
    Ok(())
}

async fn callers(
    fleet: &Fleet,
    key: &str,
    count: usize,
    every: Duration,
) -> eyre::Result<Vec<PacedCaller>> {
    let mut callers = Vec::new();
    for number in 0..count {
        let address = fleet.vms[number % fleet.vms.len()].address();
        let mut connection = Connection::open(&address, "bench", REPLY_TIMEOUT).await?;
        connection.headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}"))?);
        let body = RequestBody {
            slot_key: format!("deal-{number}"),
            statement: "get".to_owned(),
            params: vec![json!("quote-1")],
        };
        callers.push(PacedCaller { connection, body, every, next: Instant::now() });
    }
    Ok(callers)
}

fn print(workspace: &str, when: &str, report: &Report) {
    let Report { answered, failed, p50_us, p99_us, .. } = report;
    println!("{workspace:<18} {when:<8} {answered:>9} {failed:>8} {p50_us:>9} {p99_us:>9}");
}
