//! Agrees with the other VMs of the data centre on who owns which portion of each workspace's rate and
//! how many connections to each database.
//!
//! The agreement is one object of the platform, which VMs change by conditional updates only. A VM
//! instance owns what the object assigns to it until it gives that up, or has been missing from the
//! platform's list for [`crate::absence::RECLAIM_AFTER`]. It stops using what it gives up before it
//! sends the update, and keeps it out of use until the object shows the change: however late the
//! update takes effect, no two VMs use the same portion.

use std::collections::BTreeMap;

use board::{Board, VmRecords};
use model::prelude::*;
use proto::platform::{UpdateResult, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    absence::AbsenceTracker,
    events::{Allocation, ObjectKind, PortionEffect, PortionEvent},
    lenders::HomeRanking,
    objects::{DcObject, SharesObject, VmInstance},
    rebalance::{PortionTransfer, Rebalancer},
    reconcile::{reconciled, surplus_connections},
    workspace_limiter::LOAN_OUTSTANDING_MAX,
};

/// Time from the reduction of a portion in memory to its reduction in the object: by then no token that
/// was lent from the portion can be spent any more.
pub const REDUCTION_DELAY: DurationUs = DurationUs(LOAN_OUTSTANDING_MAX.0 * 2);

/// Least time between two reads of the data centre's object.
const READ_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// Time from a failed or refused update to the next one.
const RETRY_DELAY: DurationUs = DurationUs::from_ms(300);
/// Delay of reconciling, times the VM's position in the list, so that VMs don't all send the same
/// update.
const RECONCILE_DELAY_PER_POSITION: DurationUs = DurationUs::from_ms(3_000);
/// Positions that count for this delay; VMs further back in the list wait no longer.
const DELAYED_POSITIONS_MAX: u64 = 10;

/// What this VM is giving up: it no longer uses it, but the object still assigns it to this VM.
#[derive(Debug)]
struct PendingReduction {
    /// When this VM stopped using it.
    since: MonoTime,
    /// What this VM keeps of the named workspaces and databases.
    ceilings: Allocation,
    /// Parts that go to certain VMs; all others become free.
    transfers: Vec<PortionTransfer>,
}

/// Decides, for one VM instance, which portions and connections it uses, gives up and assigns to
/// others.
#[derive(Debug)]
pub struct PortionController {
    me: VmInstance,
    /// Newest known version of the data centre's object.
    known: Option<(Version, DcObject)>,
    /// The object `shares`, read when a workspace has no parts yet.
    shares: Option<(Version, SharesObject)>,
    /// Unanswered update of the data centre's object: the expected version and the new value.
    pending_update: Option<(Version, DcObject)>,
    reduction: Option<PendingReduction>,
    allocation: Allocation,
    pending_reads: FxHashSet<ObjectKind>,
    /// Whether an update of `shares` has not been answered yet.
    shares_update_sent: bool,
    /// Earliest time of the next update of the data centre's object.
    next_update_at: MonoTime,
    last_read_at: Option<MonoTime>,
    /// Whether to read the data centre's object again, since a read or an update failed.
    read_due: bool,
    absences: AbsenceTracker,
    rebalancer: Rebalancer,
    /// Number of open connections, by database, as of the last tick.
    open_connections: FxHashMap<DatabaseName, u32>,
    /// Since when the object has had to be reconciled.
    unreconciled_since: Option<MonoTime>,
    /// Whether something has changed since the last [`Self::plan_reduction`].
    plan_due: bool,
    /// Whether something has changed since the last [`Self::reconcile`].
    reconcile_due: bool,
    seen_generation: Generation,
    seen_members: VmRecords,
    /// Whether this VM is about to stop and gives up all that it owns.
    drained: bool,
}

impl PortionController {
    /// A controller for the VM instance `me`, which owns nothing yet.
    pub fn new(me: VmInstance) -> PortionController {
        PortionController {
            me,
            known: None,
            shares: None,
            pending_update: None,
            reduction: None,
            allocation: Allocation::default(),
            pending_reads: FxHashSet::default(),
            shares_update_sent: false,
            next_update_at: MonoTime::default(),
            last_read_at: None,
            read_due: false,
            absences: AbsenceTracker::default(),
            rebalancer: Rebalancer::default(),
            open_connections: FxHashMap::default(),
            unreconciled_since: None,
            plan_due: true,
            reconcile_due: true,
            seen_generation: Generation(0),
            seen_members: VmRecords::default(),
            drained: false,
        }
    }

