//! This VM's view of the fleet: which VMs are live, which of them are witnesses, and how long this
//! VM's lease lasts. [`crate::peers`] explains leases and witnesses.

mod health;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{prelude::*, request::stable_hash};

use crate::{
    admission::{ByClass, CLASSES},
    peers::{
        Echo, Heartbeat, HeartbeatTiming, LIVENESS_TIMEOUT, LOCAL_WITNESS_TIMEOUT, MemberList,
        MemberRecord, ServiceReport, Timestamps,
    },
    rates::Demand,
    witnesses::{Capacity, Health, LEASE_DURATION, WitnessSet},
};

/// Position of the upper half of [`Heartbeat::live_witnesses`]; there are at most seven witnesses.
const WITNESS_CLASSES_SHIFT: u32 = 8;

/// A VM of the member list other than this one, with its state according to its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    incarnation: Incarnation,
    dc: DcName,
    /// Whether it accepts links.
    accepts_links: bool,
    capacity: Capacity,
    /// When the member was last certainly alive, on this VM's clock: a lower bound of when it sent
    /// the newest message that echoed a timestamp of this VM.
    last_contact: Option<MonoTime>,
    /// The same of its earlier run.
    earlier_contact: Option<MonoTime>,
    /// When this VM added it to its list.
    listed_at: MonoTime,
    /// The timestamp of its newest heartbeat, on its own clock, and when that arrived here.
    last_heartbeat: Option<(MonoTime, MonoTime)>,
    /// Since when no gap between its heartbeats has reached [`LIVENESS_TIMEOUT`].
    reachable_since: MonoTime,
    /// Step of the witness set that it uses.
    witness_step: u64,
    /// Witnesses that it considers live, as in [`crate::peers::Heartbeat::live_witnesses`].
    live_witnesses: u16,
    /// A VM that is reachable for it and could become a witness.
    spare: Option<VmName>,
    /// Since when it should send heartbeats to this VM; `None` if it should not.
    expected_since: Option<MonoTime>,
    /// Version of the member list that it uses.
    list_version: u64,
    /// Its newest reports on services; a heartbeat may leave services out.
    pub(crate) reports: Vec<ServiceReport>,
    /// Its demand for workspaces whose home is this VM.
    demands: Vec<Demand>,
    /// Sum of the terms of all services that it knows.
    terms_total: u64,
    /// Whether the store answers it.
    reaches_store: bool,
    /// Whether it is shutting down.
    stopping: bool,
}

/// The members of the fleet as this VM sees them.
#[derive(Debug)]
pub struct FleetView {
    me: VmName,
    incarnation: Incarnation,
    dc: DcName,
    /// All listed VMs other than this one.
    members: BTreeMap<VmName, Member>,
    /// The witness set in use; may include this VM.
    witnesses: WitnessSet,
    /// Witnesses of the set before that understood classes of priorities, and when the present set took its place:
    /// heartbeats of members that don't use it yet say nothing of its witnesses.
    classes_before: (BTreeSet<VmName>, MonoTime),
    /// The steps at which present witnesses joined a set that this VM knew.
    joined: BTreeMap<VmName, u64>,
    /// Step of the witness set in the member list. Lower than that of the set in use if the store has lost it.
    stored_step: u64,
    /// Until when this VM has a lease through a witness that has one.
    delegated_lease_until: Option<MonoTime>,
    /// Whether `expected_since` is set for any member.
    expects_heartbeats: bool,
    /// Whether the member list contains this VM.
    is_listed: bool,
    /// This VM's processor time, as in the member list.
    capacity: Capacity,
    /// Whether this VM is shutting down.
    is_stopping: bool,
    /// See [`FleetView::changed_by_others_at`].
    changed_by_others_at: Option<MonoTime>,
    /// When the set of members last changed; `None` until the list is known.
    members_changed_at: Option<MonoTime>,
    /// Version of the member list in use.
    version: u64,
    /// Cached home of each workspace's rate, for the live witnesses in `homes_computed_for`.
    homes: FxHashMap<WorkspaceName, VmName>,
    homes_computed_for: Vec<VmName>,
    /// The live witnesses that [`FleetView::take_home_change`] last returned.
    last_live: Vec<VmName>,
}

