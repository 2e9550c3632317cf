//! The promotion of a member to primary: `(board, event, now) -> effects`.
//!
//! A VM that finds a slot's primary gone fences a majority of the members at the next term, promotes
//! one of those, and tells the others to follow. It needs nobody's order and no platform. A term is
//! granted to one proposer, and a proposer asks one member in a term, so a term has one primary.

use board::{Board, DatabaseKey, SlotKey, VmIdentity};
use fleet::placement::holders;
use model::{prelude::*, request::stable_hash, session::SlotDigest};
use proto::database::{DatabaseError, Role, SlotStatus};

use crate::{
    attempt::{Attempt, Grant},
    diagnosis::{Condition, Fault, answers, diagnose},
    limits::Limits,
    observe::observe_slot,
};

/// What a database is asked to do with a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Grant the term to this VM.
    Fence,
    /// Become the primary.
    Promote,
    /// Follow this primary.
    Follow(DatabaseName),
}

/// A call to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The slot.
    pub slot: SlotDigest,
    /// The database.
    pub database: DatabaseName,
    /// The term.
    pub term: Term,
    /// What it is asked to do.
    pub action: Action,
    /// When the call was asked for.
    pub at: MonoTime,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It was done.
    Done(SlotStatus),
    /// It was refused.
    Refused(DatabaseError),
    /// No answer came; it may have been done.
    Lost,
}

/// What the controller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum PromotionEvent {
    /// Time has passed. The random number spreads proposals.
    Tick {
        /// Any number.
        random: u64,
    },
    /// A call has ended.
    Answered(Call, Answer),
}

/// What the controller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionEffect {
    /// Call a database.
    Call(Call),
    /// A member was promoted by this VM.
    Promoted {
        /// The slot.
        slot: SlotDigest,
        /// The term.
        term: Term,
        /// The new primary.
        primary: DatabaseName,
    },
}

/// A fault that this VM has seen, and when it will act on it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Suspicion {
    fault: Fault,
    top: Term,
    seen_at: MonoTime,
    delay: DurationUs,
    due_at: MonoTime,
}

/// What the controller keeps of a slot.
#[derive(Clone, Debug, Default)]
struct SlotPromotion {
    suspicion: Option<Suspicion>,
    attempt: Option<Attempt>,
    last_proposed: Term,
    /// The primary that gave cause for a promotion which has not succeeded yet.
    replaced: Option<DatabaseName>,
    /// Answers to queries that left earlier are not relied upon.
    since: MonoTime,
    quiet_until: MonoTime,
    told: FxHashMap<DatabaseName, MonoTime>,
}

/// Drives the promotions of all slots that this VM watches.
#[derive(Clone, Debug)]
pub struct PromotionController {
    me: VmIdentity,
    limits: Limits,
    slots: FxHashMap<SlotDigest, SlotPromotion>,
}

impl PromotionController {
    /// A controller for this VM.
    pub fn new(me: VmIdentity, limits: Limits) -> PromotionController {
        PromotionController { me, limits, slots: FxHashMap::default() }
    }

    /// The name under which this VM proposes.
    pub fn proposer(&self) -> String {
        format!("{}/{}", self.me.vm, self.me.incarnation.0)
    }

    /// Handles an event.
    pub fn handle(
        &mut self,
        board: &mut Board,
        event: PromotionEvent,
        now: MonoTime,
    ) -> Vec<PromotionEffect> {
        let mut effects = Vec::new();
        match event {
            PromotionEvent::Tick { random } => {
                for slot in board.catalog.slots.keys() {
                    self.tick(board, slot, random, now, &mut effects);
                }
            }
            PromotionEvent::Answered(call, answer) => {
                self.answered(board, &call, answer, now, &mut effects);
            }
        }
        effects
    }

