//! What is wrong with a slot, as far as its members' last answers tell.

use board::{Board, DatabaseKey, Member, SlotKey, SlotState};
use model::prelude::*;
use proto::database::Role;

use crate::timeouts::Timeouts;

/// Why a slot needs another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryFault {
    /// The primary answers neither this VM nor, by their own word, a majority of the members.
    Unreachable,
    /// The primary answers, but no majority of the members hears it.
    Isolated,
    /// No member is primary in the highest term granted.
    NoPrimary,
    /// The primary's database is leaving.
    Leaving,
}

/// The state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Diagnosis {
    /// Too few members answer: nothing can be promoted, and nothing is disturbed.
    NoMajority,
    /// The primary has had too little time to answer.
    Undetermined,
    /// The primary is in service.
    Healthy(DatabaseKey),
    /// The slot needs another primary.
    Faulty {
        /// Why.
        fault: PrimaryFault,
        /// The highest term that a member has granted.
        top_term: Term,
        /// The primary that is to be replaced.
        primary: Option<DatabaseKey>,
    },
}

/// Whether the member answered a query that left at `since` or later.
pub fn has_answered_since(member: &Member, since: MonoTime) -> bool {
    member.asked_at.is_some_and(|at| at >= since)
}

/// The highest term that a member has granted.
pub fn highest_granted_term(slot: &SlotState) -> Term {
    slot.members.iter().map(|m| m.term).max().unwrap_or_default()
}

/// What is wrong with the slot. Answers to queries that left before `since` count for nothing.
pub fn diagnose(
    board: &Board,
    slot: SlotKey,
    since: MonoTime,
    timeouts: &Timeouts,
    now: MonoTime,
) -> Diagnosis {
    let state = &board.slots[slot];
    let recent = since.max(now - timeouts.status_timeout);
    let answering = state.members.iter().filter(|m| has_answered_since(m, recent)).count();
    if answering < state.majority() {
        return Diagnosis::NoMajority;
    }
    let top_term = highest_granted_term(state);
    let Some(primary) =
        state.members.iter().find(|m| m.role == Role::Primary && m.term == top_term)
    else {
        return Diagnosis::Faulty { fault: PrimaryFault::NoPrimary, top_term, primary: None };
    };
    let reached = has_answered_since(primary, recent);
    let asked_long_enough = now.since(since) >= timeouts.status_timeout;
    if !reached && !asked_long_enough {
        return Diagnosis::Undetermined;
    }
    let connected = 1 + count_connected_replicas(state, primary, recent, reached);
    let fault = match (reached, connected >= state.majority()) {
        (false, false) => PrimaryFault::Unreachable,
        (true, false) => PrimaryFault::Isolated,
        (_, true) if should_hand_over(board, state, primary, recent) => PrimaryFault::Leaving,
        (_, true) => return Diagnosis::Healthy(primary.database),
    };
    Diagnosis::Faulty { fault, top_term, primary: Some(primary.database) }
}

/// How many replicas say that the primary is in service. Where they can't tell, those that follow it
/// are believed to hear it as long as it answers this VM.
fn count_connected_replicas(
    state: &SlotState,
    primary: &Member,
    recent: MonoTime,
    reached: bool,
) -> usize {
    let hears = |member: &&Member| {
        let replica = member.database != primary.database && has_answered_since(member, recent);
        // A replica that has yet to be told whom to follow says nothing against the primary.
        let told = member.term == primary.term && member.follows == Some(primary.database);
        let heard = match member.primary_in_service_at {
            Some(at) if told => at >= recent,
            _ => reached,
        };
        replica && heard
    };
    state.members.iter().filter(hears).count()
}

/// Whether the primary's database is leaving and enough of the others can take over.
fn should_hand_over(board: &Board, state: &SlotState, primary: &Member, recent: MonoTime) -> bool {
    let leaving = |m: &Member| board.catalog.databases[m.database].cfg.leaving;
    let can_take_over = |m: &&Member| {
        let caught_up = m.position.term == primary.term && m.follows == Some(primary.database);
        !leaving(m) && has_answered_since(m, recent) && caught_up
    };
    leaving(primary) && state.members.iter().any(|m| can_take_over(&m))
}
