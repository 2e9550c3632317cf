//! The VMs and what was heard of them: who is live, who gives leases, and how long this VM's lasts.

mod health;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{prelude::*, request::stable_hash};

use crate::{
    peers::{
        Demand, Echo, Heartbeat, HeartbeatTiming, LEASE_DURATION, LIVENESS_TIMEOUT,
        LOCAL_WITNESS_TIMEOUT, MemberList, MemberRecord, ServiceReport, Timestamps,
    },
    witnesses::{Health, WitnessSet},
};

/// A member and what was heard of it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    incarnation: Incarnation,
    dc: DcName,
    /// The latest moment on our clock at which it surely spoke.
    last_contact: Option<MonoTime>,
    /// When it was entered in the list here.
    listed_at: MonoTime,
    /// Its last stamp and when that came.
    last_heartbeat: Option<(MonoTime, MonoTime)>,
    /// Since when it was never silent for long.
    reachable_since: MonoTime,
    /// Step of its set of witnesses.
    witness_step: u64,
    /// Witnesses that are live for it, as in [`crate::peers::Heartbeat::live_witnesses`].
    live_witnesses: u16,
    /// A VM in touch with it that could become a witness.
    spare: Option<VmName>,
    /// Since when it should speak to this VM.
    expected_since: Option<MonoTime>,
    /// Version of its list of VMs.
    list_version: u64,
    pub(crate) reports: Vec<ServiceReport>,
    demands: Vec<Demand>,
    terms_total: u64,
    /// Whether the store answers it.
    reaches_store: bool,
    stopping: bool,
}

/// The members and what was heard of them.
#[derive(Debug)]
pub struct FleetView {
    me: VmName,
    incarnation: Incarnation,
    dc: DcName,
    members: BTreeMap<VmName, Member>,
    /// Members that give leases, this VM possibly among them.
    witnesses: WitnessSet,
    /// Until when a witness of the own data centre surely has a lease.
    delegated_lease_until: Option<MonoTime>,
    /// Whether any member is expected to speak to this VM.
    expects_heartbeats: bool,
    /// Whether the list names this VM.
    is_listed: bool,
    /// When the members last changed; `None` before they are known.
    members_changed_at: Option<MonoTime>,
    /// Version of the list that the members are from.
    version: u64,
    /// Homes of workspaces, for the members that are live.
    homes: FxHashMap<WorkspaceName, VmName>,
    homes_computed_for: Vec<VmName>,
}

impl FleetView {
    /// Only this VM is known.
    pub fn new(me: VmName, incarnation: Incarnation, dc: DcName) -> FleetView {
        FleetView {
            me,
            incarnation,
            dc,
            members: BTreeMap::new(),
            witnesses: WitnessSet::default(),
            delegated_lease_until: None,
            expects_heartbeats: false,
            is_listed: false,
            members_changed_at: None,
            version: 0,
            homes: FxHashMap::default(),
            homes_computed_for: Vec::new(),
        }
    }

    /// Version of the list that the members are from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes the list of all VMs. What was heard of those that stay is kept.
    pub fn set_members(&mut self, now: MonoTime, list: &MemberList) {
        if list.version < self.version {
            return;
        }
        self.version = list.version;
        let before: Vec<VmName> = self.members.keys().cloned().collect();
        self.members.retain(|vm, _| list.records.iter().any(|record| record.vm == *vm));
        self.is_listed = list.records.iter().any(|record| record.vm == self.me);
        for record in list.records.iter().filter(|record| record.vm != self.me) {
            match self.members.get_mut(&record.vm) {
                Some(member) if member.incarnation >= record.incarnation => {}
                _ => {
                    self.members.insert(record.vm.clone(), Member::new(now, record));
                }
            }
        }
        if self.members_changed_at.is_none() || !before.iter().eq(self.members.keys()) {
            self.members_changed_at = Some(now);
        }
        let later = list.witnesses.as_ref().filter(|set| set.step > self.witnesses.step);
        if let Some(witnesses) = later {
            self.witnesses = witnesses.clone();
        }
    }