    fn tick(
        &mut self,
        board: &Board,
        slot: SlotKey,
        random: u64,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let watched = board.slots[slot].members.iter().any(|m| m.asked_at.is_some());
        if !watched {
            return;
        }
        let limits = self.limits;
        let me = self.me.vm.clone();
        let state = self.slots.entry(board.catalog.slots[slot].digest).or_default();
        if state.attempt.is_some() {
            state.advance(board, slot, &limits, now, effects);
            return;
        }
        if now < state.quiet_until {
            return;
        }
        match diagnose(board, slot, state.since, &limits, now) {
            Condition::NoMajority | Condition::TooEarly => state.suspicion = None,
            Condition::Healthy(primary) => {
                state.suspicion = None;
                state.replaced = None;
                state.heal(board, slot, primary, &limits, now, effects);
            }
            Condition::Faulty { fault, top, primary } => {
                if let Some(primary) = primary.filter(|_| fault == Fault::Unheard) {
                    state.heal(board, slot, primary, &limits, now, effects);
                }
                let known =
                    state.suspicion.as_ref().is_some_and(|s| (s.fault, s.top) == (fault, top));
                if let Some(primary) = primary {
                    state.replaced = Some(database_name(board, primary));
                }
                if !known {
                    let delay = delay(board, slot, &me, fault, &limits, random);
                    let due_at = now + delay;
                    state.suspicion = Some(Suspicion { fault, top, seen_at: now, delay, due_at });
                }
                let busy = fault == Fault::Leaving && has_open_transactions(board, slot, primary);
                if state.is_due(busy, &limits, now) {
                    state.propose(board, slot, top, &limits, now, effects);
                }
            }
        }
    }

    fn answered(
        &mut self,
        board: &mut Board,
        call: &Call,
        answer: Answer,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let Some(slot) = board.catalog.slot_by_digest(call.slot) else {
            return;
        };
        let Some(database) = board.catalog.database(call.database.as_str()) else {
            return;
        };
        if let Answer::Done(status) = &answer {
            observe_slot(board, database, status, call.at);
        }
        let limits = self.limits;
        let Some(state) = self.slots.get_mut(&call.slot) else {
            return;
        };
        let Some(attempt) = state.attempt.as_mut().filter(|a| a.term == call.term) else {
            return;
        };
        attempt.awaited.retain(|name| *name != call.database);
        match (&call.action, answer) {
            (Action::Fence, Answer::Done(status)) => {
                attempt.add(grant(board, slot, database, &status, state.replaced.as_ref()));
            }
            (Action::Promote, Answer::Done(_)) => {
                state.promoted(board, slot, database, now, effects);
                return;
            }
            (Action::Promote, _) => {
                state.give_up(&limits, now);
                return;
            }
            (Action::Fence, Answer::Refused(DatabaseError::TermTaken { .. })) => {
                state.give_up(&limits, now);
                return;
            }
            (Action::Fence | Action::Follow(_), _) => {}
        }
        state.advance(board, slot, &limits, now, effects);
    }
}

