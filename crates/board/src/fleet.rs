//! The VMs of the fleet.

use std::{ops::Deref, sync::Arc};

use model::prelude::*;
use proto::{
    gossip::Rumour,
    platform::{Object, VmRecord, VmState},
};

/// Who this VM is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// Its name.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub dc: DcName,
    /// Address of its peer listener.
    pub peer_address: String,
}

impl VmIdentity {
    /// Its record in a list of VMs.
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

/// A list of VMs, sorted by name. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmRecords(Arc<Vec<VmRecord>>);

impl VmRecords {
    /// Whether both are the same allocation, hence equal.
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

/// How old something was at a moment of this VM's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    /// Its age then.
    pub age: DurationUs,
    /// The moment.
    pub at: MonoTime,
}

impl Age {
    /// Of something that is new at this moment.
    pub fn zero(at: MonoTime) -> Age {
        Age { age: DurationUs::default(), at }
    }

    /// Its age now.
    pub fn now(self, now: MonoTime) -> DurationUs {
        DurationUs(self.age.0.saturating_add(now.since(self.at).0))
    }
}

/// The platform's list of VMs as last read by this VM or by one that told it.
#[derive(Clone, Debug)]
pub struct VmListReading {
    /// The list.
    pub vms: VmRecords,
    /// Hash of the list.
    pub hash: u64,
    /// Time since it was read from the platform.
    pub read: Age,
}

/// A change of the fleet that this VM passes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeardRumour {
    /// The change.
    pub rumour: Rumour,
    /// When it was heard.
    pub at: MonoTime,
}

/// The VMs as last heard of.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// This VM.
    pub me: VmIdentity,
    /// Whether a planned stop of this VM has begun: other VMs send it nothing new. It goes on with
    /// its portions until [`Fleet::stopping`].
    pub leaving: bool,
    /// Whether this VM has finished its work and gives up its portions.
    pub stopping: bool,
    /// The VMs: the platform's list, corrected by what the VMs said themselves.
    pub vms: VmRecords,
    /// The platform's list as read, which may lag; absent until it was read.
    pub listed: Option<VmListReading>,
    /// VMs that don't answer, and since when.
    pub suspects: FxHashMap<VmName, MonoTime>,
    /// Time since the platform answered this VM, or one that told it.
    pub platform_contact: Option<Age>,
    /// Time since each other data centre was heard from.
    pub dc_contacts: FxHashMap<DcName, Age>,
    /// Recent changes of the fleet, newest last.
    pub rumours: Vec<HeardRumour>,
    /// The object of this VM's data centre.
    pub dc_object: Option<Arc<Object>>,
}

impl Fleet {
    /// A fleet in which only this VM is known.
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

    /// The VM of that name.
    pub fn vm(&self, name: &str) -> Option<&VmRecord> {
        let at = self.vms.binary_search_by(|r| r.vm.as_str().cmp(name)).ok()?;
        Some(&self.vms[at])
    }

    /// The record under which this VM tells others of itself.
    pub fn own_record(&self) -> VmRecord {
        let state = if self.leaving { VmState::Leaving } else { VmState::Live };
        self.me.record(state)
    }
}
