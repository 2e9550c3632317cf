//! Assembles the status of a data centre from the last report of each of its VMs, and decides when
//! to write it to the platform.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{DcStatus, VmReport, VmStatus};

/// Minimum time between two writes, in seconds.
pub const WRITE_INTERVAL_S: u64 = 2;
/// Maximum time between two writes, in seconds. An older status means that its data centre is cut
/// off.
pub const HEARTBEAT_INTERVAL_S: u64 = 10;
/// Time after its last report at which a VM that is not on the platform's list is removed, in
/// seconds.
pub const FORGET_AFTER_S: u64 = 60;

/// The last report of each VM of a data centre.
#[derive(Clone, Debug, Default)]
pub struct StatusTracker {
    /// Each report with the time of its arrival, in seconds of this VM's wall clock.
    reports: BTreeMap<VmName, (VmReport, u64)>,
    /// Whether a report changed since the last successful write.
    changed: bool,
    /// Time of the last attempt to write, in seconds of this VM's wall clock.
    written_at_s: u64,
}

impl StatusTracker {
    /// Records a report. One of an earlier incarnation than the known one is ignored.
    pub fn record(&mut self, report: VmReport, now_s: u64) {
        let known = self.reports.get(&report.vm).map(|(known, _)| known);
        if known.is_some_and(|known| known.incarnation > report.incarnation) {
            return;
        }
        self.changed |= known != Some(&report);
        self.reports.insert(report.vm.clone(), (report, now_s));
    }

    /// Whether the status is to be written now.
    pub fn is_due(&self, now_s: u64) -> bool {
        let since_s = now_s.saturating_sub(self.written_at_s);
        since_s >= HEARTBEAT_INTERVAL_S || (self.changed && since_s >= WRITE_INTERVAL_S)
    }

    /// Builds the status. `listed` are the VMs of the data centre that are on the platform's list;
    /// those that haven't reported are included.
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

    /// Records an attempt to write the status; `done` tells whether it succeeded.
    pub fn mark_written(&mut self, now_s: u64, done: bool) {
        self.written_at_s = now_s;
        self.changed &= !done;
    }
}