impl SlotPromotion {
    /// Whether this VM acts on the fault now. While the primary is busy and may be so, the delays
    /// begin anew, so that VMs still act one after the other.
    fn is_due(&mut self, busy: bool, limits: &Limits, now: MonoTime) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        if busy && now < suspicion.seen_at + limits.drain {
            suspicion.due_at = now + suspicion.delay;
        }
        now >= suspicion.due_at
    }

    /// Fences the members at a term that nobody has been seen to use.
    fn propose(
        &mut self,
        board: &Board,
        slot: SlotKey,
        top: Term,
        limits: &Limits,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let term = top.max(self.last_proposed).next();
        let state = &board.slots[slot];
        let recent = now - limits.silent;
        let awaited = state.members.iter().filter(|m| answers(m, recent));
        let awaited = awaited.map(|m| database_name(board, m.database)).collect();
        self.suspicion = None;
        self.last_proposed = term;
        self.attempt = Some(Attempt::new(term, awaited, now));
        for member in &state.members {
            effects.push(call(board, slot, member.database, term, Action::Fence, now));
        }
    }

    /// Goes on with the attempt if it has what it needs, or gives it up if its time is over.
    fn advance(
        &mut self,
        board: &Board,
        slot: SlotKey,
        limits: &Limits,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let majority = board.slots[slot].majority();
        let elapsed = now.since(attempt.started_at);
        let settled = attempt.awaited.is_empty() || elapsed >= limits.grace;
        let choose = attempt.candidate.is_none() && settled && attempt.grants.len() >= majority;
        if choose && let Some(name) = attempt.choose(majority).cloned() {
            if let Some(database) = board.catalog.database(name.as_str()) {
                effects.push(call(board, slot, database, attempt.term, Action::Promote, now));
            }
            attempt.candidate = Some(name);
            return;
        }
        let failed = attempt.awaited.is_empty() && attempt.grants.len() < majority;
        if failed || elapsed >= limits.attempt {
            self.give_up(limits, now);
        }
    }

    fn promoted(
        &mut self,
        board: &Board,
        slot: SlotKey,
        primary: DatabaseKey,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.since = now;
        let name = database_name(board, primary);
        let digest = board.catalog.slots[slot].digest;
        for member in board.slots[slot].members.iter().filter(|m| m.database != primary) {
            let action = Action::Follow(name.clone());
            effects.push(call(board, slot, member.database, attempt.term, action, now));
            self.told.insert(database_name(board, member.database), now);
        }
        effects.push(PromotionEffect::Promoted { slot: digest, term: attempt.term, primary: name });
    }

    /// Keeps quiet for a while, and then looks at the slot afresh.
    fn give_up(&mut self, limits: &Limits, now: MonoTime) {
        self.attempt = None;
        self.suspicion = None;
        self.since = now;
        self.quiet_until = now + limits.quiet;
    }

    /// Tells members that follow another primary, or none, whom to follow.
    fn heal(
        &mut self,
        board: &Board,
        slot: SlotKey,
        primary: DatabaseKey,
        limits: &Limits,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let state = &board.slots[slot];
        let recent = now - limits.silent;
        let Some(running) = state.member(primary).map(|m| m.term) else {
            return;
        };
        for member in state.members.iter().filter(|m| m.database != primary && answers(m, recent)) {
            let astray = member.term < running
                || member.follows != Some(primary)
                || member.role == Role::Primary;
            let name = database_name(board, member.database);
            let told_lately = self.told.get(&name).is_some_and(|at| now.since(*at) < limits.heal);
            if astray && !told_lately && member.term <= running {
                let action = Action::Follow(database_name(board, primary));
                effects.push(call(board, slot, member.database, running, action, now));
                self.told.insert(name, now);
            }
        }
    }
}

/// How long this VM waits before it acts on a fault, so that VMs act one after the other.
fn delay(
    board: &Board,
    slot: SlotKey,
    me: &VmName,
    fault: Fault,
    limits: &Limits,
    random: u64,
) -> DurationUs {
    let least = match fault {
        Fault::Gone => DurationUs::default(),
        Fault::NoPrimary | Fault::Leaving => limits.settle,
        Fault::Unheard => limits.unheard,
    };
    let rank = rank(board, slot, me) as u64;
    DurationUs(least.0 + rank * limits.stagger.0 + random % limits.jitter.0.max(1))
}

/// This VM's place among those that watch the slot, the same as seen from every VM.
fn rank(board: &Board, slot: SlotKey, me: &VmName) -> usize {
    let members = &board.catalog.slots[slot].members;
    let name = &board.catalog.slots[slot].name;
    let mut vms: Vec<&VmName> =
        members.iter().flat_map(|&d| holders(board, d)).map(|record| &record.vm).collect();
    vms.sort_by_cached_key(|vm| (stable_hash(&format!("{vm} {name}")), (*vm).clone()));
    vms.dedup();
    vms.iter().position(|vm| *vm == me).unwrap_or(vms.len())
}

fn has_open_transactions(board: &Board, slot: SlotKey, primary: Option<DatabaseKey>) -> bool {
    let member = primary.and_then(|primary| board.slots[slot].member(primary));
    member.is_some_and(|m| m.open_transactions > 0)
}

fn grant(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    status: &SlotStatus,
    replaced: Option<&DatabaseName>,
) -> Grant {
    let name = database_name(board, database);
    let leaving = board.catalog.databases[database].cfg.leaving;
    let order = board.slots[slot].members.iter().position(|m| m.database == database);
    Grant {
        avoid: leaving || replaced == Some(&name),
        database: name,
        order: order.unwrap_or(usize::MAX),
        position: status.position,
    }
}

fn call(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    term: Term,
    action: Action,
    now: MonoTime,
) -> PromotionEffect {
    PromotionEffect::Call(Call {
        slot: board.catalog.slots[slot].digest,
        database: database_name(board, database),
        term,
        action,
        at: now,
    })
}

fn database_name(board: &Board, database: DatabaseKey) -> DatabaseName {
    board.catalog.databases[database].name.clone()
}