    /// The VM instance that the controller acts for.
    pub fn me(&self) -> &VmInstance {
        &self.me
    }

    /// What this VM may use now.
    pub fn allocation(&self) -> &Allocation {
        &self.allocation
    }

    /// Whether the data centre's object assigns anything to this instance.
    pub fn owns_anything(&self) -> bool {
        self.known.as_ref().is_some_and(|(_, object)| object.holding(&self.me).is_some())
    }

    /// The newest known version of the data centre's object.
    pub fn object(&self) -> Option<(Version, &DcObject)> {
        self.known.as_ref().map(|(version, object)| (*version, object))
    }

    /// Handles an event and returns what the caller has to do, in order.
    pub fn handle(
        &mut self,
        board: &Board,
        event: PortionEvent,
        now: MonoTime,
    ) -> Vec<PortionEffect> {
        let version = self.known.as_ref().map(|(version, _)| *version);
        let mut effects = Vec::new();
        match event {
            PortionEvent::Tick { open_connections, lent } => {
                self.open_connections = open_connections;
                self.rebalancer.record_lent(lent);
                self.tick(board, now, &mut effects);
            }
            PortionEvent::ListRead { instances, read_at } => self.handle_list(instances, read_at),
            PortionEvent::Drained => self.drained = true,
            PortionEvent::ObjectRead { object, version, value } => {
                self.handle_read(object, version, value)
            }
            PortionEvent::UpdateAnswered { object, updated } => {
                self.handle_update_answer(object, updated, now)
            }
            PortionEvent::ReadFailed(object) => {
                self.pending_reads.remove(&object);
                self.read_due |= object == ObjectKind::Dc;
            }
            PortionEvent::UpdateFailed(object) => self.handle_update_failed(object, now),
        }
        self.detect_changes(board);
        self.propose(board, now, &mut effects);
        let changed = self.update_allocation();
        let moved = version != self.known.as_ref().map(|(version, _)| *version);
        if changed || moved {
            // Comes first: what is given up must be out of use before the update is sent.
            effects.insert(0, PortionEffect::AllocationChanged);
        }
        effects
    }

    fn tick(&mut self, board: &Board, now: MonoTime, effects: &mut Vec<PortionEffect>) {
        // Newer versions arrive as events. The object is read only if none is known or a call failed.
        let wanted = self.read_due || self.known.is_none();
        let due = self.last_read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if wanted && due && self.pending_reads.insert(ObjectKind::Dc) {
            self.last_read_at = Some(now);
            self.read_due = false;
            effects.push(PortionEffect::ReadObject(ObjectKind::Dc));
        }
        if self.reduction.is_none() {
            self.plan_reduction(board, now);
        }
    }

    fn handle_list(&mut self, listed: FxHashSet<VmInstance>, read_at: MonoTime) {
        let owners = self.known.iter().flat_map(|(_, object)| &object.holdings);
        let owners = owners.map(|holding| holding.owner.clone());
        let changed = self.absences.record_list(listed, owners, read_at);
        if changed || self.unreconciled_since.is_some() {
            self.schedule_review();
        }
    }

    /// Makes planning and reconciling due again.
    fn schedule_review(&mut self) {
        self.plan_due = true;
        self.reconcile_due = true;
    }

    /// Schedules a review of the object when the VMs or the configuration have changed.
    fn detect_changes(&mut self, board: &Board) {
        let generation = board.catalog.cfg.generation;
        let vms = &board.fleet.vms;
        let changed = generation != self.seen_generation || !vms.is_same(&self.seen_members);
        self.seen_members = vms.clone();
        if changed {
            self.schedule_review();
        }
        self.seen_generation = generation;
    }

    fn handle_read(&mut self, object: ObjectKind, version: Version, value: Value) {
        self.pending_reads.remove(&object);
        let known = self.known.as_ref().map(|(known, _)| *known);
        if object == ObjectKind::Dc && known.is_some_and(|known| version <= known) {
            return;
        }
        match object {
            // An object that can't be parsed is ignored: the allocation stays as it is.
            ObjectKind::Dc => {
                if let Some(object) = parse(value) {
                    self.adopt(version, object);
                }
            }
            ObjectKind::Shares => {
                self.shares = parse(value).map(|shares| (version, shares));
                self.schedule_review();
            }
        }
    }

