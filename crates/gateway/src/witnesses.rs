//! Which VMs are witnesses, and when one of them is replaced.
//!
//! The witness set is stored in the platform's store, so all VMs agree on what a majority is. It
//! changes by one VM at a time, and only once a majority of the witnesses is known to use the
//! current set. A majority of one set therefore shares a VM with any majority of the next, so a VM
//! that has missed a change can't get a lease from an outdated majority.
//!
//! Witnesses answer for the rates whose home they are, and hear from all VMs of their data centre, so those with the
//! most processor time come first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use model::{prelude::*, request::stable_hash};
use serde::{Deserialize, Serialize};

/// How long a VM may use primaries after it was in contact with a majority of the witnesses.
///
/// A failover waits this long if a VM is lost together with the primary, so it is part of the 10 s
/// that a change of primary may take.
pub const LEASE_DURATION: DurationUs = DurationUs::from_ms(1_200);
/// Size of a full witness set. A majority survives the loss of three witnesses, and a VM that sends
/// heartbeats to seven stays near 3 KB/s.
pub const WITNESSES_MAX: usize = 7;
/// Silence after which a witness is replaced; longer than a restart takes.
pub const WITNESS_LOST_AFTER: DurationUs = DurationUs::from_ms(3_000);
/// How long a VM has to be reachable without interruption before it can become a witness.
pub const REACHABLE_MIN: DurationUs = DurationUs::from_ms(2_000);
/// A witness that is shutting down is replaced at once if fewer reachable witnesses than this are
/// left beyond a majority.
pub const SPARE_HEALTHY_MIN: usize = 2;
/// How long the member list has to be unchanged before the first witness set is chosen from it.
pub const FIRST_SET_AFTER: DurationUs = DurationUs::from_ms(1_000);
/// Delay between VMs that try to write a whole new set, by rank, so that one VM's write usually
/// arrives before the next VM tries.
pub const FIRST_SET_STAGGER: DurationUs = DurationUs::from_ms(300);
/// How long a set that has lost its majority stays in use before all of it is replaced: by then,
/// the leases that it granted have expired.
pub const LOST_MAJORITY_RESET_AFTER: DurationUs = DurationUs(LEASE_DURATION.0 + 300_000);
/// Silence after which a VM is removed from the member list, and no longer counts when connections
/// are divided among the VMs.
pub const MEMBER_EXPIRY: DurationUs = DurationUs::from_ms(20_000);
/// Minimum time between two attempts to change the witness set or the member list.
pub const CHANGE_INTERVAL: DurationUs = DurationUs::from_ms(1_500);

/// Processor time that a VM has, in thousandths of a core; zero if that is not known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Capacity(pub u32);

impl Capacity {
    /// Returns a capacity in cores, or zero if it is not a positive number.
    pub fn from_cores(cores: f64) -> Capacity {
        Capacity((cores * 1e3) as u32)
    }
}

/// The witnesses: the VMs whose majority grants leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// Number of changes so far; 0 before the first set.
    pub step: u64,
    /// Names of the witnesses.
    pub vms: BTreeSet<VmName>,
}

impl WitnessSet {
    /// Number of witnesses that make a majority.
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

    /// The next set, chosen from scratch among `vms` and spread evenly over data centres; in each, VMs with more
    /// processor time come first.
    pub fn choose_next<'a>(&self, vms: impl Iterator<Item = Candidate<'a>>) -> WitnessSet {
        let mut by_dc: BTreeMap<&DcName, Vec<(Preference, &VmName)>> = BTreeMap::new();
        for Candidate { vm, dc, capacity } in vms {
            by_dc.entry(dc).or_default().push((preference(vm, capacity), vm));
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

/// A VM that can become a witness.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the VM.
    pub vm: &'a VmName,
    /// Its data centre.
    pub dc: &'a DcName,
    /// Its processor time.
    pub capacity: Capacity,
}

/// Sort key of candidates of a data centre: the least is preferred.
type Preference = (Reverse<Capacity>, u64);

/// VMs with more processor time come first, and those with the same in an order that depends on their names alone.
pub(crate) fn preference(vm: &VmName, capacity: Capacity) -> Preference {
    (Reverse(capacity), stable_hash(vm.as_str()))
}

/// The health of a VM, as seen by the VM that decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Reachable without interruption for this long.
    Reachable(DurationUs),
    /// Reachable, and shutting down.
    Stopping,
    /// Not heard from for this long.
    Silent(DurationUs),
    /// No longer in the member list.
    Left,
}

/// A VM with its data centre and health.
#[derive(Clone, Copy, Debug)]
pub struct VmHealth<'a> {
    /// Name of the VM.
    pub vm: &'a VmName,
    /// The VM's data centre; `None` if it is no longer listed.
    pub dc: Option<&'a DcName>,
    /// The VM's health, as seen by the VM that decides.
    pub health: Health,
    /// The VM's processor time.
    pub capacity: Capacity,
}

/// The next change of the witness set, by one VM: lost witnesses are removed first, then VMs are
/// added until the set is full. `None` if no change is due.
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
        .min_by_key(|s| (in_dc(s.dc), preference(s.vm, s.capacity)));
    spare.map(|vm_health| set.with(vm_health.vm))
}
