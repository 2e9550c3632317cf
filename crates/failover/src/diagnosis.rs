//! What is wrong with a slot, as far as its members' last answers tell.

use board::{Board, DatabaseKey, Member, SlotKey, SlotState};
use model::prelude::*;
use proto::database::Role;

use crate::limits::Limits;

/// Why a slot needs another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary answers neither this VM nor, by their own word, a majority of the members.
    Gone,
    /// The primary answers, but no majority of the members hears it.
    Unheard,
    /// No member is primary in the highest term granted.
    NoPrimary,
    /// The primary's database is leaving.
    Leaving,
}

/// The state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Too few members answer: nothing can be promoted, and nothing is disturbed.
    NoMajority,
    /// The primary has had too little time to answer.
    TooEarly,
    /// The primary is in service.
    Healthy(DatabaseKey),
    /// The slot needs another primary.
    Faulty {
        /// Why.
        fault: Fault,
        /// The highest term that a member has granted.
        top: Term,
        /// The primary that is to be replaced.
        primary: Option<DatabaseKey>,
    },
}

/// Whether the member answered a query that left at `since` or later.
pub fn answers(member: &Member, since: MonoTime) -> bool {
    member.asked_at.is_some_and(|at| at >= since)
}

/// The highest term that a member has granted.
pub fn top_term(slot: &SlotState) -> Term {
    slot.members.iter().map(|m| m.term).max().unwrap_or_default()
}

/// What is wrong with the slot. Answers to queries that left before `since` count for nothing.
pub fn diagnose(
    board: &Board,
    slot: SlotKey,
    since: MonoTime,
    limits: &Limits,
    now: MonoTime,
) -> Condition {
    let state = &board.slots[slot];
    let recent = since.max(now - limits.silent);
    let answering = state.members.iter().filter(|m| answers(m, recent)).count();
    if answering < state.majority() {
        return Condition::NoMajority;
    }
    let top = top_term(state);
    let Some(primary) = state.members.iter().find(|m| m.role == Role::Primary && m.term == top)
    else {
        return Condition::Faulty { fault: Fault::NoPrimary, top, primary: None };
    };
    let reached = answers(primary, recent);
    let asked_long_enough = now.since(since) >= limits.silent;
    if !reached && !asked_long_enough {
        return Condition::TooEarly;
    }
    let in_touch = 1 + count_hearing(state, primary, recent, reached);
    let fault = match (reached, in_touch >= state.majority()) {
        (false, false) => Fault::Gone,
        (true, false) => Fault::Unheard,
        (_, true) if should_hand_over(board, state, primary, recent) => Fault::Leaving,
        (_, true) => return Condition::Healthy(primary.database),
    };
    Condition::Faulty { fault, top, primary: Some(primary.database) }
}

/// How many replicas say that the primary is in service. Where they can't tell, those that follow it
/// are believed to hear it as long as it answers this VM.
fn count_hearing(state: &SlotState, primary: &Member, recent: MonoTime, reached: bool) -> usize {
    let hears = |member: &&Member| {
        let replica = member.database != primary.database && answers(member, recent);
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
        !leaving(m) && answers(m, recent) && caught_up
    };
    leaving(primary) && state.members.iter().any(|m| can_take_over(&m))
}
