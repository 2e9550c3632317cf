//! Status and usage reports that VMs send within their data centre, and the status object that is
//! written to the platform.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A business day, as the number of days since 1 January 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Day(pub i32);

/// A minute of the wall clock, as the number of minutes since 1 January 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Minute(pub u64);

/// A workspace's usage and service-level counters. The counters of one incarnation of one VM only
/// increase, so the greater of two values is the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct Counts {
    /// Requests received.
    pub requests: u64,
    /// Sum of the route weights of the requests that are known to have run.
    pub weight: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late or failed by the system. Errors that the caller causes are in neither
    /// count.
    pub bad: u64,
}

impl From<[u64; 4]> for Counts {
    fn from([requests, weight, good, bad]: [u64; 4]) -> Counts {
        Counts { requests, weight, good, bad }
    }
}

impl From<Counts> for [u64; 4] {
    fn from(counts: Counts) -> [u64; 4] {
        [counts.requests, counts.weight, counts.good, counts.bad]
    }
}

impl Counts {
    /// Sum of both counters.
    pub fn plus(self, other: Counts) -> Counts {
        self.combine(other, u64::saturating_add)
    }

    /// Increase since `earlier`.
    pub fn since(self, earlier: Counts) -> Counts {
        self.combine(earlier, u64::saturating_sub)
    }

    /// The later of two values of the same counters.
    pub fn max(self, other: Counts) -> Counts {
        self.combine(other, u64::max)
    }

    fn combine(self, other: Counts, f: impl Fn(u64, u64) -> u64) -> Counts {
        Counts {
            requests: f(self.requests, other.requests),
            weight: f(self.weight, other.weight),
            good: f(self.good, other.good),
            bad: f(self.bad, other.bad),
        }
    }
}

/// A VM's cumulative counters of a business day at the end of a minute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Business day that the counters belong to.
    pub day: Day,
    /// Minute at whose end the counters were read.
    pub minute: Minute,
    /// Cumulative counters of the workspaces whose counters changed in that minute.
    pub totals: Vec<(WorkspaceName, Counts)>,
}

/// A VM's snapshots that are not yet acknowledged as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyReport {
    /// Sequence number of the report, increased by one with each report of an incarnation.
    pub number: u64,
    /// Unacknowledged snapshots, ordered by minute.
    pub snapshots: Vec<Snapshot>,
}

/// State of a slot as a VM knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Service of the slot.
    pub service: ServiceName,
    /// Name of the slot.
    pub slot: SlotName,
    /// Highest term that the VM has seen.
    pub term: Term,
    /// Primary of the slot, if known.
    pub primary: Option<DatabaseName>,
    /// Replication lag of each database: log entries behind the confirmed position. `None` if the
    /// database does not answer or its log is of another term.
    pub lag: BTreeMap<DatabaseName, Option<u64>>,
}

/// State that a VM reports to the VM that writes its data centre's status and counters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Name of the reporting VM.
    pub vm: VmName,
    /// Incarnation of the reporting VM.
    pub incarnation: Incarnation,
    /// Generation of the VM's current configuration.
    pub generation: Generation,
    /// Whether the VM is being stopped.
    pub stopping: bool,
    /// Number of workspaces in whose rate the VM owns a portion.
    pub portions: u64,
    /// VMs that the VM suspects of having failed, because they don't answer.
    pub suspects: Vec<VmName>,
    /// Slots of which the VM is the first holder in its data centre.
    pub slots: Vec<SlotReport>,
}

/// Entry of a VM in the status of its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's last report; absent if the VM is on the platform's list and has never reported.
    pub report: Option<VmReport>,
    /// Time of the last report, in Unix seconds of the writer's clock; zero if there is none.
    pub heard_at_s: u64,
    /// Whether the VM is on the platform's list.
    pub listed: bool,
}

/// Status of a data centre, stored in the platform object `status/<data centre>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcStatus {
    /// Time of the write, in Unix seconds of the writer's clock.
    pub written_at_s: u64,
    /// VM that wrote the object.
    pub writer: Option<VmName>,
    /// Status of each VM of the data centre.
    pub vms: BTreeMap<VmName, VmStatus>,
}
