//! Messages between VMs, and the lease that lets a VM speak for the primaries.
//!
//! A VM may use a primary only while a majority of the witnesses, a few members that all VMs agree on,
//! surely was in touch with it a short time ago. Whoever replaces a primary first has a majority promise
//! to tell of it, and then waits until leases given out before have lapsed; majorities share a witness,
//! so no VM goes on unknowingly. VMs speak regularly to the witnesses only, so that what a VM says does
//! not grow with the fleet.
//!
//! Messages carry the receiver's own last time stamp back, so that a VM dates what it hears on its own
//! clock, never later than it was said, however long a message was under way.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{prelude::*, request::stable_hash};
use serde::{Deserialize, Serialize};

use crate::{
    rates::Grant,
    witnesses::{GONE_AFTER, Health, Standing, WitnessSet},
};

/// How often a VM speaks to each member.
///
/// A third of the lease: one lost datagram and a round trip of 50 ms don't end it.
pub const HEARTBEAT_PERIOD: DurationUs = DurationUs::from_ms(300);
/// How long a VM may use primaries after it was in touch with a majority.
///
/// It is waited out when a primary has died with a VM, so it is part of the ten seconds in which a
/// change of primary has to be over.
pub const LEASE: DurationUs = DurationUs::from_ms(1_200);
/// How long after the last word a member counts as live.
pub const LIVE_FOR: DurationUs = DurationUs::from_ms(1_000);

/// What a VM knows of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceNote {
    /// The service.
    pub service: ServiceName,
    /// Newest term known.
    pub term: Term,
    /// Who leads it; left out mostly, since it rarely changes.
    pub primary: Option<DatabaseName>,
    /// A term that is being prepared, for which the sender has stopped using the primary.
    pub stopped_for: Option<StopNote>,
    /// For how long the primary has not answered the sender.
    pub failing: Option<DurationUs>,
    /// How long ago the primary last answered the sender.
    pub answered: Option<DurationUs>,
    /// A position and how long ago the statement was sent whose answer carried it.
    pub position: Option<AgedPosition>,
}

/// A term that is being prepared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopNote {
    /// The term.
    pub term: Term,
    /// The VM that prepares it.
    pub by: VmName,
    /// Which run of it.
    pub run: Incarnation,
}

/// A position that holds all that was confirmed at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPosition {
    /// The position.
    pub position: Position,
    /// How long ago the moment was when the message was sent.
    pub age: DurationUs,
}

/// A workspace's demand at the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Operations asked for per second, admitted or not.
    pub per_s: f32,
}

/// The sender's time stamp and what it last heard from the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// The sender's clock.
    pub sent: MonoTime,
    /// The receiver's own stamp that the sender heard last.
    pub echo: Option<Echo>,
}

/// A time stamp on its way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The stamp.
    pub stamp: MonoTime,
    /// How long the sender held it.
    pub held: DurationUs,
    /// Which run of the receiver gave it: the clock of another run says nothing here.
    pub run: Incarnation,
}

/// What a message shows by its stamps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Whether it is newer than what was heard before.
    pub is_newer: bool,
    /// A moment on the receiver's clock that it was surely not said before.
    pub said_after: Option<MonoTime>,
}

/// What a VM says regularly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time stamps.
    pub stamps: Stamps,
    /// Generation of the sender's configuration.
    pub generation: u64,
    /// Version of the sender's list of databases.
    pub registry: u64,
    /// What the sender knows of each service.
    pub services: Vec<ServiceNote>,
    /// What the sender is asked for by workspaces whose home the receiver is.
    pub demands: Vec<Demand>,
    /// What the receiver gets of rates whose home the sender is.
    pub grants: Vec<Grant>,
    /// Terms of all services, added up: who says less than another has missed a change.
    pub terms_total: u64,
    /// Version of the sender's list of VMs.
    pub members: u64,
    /// Step of the sender's set of witnesses.
    pub witness_step: u64,
    /// Whether the sender wants to hear of all services, not only news.
    pub wants_notes: bool,
    /// Whether the sender is ending.
    pub stopping: bool,
}

/// What a peer message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// What a VM says regularly.
    Heartbeat(Heartbeat),
    /// The sender was refused a connection for their number: the receiver gives up one it does not use.
    Short {
        /// The database.
        database: DatabaseName,
    },
    /// Asks the home of a workspace's rate for tokens.
    Borrow {
        /// The workspace.
        workspace: WorkspaceName,
        /// Operations that wait at the sender.
        tokens: u32,
    },
    /// Tokens that the receiver may spend.
    Lend {
        /// The workspace.
        workspace: WorkspaceName,
        /// How many.
        tokens: u32,
        /// Whether that is as many as were asked for.
        all: bool,
    },
    /// Asks to stop using a service's primary, since a new term is being prepared.
    Stop {
        /// The service.
        service: ServiceName,
        /// The new term.
        term: Term,
        /// Whether statements in progress are to end first.
        planned: bool,
    },
    /// The sender has stopped.
    Stopped {
        /// The service.
        service: ServiceName,
        /// The new term.
        term: Term,
    },
    /// The term that was prepared has begun, or will not.
    Decided {
        /// The service.
        service: ServiceName,
        /// The term.
        term: Term,
        /// Who leads it; `None` where it will not begin.
        primary: Option<DatabaseName>,
    },
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: PeerBody,
}

