//! What VMs report inside their data centre, and what is written of it to the platform.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A business day, counted in days from 1 January 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Day(pub i32);

/// A minute of the wall clock, counted from 1 January 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Minute(pub u64);

/// What a workspace used and how it was served. Only ever grows while it belongs to one incarnation of
/// one VM, so that the greater of two values is the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct Counts {
    /// Requests that came.
    pub requests: u64,
    /// Weight of those that ran.
    pub weight: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late or failed by the system.
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
    /// Both together.
    pub fn plus(self, other: Counts) -> Counts {
        self.combine(other, u64::saturating_add)
    }

    /// What was counted since `earlier`.
    pub fn since(self, earlier: Counts) -> Counts {
        self.combine(earlier, u64::saturating_sub)
    }

    /// The later of two values of one running count.
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

/// A VM's running counts of a business day, as they were at the end of a minute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The business day.
    pub day: Day,
    /// The minute.
    pub minute: Minute,
    /// The running counts of the workspaces that changed in it.
    pub totals: Vec<(WorkspaceName, Counts)>,
}

/// What a VM has counted and does not know to be stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyReport {
    /// Raised by one with each report of an incarnation.
    pub number: u64,
    /// The counts, in the order of the minutes.
    pub snapshots: Vec<Snapshot>,
}

/// A slot as a VM sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub slot: SlotName,
    /// The highest term seen.
    pub term: Term,
    /// Its primary, as far as known.
    pub primary: Option<DatabaseName>,
    /// How many entries each database is behind the confirmed position; absent where it does not answer
    /// or has a log of another term.
    pub lag: BTreeMap<DatabaseName, Option<u64>>,
}

/// What a VM tells the VM that writes its data centre's status and counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Who reports.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Generation of the configuration in force there.
    pub generation: Generation,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Workspaces of which it owns a part of the rate.
    pub portions: u64,
    /// VMs that don't answer it.
    pub suspects: Vec<VmName>,
    /// The slots of which it is the first holder in its data centre.
    pub slots: Vec<SlotReport>,
}

/// A VM in the status of its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// What it last reported; absent where it is on the platform's list and has not reported.
    pub report: Option<VmReport>,
    /// When it reported, in seconds of the writer's wall clock.
    pub heard_at_s: u64,
    /// Whether it is on the platform's list.
    pub listed: bool,
}

/// The object `status/<data centre>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcStatus {
    /// When it was written, in seconds of the writer's wall clock.
    pub written_at_s: u64,
    /// Who wrote it.
    pub writer: Option<VmName>,
    /// The VMs.
    pub vms: BTreeMap<VmName, VmStatus>,
}
