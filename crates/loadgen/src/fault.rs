//! Makes a process fail at a set time.

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

/// What happens to which process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, tag = "action")]
pub enum FaultAction {
    /// The process is killed.
    Kill {
        /// Its id.
        pid: i32,
    },
    /// The process stands still for a while.
    Freeze {
        /// Its id.
        pid: i32,
        /// How long, in milliseconds.
        for_ms: u64,
    },
    /// A stand-in is cut off from everybody for a while, through its control listener.
    Cut {
        /// Address of its control listener, `ip:port`.
        control: String,
        /// How long, in milliseconds.
        for_ms: u64,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// Waits until the fault is due, brings it about, and ends it after its time.
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
    // Zero and negative ids stand for groups of processes.
    if pid <= 1 {
        return Err(eyre!(
            "pid {pid} is not one process: give the id of the process that is to fail"
        ));
    }
    kill(Pid::from_raw(pid), signal).wrap_err_with(|| format!("{signal} to process {pid}"))
}

async fn isolate(control: &str, isolated: bool) -> eyre::Result<()> {
    let body = encode_json(&json!({ "isolated": isolated }));
    let client = Client::new("jasminepass-load");
    let reply = client
        .send(control, Method::POST, "/faults", &[json_content_type()], body, TIMEOUT)
        .await?;
    match reply.status.is_success() {
        true => Ok(()),
        false => Err(eyre!("{control} refused the cut with status {}", reply.status)),
    }
}
