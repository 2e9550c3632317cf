//! Dispatches the parsed command line to the commands.

use std::time::Duration;

use clap::ArgMatches;
use edge::{client::Client, platform::PlatformClient};
use model::prelude::*;
use serde_json::json;

use crate::{
    answers, apply, command, drain, error::CtlError, key, plan, reply::Reply, reports,
    rollout::Wait, status,
};

/// Runs the command that was parsed and returns its reply.
pub async fn run(matches: &ArgMatches) -> Result<Reply, CtlError> {
    match matches.subcommand() {
        Some(("answers", sub)) => run_answers(sub),
        Some(("plan", sub)) => plan::plan(&platform(matches)?, required(sub, "file")).await,
        Some(("apply", sub)) => {
            let expected = sub.get_one::<u64>("expect").copied().map(Generation);
            apply::apply(&platform(matches)?, required(sub, "file"), expected, wait(sub)).await
        }
        Some(("key", sub)) => run_key(&platform(matches)?, sub).await,
        Some(("status", sub)) => {
            let addresses: Vec<String> =
                sub.get_many::<String>("ops").into_iter().flatten().cloned().collect();
            match addresses.is_empty() {
                true => status::status(&platform(matches)?).await,
                false => Ok(status::query_vms(&addresses).await),
            }
        }
        Some(("vm", sub)) => run_vm(&platform(matches)?, sub).await,
        Some(("report", sub)) => run_report(&platform(matches)?, sub).await,
        Some(("completion", sub)) => completion(sub),
        _ => Err(incomplete_command()),
    }
}

fn run_answers(matches: &ArgMatches) -> Result<Reply, CtlError> {
    match matches.subcommand() {
        Some(("new", sub)) => answers::new(text(sub, "file")),
        Some(("check", sub)) => answers::check(required(sub, "file")),
        Some(("show", sub)) => answers::show(required(sub, "file")),
        _ => Err(incomplete_command()),
    }
}

async fn run_key(platform: &PlatformClient, matches: &ArgMatches) -> Result<Reply, CtlError> {
    match matches.subcommand() {
        Some(("give", sub)) => {
            let (name, file) = (text(sub, "name"), text(sub, "key-file"));
            key::issue(platform, required(sub, "workspace"), name, file, wait(sub)).await
        }
        Some(("list", sub)) => key::list(platform, text(sub, "workspace")).await,
        Some(("withdraw", sub)) => key::withdraw(platform, required(sub, "name"), wait(sub)).await,
        _ => Err(incomplete_command()),
    }
}

async fn run_vm(platform: &PlatformClient, matches: &ArgMatches) -> Result<Reply, CtlError> {
    match matches.subcommand() {
        Some(("drain", sub)) => drain::drain(platform, required(sub, "vm")).await,
        _ => Err(incomplete_command()),
    }
}

async fn run_report(platform: &PlatformClient, matches: &ArgMatches) -> Result<Reply, CtlError> {
    match matches.subcommand() {
        Some(("burn", sub)) => reports::burn_report(platform, text(sub, "html")).await,
        Some(("usage", sub)) => {
            let (from, to) = (text(sub, "from"), text(sub, "to"));
            reports::usage_report(platform, text(sub, "workspace"), from, to).await
        }
        _ => Err(incomplete_command()),
    }
}

fn completion(matches: &ArgMatches) -> Result<Reply, CtlError> {
    let shell = matches.get_one::<clap_complete::Shell>("shell").copied();
    let mut script = Vec::new();
    let shell = shell.unwrap_or(clap_complete::Shell::Bash);
    clap_complete::generate(shell, &mut command::command(), "jasminepassctl", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    Ok(Reply::new(script.clone(), json!({ "script": script })))
}

fn platform(matches: &ArgMatches) -> Result<PlatformClient, CtlError> {
    let missing = || {
        let message =
            "--platform is missing: pass the platform's ip:port, or set JASMINEPASS_PLATFORM";
        CtlError::Usage(message.to_owned())
    };
    let address = text(matches, "platform").ok_or_else(missing)?;
    Ok(PlatformClient::new(Client::new("jasminepassctl"), address))
}

fn wait(matches: &ArgMatches) -> Option<Wait> {
    let limit_s = matches.get_one::<u64>("wait-limit-s").copied().unwrap_or_default();
    matches.get_flag("wait").then_some(Wait { limit: Duration::from_secs(limit_s) })
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}

fn required<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    // Clap rejects a command line without a required argument.
    text(matches, name).unwrap_or_default()
}

fn incomplete_command() -> CtlError {
    CtlError::Usage("the command is incomplete: see --help".to_owned())
}
