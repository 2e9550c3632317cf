//! Which VMs should own portions of a workspace, and which VMs to ask for tokens.

use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

use crate::{
    objects::{DcObject, VmInstance},
    workspace_limiter::Lender,
};

/// VMs of each data centre that free parts of a workspace are assigned to: its home owners. Parts move
/// on from there to VMs with more demand.
pub const HOME_OWNERS: usize = 4;

/// Home owners of each other data centre that are asked for tokens.
const LENDERS_PER_OTHER_DC: usize = 2;

/// The VM instance that a record describes.
pub fn instance_of(vm: &VmRecord) -> VmInstance {
    VmInstance { vm: vm.vm.clone(), incarnation: vm.incarnation }
}

/// The live VMs of one data centre, ranked for each workspace by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub struct HomeRanking {
    /// The VMs with the hashes of their names.
    vms: Vec<(u64, VmInstance)>,
}

impl HomeRanking {
    /// A ranking of the live VMs of the data centre `dc`.
    pub fn new(vms: &[VmRecord], dc: &DcName) -> HomeRanking {
        let live = vms.iter().filter(|vm| vm.dc == *dc && vm.state == VmState::Live);
        HomeRanking { vms: live.map(|vm| (stable_hash(vm.vm.as_str()), instance_of(vm))).collect() }
    }

    /// The `count` best-ranked VMs for the workspace, best first.
    pub fn home_owners(&self, workspace: &WorkspaceName, count: usize) -> Vec<&VmInstance> {
        let seed = stable_hash(workspace.as_str());
        let mut ranked: Vec<(u64, &VmInstance)> =
            self.vms.iter().map(|(hash, owner)| (mix(hash ^ seed), owner)).collect();
        let by_rank = |a: &(u64, &VmInstance), b: &(u64, &VmInstance)| b.cmp(a);
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, by_rank);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(by_rank);
        ranked.into_iter().map(|(_, owner)| owner).collect()
    }

    /// Index of the instance in the list of live VMs, if it is one of them.
    pub fn position(&self, me: &VmInstance) -> Option<usize> {
        self.vms.iter().position(|(_, owner)| owner == me)
    }
}

/// The VMs that may lend tokens to this VM.
#[derive(Clone, Debug, Default)]
pub struct LenderDirectory {
    /// Object of this VM's data centre, which names the owners there.
    dc_object: DcObject,
    /// The other data centres, whose objects this VM does not know.
    other_dcs: Vec<HomeRanking>,
    /// The other VM instances of the fleet.
    members: FxHashSet<VmInstance>,
    /// The other VM instances of this VM's data centre.
    dc_peers: Vec<VmInstance>,
}

impl LenderDirectory {
    /// A directory for the instance `me` in data centre `dc`, with the object of that data centre, all
    /// VMs and all data centres.
    pub fn new(
        me: &VmInstance,
        dc: &DcName,
        dc_object: DcObject,
        vms: &[VmRecord],
        dcs: &[DcName],
    ) -> LenderDirectory {
        let others = vms.iter().filter(|vm| instance_of(vm) != *me);
        let members = others.clone().map(instance_of).collect();
        let dc_peers = others.filter(|vm| vm.dc == *dc).map(instance_of).collect();
        let other_dcs = dcs.iter().filter(|other| *other != dc);
        let other_dcs = other_dcs.map(|dc| HomeRanking::new(vms, dc)).collect();
        LenderDirectory { dc_object, other_dcs, members, dc_peers }
    }

    /// The other VM instances of this VM's data centre.
    pub fn dc_peers(&self) -> &[VmInstance] {
        &self.dc_peers
    }

    /// The VMs to ask for tokens of the workspace, in this order: the owners in this data centre,
    /// largest first, then home owners in the other data centres.
    pub fn lenders(&self, workspace: &WorkspaceName) -> impl Iterator<Item = Lender> {
        let in_same_dc = self.dc_object.owners(workspace).into_iter().map(|(owner, _)| owner);
        let in_same_dc = in_same_dc.filter(|owner| self.members.contains(owner));
        let in_same_dc: Vec<Lender> =
            in_same_dc.map(|o| Lender { instance: o.clone(), same_dc: true }).collect();
        let in_other_dcs =
            self.other_dcs.iter().flat_map(|dc| dc.home_owners(workspace, LENDERS_PER_OTHER_DC));
        let in_other_dcs: Vec<Lender> =
            in_other_dcs.map(|o| Lender { instance: o.clone(), same_dc: false }).collect();
        in_same_dc.into_iter().chain(in_other_dcs)
    }
}

/// The finaliser of splitmix64.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
