//! The proxy daemon: one runs on every VM of the fleet.

mod admission;
mod app;
mod caller;
mod caller_error;
mod clock;
mod confirm;
mod control;
mod counters;
mod drain;
mod effects;
mod entry;
mod failover_io;
mod fleet_io;
mod holder;
mod logging;
mod monitor;
mod ops;
mod outcome;
mod peer;
mod pools;
mod quota_io;
mod report_io;
mod run;
mod settings;
mod stop;
mod tally_io;
mod transaction_entry;
mod transaction_steps;
mod transactions;
mod verifier;
mod watch;

use settings::Settings;

fn main() -> eyre::Result<()> {
    let matches = settings::command().get_matches();
    let settings = Settings::new(&matches)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()?;
    runtime.block_on(run::run(settings))
}
