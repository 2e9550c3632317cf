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
    attempt::{Grant, PromotionAttempt},
    diagnosis::{Diagnosis, PrimaryFault, diagnose, has_answered_since},
    observe::observe_slot,
    timeouts::Timeouts,
};

/// What a database is asked to do with a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionAction {
    /// Grant the term to this VM.
    Fence,
    /// Become the primary.
    Promote,
    /// Follow this primary.
    Follow(DatabaseName),
}

/// A call to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionCall {
    /// The slot.
    pub slot: SlotDigest,
    /// The database.
    pub database: DatabaseName,
    /// The term.
    pub term: Term,
    /// What it is asked to do.
    pub action: PromotionAction,
    /// When the call was asked for.
    pub issued_at: MonoTime,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
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
    CallFinished(PromotionCall, CallResult),
}

/// What the controller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionEffect {
    /// Call a database.
    Call(PromotionCall),
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
    fault: PrimaryFault,
    top_term: Term,
    seen_at: MonoTime,
    delay: DurationUs,
    due_at: MonoTime,
}

/// What the controller keeps of a slot.
#[derive(Clone, Debug, Default)]
struct SlotPromotion {
    suspicion: Option<Suspicion>,
    attempt: Option<PromotionAttempt>,
    last_proposed: Term,
    /// The primary that gave cause for a promotion which has not succeeded yet.
    outgoing_primary: Option<DatabaseName>,
    /// Answers to queries that left earlier are not relied upon.
    trusted_since: MonoTime,
    backoff_until: MonoTime,
    follow_issued_at: FxHashMap<DatabaseName, MonoTime>,
}

/// Drives the promotions of all slots that this VM watches.
#[derive(Clone, Debug)]
pub struct PromotionController {
    me: VmIdentity,
    timeouts: Timeouts,
    slots: FxHashMap<SlotDigest, SlotPromotion>,
}

impl PromotionController {
    /// A controller for this VM.
    pub fn new(me: VmIdentity, timeouts: Timeouts) -> PromotionController {
        PromotionController { me, timeouts, slots: FxHashMap::default() }
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
            PromotionEvent::CallFinished(call, answer) => {
                self.handle_result(board, &call, answer, now, &mut effects);
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
        let timeouts = self.timeouts;
        let me = self.me.vm.clone();
        let state = self.slots.entry(board.catalog.slots[slot].digest).or_default();
        if state.attempt.is_some() {
            state.advance(board, slot, &timeouts, now, effects);
            return;
        }
        if now < state.backoff_until {
            return;
        }
        match diagnose(board, slot, state.trusted_since, &timeouts, now) {
            Diagnosis::NoMajority | Diagnosis::Undetermined => state.suspicion = None,
            Diagnosis::Healthy(primary) => {
                state.suspicion = None;
                state.outgoing_primary = None;
                state.repair_followers(board, slot, primary, &timeouts, now, effects);
            }
            Diagnosis::Faulty { fault, top_term, primary } => {
                if let Some(primary) = primary.filter(|_| fault == PrimaryFault::Isolated) {
                    state.repair_followers(board, slot, primary, &timeouts, now, effects);
                }
                let already_suspected = state
                    .suspicion
                    .as_ref()
                    .is_some_and(|s| (s.fault, s.top_term) == (fault, top_term));
                if let Some(primary) = primary {
                    state.outgoing_primary = Some(database_name(board, primary));
                }
                if !already_suspected {
                    let delay = proposal_delay(board, slot, &me, fault, &timeouts, random);
                    let due_at = now + delay;
                    state.suspicion =
                        Some(Suspicion { fault, top_term, seen_at: now, delay, due_at });
                }
                let draining =
                    fault == PrimaryFault::Leaving && has_open_transactions(board, slot, primary);
                if state.is_due(draining, &timeouts, now) {
                    state.propose(board, slot, top_term, &timeouts, now, effects);
                }
            }
        }
    }

    fn handle_result(
        &mut self,
        board: &mut Board,
        call: &PromotionCall,
        answer: CallResult,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let Some(slot) = board.catalog.slot_by_digest(call.slot) else {
            return;
        };
        let Some(database) = board.catalog.database(call.database.as_str()) else {
            return;
        };
        if let CallResult::Done(status) = &answer {
            observe_slot(board, database, status, call.issued_at);
        }
        let timeouts = self.timeouts;
        let Some(state) = self.slots.get_mut(&call.slot) else {
            return;
        };
        let Some(attempt) = state.attempt.as_mut().filter(|a| a.term == call.term) else {
            return;
        };
        attempt.awaited.retain(|name| *name != call.database);
        match (&call.action, answer) {
            (PromotionAction::Fence, CallResult::Done(status)) => {
                attempt.add(new_grant(
                    board,
                    slot,
                    database,
                    &status,
                    state.outgoing_primary.as_ref(),
                ));
            }
            (PromotionAction::Promote, CallResult::Done(_)) => {
                state.handle_promoted(board, slot, database, now, effects);
                return;
            }
            (PromotionAction::Promote, _) => {
                state.abandon_attempt(&timeouts, now);
                return;
            }
            (PromotionAction::Fence, CallResult::Refused(DatabaseError::TermTaken { .. })) => {
                state.abandon_attempt(&timeouts, now);
                return;
            }
            (PromotionAction::Fence | PromotionAction::Follow(_), _) => {}
        }
        state.advance(board, slot, &timeouts, now, effects);
    }
}

impl SlotPromotion {
    /// Whether this VM acts on the fault now. While the primary is busy and may be so, the delays
    /// begin anew, so that VMs still act one after the other.
    fn is_due(&mut self, draining: bool, timeouts: &Timeouts, now: MonoTime) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        if draining && now < suspicion.seen_at + timeouts.drain_timeout {
            suspicion.due_at = now + suspicion.delay;
        }
        now >= suspicion.due_at
    }

