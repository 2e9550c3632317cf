//! List of VMs with its history, from which an outdated list can be served.

use proto::platform::{VmList, VmRecord};

/// Every version of the VM list.
#[derive(Default)]
pub(super) struct VmHistory {
    /// Time of the change in milliseconds since the platform started, and the list from then on.
    versions: Vec<(u64, Vec<VmRecord>)>,
}

impl VmHistory {
    /// Adds the VM's record or replaces it.
    pub(super) fn put(&mut self, now_ms: u64, record: VmRecord) {
        let mut vms = self.latest();
        vms.retain(|r| r.vm != record.vm);
        vms.push(record);
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.versions.push((now_ms, vms));
    }

    /// Removes the VM.
    pub(super) fn remove(&mut self, now_ms: u64, vm: &str) {
        let mut vms = self.latest();
        vms.retain(|r| r.vm.as_str() != vm);
        self.versions.push((now_ms, vms));
    }

    /// Returns the list as of `time_ms`.
    pub(super) fn at(&self, time_ms: u64) -> VmList {
        let version = self.versions.iter().rev().find(|(since, _)| *since <= time_ms);
        VmList { vms: version.map(|(_, vms)| vms.clone()).unwrap_or_default() }
    }

    fn latest(&self) -> Vec<VmRecord> {
        self.versions.last().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}
