//! This VM's view of the fleet: which VMs exist, which of them answer, and how recent that
//! knowledge is.

use std::{ops::Deref, sync::Arc};

use model::prelude::*;
use proto::{
    gossip::Rumour,
    platform::{Object, VmRecord, VmState},
};

/// Identity and location of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the VM, which differs with each start.
    pub incarnation: Incarnation,
    /// The data centre that the VM runs in.
    pub dc: DcName,
    /// Address of its listener for other VMs, `ip:port`.
    pub peer_address: String,
}

impl VmIdentity {
    /// The VM's record in a list of VMs.
    pub fn record(&self, state: VmState) -> VmRecord {
        VmRecord {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            dc: self.dc.clone(),
            peer_address: self.peer_address.clone(),
            state,
        }
    }
}

/// The records of the fleet's VMs, sorted by name. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmRecords(Arc<Vec<VmRecord>>);

impl VmRecords {
    /// Whether both share one allocation, which implies that they are equal.
    pub fn is_same(&self, other: &VmRecords) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl From<Vec<VmRecord>> for VmRecords {
    fn from(mut vms: Vec<VmRecord>) -> VmRecords {
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        VmRecords(Arc::new(vms))
    }
}

impl Deref for VmRecords {
    type Target = [VmRecord];

    fn deref(&self) -> &[VmRecord] {
        &self.0
    }
}

/// The age of a piece of information, from which its age at a later moment follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    /// The age at the moment `at`.
    pub age: DurationUs,
    /// The moment at which the age was determined, on this VM's clock.
    pub at: MonoTime,
}

impl Age {
    /// The age of information that is new at the moment `at`.
    pub fn zero(at: MonoTime) -> Age {
        Age { age: DurationUs::default(), at }
    }

    /// The age at the moment `now`.
    pub fn now(self, now: MonoTime) -> DurationUs {
        DurationUs(self.age.0.saturating_add(now.since(self.at).0))
    }
}

/// The platform's list of VMs, as read by this VM or passed on by another one.
#[derive(Clone, Debug)]
pub struct VmListReading {
    /// The listed VMs.
    pub vms: VmRecords,
    /// Hash of the listed VMs, by which two VMs compare their lists.
    pub hash: u64,
    /// Time since the list was read from the platform.
    pub read: Age,
}

/// A membership change, or a suspicion that a VM does not answer, that this VM spreads by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeardRumour {
    /// The change or suspicion.
    pub rumour: Rumour,
    /// When this VM learned of it.
    pub at: MonoTime,
}

/// Members of the fleet, their reachability and recent changes, as far as this VM knows.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Identity of this VM.
    pub me: VmIdentity,
    /// Whether a planned stop of this VM has begun. Other VMs send it no new work; it still uses
    /// its portions of rates until `stopping` is set.
    pub leaving: bool,
    /// Whether this VM has finished its work, so that it gives up its portions of rates.
    pub stopping: bool,
    /// The members: the platform's list, corrected by what the VMs report of themselves.
    pub vms: VmRecords,
    /// The platform's list as read, which may be out of date; absent until it was first read.
    pub listed: Option<VmListReading>,
    /// VMs that don't answer, with the time at which the suspicion began.
    pub suspects: FxHashMap<VmName, MonoTime>,
    /// Time since the platform answered any VM, as far as this VM has learned.
    pub platform_contact: Option<Age>,
    /// Time since a VM of each other data centre was last heard from, as far as this VM has
    /// learned.
    pub dc_contacts: FxHashMap<DcName, Age>,
    /// Recent membership changes and suspicions, newest last.
    pub rumours: Vec<HeardRumour>,
    /// The platform's object of this VM's data centre, which records the owners of portions.
    pub dc_object: Option<Arc<Object>>,
}

impl Fleet {
    /// Creates the view of a VM that knows no other.
    pub fn new(me: VmIdentity) -> Fleet {
        let record = me.record(VmState::Live);
        Fleet {
            me,
            leaving: false,
            stopping: false,
            vms: vec![record].into(),
            listed: None,
            suspects: FxHashMap::default(),
            platform_contact: None,
            dc_contacts: FxHashMap::default(),
            rumours: Vec::new(),
            dc_object: None,
        }
    }

    /// The record of the VM with the given name.
    pub fn vm(&self, name: &str) -> Option<&VmRecord> {
        let at = self.vms.binary_search_by(|r| r.vm.as_str().cmp(name)).ok()?;
        Some(&self.vms[at])
    }

    /// The record that this VM sends to others about itself.
    pub fn own_record(&self) -> VmRecord {
        let state = if self.leaving { VmState::Leaving } else { VmState::Live };
        self.me.record(state)
    }
}
