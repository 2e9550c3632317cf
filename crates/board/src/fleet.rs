//! The VMs of the fleet.

use model::prelude::*;
use proto::platform::{VmRecord, VmState};

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

/// The VMs as last heard of.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// This VM.
    pub me: VmIdentity,
    /// Whether this VM is being stopped.
    pub stopping: bool,
    /// The platform's list, which may lag. Sorted by name.
    pub vms: Vec<VmRecord>,
    /// VMs that don't answer, and since when.
    pub suspects: FxHashMap<VmName, MonoTime>,
}

impl Fleet {
    /// A fleet in which only this VM is known.
    pub fn new(me: VmIdentity) -> Fleet {
        let record = VmRecord {
            vm: me.vm.clone(),
            incarnation: me.incarnation,
            dc: me.dc.clone(),
            peer_address: me.peer_address.clone(),
            state: VmState::Live,
        };
        Fleet { me, stopping: false, vms: vec![record], suspects: FxHashMap::default() }
    }

    /// The VM of that name.
    pub fn vm(&self, name: &str) -> Option<&VmRecord> {
        self.vms.iter().find(|r| r.vm.as_str() == name)
    }
}
