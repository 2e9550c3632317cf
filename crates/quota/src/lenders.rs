//! Who owns portions, and whom to ask for tokens.

use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

use crate::{
    objects::{DcObject, VmInstance},
    workspace_limiter::Lender,
};

/// VMs of a data centre that own portions of a workspace, unless demand has moved them.
pub const HOME_OWNERS: usize = 4;

const LENDERS_PER_OTHER_DC: usize = 2;

/// The run in a VM's record.
pub fn instance_of(vm: &VmRecord) -> VmInstance {
    VmInstance { vm: vm.vm.clone(), incarnation: vm.incarnation }
}

/// Live VMs of one data centre, ready to be ranked.
#[derive(Clone, Debug, Default)]
pub struct HomeRanking {
    vms: Vec<(u64, VmInstance)>,
}

impl HomeRanking {
    /// The live VMs of the data centre.
    pub fn new(vms: &[VmRecord], dc: &DcName) -> HomeRanking {
        let live = vms.iter().filter(|vm| vm.dc == *dc && vm.state == VmState::Live);
        HomeRanking { vms: live.map(|vm| (stable_hash(vm.vm.as_str()), instance_of(vm))).collect() }
    }

    /// The VMs where portions of the workspace belong, best-ranked first.
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

    /// The place of a run among the live VMs; absent where it is none of them.
    pub fn position(&self, me: &VmInstance) -> Option<usize> {
        self.vms.iter().position(|(_, owner)| owner == me)
    }
}

/// Everybody who may lend tokens to this VM.
#[derive(Clone, Debug, Default)]
pub struct LenderDirectory {
    dc_object: DcObject,
    other_dcs: Vec<HomeRanking>,
    members: FxHashSet<VmInstance>,
    dc_peers: Vec<VmInstance>,
}

impl LenderDirectory {
    /// The owners in this VM's data centre, and the VMs of the others.
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

    /// The other VMs of this VM's data centre.
    pub fn dc_peers(&self) -> &[VmInstance] {
        &self.dc_peers
    }

    /// Whom to ask for tokens of the workspace: owners near by, then VMs of other data centres.
    pub fn lenders(&self, workspace: &WorkspaceName) -> impl Iterator<Item = Lender> {
        let near = self.dc_object.owners(workspace).into_iter().map(|(owner, _)| owner);
        let near = near.filter(|owner| self.members.contains(owner));
        let near: Vec<Lender> =
            near.map(|o| Lender { instance: o.clone(), same_dc: true }).collect();
        let far =
            self.other_dcs.iter().flat_map(|dc| dc.home_owners(workspace, LENDERS_PER_OTHER_DC));
        let far: Vec<Lender> =
            far.map(|o| Lender { instance: o.clone(), same_dc: false }).collect();
        near.into_iter().chain(far)
    }
}

/// Spreads a number evenly (the finaliser of splitmix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
