//! Runs an open-loop load against a small fleet and kills one VM half-way.

use clap::{Arg, ArgMatches, Command, value_parser};
use loadgen::{
    fault::{Fault, FaultAction},
    plan::{Plan, RoutePlan, WorkspacePlan},
    recorder::ANSWERED,
    schedule::Arrivals,
};
use rig::{Fleet, FleetSpec};
use serde_json::json;

const ANSWERS: &str = "examples/dispatch.toml";
const WORKSPACES: [(&str, f64); 3] =
    [("helsinki-alarm", 100.0), ("tampere-alarm", 60.0), ("espoo-buildings", 20.0)];
const SEED: u64 = 5;

/// Defines the subcommand and its options.
pub fn command() -> Command {
    Command::new("bench-load")
        .about(
            "Sends an open-loop load of three workspaces to six VMs and kills one of them half-way",
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("20")
                .value_parser(value_parser!(u64).range(2..=120))
                .help("Length of the load, in seconds"),
        )
}

/// Runs the load and prints outcomes, latencies and the longest gap of each workspace.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let span_ms = matches.get_one::<u64>("seconds").copied().unwrap_or_default() * 1_000;
    let spec = FleetSpec::new(&std::fs::read_to_string(ANSWERS)?)?.with_vms_per_dc(2);
    let fleet = Fleet::start(spec).await?;
    let mut workspaces = Vec::new();
    for (name, per_second) in WORKSPACES {
        let key_file = fleet.log_file(&format!("{name}-key"));
        std::fs::write(&key_file, fleet.issue_key(name, name).await?)?;
        workspaces.push(WorkspacePlan {
            name: name.to_owned(),
            key_file: Some(key_file),
            per_second,
            sessions: 16,
            routes: vec![route("report-fault", 1, "append"), route("job-list", 4, "get")],
        });
    }
    // The load is still spread over all VMs after the kill, so the killed VM's share of the requests fails.
    let victim = &fleet.vms[1];
    let pid = i32::try_from(victim.process.id())?;
    let plan = Plan {
        entries: fleet.vms.iter().map(|vm| vm.address()).collect(),
        span_ms,
        timeout_ms: 2_000,
        in_flight_max: 256,
        arrivals: Arrivals::Poisson,
        seed: SEED,
        workspaces,
        faults: vec![Fault { at_ms: span_ms / 2, action: FaultAction::Kill { pid } }],
    };
    let report = plan.run().await?;
    println!(
        "{:<18} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "workspace", "due", "answered", "p50 us", "p99 us", "max us", "gap ms"
    );
    for stream in &report.streams {
        let answered = stream.outcomes.get(ANSWERED).copied().unwrap_or(0);
        let (latency, gap) = (stream.answered, stream.longest_gap.length_ms);
        println!(
            "{:<18} {:>6} {answered:>9} {:>8} {:>8} {:>8} {gap:>8}",
            stream.name, stream.due, latency.p50_us, latency.p99_us, latency.max_us
        );
        println!("  {:?}", stream.outcomes);
    }
    Ok(())
}

fn route(name: &str, share: u32, statement: &str) -> RoutePlan {
    RoutePlan {
        route: format!("dispatch-db-1/{name}"),
        share,
        statement: statement.to_owned(),
        params: vec![json!("fault-17"), json!("line 3 open")],
        slot_keys: 50,
    }
}
