//! Measures what a flood of one workspace costs another one: latencies through the same daemons, alone
//! and beside it.

use std::time::Duration;

use clap::{ArgMatches, Command};
use edge::connection::Connection;
use http::{HeaderValue, header::AUTHORIZATION};
use loadgen::closed::{self, Load, Report};
use proto::caller::{AnswerBody, ErrorBody, RequestBody};
use rig::{Fleet, FleetSpec};
use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const READ: &str = "/v1/quote-ledger-1/quote";
const FLOOD: &str = "calgary-dealer";
const OTHERS: [&str; 3] = ["regina-dealer", "brandon-dealer", "winnipeg-dealer"];
const PATIENCE: Duration = Duration::from_secs(10);

/// The command line of the bench.
pub fn command() -> Command {
    Command::new("bench-fairness")
        .about("Measures what a workspace at five times its share costs the others")
        .arg(number("seconds", "8", "Time for each load, in seconds"))
        .arg(number("connection-limit", "12", "Connections that each database takes"))
        .arg(number("execute-ms", "30", "Time to execute a statement, in milliseconds"))
        .arg(number("flood", "60", "Connections of the flooding workspace"))
}

/// A caller that sends a request every so often.
struct Paced {
    connection: Connection,
    body: RequestBody,
    every: Duration,
    next: Instant,
}

impl Load for Paced {
    async fn request(&mut self) -> bool {
        let reply = self.connection.call::<AnswerBody, ErrorBody>(READ, &self.body, PATIENCE).await;
        matches!(reply, Ok(Ok(_)))
    }

    async fn pause(&mut self) {
        sleep_until(self.next).await;
        self.next += self.every;
    }
}

/// Runs the bench.
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
    let flood_key = fleet.issue_key(FLOOD, "flood").await?;
    let mut keys = Vec::new();
    for (number, workspace) in OTHERS.iter().enumerate() {
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
    print(FLOOD, "flood", &flood.await??);
    println!("worst p99 beside the flood: {worst:.2} times its p99 alone");
    Ok(())
}

async fn callers(
    fleet: &Fleet,
    key: &str,
    count: usize,
    every: Duration,
) -> eyre::Result<Vec<Paced>> {
    let mut callers = Vec::new();
    for number in 0..count {
        let address = fleet.vms[number % fleet.vms.len()].address();
        let mut connection = Connection::open(&address, "bench", PATIENCE).await?;
        connection.headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}"))?);
        let body = RequestBody {
            slot_key: format!("deal-{number}"),
            statement: "get".to_owned(),
            params: vec![json!("quote-1")],
        };
        callers.push(Paced { connection, body, every, next: Instant::now() });
    }
    Ok(callers)
}

fn print(workspace: &str, when: &str, report: &Report) {
    let Report { answered, failed, p50_us, p99_us, .. } = report;
    println!("{workspace:<18} {when:<8} {answered:>9} {failed:>8} {p50_us:>9} {p99_us:>9}");
}
