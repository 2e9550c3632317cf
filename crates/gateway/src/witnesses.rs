//! Which VMs are witnesses, and when one of them is exchanged.
//!
//! The set stands in the store, so that all VMs mean the same by a majority. It changes by one VM at a
//! time, and only once a majority of it is known to use it: majorities of neighbouring sets share a VM,
//! so a VM that has missed a change finds no majority that has missed it too.

use std::collections::{BTreeMap, BTreeSet};

use model::{prelude::*, request::stable_hash};
use serde::{Deserialize, Serialize};

use crate::peers::LEASE_DURATION;

/// Members that give leases. Their majority outlives the loss of three, and a VM that speaks to seven
/// stays near 3 KB a second.
pub const WITNESSES_MAX: usize = 7;
/// Silence after which a witness is replaced: longer than a restart takes.
pub const WITNESS_LOST_AFTER: DurationUs = DurationUs::from_ms(3_000);
/// A VM becomes a witness only if it was in touch for this long.
pub const REACHABLE_MIN: DurationUs = DurationUs::from_ms(2_000);
/// Healthy witnesses beyond a majority below which one that is stopping is replaced before it is gone.
pub const SPARE_HEALTHY_MIN: usize = 2;
/// How long the list of VMs has to be unchanged before the first set is chosen from it.
pub const FIRST_SET_AFTER: DurationUs = DurationUs::from_ms(1_000);
/// Time between two VMs that try to write the first set: the first one's answer arrives meanwhile.
pub const FIRST_SET_STAGGER: DurationUs = DurationUs::from_ms(300);
/// How long a set that can't have a majority any more stands before it is replaced as a whole: leases
/// that its last majority gave have lapsed by then.
pub const LOST_MAJORITY_RESET_AFTER: DurationUs = DurationUs(LEASE_DURATION.0 + 300_000);
/// Silence after which a VM is taken out of the list: it no longer counts when connections are divided.
pub const MEMBER_EXPIRY: DurationUs = DurationUs::from_ms(20_000);
/// Time between two tries to change the set or the list.
pub const CHANGE_INTERVAL: DurationUs = DurationUs::from_ms(1_500);

/// The VMs that give leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// Counts the changes; zero before there is a set.
    pub step: u64,
    /// The VMs.
    pub vms: BTreeSet<VmName>,
}

impl WitnessSet {
    /// How many make a majority.
    pub fn majority(&self) -> usize {
        self.vms.len() / 2 + 1
    }

    fn without(&self, vm: &VmName) -> WitnessSet {
        let vms = self.vms.iter().filter(|other| *other != vm).cloned().collect();
        WitnessSet { step: self.step + 1, vms }
    }

    fn with(&self, vm: &VmName) -> WitnessSet {
        let vms = self.vms.iter().chain([vm]).cloned().collect();
        WitnessSet { step: self.step + 1, vms }
    }

    /// The next set, chosen anew from all VMs and spread over data centres.
    pub fn choose_next<'a>(
        &self,
        vms: impl Iterator<Item = (&'a VmName, &'a DcName)>,
    ) -> WitnessSet {
        let mut by_dc: BTreeMap<&DcName, Vec<(u64, &VmName)>> = BTreeMap::new();
        for (vm, dc) in vms {
            by_dc.entry(dc).or_default().push((stable_hash(vm.as_str()), vm));
        }
        for vms in by_dc.values_mut() {
            vms.sort_unstable_by(|a, b| b.cmp(a));
        }
        let mut chosen = BTreeSet::new();
        while chosen.len() < WITNESSES_MAX && by_dc.values().any(|vms| !vms.is_empty()) {
            for vms in by_dc.values_mut() {
                if chosen.len() < WITNESSES_MAX {
                    chosen.extend(vms.pop().map(|(_, vm)| vm.clone()));
                }
            }
        }
        WitnessSet { step: self.step + 1, vms: chosen }
    }
}

/// How a VM fares, as seen by the VM that decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// In touch for this long.
    Reachable(DurationUs),
    /// In touch, and ending.
    Stopping,
    /// Not heard of for this long.
    Silent(DurationUs),
    /// No longer listed: it has ended.
    Left,
}

/// A VM and how it fares.
#[derive(Clone, Copy, Debug)]
pub struct VmHealth<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// Where it stands; `None` where it is no longer listed.
    pub dc: Option<&'a DcName>,
    /// How it fares.
    pub health: Health,
}

/// The change of the set that is due, of one VM: first those that are lost go, then others come.
pub fn next_witness_set(set: &WitnessSet, fleet_health: &[VmHealth<'_>]) -> Option<WitnessSet> {
    let is_witness = |vm_health: &&VmHealth<'_>| set.vms.contains(vm_health.vm);
    let witnesses = || fleet_health.iter().filter(is_witness);
    let healthy = witnesses().filter(|s| matches!(s.health, Health::Reachable(_))).count();
    let is_thin = healthy < set.majority() + SPARE_HEALTHY_MIN;
    let urgency = |vm_health: &&VmHealth<'_>| match vm_health.health {
        Health::Left => Some(2),
        Health::Silent(span) if span >= WITNESS_LOST_AFTER => Some(1),
        Health::Stopping if is_thin => Some(0),
        Health::Stopping | Health::Silent(_) | Health::Reachable(_) => None,
    };
    let lost = witnesses().filter(|s| urgency(s).is_some()).max_by_key(urgency);
    if let Some(lost) = lost.filter(|_| set.vms.len() > 1) {
        return Some(set.without(lost.vm));
    }
    if set.vms.len() >= WITNESSES_MAX {
        return None;
    }
    let in_dc = |dc: Option<&DcName>| witnesses().filter(|other| other.dc == dc).count();
    let spare = fleet_health
        .iter()
        .filter(|vm_health| !set.vms.contains(vm_health.vm))
        .filter(|s| matches!(s.health, Health::Reachable(span) if span >= REACHABLE_MIN))
        .min_by_key(|vm_health| (in_dc(vm_health.dc), stable_hash(vm_health.vm.as_str())));
    spare.map(|vm_health| set.with(vm_health.vm))
}
