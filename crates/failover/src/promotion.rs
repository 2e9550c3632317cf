//! Promotes a member of a slot when the primary is faulty: `(board, event, now) -> effects`.
//!
//! A VM that finds the primary faulty fences a majority of the members at the next term, promotes
//! one of them and tells the others to follow it. This needs neither a coordinator nor the
//! platform. A member grants a term to only one proposer, and a proposer asks only one member in a
//! term, so a term has at most one primary.

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

/// Action that a database is asked to perform on a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionAction {
    /// Grant the term to this VM and accept nothing of a lower term from then on.
    Fence,
    /// Become the slot's primary in the term.
    Promote,
    /// Become a replica of this primary.
    Follow(DatabaseName),
}

/// A call to the admin address of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionCall {
    /// Digest of the slot's service and name.
    pub slot: SlotDigest,
    /// Database to call.
    pub database: DatabaseName,
    /// Term in which the action takes effect.
    pub term: Term,
    /// Action that the database is asked to perform.
    pub action: PromotionAction,
    /// When the controller requested the call.
    pub issued_at: MonoTime,
}

/// Result of a [`PromotionCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The database performed the action; the slot's status after it.
    Done(SlotStatus),
    /// The database refused the action.
    Refused(DatabaseError),
    /// No answer arrived. The action may have been performed.
    Lost,
}

/// Input of the [`PromotionController`].
#[derive(Clone, Debug, PartialEq)]
pub enum PromotionEvent {
    /// Time has passed.
    Tick {
        /// Random number that spreads the proposals of several VMs.
        random: u64,
    },
    /// A call has ended, with or without an answer.
    CallFinished(PromotionCall, CallResult),
}

/// Output of the [`PromotionController`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionEffect {
    /// Call a database and report the result with [`PromotionEvent::CallFinished`].
    Call(PromotionCall),
    /// This VM has promoted a member.
    Promoted {
        /// Digest of the slot's service and name.
        slot: SlotDigest,
        /// Term in which the member is primary.
        term: Term,
        /// The promoted member.
        primary: DatabaseName,
    },
}

/// A fault of a slot's primary, and when this VM acts on it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Suspicion {
    fault: PrimaryFault,
    top_term: Term,
    /// When this VM first saw the fault.
    seen_at: MonoTime,
    /// This VM's proposal delay for the fault.
    delay: DurationUs,
    /// When this VM starts an attempt, unless the fault has gone by then.
    due_at: MonoTime,
}

/// Promotion state of one slot.
#[derive(Clone, Debug, Default)]
struct SlotPromotion {
    suspicion: Option<Suspicion>,
    attempt: Option<PromotionAttempt>,
    /// Highest term that this VM has proposed for the slot.
    last_proposed: Term,
    /// The faulty primary that is being replaced. Set until the slot is healthy again.
    outgoing_primary: Option<DatabaseName>,
    /// Answers to queries sent before this moment are ignored.
    trusted_since: MonoTime,
    /// No attempt is started before this moment.
    backoff_until: MonoTime,
    /// When each member was last asked to follow a primary.
    follow_issued_at: FxHashMap<DatabaseName, MonoTime>,
}

/// Drives the promotions of all slots whose databases this VM monitors.
#[derive(Clone, Debug)]
pub struct PromotionController {
    me: VmIdentity,
    timeouts: Timeouts,
    slots: FxHashMap<SlotDigest, SlotPromotion>,
}

impl PromotionController {
    /// Creates the controller of the VM `me`.
    pub fn new(me: VmIdentity, timeouts: Timeouts) -> PromotionController {
        PromotionController { me, timeouts, slots: FxHashMap::default() }
    }

    /// Name under which this VM proposes a term: `VM/incarnation`.
    pub fn proposer(&self) -> String {
        format!("{}/{}", self.me.vm, self.me.incarnation.0)
    }

    /// Handles an event and returns the effects to carry out.
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
            PromotionEvent::CallFinished(call, result) => {
                self.handle_result(board, &call, result, now, &mut effects);
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
        let monitored = board.slots[slot].members.iter().any(|m| m.asked_at.is_some());
        if !monitored {
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
        result: CallResult,
        now: MonoTime,
        effects: &mut Vec<PromotionEffect>,
    ) {
        let Some(slot) = board.catalog.slot_by_digest(call.slot) else {
            return;
        };
        let Some(database) = board.catalog.database(call.database.as_str()) else {
            return;
        };
        if let CallResult::Done(status) = &result {
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
        match (&call.action, result) {
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
    /// Whether this VM acts on the fault now. While a leaving primary drains, up to the drain
    /// timeout, the proposal delay restarts, so that the VMs still act one after another when the
    /// transactions have ended.
    fn is_due(&mut self, draining: bool, timeouts: &Timeouts, now: MonoTime) -> bool {
        let Some(suspicion) = &mut self.suspicion else {
            return false;
        };
        if draining && now < suspicion.seen_at + timeouts.drain_timeout {
            suspicion.due_at = now + suspicion.delay;
        }
        now >= suspicion.due_at
    }

    /// Starts an attempt: fences all members at a term higher than any granted or proposed so far.
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

    /// Promotes a member if the attempt has the grants it needs, or abandons the attempt if it
    /// failed or timed out.
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

    /// Ends the attempt and asks the other members to follow the new primary.
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

    /// Abandons the attempt. The slot is diagnosed anew after a backoff, from answers to new
    /// queries.
    fn abandon_attempt(&mut self, timeouts: &Timeouts, now: MonoTime) {
        self.attempt = None;
        self.suspicion = None;
        self.trusted_since = now;
        self.backoff_until = now + timeouts.retry_backoff;
    }

    /// Asks members that follow another primary, or none, to follow `primary`.
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

/// How long this VM waits before it acts on a fault. The delay grows with the VM's rank, so that
/// VMs act one after another.
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

/// Index of this VM among the holders of the slot's databases, in an order that is the same on
/// every VM.
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