/// A VM as it entered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name; the same after a restart.
    pub vm: VmName,
    /// Where it hears peers.
    pub address: SocketAddr,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub dc: DcName,
}

/// All VMs, as the store lists them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Version of the list.
    pub version: u64,
    /// The entries of VMs.
    pub records: Vec<MemberRecord>,
    /// The witnesses; `None` before the first set was written.
    pub witnesses: Option<WitnessSet>,
}

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
    /// Version of its list of VMs.
    pub(crate) list_version: u64,
    pub(crate) notes: Vec<ServiceNote>,
    pub(crate) demands: Vec<Demand>,
    pub(crate) terms_total: u64,
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

    /// How all VMs and witnesses fare.
    pub(crate) fn standings(&self, now: MonoTime) -> Vec<Standing<'_>> {
        let others = self.members.iter().map(|(vm, member)| Standing {
            vm,
            dc: Some(&member.dc),
            health: member.health(now),
        });
        let in_touch = Health::InTouch(DurationUs(u64::MAX));
        let me = Standing { vm: &self.me, dc: Some(&self.dc), health: in_touch };
        let unlisted = self.witnesses.vms.iter().filter(|vm| **vm != self.me && !self.lists(vm));
        let left = unlisted.map(|vm| Standing { vm, dc: None, health: Health::Left });
        others.chain([me]).chain(left).collect()
    }

    /// Whether a majority of the witnesses is known to use this VM's set.
    pub(crate) fn is_set_in_use(&self) -> bool {
        let others = self.members.iter().filter(|(vm, _)| self.is_witness(vm));
        let using = others.filter(|(_, member)| member.witness_step >= self.witnesses.step).count();
        using + usize::from(self.am_witness()) >= self.witnesses.majority()
    }

    /// A VM of the list that has been silent for so long that it counts as gone.
    pub(crate) fn gone(&self, now: MonoTime) -> Option<(&VmName, Incarnation)> {
        let others = self.members.iter().filter(|(vm, _)| !self.is_witness(vm));
        others
            .filter(|(_, m)| matches!(m.health(now), Health::Silent(span) if span >= GONE_AFTER))
            .map(|(vm, member)| (vm, member.incarnation))
            .next()
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
        let others = self.members.iter().filter(|(vm, _)| self.is_witness(vm));
        others
            .filter(|(vm, _)| self.is_live(now, vm))
            .min_by_key(|(_, member)| distance(&member.dc))
            .map(|(vm, _)| vm)
    }

    /// Whether this VM gives leases.
    pub(crate) fn am_witness(&self) -> bool {
        self.is_witness(&self.me)
    }

    /// Takes a heartbeat's stamps and the step of the sender's set of witnesses; `None` where the sender is no member, or an earlier run of one.
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
        // A witness that uses a later set may have promised something under that.
        let others = self.members.iter().filter(|(vm, member)| {
            self.is_witness(vm) && member.witness_step <= self.witnesses.step
        });
        let mut proven: Vec<MonoTime> = others.filter_map(|(_, member)| member.proven).collect();
        if self.am_witness() {
            proven.push(now);
        }
        proven.sort_unstable_by(|a, b| b.cmp(a));
        proven.get(self.witnesses.majority() - 1).map(|&at| at + LEASE)
    }

    /// The most that a witness that was in touch lately says of the terms of all services.
    pub(crate) fn terms_total(&self, now: MonoTime) -> u64 {
        let recent = self.members.iter().filter(|(vm, member)| {
            self.is_witness(vm) && member.proven.is_some_and(|at| now.since(at) < LEASE)
        });
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

    /// Whether a member spoke lately.
    pub(crate) fn is_live(&self, now: MonoTime, vm: &VmName) -> bool {
        *vm == self.me
            || self.members.get(vm).is_some_and(|member| {
                !member.stopping && member.proven.is_some_and(|at| now.since(at) < LIVE_FOR)
            })
    }

    /// The live witness that comes first: it carries out what only one may do.
    pub fn first_live(&self, now: MonoTime) -> Option<&VmName> {
        self.witnesses.vms.iter().find(|vm| self.is_live(now, vm))
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
            list_version: 0,
            notes: Vec::new(),
            demands: Vec::new(),
            terms_total: 0,
            stopping: false,
        }
    }

    fn health(&self, now: MonoTime) -> Health {
        let silent = now.since(self.heard.map_or(self.listed_at, |(_, at)| at));
        match (silent < LIVE_FOR, self.stopping) {
            (true, true) => Health::Stopping,
            (true, false) if self.heard.is_some() => {
                Health::InTouch(now.since(self.in_touch_since))
            }
            _ => Health::Silent(silent),
        }
    }
}
