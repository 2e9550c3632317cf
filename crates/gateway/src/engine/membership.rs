//! Membership: this VM's entry in the list of VMs, and the changes to the list and to the set of
//! witnesses that this VM requests from the store.

use model::prelude::*;
use slog::{info, warn};

use super::Engine;
use crate::{
    effect::{Effect, PlatformRequest},
    peers::MemberList,
    witnesses::{
        self, CHANGE_INTERVAL, FIRST_SET_AFTER, FIRST_SET_STAGGER, LEASE_DURATION,
        LOST_MAJORITY_RESET_AFTER, WITNESS_LOST_AFTER, WitnessSet,
    },
};

/// How long after a failed call the store counts as unreachable, even if it answers again, so that
/// another VM is the coordinator meanwhile.
const STORE_RECOVERY_DELAY: DurationUs = DurationUs::from_ms(2_000);

/// State of this VM's membership and of the changes that it requests.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// First version of the list with this VM's entry; `None` until it is registered.
    registered_version: Option<u64>,
    /// When a change was last requested.
    change_requested_at: Option<MonoTime>,
    /// Since when a majority of the witnesses is known to use the present set.
    set_in_use_since: Option<MonoTime>,
    /// When the store last answered this VM.
    store_responded_at: Option<MonoTime>,
    /// When a call of the store last failed.
    store_failed_at: Option<MonoTime>,
    /// Since when too few witnesses are listed for a majority of the present set.
    majority_lost_since: Option<MonoTime>,
    /// Since when the store lacks the present set.
    set_lost_since: Option<MonoTime>,
}

impl Engine {
    /// Takes the list of all VMs and the set of witnesses.
    pub fn set_members(&mut self, now: MonoTime, list: &MemberList) {
        self.now = now;
        let (before, step) = (self.fleet.vm_count(), self.fleet.witnesses().step);
        self.fleet.set_members(now, list);
        if before != self.fleet.vm_count() {
            info!(self.log, "members changed"; "members" => self.fleet.vm_count(), "before" => before,
                "version" => list.version);
        }
        let set = self.fleet.witnesses();
        if set.step != step {
            info!(self.log, "witnesses changed"; "step" => set.step, "before" => step,
                "witnesses" => ?set.vms);
            self.membership.set_in_use_since = None;
            if self.membership.majority_lost_since.take().is_some() && step > 0 {
                // Suspensions that only the ended witnesses had confirmed may be known to nobody else.
                self.intents_known = false;
                self.intents_requested_at = now;
                self.effects.push(Effect::CallPlatform(PlatformRequest::ReadIntents));
            }
        }
        self.rates.set_vm_count(now, self.fleet.vm_count());
        self.update_holders();
        let named_before =
            self.membership.registered_version.is_some_and(|since| list.version >= since);
        if named_before && !self.fleet.is_listed() && self.stopping_since.is_none() {
            warn!(self.log, "this VM was removed from the list"; "version" => list.version);
            self.membership.registered_version = None;
            self.effects.push(Effect::CallPlatform(PlatformRequest::Enter));
        }
    }

    /// Records that the list of VMs contains this VM from `version` on.
    pub fn registered(&mut self, now: MonoTime, version: u64) {
        self.now = now;
        self.membership.registered_version = Some(version);
    }

    /// Records whether a call of the store was answered.
    pub fn note_store_result(&mut self, now: MonoTime, answered: bool) {
        self.now = now;
        let before = self.reaches_store();
        self.counts.store_calls += 1;
        match answered {
            true => self.membership.store_responded_at = Some(now),
            false => {
                self.counts.store_failures += 1;
                self.membership.store_failed_at = Some(now);
            }
        }
        let after = self.reaches_store();
        if before != after {
            info!(self.log, "{}", if after { "store answers" } else { "store does not answer" };
                "acting" => self.is_coordinator());
        }
    }

    /// Whether this VM reaches the store: it answered since the last failed call, and that is some time
    /// ago.
    pub(super) fn reaches_store(&self) -> bool {
        let Some(failed_at) = self.membership.store_failed_at else { return true };
        self.membership.store_responded_at.is_some_and(|at| at > failed_at)
            && self.now.since(failed_at) >= STORE_RECOVERY_DELAY
    }