    /// The set of witnesses in use.
    pub fn witnesses(&self) -> &WitnessSet {
        &self.witnesses
    }

    /// Whether the list names this VM.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The witnesses but for this VM.
    fn other_witnesses(&self) -> impl Iterator<Item = (&VmName, &Member)> + Clone {
        self.witnesses.vms.iter().filter_map(|vm| self.members.get_key_value(vm))
    }

    /// Whether a member gives leases.
    pub fn is_witness(&self, vm: &VmName) -> bool {
        self.witnesses.vms.contains(vm)
    }

    /// The live witness that is nearest: VMs tell each other all they know by way of it.
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

    /// Witnesses that this VM speaks to regularly: those of its data centre, or all where it is one itself
    /// or none of those answers.
    pub(crate) fn heartbeat_targets(&self, now: MonoTime) -> Vec<VmName> {
        let others = self.other_witnesses();
        let near = others.clone().filter(|(_, member)| {
            let answers =
                member.last_contact.is_some_and(|at| now.since(at) < LOCAL_WITNESS_TIMEOUT);
            member.dc == self.dc && answers && !member.stopping
        });
        let near: Vec<VmName> = near.map(|(vm, _)| vm.clone()).collect();
        if near.is_empty() || self.self_is_witness() {
            return others.map(|(vm, _)| vm.clone()).collect();
        }
        near
    }

    /// Whether this VM gives leases.
    pub(crate) fn self_is_witness(&self) -> bool {
        self.is_witness(&self.me)
    }

