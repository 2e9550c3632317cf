//! Developer tasks: the CI checks, the demo, the soak test and the benchmarks.

mod args;
mod bench;
mod bench_accounting;
mod bench_failover;
mod bench_fairness;
mod bench_fleet;
mod bench_gateway;
mod bench_load;
mod bench_memory;
mod bench_promotion;
mod bench_quota;
mod bench_replica_share;
mod ci;
mod demo;
mod soak;

use clap::Command;
use eyre::eyre;

fn main() -> eyre::Result<()> {
    let matches = Command::new("xtask")
        .about("Developer tasks")
        .subcommand_required(true)
        .subcommand(Command::new("ci").about("Checks formatting and lints, and runs every test"))
        .subcommand(
            Command::new("demo")
                .about("Starts a small fleet of each example and prints replies to requests"),
        )
        .subcommand(bench::command())
        .subcommand(bench_fairness::command())
        .subcommand(bench_quota::command())
        .subcommand(bench_failover::command())
        .subcommand(bench_fleet::command())
        .subcommand(bench_gateway::command())
        .subcommand(bench_memory::command())
        .subcommand(bench_load::command())
        .subcommand(
            Command::new("bench-accounting")
                .about("Measures sizes and processing times of usage accounting"),
        )
        .subcommand(bench_promotion::command())
        .subcommand(bench_replica_share::command())
        .subcommand(soak::command())
        .get_matches();
    match matches.subcommand() {
        Some(("ci", _)) => ci::run(),
        Some(("demo", _)) => runtime()?.block_on(demo::run()),
        Some(("bench-fairness", sub)) => runtime()?.block_on(bench_fairness::run(sub)),
        Some(("bench-quota", sub)) => bench_quota::run(sub),
        Some(("bench", sub)) => runtime()?.block_on(bench::run(sub)),
        Some(("bench-failover", sub)) => runtime()?.block_on(bench_failover::run(sub)),
        Some(("bench-fleet", sub)) => runtime()?.block_on(bench_fleet::run(sub)),
        Some(("bench-load", sub)) => runtime()?.block_on(bench_load::run(sub)),
        Some(("bench-accounting", _)) => bench_accounting::run(),
        Some(("bench-promotion", sub)) => runtime()?.block_on(bench_promotion::run(sub)),
        Some(("bench-gateway", sub)) => bench_gateway::run(sub),
        Some(("bench-memory", sub)) => runtime()?.block_on(bench_memory::run(sub)),
        Some(("bench-replica-share", sub)) => runtime()?.block_on(bench_replica_share::run(sub)),
        Some(("soak", sub)) => soak::run(sub),
        _ => Err(eyre!("no subcommand is given: see --help")),
    }
}

fn runtime() -> eyre::Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}
