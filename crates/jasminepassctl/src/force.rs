//! Where a generation of the configuration is in force.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::Configuration;
use edge::platform::PlatformClient;
use model::prelude::*;
use proto::report::DcStatus;
use serde::Serialize;
use serde_json::json;

use crate::{
    error::{CtlError, NOT_IN_FORCE_CODE},
    reply::Reply,
    store::read_object,
};

/// Age from which a status or a VM's report says nothing any more, in seconds.
pub const STALE_AFTER_S: u64 = 30;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long to wait.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// The limit.
    pub limit: Duration,
}

/// Whether a generation is in force in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Force {
    /// On every VM of it.
    InForce,
    /// Not on these VMs, which have an older one or have not been heard of.
    Behind {
        /// The VMs.
        vms: Vec<VmName>,
    },
    /// It has written no status for a while, or never: it can't be reached.
    Unreachable {
        /// Since when, in seconds; absent where it never wrote any.
        silent_for_s: Option<u64>,
    },
}

/// Whether the generation is in force in the data centre whose status is given.
pub fn force(status: Option<&DcStatus>, generation: Generation, now_s: u64) -> Force {
    let Some(status) = status else {
        return Force::Unreachable { silent_for_s: None };
    };
    let silent_for_s = now_s.saturating_sub(status.written_at_s);
    if silent_for_s > STALE_AFTER_S {
        return Force::Unreachable { silent_for_s: Some(silent_for_s) };
    }
    let has_it = |vm: &proto::report::VmStatus| {
        let fresh = status.written_at_s.saturating_sub(vm.heard_at_s) <= STALE_AFTER_S;
        fresh && vm.report.as_ref().is_some_and(|report| report.generation >= generation)
    };
    let behind = status.vms.iter().filter(|(_, vm)| !has_it(vm)).map(|(name, _)| name.clone());
    let vms: Vec<VmName> = behind.collect();
    match vms.is_empty() {
        true => Force::InForce,
        false => Force::Behind { vms },
    }
}

/// Seconds of the wall clock.
pub fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

/// The status of a data centre as last written.
pub async fn dc_status(
    platform: &PlatformClient,
    dc: &DcName,
) -> Result<Option<DcStatus>, CtlError> {
    Ok(read_object(platform, &format!("status/{dc}")).await?.1)
}

/// Waits, if that was asked for, until the configuration is in force everywhere, and adds to the reply
/// where it is and where not.
pub async fn wait_if_asked(
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
        let forces = forces(platform, cfg).await?;
        let everywhere = forces.iter().all(|(_, force)| *force == Force::InForce);
        if everywhere || tokio::time::Instant::now() >= deadline {
            return Ok(with_forces(reply, &forces, everywhere));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn forces(
    platform: &PlatformClient,
    cfg: &Configuration,
) -> Result<Vec<(DcName, Force)>, CtlError> {
    let mut forces = Vec::new();
    for dc in &cfg.data_centres {
        let status = dc_status(platform, &dc.name).await?;
        forces.push((dc.name.clone(), force(status.as_ref(), cfg.generation, now_s())));
    }
    Ok(forces)
}

fn with_forces(mut reply: Reply, forces: &[(DcName, Force)], everywhere: bool) -> Reply {
    for (dc, force) in forces {
        reply.text += &format!("\n{dc}: {}", words(force));
    }
    let json: Vec<_> = forces.iter().map(|(dc, f)| json!({"dc": dc, "force": f})).collect();
    reply.json["in_force"] = json!(json);
    match everywhere {
        true => reply,
        false => reply.with_code(NOT_IN_FORCE_CODE),
    }
}

/// The state in words.
pub fn words(force: &Force) -> String {
    match force {
        Force::InForce => "in force".to_owned(),
        Force::Behind { vms } => {
            let names: Vec<&str> = vms.iter().map(VmName::as_str).collect();
            format!("not in force yet on {}", names.join(", "))
        }
        Force::Unreachable { silent_for_s: Some(s) } => {
            format!(
                "can't be reached, no status for {s} s; it trusts its keys until it is cut off for cut_off_trust_s"
            )
        }
        Force::Unreachable { silent_for_s: None } => {
            "can't be reached, it has never written a status".to_owned()
        }
    }
}
