//! Runs the soak test of the gateway's processes with the given seeds.

use std::process::Command;

use clap::ArgMatches;
use eyre::eyre;

use crate::args::{number, value};

/// Defines the subcommand and its options.
pub fn command() -> clap::Command {
    clap::Command::new("soak")
        .about("Runs the gateway's processes under random faults and checks its guarantees")
        .arg(number("seed", "1", "The first seed"))
        .arg(number("seeds", "1", "Number of seeds, run one after the other"))
        .arg(number("seconds", "10", "Time during which faults are injected, in seconds"))
        .arg(number("vms", "5", "Number of gateway processes"))
        .arg(number("callers", "12", "Number of callers"))
        .arg(
            clap::Arg::new("stops")
                .long("stops")
                .action(clap::ArgAction::SetTrue)
                .help("Only planned stops, with transactions that are busy meanwhile"),
        )
}

/// Runs the soak test with every seed, also after a failure; the error lists the failed seeds.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let first = number("seed");
    let stops = matches.get_flag("stops");
    let mut failed = Vec::new();
    for seed in first..first + number("seeds") {
        let name = if stops { "soak_stops_of_a_seed" } else { "soak_of_a_seed" };
        let test = ["test", "--package", "platform", "--test", "soak", "--", name];
        let status = Command::new(env!("CARGO"))
            .args(test)
            .args(["--ignored", "--nocapture"])
            .env("SOAK_SEED", seed.to_string())
            .env("SOAK_SECONDS", number("seconds").to_string())
            .env("SOAK_VMS", number("vms").to_string())
            .env("SOAK_CALLERS", number("callers").to_string())
            .status()?;
        if !status.success() {
            failed.push(seed);
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(eyre!("failed with seeds {failed:?}; their logs are kept, see above")),
    }
}
