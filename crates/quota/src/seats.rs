//! Divides a data centre's share of every rate among its VMs.
//!
//! The share is cut into seats, listed with their owners in one object of the platform. A seat belongs
//! to one run of a VM until that run gives it up, or is gone from the platform's list for
//! [`RECLAIM_AFTER`]. A VM lowers its own buckets before it gives a seat up in the object, and raises
//! them only after the object names it as owner; so no seat is ever used twice.

use board::Board;
use model::prelude::*;
use proto::platform::{Updated, Version, VmState};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Seats of a data centre.
pub const SEATS: usize = 60;

/// How long a run must be gone from the list before its seats are taken back.
pub const RECLAIM_AFTER: DurationUs = DurationUs::from_ms(10_000);

const READ_INTERVAL: DurationUs = DurationUs::from_ms(1_000);

/// A run of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The VM.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

/// The object `dc/<name>`: who owns each seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DcObject {
    /// Owner of each seat.
    pub seats: Vec<Option<Owner>>,
}

impl DcObject {
    /// An object in which every seat is free.
    pub fn new() -> DcObject {
        DcObject { seats: vec![None; SEATS] }
    }
}

impl Default for DcObject {
    fn default() -> DcObject {
        DcObject::new()
    }
}

/// What the controller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum SeatEvent {
    /// Time passed.
    Tick,
    /// The object was read.
    Read {
        /// Its version.
        version: Version,
        /// Its value; null where it does not exist.
        value: Value,
    },
    /// The update was answered.
    Updated(Updated),
    /// A read or an update got no answer.
    NoAnswer,
}

/// What the controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum SeatEffect {
    /// Read the object.
    Read,
    /// Replace the object.
    Update {
        /// The version to be replaced.
        expected: Version,
        /// The new value.
        value: Value,
    },
    /// The number of seats in force changed.
    SeatsChanged,
}

/// Takes and gives up seats for this VM, and takes back those of runs that are gone.
#[derive(Debug)]
pub struct SeatController {
    me: Owner,
    known: Option<(Version, DcObject)>,
    in_force: usize,
    waiting: bool,
    read_at: Option<MonoTime>,
    gone_since: FxHashMap<Owner, MonoTime>,
    listed: FxHashSet<Owner>,
}

impl SeatController {
    /// A controller for the run `me` of a VM, without seats.
    pub fn new(me: Owner) -> SeatController {
        SeatController {
            me,
            known: None,
            in_force: 0,
            waiting: false,
            read_at: None,
            gone_since: FxHashMap::default(),
            listed: FxHashSet::default(),
        }
    }

    /// Seats that this VM may use now.
    pub fn in_force(&self) -> usize {
        self.in_force
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, board: &Board, event: SeatEvent, now: MonoTime) -> Vec<SeatEffect> {
        let before = self.in_force;
        let mut effects = match event {
            SeatEvent::Tick => self.tick(board, now),
            SeatEvent::Read { version, value } => self.read(board, version, value),
            SeatEvent::Updated(_) | SeatEvent::NoAnswer => self.read_again(now),
        };
        if self.in_force != before {
            effects.push(SeatEffect::SeatsChanged);
        }
        effects
    }

    fn tick(&mut self, board: &Board, now: MonoTime) -> Vec<SeatEffect> {
        self.note_listed(board, now);
        let due = self.read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if self.waiting || !due {
            return Vec::new();
        }
        self.read_again(now)
    }

    fn read_again(&mut self, now: MonoTime) -> Vec<SeatEffect> {
        let due = self.read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        self.waiting = due;
        if !due {
            return Vec::new();
        }
        self.read_at = Some(now);
        vec![SeatEffect::Read]
    }

    fn read(&mut self, board: &Board, version: Version, value: Value) -> Vec<SeatEffect> {
        self.waiting = false;
        let newest = self.known.as_ref().is_none_or(|(known, _)| version >= *known);
        if !newest {
            return Vec::new();
        }
        let object = serde_json::from_value(value).unwrap_or_default();
        self.known = Some((version, object));
        self.settle(board, version)
    }

    /// Puts in force what the object gives, and asks for what should change.
    fn settle(&mut self, board: &Board, version: Version) -> Vec<SeatEffect> {
        let Some((_, object)) = &self.known else {
            return Vec::new();
        };
        let mine = object.seats.iter().flatten().filter(|owner| **owner == self.me).count();
        let target = self.target(board);
        // Lower first: seats above the target are out of force before the object says so.
        self.in_force = mine.min(target);
        let wanted = self.wanted(object, target);
        if wanted == *object {
            return Vec::new();
        }
        self.waiting = true;
        let value = serde_json::to_value(&wanted).unwrap_or_default();
        vec![SeatEffect::Update { expected: version, value }]
    }

    fn wanted(&self, object: &DcObject, target: usize) -> DcObject {
        let mut wanted = object.clone();
        for seat in &mut wanted.seats {
            let reclaimed = seat.as_ref().is_some_and(|owner| self.gone_since.contains_key(owner));
            if reclaimed && !self.in_grace(seat.as_ref()) {
                *seat = None;
            }
        }
        let mine = |seat: &Option<Owner>| seat.as_ref() == Some(&self.me);
        let count = wanted.seats.iter().filter(|seat| mine(seat)).count();
        if count > target {
            let surplus = wanted.seats.iter_mut().filter(|seat| mine(seat)).take(count - target);
            surplus.for_each(|seat| *seat = None);
        } else {
            let free = wanted.seats.iter_mut().filter(|seat| seat.is_none()).take(target - count);
            free.for_each(|seat| *seat = Some(self.me.clone()));
        }
        wanted
    }

    fn in_grace(&self, owner: Option<&Owner>) -> bool {
        let since = owner.and_then(|owner| self.gone_since.get(owner));
        match (since, self.read_at) {
            (Some(since), Some(now)) => now.since(*since) < RECLAIM_AFTER,
            _ => true,
        }
    }

    /// How many seats this VM should have: its even part, the first-named VMs taking the remainder.
    fn target(&self, board: &Board) -> usize {
        if board.fleet.stopping {
            return 0;
        }
        let in_dc = board
            .fleet
            .vms
            .iter()
            .filter(|vm| vm.dc == board.fleet.me.dc && vm.state == VmState::Live);
        let names: Vec<&VmName> = in_dc.map(|vm| &vm.vm).collect();
        let Some(rank) = names.iter().position(|name| **name == self.me.vm) else {
            return self.in_force;
        };
        SEATS / names.len() + usize::from(rank < SEATS % names.len())
    }

    fn note_listed(&mut self, board: &Board, now: MonoTime) {
        let owner = |vm: &proto::platform::VmRecord| Owner {
            vm: vm.vm.clone(),
            incarnation: vm.incarnation,
        };
        let listed: FxHashSet<Owner> = board.fleet.vms.iter().map(owner).collect();
        for gone in self.listed.difference(&listed) {
            self.gone_since.entry(gone.clone()).or_insert(now);
        }
        self.gone_since.retain(|owner, _| !listed.contains(owner));
        self.listed = listed;
    }
}
