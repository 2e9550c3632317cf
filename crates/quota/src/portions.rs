//! Agrees with the other VMs of the data centre who owns which portion of each rate, and how many
//! connections to each database.
//!
//! What is owned stands in one object of the platform, changed only by conditional updates. It belongs
//! to one run of a VM until that run gives it up, or is gone from the platform's list for
//! [`crate::gone::RECLAIM_AFTER`]. What a run gives up is out of use before an update says so, and
//! stays so until the object shows it, however late that update takes effect: nothing is used twice.

use std::collections::BTreeMap;

use board::{Board, Members};
use model::prelude::*;
use proto::platform::{Updated, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    account::LOAN_HELD_MAX,
    drift::{Drift, Give},
    events::{InForce, ObjectKind, PortionEffect, PortionEvent},
    gone::GoneWatch,
    lenders::Ranking,
    objects::{DcObject, Owner, SharesObject},
    tidy::{surplus_connections, tidied},
};

/// Time from the lowering of a portion in memory to its lowering in the object: by then no token that
/// was lent from it can be spent any more.
pub const SETTLE_TIME: DurationUs = DurationUs(LOAN_HELD_MAX.0 * 2);

const READ_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
const RETRY_INTERVAL: DurationUs = DurationUs::from_ms(300);
const STEWARD_DELAY: DurationUs = DurationUs::from_ms(3_000);
const STEWARD_PLACES: u64 = 10;

/// What this VM is about to give up: already lowered in memory, not yet in the object.
#[derive(Debug)]
struct Lowering {
    since: MonoTime,
    ceilings: InForce,
    gives: Vec<Give>,
}

/// Agrees on portions and connections for one run of a VM.
#[derive(Debug)]
pub struct PortionController {
    me: Owner,
    known: Option<(Version, DcObject)>,
    shares: Option<(Version, SharesObject)>,
    sent: Option<(Version, DcObject)>,
    lowering: Option<Lowering>,
    in_force: InForce,
    reading: FxHashSet<ObjectKind>,
    shares_sent: bool,
    not_before: MonoTime,
    read_at: Option<MonoTime>,
    refresh: bool,
    gone: GoneWatch,
    drift: Drift,
    open: FxHashMap<DatabaseName, u32>,
    untidy_since: Option<MonoTime>,
    plan_due: bool,
    tidy_due: bool,
    seen_generation: Generation,
    seen_vms: Members,
    drained: bool,
}

impl PortionController {
    /// A controller for the run `me` of a VM, which owns nothing.
    pub fn new(me: Owner) -> PortionController {
        PortionController {
            me,
            known: None,
            shares: None,
            sent: None,
            lowering: None,
            in_force: InForce::default(),
            reading: FxHashSet::default(),
            shares_sent: false,
            not_before: MonoTime::default(),
            read_at: None,
            refresh: false,
            gone: GoneWatch::default(),
            drift: Drift::default(),
            open: FxHashMap::default(),
            untidy_since: None,
            plan_due: true,
            tidy_due: true,
            seen_generation: Generation(0),
            seen_vms: Members::default(),
            drained: false,
        }
    }

    /// The run that it acts for.
    pub fn me(&self) -> &Owner {
        &self.me
    }

    /// What this VM may use now.
    pub fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Whether the object names this run as the owner of anything.
    pub fn gives_up(&self) -> bool {
        self.known.as_ref().is_some_and(|(_, object)| object.holding(&self.me).is_some())
    }

    /// The data centre's object as last known.
    pub fn object(&self) -> Option<(Version, &DcObject)> {
        self.known.as_ref().map(|(version, object)| (*version, object))
    }

    /// Takes an event and returns what to do.
    pub fn handle(
        &mut self,
        board: &Board,
        event: PortionEvent,
        now: MonoTime,
    ) -> Vec<PortionEffect> {
        let version = self.known.as_ref().map(|(version, _)| *version);
        let mut effects = Vec::new();
        match event {
            PortionEvent::Tick { open, lent } => {
                self.open = open;
                self.drift.note(lent);
                self.tick(board, now, &mut effects);
            }
            PortionEvent::Listed { runs, read_at } => self.note_list(runs, read_at),
            PortionEvent::Drained => self.drained = true,
            PortionEvent::Read { object, version, value } => self.read(object, version, value),
            PortionEvent::Updated { object, updated } => self.updated(object, updated, now),
            PortionEvent::ReadFailed(object) => {
                self.reading.remove(&object);
                self.refresh |= object == ObjectKind::Dc;
            }
            PortionEvent::UpdateFailed(object) => self.update_failed(object, now),
        }
        self.note_changes(board);
        self.propose(board, now, &mut effects);
        let changed = self.put_in_force();
        let moved = version != self.known.as_ref().map(|(version, _)| *version);
        if changed || moved {
            // First of all: what is lowered must be out of use before the object says so.
            effects.insert(0, PortionEffect::Changed);
        }
        effects
    }