    /// Fences the members at a term that nobody has been seen to use.
    fn propose(
        &mut self,
        board: &Board,
        slot: SlotKey,
        top_term: Term,
        timeouts: &Timeouts,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let term = top_term.max(self.last_proposed).next();
        let state = &board.slots[slot];
        let recent = now - timeouts.status_timeout;
        let awaited = state.members.iter().filter(|m| has_answered_since(m, recent));
        let awaited = awaited.map(|m| database_name(board, m.database)).collect();
        self.suspicion = None;
        self.last_proposed = term;
        self.attempt = Some(PromotionAttempt::new(term, awaited, now));
        for member in &state.members {
            effects.push(call_effect(
                board,
                slot,
                member.database,
                term,
                PromotionAction::Fence,
                now,
            ));
        }
    }

    /// Goes on with the attempt if it has what it needs, or gives it up if its time is over.
    fn advance(
        &mut self,
        board: &Board,
        slot: SlotKey,
        timeouts: &Timeouts,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let majority = board.slots[slot].majority();
        let elapsed = now.since(attempt.started_at);
        let settled = attempt.awaited.is_empty() || elapsed >= timeouts.grant_grace;
        let choose = attempt.candidate.is_none() && settled && attempt.grants.len() >= majority;
        if choose && let Some(name) = attempt.choose(majority).cloned() {
            if let Some(database) = board.catalog.database(name.as_str()) {
                effects.push(call_effect(
                    board,
                    slot,
                    database,
                    attempt.term,
                    PromotionAction::Promote,
                    now,
                ));
            }
            attempt.candidate = Some(name);
            return;
        }
        let failed = attempt.awaited.is_empty() && attempt.grants.len() < majority;
        if failed || elapsed >= timeouts.attempt_timeout {
            self.abandon_attempt(timeouts, now);
        }
    }

    fn handle_promoted(
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
        self.trusted_since = now;
        let name = database_name(board, primary);
        let digest = board.catalog.slots[slot].digest;
        for member in board.slots[slot].members.iter().filter(|m| m.database != primary) {
            let action = PromotionAction::Follow(name.clone());
            effects.push(call_effect(board, slot, member.database, attempt.term, action, now));
            self.follow_issued_at.insert(database_name(board, member.database), now);
        }
        effects.push(PromotionEffect::Promoted { slot: digest, term: attempt.term, primary: name });
    }

    /// Keeps quiet for a while, and then looks at the slot afresh.
    fn abandon_attempt(&mut self, timeouts: &Timeouts, now: MonoTime) {
        self.attempt = None;
        self.suspicion = None;
        self.trusted_since = now;
        self.backoff_until = now + timeouts.retry_backoff;
    }

    /// Tells members that follow another primary, or none, whom to follow.
    fn repair_followers(
        &mut self,
        board: &Board,
        slot: SlotKey,
        primary: DatabaseKey,
        timeouts: &Timeouts,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let state = &board.slots[slot];
        let recent = now - timeouts.status_timeout;
        let Some(current_term) = state.member(primary).map(|m| m.term) else {
            return;
        };
        for member in
            state.members.iter().filter(|m| m.database != primary && has_answered_since(m, recent))
        {
            let misdirected = member.term < current_term
                || member.follows != Some(primary)
                || member.role == Role::Primary;
            let name = database_name(board, member.database);
            let asked_lately = self
                .follow_issued_at
                .get(&name)
                .is_some_and(|at| now.since(*at) < timeouts.follow_retry_interval);
            if misdirected && !asked_lately && member.term <= current_term {
                let action = PromotionAction::Follow(database_name(board, primary));
                effects.push(call_effect(board, slot, member.database, current_term, action, now));
                self.follow_issued_at.insert(name, now);
            }
        }
    }
}

/// How long this VM waits before it acts on a fault, so that VMs act one after the other.
fn proposal_delay(
    board: &Board,
    slot: SlotKey,
    me: &VmName,
    fault: PrimaryFault,
    timeouts: &Timeouts,
    random: u64,
) -> DurationUs {
    let least = match fault {
        PrimaryFault::Unreachable => DurationUs::default(),
        PrimaryFault::NoPrimary | PrimaryFault::Leaving => timeouts.settle_delay,
        PrimaryFault::Isolated => timeouts.isolation_delay,
    };
    let rank = rank(board, slot, me) as u64;
    DurationUs(
        least.0 + rank * timeouts.proposal_stagger.0 + random % timeouts.proposal_jitter.0.max(1),
    )
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

fn new_grant(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    status: &SlotStatus,
    outgoing_primary: Option<&DatabaseName>,
) -> Grant {
    let name = database_name(board, database);
    let leaving = board.catalog.databases[database].cfg.leaving;
    let order = board.slots[slot].members.iter().position(|m| m.database == database);
    Grant {
        avoid: leaving || outgoing_primary == Some(&name),
        database: name,
        order: order.unwrap_or(usize::MAX),
        position: status.position,
    }
}

fn call_effect(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    term: Term,
    action: PromotionAction,
    now: MonoTime,
) -> PromotionEffect {
    PromotionEffect::Call(PromotionCall {
        slot: board.catalog.slots[slot].digest,
        database: database_name(board, database),
        term,
        action,
        issued_at: now,
    })
}

fn database_name(board: &Board, database: DatabaseKey) -> DatabaseName {
    board.catalog.databases[database].name.clone()
}
