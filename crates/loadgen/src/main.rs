//! `jasminepass-load`: runs the load of a plan against a fleet and prints the report as JSON.

use clap::{Arg, Command};
use eyre::{WrapErr, eyre};
use loadgen::plan::Plan;

const EXAMPLE: &str = r#"A plan:

  entries = ["127.0.0.1:8001", "127.0.0.1:8002"]   # listeners for callers
  span_ms = 10000

  [[workspaces]]
  name = "calgary-dealer"
  key_file = "calgary.key"        # written by: jasminepassctl key give --key-file
  per_second = 200.0

  [[workspaces.routes]]
  route = "quote-ledger-1/quote"
  share = 3
  statement = "get"
  params = ["quote-1"]

  [[faults]]                      # kill: pid; freeze: pid, for_ms; cut: control, for_ms
  at_ms = 5000
  action = "kill"
  pid = 4711"#;

fn main() -> eyre::Result<()> {
    let matches = Command::new("jasminepass-load")
        .version(clap::crate_version!())
        .about(
            "Sends an open-loop load to a fleet and prints percentiles, outcomes and gaps as JSON",
        )
        .arg(Arg::new("plan").required(true).help("Plan of the load, a TOML file"))
        .after_help(EXAMPLE)
        .get_matches();
    let file = matches.get_one::<String>("plan").ok_or_else(|| eyre!("plan is missing"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))?;
    let plan = Plan::parse(&text).wrap_err_with(|| file.clone())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(plan.run())?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