impl FleetView {
    /// Creates the view of a VM that knows no member and no witness.
    pub fn new(me: VmName, incarnation: Incarnation, dc: DcName) -> FleetView {
        FleetView {
            me,
            incarnation,
            dc,
            members: BTreeMap::new(),
            witnesses: WitnessSet::default(),
            classes_before: (BTreeSet::new(), MonoTime(0)),
            joined: BTreeMap::new(),
            stored_step: 0,
            delegated_lease_until: None,
            expects_heartbeats: false,
            is_listed: false,
            capacity: Capacity::default(),
            is_stopping: false,
            changed_by_others_at: None,
            members_changed_at: None,
            version: 0,
            homes: FxHashMap::default(),
            homes_computed_for: Vec::new(),
            last_live: Vec::new(),
        }
    }

    /// Version of the member list in use.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the member list, unless `list` is older. The state of members that stay is kept.
    pub fn set_members(&mut self, now: MonoTime, list: &MemberList) {
        if list.version < self.version {
            return;
        }
        self.version = list.version;
        let before: Vec<VmName> = self.members.keys().cloned().collect();
        self.members.retain(|vm, _| list.records.iter().any(|record| record.vm == *vm));
        let was_listed = self.is_listed;
        let own_record = list.records.iter().find(|record| record.vm == self.me);
        self.is_listed = own_record.is_some();
        self.capacity = own_record.map_or(self.capacity, |record| record.capacity);
        for record in list.records.iter().filter(|record| record.vm != self.me) {
            match self.members.get_mut(&record.vm) {
                Some(member) if member.incarnation >= record.incarnation => {}
                earlier => {
                    let earlier_contact =
                        earlier.and_then(|member| member.last_contact.max(member.earlier_contact));
                    let member = Member { earlier_contact, ..Member::new(now, record) };
                    self.members.insert(record.vm.clone(), member);
                }
            }
        }
        if self.members_changed_at.is_none() || !before.iter().eq(self.members.keys()) {
            self.members_changed_at = Some(now);
        }
        self.stored_step = list.witnesses.as_ref().map_or(0, |set| set.step);
        let later = list.witnesses.as_ref().filter(|set| set.step > self.witnesses.step);
        // VMs without a lease write a set only where most witnesses have left the list, or there are none.
        let by_lease_holder =
            later.is_some() && self.witnesses.step > 0 && !self.has_lost_witness_majority();
        if by_lease_holder || (was_listed && !self.is_listed) {
            self.changed_by_others_at = Some(now);
        }
        if let Some(witnesses) = later {
            let known = self.witnesses.vms.iter().filter(|vm| self.knows_classes(now, vm)).cloned();
            self.classes_before = (known.collect(), now);
            let (before, step) = (&self.witnesses, witnesses.step);
            let is_first = before.step == 0;
            self.joined.retain(|vm, _| witnesses.vms.contains(vm));
            let joining = witnesses.vms.iter().filter(|vm| !is_first && !before.vms.contains(*vm));
            self.joined.extend(joining.map(|vm| (vm.clone(), step)));
            self.witnesses = witnesses.clone();
        }
    }

    /// The witness set in use.
    pub fn witnesses(&self) -> &WitnessSet {
        &self.witnesses
    }

    /// Whether the store has lost the witness set in use, after it was restored from a copy.
    pub(crate) fn is_witness_set_lost(&self) -> bool {
        self.stored_step < self.witnesses.step
    }

    /// Whether a witness in contact uses a later set than this VM knows.
    pub(crate) fn has_missed_witness_set(&self, now: MonoTime) -> bool {
        self.other_witnesses().any(|(vm, member)| {
            member.witness_step > self.witnesses.step && self.is_in_contact(now, vm)
        })
    }

    /// Whether the member list contains this VM.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The listed witnesses other than this VM.
    fn other_witnesses(&self) -> impl Iterator<Item = (&VmName, &Member)> + Clone {
        self.witnesses.vms.iter().filter_map(|vm| self.members.get_key_value(vm))
    }

    /// Whether `vm` is a witness.
    pub fn is_witness(&self, vm: &VmName) -> bool {
        self.witnesses.vms.contains(vm)
    }

    /// The live witness at the least `distance`. This VM and that witness report all services to
    /// each other, not only news.
    pub(crate) fn nearest_witness(
        &self,
        now: MonoTime,
        distance: impl Fn(&DcName) -> usize,
    ) -> Option<&VmName> {
        let others = self.other_witnesses();
        others
            .filter(|(vm, _)| self.is_in_contact(now, vm))
            .min_by_key(|(_, member)| distance(&member.dc))
            .map(|(vm, _)| vm)
    }

