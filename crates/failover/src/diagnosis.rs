//! Health of a slot's primary, judged from the members' last status answers.

use board::{Board, DatabaseKey, SlotKey, SlotMember, SlotState};
use model::prelude::*;
use proto::database::Role;

use crate::timeouts::Timeouts;

/// Reason why a slot needs another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryFault {
    /// The primary answers neither this VM nor, as the replicas report, a majority of the members.
    Unreachable,
    /// The primary answers this VM, but no majority of the members reaches it.
    Isolated,
    /// No member is primary in the highest granted term.
    NoPrimary,
    /// The primary's database is leaving the service and another member can take over.
    Leaving,
}

/// Result of [`diagnose`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Diagnosis {
    /// Fewer than a majority of the members answer: no promotion can succeed, so none is attempted.
    NoMajority,
    /// The primary has not answered yet, but has been queried for less than the status timeout.
    Undetermined,
    /// The primary is in service.
    Healthy(DatabaseKey),
    /// The slot needs another primary.
    Faulty {
        /// What is wrong with the current primary.
        fault: PrimaryFault,
        /// Highest term that any member has granted.
        top_term: Term,
        /// Primary to be replaced, or `None` if no member is primary.
        primary: Option<DatabaseKey>,
    },
}

/// Whether the member has answered a query sent at `since` or later.
pub fn has_answered_since(member: &SlotMember, since: MonoTime) -> bool {
    member.asked_at.is_some_and(|at| at >= since)
}

/// Highest term that any member of the slot has granted.
pub fn highest_granted_term(slot: &SlotState) -> Term {
    slot.members.iter().map(|m| m.term).max().unwrap_or_default()
}

/// Judges the health of the slot's primary. A member counts as reachable only if it answered a
/// query sent at `since` or later and within the status timeout.
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

/// Counts the replicas that are assumed to reach the primary. A replica that follows it and reports
/// when the primary was last in service is judged by that report; any other replica is assumed to
/// reach the primary if this VM does (`reached`).
fn count_connected_replicas(
    state: &SlotState,
    primary: &SlotMember,
    recent: MonoTime,
    reached: bool,
) -> usize {
    let is_connected = |member: &&SlotMember| {
        let replica = member.database != primary.database && has_answered_since(member, recent);
        // A replica that does not follow this primary yet is no evidence against it.
        let follows_primary =
            member.term == primary.term && member.follows == Some(primary.database);
        let in_contact = match member.primary_in_service_at {
            Some(at) if follows_primary => at >= recent,
            _ => reached,
        };
        replica && in_contact
    };
    state.members.iter().filter(is_connected).count()
}

/// Whether the primary's database is leaving and a member that stays follows it in its term.
fn should_hand_over(
    board: &Board,
    state: &SlotState,
    primary: &SlotMember,
    recent: MonoTime,
) -> bool {
    let leaving = |m: &SlotMember| board.catalog.databases[m.database].cfg.leaving;
    let can_take_over = |m: &&SlotMember| {
        let caught_up = m.position.term == primary.term && m.follows == Some(primary.database);
        !leaving(m) && has_answered_since(m, recent) && caught_up
    };
    leaving(primary) && state.members.iter().any(|m| can_take_over(&m))
}