    /// Takes over the data centre's object if its version is newer than the known one.
    fn adopt(&mut self, version: Version, object: DcObject) {
        let known = self.known.as_ref().map(|(known, _)| *known);
        if known.is_some_and(|known| version <= known) {
            return;
        }
        self.absences.retain_owners(|owner| object.holding(owner).is_some());
        self.known = Some((version, object));
        self.schedule_review();
    }

    fn handle_update_answer(&mut self, object: ObjectKind, updated: UpdateResult, now: MonoTime) {
        if object == ObjectKind::Shares {
            self.shares_update_sent = false;
            self.shares = None;
            self.schedule_review();
            return;
        }
        match (self.pending_update.take(), updated) {
            (Some((_, value)), UpdateResult::Done { version }) => self.adopt(version, value),
            _ => self.schedule_retry(now),
        }
    }

    fn handle_update_failed(&mut self, object: ObjectKind, now: MonoTime) {
        match object {
            ObjectKind::Dc => self.pending_update = None,
            ObjectKind::Shares => self.shares_update_sent = false,
        }
        self.schedule_retry(now);
    }

    /// Has the object read again, and holds back the next update for [`RETRY_DELAY`].
    fn schedule_retry(&mut self, now: MonoTime) {
        self.read_due = true;
        self.last_read_at = None;
        self.next_update_at = now + RETRY_DELAY;
        self.schedule_review();
    }

    /// Allocates what the object assigns to this instance, without what it is giving up. Returns
    /// whether the allocation has changed.
    fn update_allocation(&mut self) -> bool {
        let mut allocation = Allocation::default();
        let mine = self.known.as_ref().and_then(|(_, object)| object.holding(&self.me));
        if let Some(mine) = mine {
            allocation.parts.clone_from(&mine.portions);
            allocation.connections.clone_from(&mine.connections);
        }
        if let Some(reduction) = &self.reduction {
            clamp_all(&mut allocation.parts, |name| reduction.ceilings.parts.get(name).copied());
            clamp_all(&mut allocation.connections, |name| {
                reduction.ceilings.connections.get(name).copied()
            });
        }
        let changed = allocation != self.allocation;
        self.allocation = allocation;
        changed
    }

    /// Decides what to give up, and stops using it.
    fn plan_reduction(&mut self, board: &Board, now: MonoTime) {
        let Some((_, object)) = &self.known else {
            return;
        };
        let Some(mine) = object.holding(&self.me) else {
            return;
        };
        let mut ceilings = Allocation::default();
        let mut transfers = Vec::new();
        if self.drained {
            ceilings.parts = mine.portions.keys().map(|name| (name.clone(), 0)).collect();
            ceilings.connections = mine.connections.keys().map(|name| (name.clone(), 0)).collect();
        } else {
            transfers = self.rebalancer.transfers(board, object, &self.me, self.plan_due, now);
            for transfer in &transfers {
                let mine = mine.portions.get(&transfer.workspace).copied().unwrap_or(0);
                let ceiling = ceilings.parts.entry(transfer.workspace.clone()).or_insert(mine);
                *ceiling = ceiling.saturating_sub(transfer.parts);
            }
            if self.plan_due {
                ceilings.connections = surplus_connections(board, &mine.connections, &self.me);
            }
        }
        self.plan_due = false;
        if !ceilings.parts.is_empty() || !ceilings.connections.is_empty() {
            self.reduction = Some(PendingReduction { since: now, ceilings, transfers });
        }
    }

    /// Sends an update of the data centre's object if it has to change and none is pending.
    fn propose(&mut self, board: &Board, now: MonoTime, effects: &mut Vec<PortionEffect>) {
        if self.pending_update.is_some() || now < self.next_update_at {
            return;
        }
        let Some((version, object)) = self.known.clone() else {
            return;
        };
        let mut wanted = object.clone();
        self.apply_reduction(&mut wanted, now);
        if self.reconcile_due {
            self.reconcile(board, &mut wanted, now, effects);
        }
        if wanted == object {
            return;
        }
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        self.pending_update = Some((version, wanted));
        effects.push(PortionEffect::UpdateObject {
            object: ObjectKind::Dc,
            expected: version,
            value,
        });
    }

