//! `vm drain`: makes a VM finish its work and exit.

use config::Drain;
use edge::platform::PlatformClient;
use proto::platform::VmRecord;
use serde_json::json;

use crate::{
    error::CtlError,
    reply::Reply,
    store::{change_configuration, read_configuration},
};

/// Drains the VM: it finishes its work and exits. The drain applies to its current incarnation only, not
/// to the one that replaces it. Drains of incarnations that have left the platform's list are removed.
pub async fn drain(platform: &PlatformClient, vm: &str) -> Result<Reply, CtlError> {
    let listed = platform.vms().await.map_err(CtlError::Platform)?.vms;
    let remedy = "list the VMs with `status`";
    let record = listed.iter().find(|record| record.vm.as_str() == vm);
    let record =
        record.ok_or_else(|| CtlError::NotFound { what: "VM", name: vm.to_owned(), remedy })?;
    let wanted = Drain { vm: record.vm.clone(), incarnation: record.incarnation };
    let (_, current) = read_configuration(platform).await?;
    if current.drains.contains(&wanted) {
        let text = format!("{vm} is already being drained");
        return Ok(Reply::new(text, json!({ "vm": vm, "changed": false })));
    }
    let changed = change_configuration(platform, None, |current, _| {
        let mut cfg = current.clone();
        cfg.drains.retain(|drain| is_listed(drain, &listed));
        cfg.drains.push(wanted);
        Ok(cfg)
    });
    let generation = changed.await?.generation.0;
    let text = format!("{vm} is being drained since generation {generation}; see `status`");
    Ok(Reply::new(text, json!({ "vm": vm, "changed": true, "generation": generation })))
}

fn is_listed(drain: &Drain, listed: &[VmRecord]) -> bool {
    listed.iter().any(|r| r.vm == drain.vm && r.incarnation == drain.incarnation)
}
