//! The VMs and what was heard of them: who is live, who gives leases, and how long this VM's lasts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{prelude::*, request::stable_hash};

use crate::{
    peers::{
        Demand, Echo, Heard, Heartbeat, LEASE, LIVE_FOR, MemberList, MemberRecord, NEAR_SILENT,
        ServiceNote, Stamps,
    },
    witnesses::{GONE_AFTER, Health, IN_TOUCH_FOR, Standing, WITNESSES_MAX, WitnessSet},
};

/// A member and what was heard of it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) dc: DcName,
    /// The latest moment on our clock at which it surely spoke.
    pub(crate) proven: Option<MonoTime>,
    /// When it was entered in the list here.
    listed_at: MonoTime,
    /// Its last stamp and when that came.
    heard: Option<(MonoTime, MonoTime)>,
    /// Since when it was never silent for long.
    in_touch_since: MonoTime,
    /// Step of its set of witnesses.
    witness_step: u64,
    /// Witnesses that are live for it, as in [`crate::peers::Heartbeat::live_witnesses`].
    live_witnesses: u16,
    /// A VM in touch with it that could become a witness.
    spare: Option<VmName>,
    /// Since when it should speak to this VM.
    expected_since: Option<MonoTime>,
    /// Version of its list of VMs.
    pub(crate) list_version: u64,
    pub(crate) notes: Vec<ServiceNote>,
    pub(crate) demands: Vec<Demand>,
    pub(crate) terms_total: u64,
    /// Whether the store answers it.
    pub(crate) reaches_store: bool,
    pub(crate) stopping: bool,
}

/// The members and what was heard of them.
#[derive(Debug)]
pub struct Roster {
    me: VmName,
    run: Incarnation,
    dc: DcName,
    members: BTreeMap<VmName, Member>,
    /// Members that give leases, this VM possibly among them.
    witnesses: WitnessSet,
    /// Until when a witness of the own data centre surely has a lease.
    borrowed_until: Option<MonoTime>,
    /// Whether any member is expected to speak to this VM.
    expects_any: bool,
    /// Whether the list names this VM.
    is_listed: bool,
    /// When the members last changed; `None` before they are known.
    changed_at: Option<MonoTime>,
    /// Version of the list that the members are from.
    version: u64,
    /// Homes of workspaces, for the members that are live.
    homes: FxHashMap<WorkspaceName, VmName>,
    homes_live: Vec<VmName>,
}

