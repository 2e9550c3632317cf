//! The status of a data centre, from what its VMs last reported.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{DcStatus, VmReport, VmStatus};

/// Least time between two writes, in seconds.
pub const WRITE_INTERVAL_S: u64 = 2;
/// Most time between two writes, in seconds: an older status says that its data centre is cut off.
pub const HEARTBEAT_INTERVAL_S: u64 = 10;
/// Time after which a VM that is not on the platform's list is left out, in seconds.
pub const FORGET_AFTER_S: u64 = 60;

/// What the VMs of a data centre last reported.
#[derive(Clone, Debug, Default)]
pub struct StatusTracker {
    reports: BTreeMap<VmName, (VmReport, u64)>,
    changed: bool,
    written_at_s: u64,
}

impl StatusTracker {
    /// Takes a report. One of an earlier run of the VM changes nothing.
    pub fn record(&mut self, report: VmReport, now_s: u64) {
        let known = self.reports.get(&report.vm).map(|(known, _)| known);
        if known.is_some_and(|known| known.incarnation > report.incarnation) {
            return;
        }
        self.changed |= known != Some(&report);
        self.reports.insert(report.vm.clone(), (report, now_s));
    }

    /// Whether it is time to write the status.
    pub fn is_due(&self, now_s: u64) -> bool {
        let since_s = now_s.saturating_sub(self.written_at_s);
        since_s >= HEARTBEAT_INTERVAL_S || (self.changed && since_s >= WRITE_INTERVAL_S)
    }

    /// The status, given the VMs of the data centre that are on the platform's list.
    pub fn status(&mut self, listed: &[VmName], writer: &VmName, now_s: u64) -> DcStatus {
        self.reports.retain(|vm, (_, heard_at_s)| {
            listed.contains(vm) || now_s.saturating_sub(*heard_at_s) < FORGET_AFTER_S
        });
        let unheard = listed
            .iter()
            .map(|vm| (vm.clone(), VmStatus { report: None, heard_at_s: 0, listed: true }));
        let mut vms: BTreeMap<VmName, VmStatus> = unheard.collect();
        for (vm, (report, heard_at_s)) in &self.reports {
            let listed = listed.contains(vm);
            let status = VmStatus { report: Some(report.clone()), heard_at_s: *heard_at_s, listed };
            vms.insert(vm.clone(), status);
        }
        DcStatus { written_at_s: now_s, writer: Some(writer.clone()), vms }
    }

    /// Takes note that the status was written, or that this was tried.
    pub fn mark_written(&mut self, now_s: u64, done: bool) {
        self.written_at_s = now_s;
        self.changed &= !done;
    }
}