    /// The witnesses that this VM sends heartbeats to: those of its own data centre, or all if this VM
    /// is a witness itself or none of its data centre answers.
    pub(crate) fn heartbeat_targets(&self, now: MonoTime) -> Vec<VmName> {
        let others = self.other_witnesses();
        let near = others.clone().filter(|(_, member)| member.dc == self.dc && !member.stopping);
        let answers = |member: &Member| {
            member.last_contact.is_some_and(|at| now.since(at) < LOCAL_WITNESS_TIMEOUT)
        };
        let names = |(vm, _): (&VmName, &Member)| vm.clone();
        if self.self_is_witness() || !near.clone().any(|(_, member)| answers(member)) {
            return others.map(names).collect();
        }
        // Those that don't answer, too: one that has missed a heartbeat would otherwise get no more
        // of them, and remove this VM from the list as silent.
        near.map(names).collect()
    }

    /// Whether this VM is a witness.
    pub(crate) fn self_is_witness(&self) -> bool {
        self.is_witness(&self.me)
    }

    /// Records the content of a heartbeat; `sent_after` is what [`FleetView::record_timestamps`]
    /// returned for it.
    pub fn record_heartbeat(
        &mut self,
        from: &VmName,
        sent_after: Option<MonoTime>,
        heartbeat: Heartbeat,
    ) {
        let is_witness = self.is_witness(from);
        let Some(member) = self.members.get_mut(from) else { return };
        member.stopping = heartbeat.stopping;
        member.terms_total = heartbeat.terms_total;
        member.list_version = heartbeat.members;
        member.reaches_store = heartbeat.reaches_store;
        member.live_witnesses = heartbeat.live_witnesses;
        member.spare = heartbeat.spare;
        member.demands = heartbeat.demands;
        member.reports = heartbeat.services;
        if let (true, Some(sent_after), Some(left)) = (is_witness, sent_after, heartbeat.lease_left)
        {
            // No lease lasts longer. A damaged message would otherwise give one without an end.
            let until = sent_after + left.min(LEASE_DURATION);
            self.delegated_lease_until = self.delegated_lease_until.max(Some(until));
        }
    }

    /// Records the timestamps of a heartbeat and the step of the sender's witness set. Returns
    /// `None` if the sender is not a member, or is an earlier incarnation of one.
    pub fn record_timestamps(
        &mut self,
        now: MonoTime,
        from: &VmName,
        incarnation: Incarnation,
        stamps: Timestamps,
        witness_step: u64,
    ) -> Option<HeartbeatTiming> {
        let own = self.incarnation;
        let member = self.members.get_mut(from)?;
        let silent = member.last_heartbeat.is_none_or(|(_, at)| now.since(at) >= LIVENESS_TIMEOUT);
        // Incarnations are numbered by the wall clock, which may have been set back since.
        if incarnation < member.incarnation && !silent {
            return None;
        }
        if incarnation != member.incarnation {
            let (address, dc) = (member.address, member.dc.clone());
            let (accepts_links, capacity) = (member.accepts_links, member.capacity);
            let vm = from.clone();
            let record = MemberRecord { vm, address, incarnation, dc, accepts_links, capacity };
            let earlier_contact = member.last_contact.max(member.earlier_contact);
            *member = Member { earlier_contact, ..Member::new(now, &record) };
        }
        if silent {
            member.reachable_since = now;
        }
        let is_newer = member.last_heartbeat.is_none_or(|(stamp, _)| stamps.sent > stamp);
        if is_newer {
            member.last_heartbeat = Some((stamps.sent, now));
            member.witness_step = witness_step;
        }
        let echo = stamps.echo.filter(|echo| echo.run == own);
        let sent_after = echo.map(|echo| echo.stamp + echo.held).filter(|moment| *moment <= now);
        member.last_contact = member.last_contact.max(sent_after);
        Some(HeartbeatTiming { is_newer, sent_after })
    }

    /// The timestamps for a heartbeat to `vm`.
    pub(crate) fn timestamps_for(&self, now: MonoTime, vm: &VmName) -> Timestamps {
        let member = self.members.get(vm);
        let echo = member.and_then(|member| {
            let (stamp, at) = member.last_heartbeat?;
            Some(Echo { stamp, held: now.since(at), run: member.incarnation })
        });
        Timestamps { sent: now, echo }
    }

