//! Who owns portions, and whom to ask for tokens.

use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

use crate::{
    account::Lender,
    objects::{DcObject, Owner},
};

/// VMs of a data centre that own portions of a workspace, unless demand has moved them.
pub const HOME_OWNERS: usize = 4;

const FAR_LENDERS_PER_DC: usize = 2;

/// The run in a VM's record.
pub fn owner(vm: &VmRecord) -> Owner {
    Owner { vm: vm.vm.clone(), incarnation: vm.incarnation }
}

/// Live VMs of one data centre, ready to be ranked.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    vms: Vec<(u64, Owner)>,
}

impl Ranking {
    /// The live VMs of the data centre.
    pub fn new(vms: &[VmRecord], dc: &DcName) -> Ranking {
        let live = vms.iter().filter(|vm| vm.dc == *dc && vm.state == VmState::Live);
        Ranking { vms: live.map(|vm| (stable_hash(vm.vm.as_str()), owner(vm))).collect() }
    }

    /// The VMs where portions of the workspace belong, best-ranked first.
    pub fn home_owners(&self, workspace: &WorkspaceName, count: usize) -> Vec<&Owner> {
        let seed = stable_hash(workspace.as_str());
        let mut ranked: Vec<(u64, &Owner)> =
            self.vms.iter().map(|(hash, owner)| (mix(hash ^ seed), owner)).collect();
        let by_rank = |a: &(u64, &Owner), b: &(u64, &Owner)| b.cmp(a);
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, by_rank);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(by_rank);
        ranked.into_iter().map(|(_, owner)| owner).collect()
    }

    /// The place of a run among the live VMs; absent where it is none of them.
    pub fn place(&self, me: &Owner) -> Option<usize> {
        self.vms.iter().position(|(_, owner)| owner == me)
    }
}

/// Everybody who may lend tokens to this VM.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    near: DcObject,
    far: Vec<Ranking>,
    listed: FxHashSet<Owner>,
    neighbours: Vec<Owner>,
}

impl Directory {
    /// The owners in this VM's data centre, and the VMs of the others.
    pub fn new(
        me: &Owner,
        dc: &DcName,
        near: DcObject,
        vms: &[VmRecord],
        dcs: &[DcName],
    ) -> Directory {
        let others = vms.iter().filter(|vm| owner(vm) != *me);
        let listed = others.clone().map(owner).collect();
        let neighbours = others.filter(|vm| vm.dc == *dc).map(owner).collect();
        let far = dcs.iter().filter(|other| *other != dc);
        let far = far.map(|dc| Ranking::new(vms, dc)).collect();
        Directory { near, far, listed, neighbours }
    }

    /// The other VMs of this VM's data centre.
    pub fn neighbours(&self) -> &[Owner] {
        &self.neighbours
    }

    /// Whom to ask for tokens of the workspace: owners near by, then VMs of other data centres.
    pub fn lenders(&self, workspace: &WorkspaceName) -> impl Iterator<Item = Lender> {
        let near = self.near.owners(workspace).into_iter().map(|(owner, _)| owner);
        let near = near.filter(|owner| self.listed.contains(owner));
        let near: Vec<Lender> = near.map(|o| Lender { owner: o.clone(), near: true }).collect();
        let far = self.far.iter().flat_map(|dc| dc.home_owners(workspace, FAR_LENDERS_PER_DC));
        let far: Vec<Lender> = far.map(|o| Lender { owner: o.clone(), near: false }).collect();
        near.into_iter().chain(far)
    }
}

/// Spreads a number evenly (the finaliser of splitmix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