    fn tick(&mut self, board: &Board, now: MonoTime, effects: &mut Vec<PortionEffect>) {
        // Newer versions come by themselves; only what this run has to know at once is read.
        let wanted = self.refresh || self.known.is_none();
        let due = self.read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if wanted && due && self.reading.insert(ObjectKind::Dc) {
            self.read_at = Some(now);
            self.refresh = false;
            effects.push(PortionEffect::Read(ObjectKind::Dc));
        }
        if self.lowering.is_none() {
            self.plan(board, now);
        }
    }

    fn note_list(&mut self, listed: FxHashSet<Owner>, read_at: MonoTime) {
        let owners = self.known.iter().flat_map(|(_, object)| &object.holdings);
        let owners = owners.map(|holding| holding.owner.clone());
        let changed = self.gone.note_list(listed, owners, read_at);
        if changed || self.untidy_since.is_some() {
            self.look_again();
        }
    }

    fn look_again(&mut self) {
        self.plan_due = true;
        self.tidy_due = true;
    }

    /// A change of the list or of the configuration calls for another look at the object.
    fn note_changes(&mut self, board: &Board) {
        let generation = board.catalog.cfg.generation;
        let vms = &board.fleet.vms;
        let changed = generation != self.seen_generation || !vms.is_same(&self.seen_vms);
        self.seen_vms = vms.clone();
        if changed {
            self.look_again();
        }
        self.seen_generation = generation;
    }

    fn read(&mut self, object: ObjectKind, version: Version, value: Value) {
        self.reading.remove(&object);
        let known = self.known.as_ref().map(|(known, _)| *known);
        if object == ObjectKind::Dc && known.is_some_and(|known| version <= known) {
            return;
        }
        match object {
            // An object that can't be read changes nothing here: what is in force stays.
            ObjectKind::Dc => {
                if let Some(object) = parse(value) {
                    self.adopt(version, object);
                }
            }
            ObjectKind::Shares => {
                self.shares = parse(value).map(|shares| (version, shares));
                self.look_again();
            }
        }
    }

    fn adopt(&mut self, version: Version, object: DcObject) {
        let known = self.known.as_ref().map(|(known, _)| *known);
        if known.is_some_and(|known| version <= known) {
            return;
        }
        self.gone.forget(|owner| object.holding(owner).is_some());
        self.known = Some((version, object));
        self.look_again();
    }

    fn updated(&mut self, object: ObjectKind, updated: Updated, now: MonoTime) {
        if object == ObjectKind::Shares {
            self.shares_sent = false;
            self.shares = None;
            self.look_again();
            return;
        }
        match (self.sent.take(), updated) {
            (Some((_, value)), Updated::Done { version }) => self.adopt(version, value),
            _ => self.try_again_later(now),
        }
    }

    fn update_failed(&mut self, object: ObjectKind, now: MonoTime) {
        match object {
            ObjectKind::Dc => self.sent = None,
            ObjectKind::Shares => self.shares_sent = false,
        }
        self.try_again_later(now);
    }

    fn try_again_later(&mut self, now: MonoTime) {
        self.refresh = true;
        self.read_at = None;
        self.not_before = now + RETRY_INTERVAL;
        self.look_again();
    }

    /// Puts in force what the object gives, without what is being given up. Says whether that is a
    /// change.
    fn put_in_force(&mut self) -> bool {
        let mut in_force = InForce::default();
        let mine = self.known.as_ref().and_then(|(_, object)| object.holding(&self.me));
        if let Some(mine) = mine {
            in_force.parts.clone_from(&mine.portions);
            in_force.connections.clone_from(&mine.connections);
        }
        if let Some(lowering) = &self.lowering {
            lower_all(&mut in_force.parts, |name| lowering.ceilings.parts.get(name).copied());
            lower_all(&mut in_force.connections, |name| {
                lowering.ceilings.connections.get(name).copied()
            });
        }
        let changed = in_force != self.in_force;
        self.in_force = in_force;
        changed
    }

    /// Decides what to give up, and lowers it in memory.
    fn plan(&mut self, board: &Board, now: MonoTime) {
        let Some((_, object)) = &self.known else {
            return;
        };
        let Some(mine) = object.holding(&self.me) else {
            return;
        };
        let mut ceilings = InForce::default();
        let mut gives = Vec::new();
        if self.drained {
            ceilings.parts = mine.portions.keys().map(|name| (name.clone(), 0)).collect();
            ceilings.connections = mine.connections.keys().map(|name| (name.clone(), 0)).collect();
        } else {
            gives = self.drift.gives(board, object, &self.me, self.plan_due, now);
            for give in &gives {
                let mine = mine.portions.get(&give.workspace).copied().unwrap_or(0);
                let ceiling = ceilings.parts.entry(give.workspace.clone()).or_insert(mine);
                *ceiling = ceiling.saturating_sub(give.parts);
            }
            if self.plan_due {
                ceilings.connections = surplus_connections(board, &mine.connections, &self.me);
            }
        }
        self.plan_due = false;
        if !ceilings.parts.is_empty() || !ceilings.connections.is_empty() {
            self.lowering = Some(Lowering { since: now, ceilings, gives });
        }
    }

