//! Health of the members as far as this VM can tell, on which changes of the member list and of the
//! witness set are based.

use std::collections::BTreeSet;

use model::prelude::*;

use super::FleetView;
use crate::witnesses::{
    Candidate, Capacity, Health, MEMBER_EXPIRY, REACHABLE_MIN, VmHealth, WITNESSES_MAX, WitnessSet,
    preference,
};

impl FleetView {
    /// For how long the set of members has been the same; `None` until the list is known.
    pub(crate) fn unchanged_for(&self, now: MonoTime) -> Option<DurationUs> {
        self.members_changed_at.map(|at| now.since(at))
    }

    /// Whether the witnesses that are still listed are less than a majority, so that no VM can get
    /// a lease.
    pub(crate) fn has_lost_witness_majority(&self) -> bool {
        let listed = self.witnesses.vms.iter().filter(|vm| self.is_in_list(vm)).count();
        listed < self.witnesses.majority()
    }

    fn is_in_list(&self, vm: &VmName) -> bool {
        if *vm == self.me { self.is_listed } else { self.members.contains_key(vm) }
    }

    /// A new witness set, chosen from all listed VMs.
    pub(crate) fn choose_witness_set(&self) -> WitnessSet {
        let others = self.members.iter().map(|(vm, member)| Candidate {
            vm,
            dc: &member.dc,
            capacity: member.capacity,
        });
        let me = Candidate { vm: &self.me, dc: &self.dc, capacity: self.capacity };
        let me = self.is_listed.then_some(me);
        self.witnesses.choose_next(others.chain(me))
    }

    /// Number of members that sort before this VM by name.
    pub(crate) fn rank(&self) -> usize {
        self.members.keys().filter(|vm| **vm < self.me).count()
    }

    /// Health of members and witnesses. Members that don't send heartbeats to this VM are left out,
    /// unless a witness names them as spare.
    pub(crate) fn vm_health(&self, now: MonoTime) -> Vec<VmHealth<'_>> {
        let expected = self.members.iter().filter(|(_, member)| member.expected_since.is_some());
        let expected = expected.map(|(vm, member)| VmHealth {
            vm,
            dc: Some(&member.dc),
            health: member.health(now),
            capacity: member.capacity,
        });
        let reachable = Health::Reachable(DurationUs(u64::MAX));
        let named = self
            .other_witnesses()
            .filter(|(vm, _)| self.is_in_contact(now, vm))
            .filter_map(|(_, witness)| self.members.get_key_value(witness.spare.as_ref()?))
            .filter(|(_, member)| member.expected_since.is_none())
            .map(|(vm, member)| VmHealth {
                vm,
                dc: Some(&member.dc),
                health: reachable,
                capacity: member.capacity,
            });
        let (dc, capacity) = (Some(&self.dc), self.capacity);
        let me = VmHealth { vm: &self.me, dc, health: reachable, capacity };
        let unlisted =
            self.witnesses.vms.iter().filter(|vm| **vm != self.me && !self.is_in_list(vm));
        let capacity = Capacity::default();
        let left = unlisted.map(|vm| VmHealth { vm, dc: None, health: Health::Left, capacity });
        expected.chain(named).chain([me]).chain(left).collect()
    }

    /// Updates which members should send heartbeats to this VM: if it is a witness, all other
    /// witnesses, the VMs of its own data centre, and the VMs of data centres without a live
    /// witness.
    pub(crate) fn update_expected(&mut self, now: MonoTime) {
        if !self.self_is_witness() {
            if std::mem::take(&mut self.expects_heartbeats) {
                self.members.values_mut().for_each(|member| member.expected_since = None);
            }
            return;
        }
        self.expects_heartbeats = true;
        let served: BTreeSet<DcName> = self.dcs_with_live_witnesses(now);
        for (vm, member) in &mut self.members {
            let is_expected = self.witnesses.vms.contains(vm)
                || member.dc == self.dc
                || !served.contains(&member.dc);
            member.expected_since = is_expected.then(|| member.expected_since.unwrap_or(now));
        }
    }

    fn dcs_with_live_witnesses(&self, now: MonoTime) -> BTreeSet<DcName> {
        let live = self.other_witnesses().filter(|(vm, _)| self.is_live(now, vm));
        let own = self.self_is_witness().then(|| self.dc.clone());
        live.map(|(_, member)| member.dc.clone()).chain(own).collect()
    }

    /// The VM of the own data centre that should become a witness next; `None` if the witness set is full.
    pub(crate) fn spare_vm(&self, now: MonoTime) -> Option<&VmName> {
        if self.witnesses.vms.len() >= WITNESSES_MAX {
            return None;
        }
        let others = self.members.iter().filter(|(vm, _)| !self.is_witness(vm));
        others
            .filter(|(_, member)| member.dc == self.dc)
            .filter(
                |(_, m)| matches!(m.health(now), Health::Reachable(span) if span >= REACHABLE_MIN),
            )
            .min_by_key(|(vm, member)| preference(vm, member.capacity))
            .map(|(vm, _)| vm)
    }

    /// Whether a majority of the witnesses is known to use this VM's witness set.
    pub(crate) fn is_witness_set_in_use(&self) -> bool {
        let others = self.other_witnesses();
        let using = others.filter(|(_, member)| member.witness_step >= self.witnesses.step).count();
        using + usize::from(self.self_is_witness()) >= self.witnesses.majority()
    }

    /// A member that has been silent for [`MEMBER_EXPIRY`] and that this VM has to remove from the
    /// list. The first live witness of the member's data centre removes it, or the first live
    /// witness of all.
    pub(crate) fn expired_member(&self, now: MonoTime) -> Option<(&VmName, Incarnation)> {
        let silent = self.members.iter().filter(|(vm, member)| {
            let is_silent =
                matches!(member.health(now), Health::Silent(span) if span >= MEMBER_EXPIRY);
            is_silent && member.expected_since.is_some() && !self.is_witness(vm)
        });
        silent
            .filter(|(_, member)| self.coordinator_for(now, &member.dc) == Some(&self.me))
            .map(|(vm, member)| (vm, member.incarnation))
            .next()
    }

    fn coordinator_for(&self, now: MonoTime, dc: &DcName) -> Option<&VmName> {
        let dc_of = |vm: &VmName| match self.members.get(vm) {
            Some(member) => Some(&member.dc),
            None => (*vm == self.me).then_some(&self.dc),
        };
        let mut live = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        let near = live.clone().find(|vm| dc_of(vm) == Some(dc));
        near.or_else(|| live.next())
    }
}