    /// Whether this VM is the coordinator: the one that replaces primaries and changes the set of
    /// witnesses.
    pub(super) fn is_coordinator(&self) -> bool {
        self.fleet.coordinator(self.now, self.reaches_store()) == Some(&self.id.vm)
    }

    /// Requests the change of the witnesses or of the list that is due and that this VM has to make, if
    /// any.
    pub(super) fn maintain_membership(&mut self) {
        let now = self.now;
        self.fleet.update_expected(now);
        let in_use = self.fleet.is_witness_set_in_use();
        self.membership.set_in_use_since =
            in_use.then(|| self.membership.set_in_use_since.unwrap_or(now));
        let has_lost_majority = self.fleet.has_lost_witness_majority();
        self.membership.majority_lost_since =
            has_lost_majority.then(|| self.membership.majority_lost_since.unwrap_or(now));
        let is_set_lost = self.fleet.is_witness_set_lost();
        self.membership.set_lost_since =
            is_set_lost.then(|| self.membership.set_lost_since.unwrap_or(now));
        let lately =
            self.membership.change_requested_at.is_some_and(|at| now.since(at) < CHANGE_INTERVAL);
        if lately || self.stopping_since.is_some() {
            return;
        }
        if let Some(request) = self.due_membership_change() {
            info!(self.log, "membership change requested"; "request" => ?request);
            self.membership.change_requested_at = Some(now);
            self.effects.push(Effect::CallPlatform(request));
        }
    }

    fn due_membership_change(&self) -> Option<PlatformRequest> {
        let now = self.now;
        // A change of an older set than others use could leave two sets whose majorities share no VM.
        let has_missed_set = self.fleet.has_missed_witness_set(now);
        if let Some(since) = self.membership.majority_lost_since.filter(|_| !has_missed_set) {
            return self.replacement_set(since).map(PlatformRequest::SetWitnesses);
        }
        if !self.has_lease() {
            return None;
        }
        if let Some(set) = self.lost_witness_set() {
            return Some(PlatformRequest::SetWitnesses(set));
        }
        // By then, leases that were given under the previous set have lapsed.
        let is_settled =
            self.membership.set_in_use_since.is_some_and(|at| now.since(at) >= LEASE_DURATION);
        if is_settled && !has_missed_set && self.is_coordinator() {
            let fleet_health = self.fleet.vm_health(now);
            if let Some(set) = witnesses::next_witness_set(self.fleet.witnesses(), &fleet_health) {
                return Some(PlatformRequest::SetWitnesses(set));
            }
        }
        let (vm, incarnation) = self.fleet.expired_member(now)?;
        Some(PlatformRequest::RemoveMember { vm: vm.clone(), incarnation })
    }

    /// Returns the present set of witnesses as the next one, if the store has lost it and it is this VM's turn
    /// to write it again. The coordinator's turn is first; but it may have started again and know only the older set
    /// that the store has.
    fn lost_witness_set(&self) -> Option<WitnessSet> {
        let lost_for = self.now.since(self.membership.set_lost_since?);
        let set = self.fleet.witnesses();
        let rank = set.vms.iter().position(|vm| *vm == self.id.vm)?;
        let turn = DurationUs(WITNESS_LOST_AFTER.0 + FIRST_SET_STAGGER.0 * rank as u64);
        let is_due = self.is_coordinator() || lost_for >= turn;
        is_due.then(|| WitnessSet { step: set.step + 1, vms: set.vms.clone() })
    }

    /// Returns a new set of witnesses once it is this VM's turn to write it. Used where there is no set
    /// yet, or where so many witnesses have ended that nobody can get a lease. VMs take turns, so that
    /// they don't all write at once.
    fn replacement_set(&self, majority_lost_since: MonoTime) -> Option<WitnessSet> {
        let now = self.now;
        let is_first = self.fleet.witnesses().step == 0;
        let wait = if is_first { FIRST_SET_AFTER } else { LOST_MAJORITY_RESET_AFTER };
        let turn = DurationUs(FIRST_SET_STAGGER.0 * self.fleet.rank() as u64);
        let unchanged = self.fleet.unchanged_for(now)?.0.min(now.since(majority_lost_since).0);
        let is_due = self.fleet.is_listed() && unchanged >= wait.0 + turn.0;
        is_due.then(|| self.fleet.choose_witness_set())
    }
}
