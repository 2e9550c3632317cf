//! Binary of the proxy daemon: parses the settings and runs the daemon until it is stopped.

use jasminepassd::{
    run,
    settings::{self, Settings},
};

fn main() -> eyre::Result<()> {
    let matches = settings::command().get_matches();
    let settings = Settings::new(&matches)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()?;
    runtime.block_on(run::run(settings))
}
