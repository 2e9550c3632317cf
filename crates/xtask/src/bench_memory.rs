//! Measures a daemon's memory per caller connection and its CPU time per request.

use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use edge::connection::Connection;
use http::{HeaderValue, header::AUTHORIZATION};
use proto::caller::{AnswerBody, ErrorBody, RequestBody};
use rig::{Fleet, FleetSpec, usage::process_usage};
use serde_json::json;

const ANSWERS: &str = "examples/quoting.toml";
const WORKSPACE: &str = "calgary-dealer";
const PATH: &str = "/v1/quote-ledger-1/catalogue";
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests sent to measure the CPU time.
const REQUESTS: u32 = 20_000;

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-memory")
        .about("Measures a daemon's memory per caller connection and its CPU time per request")
        .arg(
            Arg::new("connections")
                .long("connections")
                .default_value("3250")
                .value_parser(value_parser!(u64).range(1..=8_000))
                .help("Number of connections to open, in four steps"),
        )
}

/// Measures memory while connections are opened, then CPU time while they are used.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let most = matches.get_one::<u64>("connections").copied().unwrap_or_default() as usize;
    let spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?.with_rates_unlimited();
    let fleet = Fleet::start(spec).await?;
    let key = fleet.issue_key(WORKSPACE, "bench").await?;
    let daemon = &fleet.vms[0];
    let id = daemon.process.id();
    println!("{:>12} {:>16} {:>22}", "connections", "resident KiB", "KiB per connection");
    let empty = process_usage(id)?.resident_bytes;
    println!("{:>12} {:>16} {:>22}", 0, empty / 1024, "");
    let mut connections = Vec::new();
    for step in 1..=4 {
        while connections.len() < most * step / 4 {
            let mut connection = open(&daemon.address(), &key).await?;
            request(&mut connection).await?;
            connections.push(connection);
        }
        let resident = process_usage(id)?.resident_bytes;
        let each = resident.saturating_sub(empty) as f64 / 1024.0 / connections.len() as f64;
        println!("{:>12} {:>16} {each:>22.1}", connections.len(), resident / 1024);
    }
    measure_cpu_time(id, &mut connections).await
}

async fn measure_cpu_time(id: u32, connections: &mut [Connection]) -> eyre::Result<()> {
    let before = process_usage(id)?.cpu_time;
    let started = Instant::now();
    let count = connections.len();
    for number in 0..REQUESTS as usize {
        request(&mut connections[number % count]).await?;
    }
    let spent = process_usage(id)?.cpu_time - before;
    let each = spent.as_micros() as f64 / f64::from(REQUESTS);
    println!(
        "{REQUESTS} reads one by one in {:.1} s: {each:.0} us of CPU time each",
        started.elapsed().as_secs_f64()
    );
    Ok(())
}

async fn open(address: &str, key: &str) -> eyre::Result<Connection> {
    let mut connection = Connection::open(address, "bench", REPLY_TIMEOUT).await?;
    connection.headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}"))?);
    Ok(connection)
}

async fn request(connection: &mut Connection) -> eyre::Result<()> {
    let body = RequestBody {
        slot_key: "item-1".to_owned(),
        statement: "get".to_owned(),
        params: vec![json!("rack")],
    };
    connection
        .call::<AnswerBody, ErrorBody>(PATH, &body, REPLY_TIMEOUT)
        .await?
        .map_err(|body| body.error)?;
    Ok(())
}