    /// Until when this VM may use primaries, unless it learns of a new term.
    pub fn lease_until(&self, now: MonoTime) -> Option<MonoTime> {
        self.own_lease_until(now).max(self.delegated_lease_until)
    }

    /// Until when a majority of the witnesses grants this VM a lease.
    pub(crate) fn own_lease_until(&self, now: MonoTime) -> Option<MonoTime> {
        // A witness that uses a later set may have confirmed a suspension that the witnesses of
        // this set don't know of, so its contact does not count.
        let others =
            self.other_witnesses().filter(|(_, member)| member.witness_step <= self.witnesses.step);
        let mut contacts: Vec<MonoTime> =
            others.filter_map(|(_, member)| member.last_contact).collect();
        if self.self_is_witness() {
            contacts.push(now);
        }
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(self.witnesses.majority() - 1).map(|&at| at + LEASE_DURATION)
    }

    /// The greatest sum of terms reported by a witness that was in contact within the lease
    /// duration.
    pub(crate) fn witness_terms_total(&self, now: MonoTime) -> u64 {
        let recent = self.other_witnesses().filter(|(_, member)| {
            member.last_contact.is_some_and(|at| now.since(at) < LEASE_DURATION)
        });
        recent.map(|(_, member)| member.terms_total).max().unwrap_or(0)
    }

    /// Whether `vms` contains a majority of the witnesses.
    pub fn is_witness_majority(&self, vms: &BTreeSet<VmName>) -> bool {
        let witnesses = vms.iter().filter(|vm| self.is_witness(vm)).count();
        self.witnesses.step > 0 && witnesses >= self.witnesses.majority()
    }

    /// Whether `vms` contains every member, and no member has reported a newer list than this VM
    /// uses.
    pub(crate) fn includes_all_members(&self, vms: &BTreeSet<VmName>) -> bool {
        let knows_more = self.members.values().any(|member| member.list_version > self.version);
        !knows_more && vms.contains(&self.me) && self.members.keys().all(|vm| vms.contains(vm))
    }

    /// Whether `vm` is live: in contact with this VM, or reported live by a witness that is.
    pub(crate) fn is_live(&self, now: MonoTime, vm: &VmName) -> bool {
        *vm == self.me || self.is_in_contact(now, vm) || self.is_reported_live(now, vm)
    }

    /// Whether a member was in contact with this VM within [`LIVENESS_TIMEOUT`].
    fn is_in_contact(&self, now: MonoTime, vm: &VmName) -> bool {
        self.members.get(vm).is_some_and(|member| {
            !member.stopping
                && member.last_contact.is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
        })
    }

    /// Whether the witness `vm` can be the home of rates: it is in contact with this VM, or with any witness that is.
    /// Unlike [`FleetView::is_live`], it counts what witnesses report to witnesses: one that others still ask is not
    /// replaced because a single path to it is cut.
    fn can_be_home(&self, now: MonoTime, vm: &VmName) -> bool {
        match *vm == self.me {
            true => !self.is_stopping,
            false => {
                (self.is_in_contact(now, vm) && self.knows_that_it_joined(vm))
                    || self.is_reported_by_witness(now, vm)
            }
        }
    }

    /// Whether a witness is known to use a set that contains it. Until then it would turn away what others ask of a
    /// witness.
    fn knows_that_it_joined(&self, vm: &VmName) -> bool {
        let Some(step) = self.joined.get(vm) else { return true };
        *vm == self.me || self.members.get(vm).is_some_and(|member| member.witness_step >= *step)
    }

    /// Whether a member has been out of contact with this VM for long enough to count as lost, or is none.
    pub(crate) fn is_silent(&self, now: MonoTime, vm: &VmName) -> bool {
        let member = self.members.get(vm);
        let last_contact =
            member.and_then(|member| member.last_contact.max(member.earlier_contact));
        last_contact.is_none_or(|at| now.since(at) >= LIVENESS_TIMEOUT)
    }

    /// Records that this VM is shutting down.
    pub(crate) fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Whether a witness in contact reports the witness `vm` as live. Witnesses don't rely on
    /// reports, since they are all in contact with each other.
    fn is_reported_live(&self, now: MonoTime, vm: &VmName) -> bool {
        !self.self_is_witness() && self.is_reported_by_witness(now, vm)
    }

