//! Runs the soak of the gateway's processes for seeds of choice.

use std::process::Command;

use clap::ArgMatches;
use eyre::eyre;

use crate::args::{number, value};

/// The command line.
pub fn command() -> clap::Command {
    clap::Command::new("soak")
        .about("Runs the gateway as processes, harms them by a seed and checks the promises")
        .arg(number("seed", "1", "The first seed"))
        .arg(number("seeds", "1", "How many seeds, one after the other"))
        .arg(number("seconds", "10", "How long faults come"))
        .arg(number("vms", "5", "Processes of the gateway"))
        .arg(number("callers", "12", "Callers"))
}

/// Runs the seeds, all of them, and says which failed.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| value(matches, name);
    let first = number("seed");
    let mut failed = Vec::new();
    for seed in first..first + number("seeds") {
        let test = ["test", "--package", "platform", "--test", "soak", "--", "soak_of_a_seed"];
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
