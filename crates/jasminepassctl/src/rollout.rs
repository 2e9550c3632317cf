//! Determines in which data centres a generation of the configuration is in force, and waits for it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::Configuration;
use edge::platform::PlatformClient;
use model::prelude::*;
use proto::report::DcStatus;
use serde::Serialize;
use serde_json::json;

use crate::{
    error::{CtlError, ROLLOUT_INCOMPLETE_CODE},
    reply::Reply,
    store::read_object,
};

/// Age above which the status of a data centre or the report of a VM is ignored, in seconds.
pub const STATUS_STALE_AFTER_S: u64 = 30;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A request to wait until a change is in force everywhere.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Maximum time to wait.
    pub limit: Duration,
}

/// Progress of a generation in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RolloutState {
    /// Every VM of the data centre has the generation or a later one.
    InForce,
    /// Some VMs have an older generation, or no recent report.
    Behind {
        /// Names of these VMs.
        vms: Vec<VmName>,
    },
    /// The data centre's status is stale or was never written.
    Unreachable {
        /// Age of the last status, in seconds; absent if there is none.
        silent_for_s: Option<u64>,
    },
}

/// Returns the progress of the generation in a data centre, given its status and the time in Unix
/// seconds. `status` is absent if none was ever written.
pub fn rollout_state(
    status: Option<&DcStatus>,
    generation: Generation,
    now_s: u64,
) -> RolloutState {
    let Some(status) = status else {
        return RolloutState::Unreachable { silent_for_s: None };
    };
    let silent_for_s = now_s.saturating_sub(status.written_at_s);
    if silent_for_s > STATUS_STALE_AFTER_S {
        return RolloutState::Unreachable { silent_for_s: Some(silent_for_s) };
    }
    let has_generation = |vm: &proto::report::VmStatus| {
        let fresh = status.written_at_s.saturating_sub(vm.heard_at_s) <= STATUS_STALE_AFTER_S;
        fresh && vm.report.as_ref().is_some_and(|report| report.generation >= generation)
    };
    let behind =
        status.vms.iter().filter(|(_, vm)| !has_generation(vm)).map(|(name, _)| name.clone());
    let vms: Vec<VmName> = behind.collect();
    match vms.is_empty() {
        true => RolloutState::InForce,
        false => RolloutState::Behind { vms },
    }
}

/// Returns the current time, in Unix seconds.
pub fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

/// Reads the last written status of a data centre; absent if none was ever written.
pub async fn dc_status(
    platform: &PlatformClient,
    dc: &DcName,
) -> Result<Option<DcStatus>, CtlError> {
    Ok(read_object(platform, &format!("status/{dc}")).await?.1)
}

/// If `wait` is given, waits until the configuration is in force in every data centre, and adds the state
/// of each data centre to the reply. After the limit, the exit code is [`ROLLOUT_INCOMPLETE_CODE`].
pub async fn wait_if_requested(
    platform: &PlatformClient,
    reply: Reply,
    cfg: &Configuration,
    wait: Option<Wait>,
) -> Result<Reply, CtlError> {
    let Some(wait) = wait else {
        return Ok(reply);
    };
    let deadline = tokio::time::Instant::now() + wait.limit;
    loop {
        let states = rollout_states(platform, cfg).await?;
        let everywhere = states.iter().all(|(_, state)| *state == RolloutState::InForce);
        if everywhere || tokio::time::Instant::now() >= deadline {
            return Ok(with_rollout_states(reply, &states, everywhere));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn rollout_states(
    platform: &PlatformClient,
    cfg: &Configuration,
) -> Result<Vec<(DcName, RolloutState)>, CtlError> {
    let mut states = Vec::new();
    for dc in &cfg.data_centres {
        let status = dc_status(platform, &dc.name).await?;
        states.push((dc.name.clone(), rollout_state(status.as_ref(), cfg.generation, now_s())));
    }
    Ok(states)
}

fn with_rollout_states(
    mut reply: Reply,
    states: &[(DcName, RolloutState)],
    everywhere: bool,
) -> Reply {
    for (dc, state) in states {
        reply.text += &format!("\n{dc}: {}", describe(state));
    }
    let json: Vec<_> = states.iter().map(|(dc, state)| json!({"dc": dc, "force": state})).collect();
    reply.json["in_force"] = json!(json);
    match everywhere {
        true => reply,
        false => reply.with_code(ROLLOUT_INCOMPLETE_CODE),
    }
}

/// Describes the state in a phrase for people.
pub fn describe(state: &RolloutState) -> String {
    match state {
        RolloutState::InForce => "in force".to_owned(),
        RolloutState::Behind { vms } => {
            let names: Vec<&str> = vms.iter().map(VmName::as_str).collect();
            format!("not in force yet on {}", names.join(", "))
        }
        RolloutState::Unreachable { silent_for_s: Some(s) } => {
            format!(
                "can't be reached, no status for {s} s; it accepts the keys that it knows until it has been cut off for cut_off_trust_s"
            )
        }
        RolloutState::Unreachable { silent_for_s: None } => {
            "can't be reached, it has never written a status".to_owned()
        }
    }
}
