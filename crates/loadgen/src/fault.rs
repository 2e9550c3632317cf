//! Injects faults into processes at set times during a load.

use std::time::{Duration, Instant};

use ::http::Method;
use edge::client::{Client, encode_json, json_content_type};
use eyre::{WrapErr, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Kind of a fault, with the process that it affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, tag = "action")]
pub enum FaultAction {
    /// Kills the process with SIGKILL.
    Kill {
        /// Id of the process.
        pid: i32,
    },
    /// Suspends the process with SIGSTOP and continues it after `for_ms`.
    Freeze {
        /// Id of the process.
        pid: i32,
        /// Duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// Isolates a stand-in from all its peers for `for_ms`, by a call to its control listener.
    Cut {
        /// Address of the stand-in's control listener, `ip:port`.
        control: String,
        /// Duration of the fault, in milliseconds.
        for_ms: u64,
    },
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Start of the fault, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// Kind of the fault and its parameters.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// Waits until the fault is due, injects it, and ends it after its duration.
pub async fn run(fault: Fault, started: Instant) -> eyre::Result<()> {
    tokio::time::sleep_until((started + Duration::from_millis(fault.at_ms)).into()).await;
    match fault.action {
        FaultAction::Kill { pid } => signal(pid, Signal::SIGKILL),
        FaultAction::Freeze { pid, for_ms } => {
            signal(pid, Signal::SIGSTOP)?;
            tokio::time::sleep(Duration::from_millis(for_ms)).await;
            signal(pid, Signal::SIGCONT)
        }
        FaultAction::Cut { control, for_ms } => {
            isolate(&control, true).await?;
            tokio::time::sleep(Duration::from_millis(for_ms)).await;
            isolate(&control, false).await
        }
    }
}

fn signal(pid: i32, signal: Signal) -> eyre::Result<()> {
    // kill(2) takes zero and negative ids for process groups; process 1 is init.
    if pid <= 1 {
        return Err(eyre!(
            "pid {pid} can't receive a fault: give the id of a single process, above 1"
        ));
    }
    kill(Pid::from_raw(pid), signal)
        .wrap_err_with(|| format!("can't send {signal} to process {pid}"))
}

async fn isolate(control: &str, isolated: bool) -> eyre::Result<()> {
    let body = encode_json(&json!({ "isolated": isolated }));
    let client = Client::new("jasminepass-load");
    let reply = client
        .send(control, Method::POST, "/faults", &[json_content_type()], body, TIMEOUT)
        .await?;
    match reply.status.is_success() {
        true => Ok(()),
        false => Err(eyre!("{control} refused to change the isolation: status {}", reply.status)),
    }
}