    fn is_reported_by_witness(&self, now: MonoTime, vm: &VmName) -> bool {
        let Some(bit) = self.witnesses.vms.iter().position(|witness| witness == vm) else {
            return false;
        };
        self.other_witnesses().any(|(from, member)| {
            member.witness_step == self.witnesses.step
                && member.live_witnesses & (1 << bit) != 0
                && self.is_in_contact(now, from)
        })
    }

    /// Witnesses that are known here to understand the classes of [`crate::admission`], each from its own
    /// heartbeats, encoded as the upper half of [`Heartbeat::live_witnesses`].
    pub(crate) fn witnesses_with_classes(&self) -> u16 {
        let knows = |(bit, vm): (usize, &VmName)| {
            let own_word = |member: &Member| self.reports_classes(member, bit);
            (*vm == self.me || self.members.get(vm).is_some_and(own_word)).then_some(1 << bit)
        };
        self.witnesses.vms.iter().enumerate().filter_map(knows).fold(0, |bits, bit: u16| bits | bit)
            << WITNESS_CLASSES_SHIFT
    }

    /// Whether the witness `vm` understands the classes of [`crate::admission`], as its own heartbeats say or
    /// those of a witness in contact.
    pub(crate) fn knows_classes(&self, now: MonoTime, vm: &VmName) -> bool {
        let Some(bit) = self.witnesses.vms.iter().position(|witness| witness == vm) else {
            return false;
        };
        let mut reporters = self.other_witnesses();
        let is_reported = reporters.any(|(from, member)| {
            self.reports_classes(member, bit) && self.is_in_contact(now, from)
        });
        let (before, changed_at) = &self.classes_before;
        is_reported || (before.contains(vm) && now.since(*changed_at) < LEASE_DURATION)
    }

    /// Whether a member reports of the witness at position `bit` of the set that it understands classes.
    fn reports_classes(&self, member: &Member, bit: usize) -> bool {
        member.witness_step == self.witnesses.step
            && member.live_witnesses & (1 << bit) << WITNESS_CLASSES_SHIFT != 0
    }

    /// When the last change of the list arrived that only a VM with a lease makes: a later set of witnesses, or the
    /// removal of this VM.
    pub(crate) fn changed_by_others_at(&self) -> Option<MonoTime> {
        self.changed_by_others_at
    }

    /// Whether most VMs are in data centres with a witness. A data centre that is cut off from most witnesses loses
    /// its own to others.
    pub(crate) fn are_most_vms_near_witnesses(&self) -> bool {
        let dc_of = |vm: &VmName| match *vm == self.me {
            true => Some(&self.dc),
            false => self.members.get(vm).map(|member| &member.dc),
        };
        let served: BTreeSet<&DcName> = self.witnesses.vms.iter().filter_map(dc_of).collect();
        let dcs = self.members.values().map(|member| &member.dc).chain([&self.dc]);
        2 * dcs.filter(|dc| served.contains(dc)).count() > self.vm_count()
    }

    /// Witnesses that are live for this VM and know that they are witnesses, encoded as the lower half of
    /// [`Heartbeat::live_witnesses`].
    pub(crate) fn live_witnesses(&self, now: MonoTime) -> u16 {
        let is_usable = |vm| self.is_live(now, vm) && self.knows_that_it_joined(vm);
        let live = self.witnesses.vms.iter().enumerate().filter(|(_, vm)| is_usable(vm));
        live.fold(0, |bits, (bit, _)| bits | 1 << bit)
    }

    /// The VM that makes changes on behalf of the fleet: the first live witness that the store
    /// answers, or the first live one if there is none. `reaches_store` says whether the store
    /// answers this VM.
    pub fn coordinator(&self, now: MonoTime, reaches_store: bool) -> Option<&VmName> {
        let mut live = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        let reaches =
            |vm: &VmName| self.members.get(vm).map_or(reaches_store, |member| member.reaches_store);
        live.clone().find(|vm| reaches(vm)).or_else(|| live.next())
    }

    /// The witnesses that can be homes of rates, before and after a change that this VM sees for the first time.
    pub(crate) fn take_home_change(&mut self, now: MonoTime) -> Option<[Vec<VmName>; 2]> {
        let live = self.witnesses.vms.iter().filter(|vm| self.can_be_home(now, vm));
        if live.clone().eq(&self.last_live) {
            return None;
        }
        let after: Vec<VmName> = live.cloned().collect();
        let before = std::mem::replace(&mut self.last_live, after.clone());
        Some([before, after])
    }