impl Roster {
    /// Only this VM is known.
    pub fn new(me: VmName, run: Incarnation, dc: DcName) -> Roster {
        Roster {
            me,
            run,
            dc,
            members: BTreeMap::new(),
            witnesses: WitnessSet::default(),
            borrowed_until: None,
            expects_any: false,
            is_listed: false,
            changed_at: None,
            version: 0,
            homes: FxHashMap::default(),
            homes_live: Vec::new(),
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
        if self.changed_at.is_none() || !before.iter().eq(self.members.keys()) {
            self.changed_at = Some(now);
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

    /// For how long the list has named the same VMs; `None` before it is known.
    pub(crate) fn unchanged_for(&self, now: MonoTime) -> Option<DurationUs> {
        self.changed_at.map(|at| now.since(at))
    }

    /// Whether so many witnesses have ended that the rest is no majority: nobody can get a lease.
    pub(crate) fn is_set_broken(&self) -> bool {
        let listed = self.witnesses.vms.iter().filter(|vm| self.lists(vm)).count();
        listed < self.witnesses.majority()
    }

    fn lists(&self, vm: &VmName) -> bool {
        if *vm == self.me { self.is_listed } else { self.members.contains_key(vm) }
    }

    /// A set chosen anew from the list.
    pub(crate) fn choose_witnesses(&self) -> WitnessSet {
        let others = self.members.iter().map(|(vm, member)| (vm, &member.dc));
        let me = self.is_listed.then_some((&self.me, &self.dc));
        self.witnesses.choose_next(others.chain(me))
    }

    /// How many VMs of the list come before this one.
    pub(crate) fn rank(&self) -> usize {
        self.members.keys().filter(|vm| **vm < self.me).count()
    }

    /// How VMs and witnesses fare, as far as this VM can tell: those that don't speak to it are left out,
    /// unless a witness names them as in touch.
    pub(crate) fn standings(&self, now: MonoTime) -> Vec<Standing<'_>> {
        let heard = self.members.iter().filter(|(_, member)| member.expected_since.is_some());
        let heard = heard.map(|(vm, member)| Standing {
            vm,
            dc: Some(&member.dc),
            health: member.health(now),
        });
        let in_touch = Health::InTouch(DurationUs(u64::MAX));
        let named = self
            .other_witnesses()
            .filter(|(vm, _)| self.is_proven(now, vm))
            .filter_map(|(_, witness)| self.members.get_key_value(witness.spare.as_ref()?))
            .filter(|(_, member)| member.expected_since.is_none())
            .map(|(vm, member)| Standing { vm, dc: Some(&member.dc), health: in_touch });
        let me = Standing { vm: &self.me, dc: Some(&self.dc), health: in_touch };
        let unlisted = self.witnesses.vms.iter().filter(|vm| **vm != self.me && !self.lists(vm));
        let left = unlisted.map(|vm| Standing { vm, dc: None, health: Health::Left });
        heard.chain(named).chain([me]).chain(left).collect()
    }

    /// Notes which members should speak to this VM: as a witness, it hears the witnesses, the VMs of its
    /// own data centre, and those whose data centre has no live witness.
    pub(crate) fn note_expected(&mut self, now: MonoTime) {
        if !self.am_witness() {
            if std::mem::take(&mut self.expects_any) {
                self.members.values_mut().for_each(|member| member.expected_since = None);
            }
            return;
        }
        self.expects_any = true;
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
        let own = self.am_witness().then(|| self.dc.clone());
        live.map(|(_, member)| member.dc.clone()).chain(own).collect()
    }

    /// A VM of the own data centre that is in touch and could become a witness, where there are too few.
    pub(crate) fn spare(&self, now: MonoTime) -> Option<&VmName> {
        if self.witnesses.vms.len() >= WITNESSES_MAX {
            return None;
        }
        let others = self.members.iter().filter(|(vm, _)| !self.is_witness(vm));
        others
            .filter(|(_, member)| member.dc == self.dc)
            .find(|(_, m)| matches!(m.health(now), Health::InTouch(span) if span >= IN_TOUCH_FOR))
            .map(|(vm, _)| vm)
    }

    /// Whether a majority of the witnesses is known to use this VM's set.
    pub(crate) fn is_set_in_use(&self) -> bool {
        let others = self.other_witnesses();
        let using = others.filter(|(_, member)| member.witness_step >= self.witnesses.step).count();
        using + usize::from(self.am_witness()) >= self.witnesses.majority()
    }

    /// A VM of the list that has been silent for so long that it counts as gone, if it is for this VM to
    /// take it out: the first live witness of its data centre does, or the first of all.
    pub(crate) fn gone(&self, now: MonoTime) -> Option<(&VmName, Incarnation)> {
        let silent = self.members.iter().filter(|(vm, member)| {
            let is_silent =
                matches!(member.health(now), Health::Silent(span) if span >= GONE_AFTER);
            is_silent && member.expected_since.is_some() && !self.is_witness(vm)
        });
        silent
            .filter(|(_, member)| self.first_live_in(now, &member.dc) == Some(&self.me))
            .map(|(vm, member)| (vm, member.incarnation))
            .next()
    }

    fn first_live_in(&self, now: MonoTime, dc: &DcName) -> Option<&VmName> {
        let dc_of = |vm: &VmName| match self.members.get(vm) {
            Some(member) => Some(&member.dc),
            None => (*vm == self.me).then_some(&self.dc),
        };
        let mut live = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        let near = live.clone().find(|vm| dc_of(vm) == Some(dc));
        near.or_else(|| live.next())
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
            .filter(|(vm, _)| self.is_proven(now, vm))
            .min_by_key(|(_, member)| distance(&member.dc))
            .map(|(vm, _)| vm)
    }

    /// Witnesses that this VM speaks to regularly: those of its data centre, or all where it is one itself
    /// or none of those answers.
    pub(crate) fn confidants(&self, now: MonoTime) -> Vec<VmName> {
        let others = self.other_witnesses();
        let near = others.clone().filter(|(_, member)| {
            let answers = member.proven.is_some_and(|at| now.since(at) < NEAR_SILENT);
            member.dc == self.dc && answers && !member.stopping
        });
        let near: Vec<VmName> = near.map(|(vm, _)| vm.clone()).collect();
        if near.is_empty() || self.am_witness() {
            return others.map(|(vm, _)| vm.clone()).collect();
        }
        near
    }

    /// Whether this VM gives leases.
    pub(crate) fn am_witness(&self) -> bool {
        self.is_witness(&self.me)
    }

    /// Notes what a witness says besides its stamps.
    pub fn note_witness(
        &mut self,
        from: &VmName,
        said_after: Option<MonoTime>,
        heartbeat: &Heartbeat,
    ) {
        let is_witness = self.is_witness(from);
        let Some(member) = self.members.get_mut(from) else { return };
        member.live_witnesses = heartbeat.live_witnesses;
        member.spare = heartbeat.spare.clone();
        if let (true, Some(said_after), Some(left)) = (is_witness, said_after, heartbeat.lease_left)
        {
            self.borrowed_until = self.borrowed_until.max(Some(said_after + left));
        }
    }

    /// Takes a heartbeat's stamps and the step of the sender's set of witnesses; `None` where the sender is
    /// no member, or an earlier run of one.
    pub fn hear(
        &mut self,
        now: MonoTime,
        from: &VmName,
        incarnation: Incarnation,
        stamps: Stamps,
        witness_step: u64,
    ) -> Option<Heard> {
        let run = self.run;
        let member = self.members.get_mut(from)?;
        let silent = member.heard.is_none_or(|(_, at)| now.since(at) >= LIVE_FOR);
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
            member.in_touch_since = now;
        }
        let is_newer = member.heard.is_none_or(|(stamp, _)| stamps.sent > stamp);
        if is_newer {
            member.heard = Some((stamps.sent, now));
            member.witness_step = witness_step;
        }
        let echo = stamps.echo.filter(|echo| echo.run == run);
        let said_after = echo.map(|echo| echo.stamp + echo.held).filter(|moment| *moment <= now);
        member.proven = member.proven.max(said_after);
        Some(Heard { is_newer, said_after })
    }

    /// The stamps for a message to a member.
    pub(crate) fn stamps_for(&self, now: MonoTime, vm: &VmName) -> Stamps {
        let member = self.members.get(vm);
        let echo = member.and_then(|member| {
            let (stamp, at) = member.heard?;
            Some(Echo { stamp, held: now.since(at), run: member.incarnation })
        });
        Stamps { sent: now, echo }
    }

    /// Until when this VM may use primaries, as far as it knows of no change.
    pub fn lease_until(&self, now: MonoTime) -> Option<MonoTime> {
        self.own_lease_until(now).max(self.borrowed_until)
    }

    /// Until when a majority of the witnesses gives this VM a lease.
    pub(crate) fn own_lease_until(&self, now: MonoTime) -> Option<MonoTime> {
        // A witness that uses a later set may have promised something under that.
        let others =
            self.other_witnesses().filter(|(_, member)| member.witness_step <= self.witnesses.step);
        let mut proven: Vec<MonoTime> = others.filter_map(|(_, member)| member.proven).collect();
        if self.am_witness() {
            proven.push(now);
        }
        proven.sort_unstable_by(|a, b| b.cmp(a));
        proven.get(self.witnesses.majority() - 1).map(|&at| at + LEASE)
    }

    /// The most that a witness that was in touch lately says of the terms of all services.
    pub(crate) fn terms_total(&self, now: MonoTime) -> u64 {
        let recent = self
            .other_witnesses()
            .filter(|(_, member)| member.proven.is_some_and(|at| now.since(at) < LEASE));
        recent.map(|(_, member)| member.terms_total).max().unwrap_or(0)
    }

    /// Whether VMs hold a majority of the witnesses.
    pub fn is_majority(&self, vms: &BTreeSet<VmName>) -> bool {
        let witnesses = vms.iter().filter(|vm| self.is_witness(vm)).count();
        self.witnesses.step > 0 && witnesses >= self.witnesses.majority()
    }

    /// Whether VMs are all there are, as far as anybody who spoke lately knows.
    pub(crate) fn are_all(&self, vms: &BTreeSet<VmName>) -> bool {
        let knows_more = self.members.values().any(|member| member.list_version > self.version);
        !knows_more && vms.contains(&self.me) && self.members.keys().all(|vm| vms.contains(vm))
    }

    /// Whether a member spoke lately, to this VM or to a witness of its data centre.
    pub(crate) fn is_live(&self, now: MonoTime, vm: &VmName) -> bool {
        *vm == self.me || self.is_proven(now, vm) || self.is_live_by_hearsay(now, vm)
    }

    /// Whether a member spoke to this VM lately.
    fn is_proven(&self, now: MonoTime, vm: &VmName) -> bool {
        self.members.get(vm).is_some_and(|member| {
            !member.stopping && member.proven.is_some_and(|at| now.since(at) < LIVE_FOR)
        })
    }

    /// Whether a witness is live for one that this VM hears. Witnesses hear each other themselves.
    fn is_live_by_hearsay(&self, now: MonoTime, vm: &VmName) -> bool {
        if self.am_witness() {
            return false;
        }
        let Some(bit) = self.witnesses.vms.iter().position(|witness| witness == vm) else {
            return false;
        };
        self.other_witnesses().any(|(from, member)| {
            member.witness_step == self.witnesses.step
                && member.live_witnesses & (1 << bit) != 0
                && self.is_proven(now, from)
        })
    }

    /// Witnesses that are live for this VM, as in [`Heartbeat::live_witnesses`].
    pub(crate) fn live_witnesses(&self, now: MonoTime) -> u16 {
        let live = self.witnesses.vms.iter().enumerate().filter(|(_, vm)| self.is_live(now, vm));
        live.fold(0, |bits, (bit, _)| bits | 1 << bit)
    }

    /// The live witness that comes first among those that the store answers: it carries out what only
    /// one may do. `reaches_store` says whether it answers this VM.
    pub fn first_live(&self, now: MonoTime, reaches_store: bool) -> Option<&VmName> {
        let mut live = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        let reaches = |vm: &&&VmName| match self.members.get(**vm) {
            Some(member) => member.reaches_store,
            None => reaches_store,
        };
        live.clone().find(|vm| reaches(&vm)).or_else(|| live.next())
    }

    /// The live witness that hands out a workspace's rate.
    pub(crate) fn home_of(&mut self, now: MonoTime, workspace: &WorkspaceName) -> VmName {
        let witnesses = self.witnesses.vms.iter().filter(|vm| self.is_live(now, vm));
        let live: Vec<VmName> = witnesses.cloned().collect();
        if live != self.homes_live {
            self.homes.clear();
            self.homes_live = live;
        }
        if let Some(home) = self.homes.get(workspace) {
            return home.clone();
        }
        let weight = |vm: &&VmName| stable_hash(&format!("{workspace}/{vm}"));
        let home = self.homes_live.iter().max_by_key(weight).unwrap_or(&self.me).clone();
        self.homes.insert(workspace.clone(), home.clone());
        home
    }

    /// How many VMs are live, this one among them.
    pub fn live_count(&self, now: MonoTime) -> usize {
        1 + self.members.keys().filter(|vm| self.is_live(now, vm)).count()
    }

    /// Other members in a data centre.
    pub(crate) fn others_in(&self, dc: &DcName) -> usize {
        self.members.values().filter(|member| member.dc == *dc).count()
    }

    /// How many VMs there are.
    pub fn len(&self) -> usize {
        self.members.len() + 1
    }

    /// Whether no other VM is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.members.iter()
    }

    pub(crate) fn member_mut(&mut self, vm: &VmName) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }
}

impl Member {
    fn new(now: MonoTime, record: &MemberRecord) -> Member {
        Member {
            address: record.address,
            incarnation: record.incarnation,
            dc: record.dc.clone(),
            proven: None,
            listed_at: now,
            heard: None,
            in_touch_since: now,
            witness_step: 0,
            live_witnesses: 0,
            spare: None,
            expected_since: None,
            list_version: 0,
            notes: Vec::new(),
            demands: Vec::new(),
            terms_total: 0,
            reaches_store: true,
            stopping: false,
        }
    }

    fn health(&self, now: MonoTime) -> Health {
        let heard_at = self.heard.map_or(self.listed_at, |(_, at)| at);
        let silent = now.since(heard_at.max(self.expected_since.unwrap_or(heard_at)));
        match (silent < LIVE_FOR, self.stopping) {
            (true, true) => Health::Stopping,
            (true, false) if self.heard.is_some() => {
                Health::InTouch(now.since(self.in_touch_since))
            }
            _ => Health::Silent(silent),
        }
    }
}
