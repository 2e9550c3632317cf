//! The operators' command-line tool.

mod apply;
mod command;
mod key;
mod store;

use clap::ArgMatches;
use edge::{client::Client, platform::Platform};
use eyre::eyre;

fn main() -> eyre::Result<()> {
    let matches = command::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(&matches))
}

async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let platform = || {
        let address = text(matches, "platform");
        let address =
            address.ok_or_else(|| eyre!("--platform is missing: give the platform's ip:port"))?;
        Ok::<Platform, eyre::Report>(Platform::new(Client::new("jasminepassctl"), address))
    };
    match matches.subcommand() {
        Some(("apply", sub)) => apply::apply(&platform()?, &required(sub, "file")?).await,
        Some(("key", sub)) => match sub.subcommand() {
            Some(("give", sub)) => {
                key::give(&platform()?, &required(sub, "workspace")?, text(sub, "name").as_deref())
                    .await
            }
            Some(("withdraw", sub)) => key::withdraw(&platform()?, &required(sub, "name")?).await,
            _ => Err(eyre!("say what to do with a key: see --help")),
        },
        _ => Err(eyre!("say what to do: see --help")),
    }
}

fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

fn required(matches: &ArgMatches, name: &str) -> eyre::Result<String> {
    text(matches, name).ok_or_else(|| eyre!("{name} is missing"))
}