    /// Notes what a member says besides its stamps; `sent_after` as [`FleetView::record_timestamps`] gave it.
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
            self.delegated_lease_until = self.delegated_lease_until.max(Some(sent_after + left));
        }
    }

    /// Takes a heartbeat's stamps and the step of the sender's set of witnesses; `None` where the sender is
    /// no member, or an earlier run of one.
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
        // The clock that runs are numbered by may have been set back meanwhile.
        if incarnation < member.incarnation && !silent {
            return None;
        }
        if incarnation != member.incarnation {
            let (address, dc) = (member.address, member.dc.clone());
            let record = MemberRecord { vm: from.clone(), address, incarnation, dc };
            *member = Member::new(now, &record);
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

    /// The stamps for a message to a member.
    pub(crate) fn timestamps_for(&self, now: MonoTime, vm: &VmName) -> Timestamps {
        let member = self.members.get(vm);
        let echo = member.and_then(|member| {
            let (stamp, at) = member.last_heartbeat?;
            Some(Echo { stamp, held: now.since(at), run: member.incarnation })
        });
        Timestamps { sent: now, echo }
    }

    /// Until when this VM may use primaries, as far as it knows of no change.
    pub fn lease_until(&self, now: MonoTime) -> Option<MonoTime> {
        self.own_lease_until(now).max(self.delegated_lease_until)
    }

    /// Until when a majority of the witnesses gives this VM a lease.
    pub(crate) fn own_lease_until(&self, now: MonoTime) -> Option<MonoTime> {
        // A witness that uses a later set may have promised something under that.
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

    /// The most that a witness that was in touch lately says of the terms of all services.
    pub(crate) fn witness_terms_total(&self, now: MonoTime) -> u64 {
        let recent = self.other_witnesses().filter(|(_, member)| {
            member.last_contact.is_some_and(|at| now.since(at) < LEASE_DURATION)
        });
        recent.map(|(_, member)| member.terms_total).max().unwrap_or(0)
    }

    /// Whether VMs hold a majority of the witnesses.
    pub fn is_witness_majority(&self, vms: &BTreeSet<VmName>) -> bool {
        let witnesses = vms.iter().filter(|vm| self.is_witness(vm)).count();
        self.witnesses.step > 0 && witnesses >= self.witnesses.majority()
    }

    /// Whether VMs are all there are, as far as anybody who spoke lately knows.
    pub(crate) fn includes_all_members(&self, vms: &BTreeSet<VmName>) -> bool {
        let knows_more = self.members.values().any(|member| member.list_version > self.version);
        !knows_more && vms.contains(&self.me) && self.members.keys().all(|vm| vms.contains(vm))
    }

    /// Whether a member spoke lately, to this VM or to a witness of its data centre.
    pub(crate) fn is_live(&self, now: MonoTime, vm: &VmName) -> bool {
        *vm == self.me || self.is_in_contact(now, vm) || self.is_reported_live(now, vm)
    }

    /// Whether a member spoke to this VM lately.
    fn is_in_contact(&self, now: MonoTime, vm: &VmName) -> bool {
        self.members.get(vm).is_some_and(|member| {
            !member.stopping
                && member.last_contact.is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
        })
    }

    /// Whether a witness is live for one that this VM hears. Witnesses hear each other themselves.
    fn is_reported_live(&self, now: MonoTime, vm: &VmName) -> bool {
        if self.self_is_witness() {
            return false;
        }
        let Some(bit) = self.witnesses.vms.iter().position(|witness| witness == vm) else {
            return false;
        };
        self.other_witnesses().any(|(from, member)| {
            member.witness_step == self.witnesses.step
                && member.live_witnesses & (1 << bit) != 0
                && self.is_in_contact(now, from)
        })
    }

    /// Witnesses that are live for this VM, as in [`Heartbeat::live_witnesses`].
    pub(crate) fn live_witnesses(&self, now: MonoTime) -> u16 {
        let live = self.witnesses.vms.iter().enumerate().filter(|(_, vm)| self.is_live(now, vm));
        live.fold(0, |bits, (bit, _)| bits | 1 << bit)
    }

    /// The live witness that comes first among those that the store answers: it carries out what only
    /// one may do. `reaches_store` says whether it answers this VM.
    pub fn coordinator(&self, now: MonoTime, reaches_store: bool) -> Option<&VmName> {
        let mut live = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        let reaches =
            |vm: &VmName| self.members.get(vm).map_or(reaches_store, |member| member.reaches_store);
        live.clone().find(|vm| reaches(vm)).or_else(|| live.next())
    }

    /// The live witness that hands out a workspace's rate.
    pub(crate) fn home_of(&mut self, now: MonoTime, workspace: &WorkspaceName) -> VmName {
        let live = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        if !live.clone().eq(&self.homes_computed_for) {
            self.homes_computed_for = live.cloned().collect();
            self.homes.clear();
        }
        if let Some(home) = self.homes.get(workspace) {
            return home.clone();
        }
        let weight = |vm: &&VmName| stable_hash(&format!("{workspace}/{vm}"));
        let home = self.homes_computed_for.iter().max_by_key(weight).unwrap_or(&self.me).clone();
        self.homes.insert(workspace.clone(), home.clone());
        home
    }

    /// How many VMs are live, this one among them.
    pub fn live_count(&self, now: MonoTime) -> usize {
        1 + self.members.keys().filter(|vm| self.is_live(now, vm)).count()
    }

    /// Other members in a data centre.
    pub(crate) fn other_members_in(&self, dc: &DcName) -> usize {
        self.members.values().filter(|member| member.dc == *dc).count()
    }

    /// How many VMs there are.
    pub fn vm_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether no other VM is known.
    pub fn has_no_peers(&self) -> bool {
        self.members.is_empty()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.members.iter()
    }

    /// Where a member hears peers.
    pub(crate) fn address_of(&self, vm: &VmName) -> Option<SocketAddr> {
        self.members.get(vm).map(|member| member.address)
    }

    /// What a member is asked for by workspaces whose home this VM is.
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
            last_contact: None,
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

    /// What it is asked for by a workspace, in operations per second.
    pub(crate) fn demand_for(&self, workspace: &WorkspaceName) -> f64 {
        let demand = self.demands.iter().find(|demand| demand.workspace == *workspace);
        demand.map_or(0.0, |demand| f64::from(demand.per_s))
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
