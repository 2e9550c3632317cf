//! Measures the proxy's overhead: the same closed-loop load through one daemon and directly against a
//! database.

use std::time::Duration;

use clap::{ArgMatches, Command};
use edge::connection::Connection;
use http::{HeaderValue, header::AUTHORIZATION};
use loadgen::closed::{self, Report, Worker};
use model::{prelude::*, request::stable_hash};
use proto::{
    caller::{AnswerBody, ErrorBody, RequestBody},
    database::{Access, DatabaseError, Execute, Executed},
};
use rig::{Fleet, FleetSpec};
use serde_json::{Value, json};

use crate::args::{number, value};

const ANSWERS: &str = "examples/quoting.toml";
const SERVICE: &str = "quote-ledger-1";
const SLOT: &str = "quote-ledger-1-a";
const SLOTS: u64 = 3;
const WORKSPACE: &str = "calgary-dealer";
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench")
        .about("Measures the proxy's overhead: the same load through one daemon and directly against a database")
        .arg(number("connections", "8", "Number of connections"))
        .arg(number("seconds", "5", "Time for each load, in seconds"))
        .arg(number("execute-ms", "0", "Time to execute a statement, in milliseconds"))
}

/// Sends requests directly to a database's request address.
struct DirectWorker {
    connection: Connection,
    access: Access,
}

impl Worker for DirectWorker {
    async fn request(&mut self) -> bool {
        let message = Execute {
            service: ServiceName::new(SERVICE).expect("a constant"),
            slot: SlotName::new(SLOT).expect("a constant"),
            term: Term(1),
            request_id: RequestId::random(),
            access: self.access,
            fingerprint: 0,
            statement: statement(self.access).to_owned(),
            params: params(),
            in_transaction: false,
        };
        let reply = self
            .connection
            .call::<Executed, DatabaseError>("/execute", &message, REPLY_TIMEOUT)
            .await;
        matches!(reply, Ok(Ok(_)))
    }
}

/// Sends the same requests through a daemon.
struct ProxiedWorker {
    connection: Connection,
    path: &'static str,
    body: RequestBody,
}

impl Worker for ProxiedWorker {
    async fn request(&mut self) -> bool {
        let reply = self
            .connection
            .call::<AnswerBody, ErrorBody>(self.path, &self.body, REPLY_TIMEOUT)
            .await;
        matches!(reply, Ok(Ok(_)))
    }
}

/// Runs each kind of request directly and through the daemon, and prints throughput and latency.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let connections = number("connections") as usize;
    let span = Duration::from_secs(number("seconds"));
    let mut spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?
        .with_database_arg("execute-ms", number("execute-ms"))
        .with_rates_unlimited();
    for database in spec.answers.services.iter_mut().flat_map(|s| &mut s.databases) {
        database.connection_limit = 4 * connections as u32;
    }
    let fleet = Fleet::start(spec).await?;
    let key = fleet.issue_key(WORKSPACE, "bench").await?;
    println!(
        "{connections} connections, {} s each, statements take {} ms",
        span.as_secs(),
        number("execute-ms")
    );
    println!(
        "{:<8} {:<8} {:>12} {:>10} {:>10} {:>8}",
        "kind", "path", "answers/s", "p50 us", "p99 us", "failed"
    );
    for (kind, access, path) in [
        ("read", Access::Read, "/v1/quote-ledger-1/quote"),
        ("bounded", Access::Read, "/v1/quote-ledger-1/delivery-board"),
        ("write", Access::Write, "/v1/quote-ledger-1/annotate-quote"),
    ] {
        let direct = closed::run(direct(&fleet, access, connections).await?, span).await?;
        print(kind, "direct", &direct);
        let proxied =
            closed::run(proxied(&fleet, access, path, &key, connections).await?, span).await?;
        print(kind, "proxied", &proxied);
        let ratio = proxied.per_second / direct.per_second;
        let added = proxied.p50_us as i64 - direct.p50_us as i64;
        println!("{:<8} {:<8} {:>11.0}% {added:>+10}", kind, "ratio", ratio * 100.0);
    }
    Ok(())
}

async fn direct(
    fleet: &Fleet,
    access: Access,
    connections: usize,
) -> eyre::Result<Vec<DirectWorker>> {
    let address = fleet.databases[0].process.address("listen");
    let mut workers = Vec::new();
    for _ in 0..connections {
        let connection = Connection::open(&address, "bench", REPLY_TIMEOUT).await?;
        workers.push(DirectWorker { connection, access });
    }
    Ok(workers)
}

async fn proxied(
    fleet: &Fleet,
    access: Access,
    path: &'static str,
    key: &str,
    connections: usize,
) -> eyre::Result<Vec<ProxiedWorker>> {
    let address = fleet.vms[0].address();
    let body = RequestBody {
        slot_key: slot_key()?,
        statement: statement(access).to_owned(),
        params: params(),
    };
    let mut workers = Vec::new();
    for _ in 0..connections {
        let mut connection = Connection::open(&address, "bench", REPLY_TIMEOUT).await?;
        connection.headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}"))?);
        workers.push(ProxiedWorker { connection, path, body: body.clone() });
    }
    Ok(workers)
}

/// Finds a slot key of the first slot, whose primary is the first database.
fn slot_key() -> eyre::Result<String> {
    let mut keys = (0..).map(|n| format!("deal-{n}"));
    let first = |key: &String| stable_hash(key).is_multiple_of(SLOTS);
    keys.find(first).ok_or_else(|| eyre::eyre!("no key maps to the first slot"))
}

fn statement(access: Access) -> &'static str {
    match access {
        Access::Read | Access::ReadPrimary => "get",
        Access::Write => "put",
    }
}

fn params() -> Vec<Value> {
    vec![json!("quote-1"), json!({"item": "squat rack", "price": 129_900})]
}

fn print(kind: &str, way: &str, report: &Report) {
    let Report { per_second, p50_us, p99_us, failed, .. } = report;
    println!("{kind:<8} {way:<8} {per_second:>12.0} {p50_us:>10} {p99_us:>10} {failed:>8}");
}
