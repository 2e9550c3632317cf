//! `vm drain`: lets a VM finish its work and end.

use config::Drain;
use edge::platform::PlatformClient;
use proto::platform::VmRecord;
use serde_json::json;

use crate::{
    error::CtlError,
    reply::Reply,
    store::{change_configuration, read_configuration},
};

/// Lets the VM finish its work and end. Only its present run is meant, not the one that replaces it.
pub async fn drain(platform: &PlatformClient, vm: &str) -> Result<Reply, CtlError> {
    let listed = platform.vms().await.map_err(CtlError::Platform)?.vms;
    let remedy = "see which there are with `status`";
    let record = listed.iter().find(|record| record.vm.as_str() == vm);
    let record =
        record.ok_or_else(|| CtlError::NotFound { what: "VM", name: vm.to_owned(), remedy })?;
    let wanted = Drain { vm: record.vm.clone(), incarnation: record.incarnation };
    let (_, current) = read_configuration(platform).await?;
    if current.drains.contains(&wanted) {
        let text = format!("{vm} is being drained already");
        return Ok(Reply::new(text, json!({ "vm": vm, "changed": false })));
    }
    let changed = change_configuration(platform, None, |current, _| {
        let mut cfg = current.clone();
        cfg.drains.retain(|drain| is_listed(drain, &listed));
        cfg.drains.push(wanted);
        Ok(cfg)
    });
    let generation = changed.await?.generation.0;
    let text = format!("{vm} finishes its work and ends; see `status` (generation {generation})");
    Ok(Reply::new(text, json!({ "vm": vm, "changed": true, "generation": generation })))
}

fn is_listed(drain: &Drain, listed: &[VmRecord]) -> bool {
    listed.iter().any(|r| r.vm == drain.vm && r.incarnation == drain.incarnation)
}