    fn propose(&mut self, board: &Board, now: MonoTime, effects: &mut Vec<PortionEffect>) {
        if self.sent.is_some() || now < self.not_before {
            return;
        }
        let Some((version, object)) = self.known.clone() else {
            return;
        };
        let mut wanted = object.clone();
        self.lower(&mut wanted, now);
        if self.tidy_due {
            self.tidy(board, &mut wanted, now, effects);
        }
        if wanted == object {
            return;
        }
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        self.sent = Some((version, wanted));
        effects.push(PortionEffect::Update { object: ObjectKind::Dc, expected: version, value });
    }

    /// Lowers in the object what has been lowered in memory for long enough.
    fn lower(&mut self, wanted: &mut DcObject, now: MonoTime) {
        let Some(lowering) = &self.lowering else {
            return;
        };
        if now.since(lowering.since) < SETTLE_TIME {
            return;
        }
        let before = wanted.clone();
        let mine = wanted.holding_mut(&self.me);
        let mut lowered: FxHashMap<&WorkspaceName, u32> = FxHashMap::default();
        for (workspace, ceiling) in &lowering.ceilings.parts {
            let parts = mine.portions.entry(workspace.clone()).or_default();
            lowered.insert(workspace, parts.saturating_sub(*ceiling));
            *parts = (*parts).min(*ceiling);
        }
        let mut still_open = false;
        for (database, ceiling) in &lowering.ceilings.connections {
            let open = self.open.get(database).copied().unwrap_or(0);
            let count = mine.connections.entry(database.clone()).or_default();
            still_open |= open > *ceiling;
            *count = (*count).min(open.max(*ceiling));
        }
        for give in &lowering.gives {
            let left = lowered.entry(&give.workspace).or_default();
            let parts = give.parts.min(*left);
            *left -= parts;
            let theirs = wanted.holding_mut(&give.to).portions.entry(give.workspace.clone());
            *theirs.or_default() += parts;
        }
        wanted.prune();
        if *wanted == before && !still_open {
            self.lowering = None;
            self.look_again();
        }
    }

    /// Tidies the object if it is this VM's turn: those that come first in the list do it at once, the
    /// others only if it stays untidy.
    fn tidy(
        &mut self,
        board: &Board,
        wanted: &mut DcObject,
        now: MonoTime,
        effects: &mut Vec<PortionEffect>,
    ) {
        self.tidy_due = false;
        let ranking = Ranking::new(&board.fleet.vms, &board.fleet.me.dc);
        let Some(place) = ranking.place(&self.me).filter(|_| !board.fleet.stopping) else {
            return;
        };
        let missing =
            board.catalog.workspaces.iter().any(|w| !wanted.parts.contains_key(&w.cfg.name));
        let no_shares = SharesObject::default();
        let shares = self.shares.as_ref().map_or(&no_shares, |(_, shares)| shares);
        let tidy = tidied(board, wanted, shares, self.gone.reclaimable());
        if tidy == *wanted && !missing {
            self.untidy_since = None;
            return;
        }
        let since = *self.untidy_since.get_or_insert(now);
        let delay = STEWARD_DELAY.0 * (place as u64).min(STEWARD_PLACES);
        if now.since(since).0 < delay {
            return;
        }
        if missing {
            self.divide_shares(board, effects);
        }
        *wanted = tidy;
    }

    fn divide_shares(&mut self, board: &Board, effects: &mut Vec<PortionEffect>) {
        if self.shares_sent {
            return;
        }
        let Some((version, shares)) = &self.shares else {
            if self.reading.insert(ObjectKind::Shares) {
                effects.push(PortionEffect::Read(ObjectKind::Shares));
            }
            return;
        };
        let cfg = &board.catalog.cfg;
        let dcs: Vec<DcName> = cfg.data_centres.iter().map(|dc| dc.name.clone()).collect();
        let mut wanted = shares.clone();
        wanted.divide(cfg.workspaces.iter().map(|w| w.name.clone()), &dcs);
        if wanted == *shares {
            return;
        }
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        self.shares_sent = true;
        let expected = *version;
        effects.push(PortionEffect::Update { object: ObjectKind::Shares, expected, value });
    }
}

/// An object's value; the empty one where it does not exist.
fn parse<T: Default + DeserializeOwned>(value: Value) -> Option<T> {
    match value {
        Value::Null => Some(T::default()),
        value => serde_json::from_value(value).ok(),
    }
}

fn lower_all<K: Ord>(values: &mut BTreeMap<K, u32>, ceiling: impl Fn(&K) -> Option<u32>) {
    for (name, value) in values.iter_mut() {
        *value = ceiling(name).map_or(*value, |ceiling| ceiling.min(*value));
    }
    values.retain(|_, value| *value > 0);
}