    /// The home of a workspace's rate: the live witness that grants and lends it.
    pub(crate) fn home_of(&mut self, now: MonoTime, workspace: &WorkspaceName) -> VmName {
        let live = self.witnesses.vms.iter().filter(|vm| self.can_be_home(now, vm));
        if !live.clone().eq(&self.homes_computed_for) {
            self.homes_computed_for = live.cloned().collect();
            self.homes.clear();
        }
        if let Some(home) = self.homes.get(workspace) {
            return home.clone();
        }
        let home = home_among(&self.homes_computed_for, workspace).unwrap_or(&self.me).clone();
        self.homes.insert(workspace.clone(), home.clone());
        home
    }

    /// Number of live VMs, including this one.
    pub fn live_count(&self, now: MonoTime) -> usize {
        1 + self.members.keys().filter(|vm| self.is_live(now, vm)).count()
    }

    /// Number of VMs in the fleet, including this one.
    pub fn vm_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether this VM knows no other VM.
    pub fn has_no_peers(&self) -> bool {
        self.members.is_empty()
    }

    /// All members other than this VM, by name.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.members.iter()
    }

    /// Whether a member is known to have started again since the run.
    pub(crate) fn has_restarted(&self, vm: &VmName, run: Incarnation) -> bool {
        self.members.get(vm).is_some_and(|member| member.incarnation > run)
    }

    /// The members that accept links, and so can hold connections for others, with their data centres.
    pub(crate) fn members_accepting_links(&self) -> impl Iterator<Item = (&VmName, &DcName)> {
        let members = self.members.iter().filter(|(_, member)| member.accepts_links);
        members.map(|(vm, member)| (vm, &member.dc))
    }

    /// The data centre of a member.
    pub(crate) fn dc_of(&self, vm: &VmName) -> Option<&DcName> {
        self.members.get(vm).map(|member| &member.dc)
    }

    /// The address at which a member receives peer messages.
    pub(crate) fn address_of(&self, vm: &VmName) -> Option<SocketAddr> {
        self.members.get(vm).map(|member| member.address)
    }

    /// The demand that a member reports for workspaces whose home is this VM.
    pub(crate) fn demands_of(&self, vm: &VmName) -> &[Demand] {
        self.members.get(vm).map(|member| member.demands.as_slice()).unwrap_or_default()
    }
}

impl Member {
    fn new(now: MonoTime, record: &MemberRecord) -> Member {
        Member {
            address: record.address,
            incarnation: record.incarnation,
            dc: record.dc.clone(),
            accepts_links: record.accepts_links,
            capacity: record.capacity,
            last_contact: None,
            earlier_contact: None,
            listed_at: now,
            last_heartbeat: None,
            reachable_since: now,
            witness_step: 0,
            live_witnesses: 0,
            spare: None,
            expected_since: None,
            list_version: 0,
            reports: Vec::new(),
            demands: Vec::new(),
            terms_total: 0,
            reaches_store: true,
            stopping: false,
        }
    }

    /// The member's demand for a workspace, in operations per second.
    pub(crate) fn demand_for(&self, workspace: &WorkspaceName) -> ByClass<f64> {
        let demand = self.demands.iter().find(|demand| demand.workspace == *workspace);
        demand.map_or([0.0; CLASSES], Demand::classes)
    }

    fn health(&self, now: MonoTime) -> Health {
        let heard_at = self.last_heartbeat.map_or(self.listed_at, |(_, at)| at);
        let silent = now.since(heard_at.max(self.expected_since.unwrap_or(heard_at)));
        match (silent < LIVENESS_TIMEOUT, self.stopping) {
            (true, true) => Health::Stopping,
            (true, false) if self.last_heartbeat.is_some() => {
                Health::Reachable(now.since(self.reachable_since))
            }
            _ => Health::Silent(silent),
        }
    }
}

/// The home of a workspace's rate, if these witnesses are live.
pub(crate) fn home_among<'a>(live: &'a [VmName], workspace: &WorkspaceName) -> Option<&'a VmName> {
    live.iter().max_by_key(|vm| stable_hash(&format!("{workspace}/{vm}")))
}