    /// Makes the pending reduction in `wanted` if it is older than [`REDUCTION_DELAY`], except for
    /// connections that are still open. Once it changes nothing any more, it is done.
    fn apply_reduction(&mut self, wanted: &mut DcObject, now: MonoTime) {
        let Some(reduction) = &self.reduction else {
            return;
        };
        if now.since(reduction.since) < REDUCTION_DELAY {
            return;
        }
        let before = wanted.clone();
        let mine = wanted.holding_mut(&self.me);
        let mut lowered: FxHashMap<&WorkspaceName, u32> = FxHashMap::default();
        for (workspace, ceiling) in &reduction.ceilings.parts {
            let parts = mine.portions.entry(workspace.clone()).or_default();
            lowered.insert(workspace, parts.saturating_sub(*ceiling));
            *parts = (*parts).min(*ceiling);
        }
        let mut still_open = false;
        for (database, ceiling) in &reduction.ceilings.connections {
            let open_connections = self.open_connections.get(database).copied().unwrap_or(0);
            let count = mine.connections.entry(database.clone()).or_default();
            still_open |= open_connections > *ceiling;
            *count = (*count).min(open_connections.max(*ceiling));
        }
        for transfer in &reduction.transfers {
            let left = lowered.entry(&transfer.workspace).or_default();
            let parts = transfer.parts.min(*left);
            *left -= parts;
            let theirs =
                wanted.holding_mut(&transfer.to).portions.entry(transfer.workspace.clone());
            *theirs.or_default() += parts;
        }
        wanted.prune();
        if *wanted == before && !still_open {
            self.reduction = None;
            self.schedule_review();
        }
    }

    /// Reconciles `wanted` if it is this VM's turn: the first VM of the list does it at once, each
    /// further one only if the object still needs it some time later.
    fn reconcile(
        &mut self,
        board: &Board,
        wanted: &mut DcObject,
        now: MonoTime,
        effects: &mut Vec<PortionEffect>,
    ) {
        self.reconcile_due = false;
        let ranking = HomeRanking::new(&board.fleet.vms, &board.fleet.me.dc);
        let Some(position) = ranking.position(&self.me).filter(|_| !board.fleet.stopping) else {
            return;
        };
        let missing =
            board.catalog.workspaces.iter().any(|w| !wanted.parts.contains_key(&w.cfg.name));
        let no_shares = SharesObject::default();
        let shares = self.shares.as_ref().map_or(&no_shares, |(_, shares)| shares);
        let reconciled_object = reconciled(board, wanted, shares, self.absences.reclaimable());
        if reconciled_object == *wanted && !missing {
            self.unreconciled_since = None;
            return;
        }
        let since = *self.unreconciled_since.get_or_insert(now);
        let delay = RECONCILE_DELAY_PER_POSITION.0 * (position as u64).min(DELAYED_POSITIONS_MAX);
        if now.since(since).0 < delay {
            return;
        }
        if missing {
            self.divide_shares(board, effects);
        }
        *wanted = reconciled_object;
    }

    /// Adds workspaces without parts to the object `shares`, which is read first if necessary.
    fn divide_shares(&mut self, board: &Board, effects: &mut Vec<PortionEffect>) {
        if self.shares_update_sent {
            return;
        }
        let Some((version, shares)) = &self.shares else {
            if self.pending_reads.insert(ObjectKind::Shares) {
                effects.push(PortionEffect::ReadObject(ObjectKind::Shares));
            }
            return;
        };
        let cfg = &board.catalog.cfg;
        let dcs: Vec<DcName> = cfg.data_centres.iter().map(|dc| dc.name.clone()).collect();
        let mut wanted = shares.clone();
        wanted.add_even_shares(cfg.workspaces.iter().map(|w| w.name.clone()), &dcs);
        if wanted == *shares {
            return;
        }
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        self.shares_update_sent = true;
        let expected = *version;
        effects.push(PortionEffect::UpdateObject { object: ObjectKind::Shares, expected, value });
    }
}

/// Parses the value of an object. Null, for an object that does not exist, is the empty object.
fn parse<T: Default + DeserializeOwned>(value: Value) -> Option<T> {
    match value {
        Value::Null => Some(T::default()),
        value => serde_json::from_value(value).ok(),
    }
}

/// Limits the values to their ceilings, and drops those that are zero.
fn clamp_all<K: Ord>(values: &mut BTreeMap<K, u32>, ceiling: impl Fn(&K) -> Option<u32>) {
    for (name, value) in values.iter_mut() {
        *value = ceiling(name).map_or(*value, |ceiling| ceiling.min(*value));
    }
    values.retain(|_, value| *value > 0);
}
