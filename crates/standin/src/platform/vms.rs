//! The list of VMs, kept with its past so that it can be served late.

use proto::platform::{VmList, VmRecord};

/// The list and its past.
#[derive(Default)]
pub(super) struct VmHistory {
    versions: Vec<(u64, Vec<VmRecord>)>,
}

impl VmHistory {
    /// Replaces the record of the VM, or adds it.
    pub(super) fn put(&mut self, now_ms: u64, record: VmRecord) {
        let mut vms = self.latest();
        vms.retain(|r| r.vm != record.vm);
        vms.push(record);
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.versions.push((now_ms, vms));
    }

    /// Takes the VM off the list.
    pub(super) fn remove(&mut self, now_ms: u64, vm: &str) {
        let mut vms = self.latest();
        vms.retain(|r| r.vm.as_str() != vm);
        self.versions.push((now_ms, vms));
    }

    /// The list as it was at that time.
    pub(super) fn at(&self, time_ms: u64) -> VmList {
        let version = self.versions.iter().rev().find(|(since, _)| *since <= time_ms);
        VmList { vms: version.map(|(_, vms)| vms.clone()).unwrap_or_default() }
    }

    fn latest(&self) -> Vec<VmRecord> {
        self.versions.last().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}
