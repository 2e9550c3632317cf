//! Takes what databases say of themselves onto the board.

use board::{
    Board, DatabaseKey, Member, SlotKey, SlotState,
    freshness::{ConfirmedBound, ConfirmedBounds},
};
use model::prelude::*;
use proto::database::{Role, SlotStatus, Status};

/// A database's answer to a status query.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Who was asked.
    pub database: DatabaseName,
    /// When the query left.
    pub asked_at: MonoTime,
    /// The answer; absent where none came.
    pub status: Option<Status>,
}

/// Takes an observation onto the board.
pub fn observe(board: &mut Board, observation: &Observation, now: MonoTime) {
    let Some(database) = board.catalog.database(observation.database.as_str()) else {
        return;
    };
    let state = &mut board.databases[database];
    let Some(status) = &observation.status else {
        state.silent_since.get_or_insert(now);
        return;
    };
    state.answered_at = Some(now);
    state.silent_since = None;
    for slot_status in &status.slots {
        observe_slot(board, database, slot_status, observation.asked_at);
    }
}

/// Takes what a database said of one slot, in answer to a query that left at `asked_at`.
pub fn observe_slot(
    board: &mut Board,
    database: DatabaseKey,
    status: &SlotStatus,
    asked_at: MonoTime,
) {
    let Some(slot) = find_slot(board, status) else {
        return;
    };
    let follows = status.primary.as_ref().and_then(|name| board.catalog.database(name.as_str()));
    let state = &mut board.slots[slot];
    let Some(member) = state.members.iter_mut().find(|m| m.database == database) else {
        return;
    };
    if member.asked_at.is_some_and(|last| last > asked_at) {
        return;
    }
    let in_service_at =
        status.primary_in_service_ms.map(|ms| asked_at - DurationUs(ms.saturating_mul(1_000)));
    member.role = status.role;
    member.term = status.term;
    member.follows = follows;
    member.position = status.position;
    member.asked_at = Some(asked_at);
    member.primary_in_service_at = in_service_at;
    member.open_transactions = status.open_transactions;
    update_primary(state, database, status);
    update_confirmed(state);
    update_verified(state);
    update_freshness(state);
}

/// Takes the word of another VM or of a database about who is the primary.
pub fn learn_primary(board: &mut Board, slot: SlotKey, term: Term, primary: Option<DatabaseKey>) {
    let state = &mut board.slots[slot];
    if term < state.term {
        return;
    }
    if term > state.term {
        state.primary_verified_at = None;
    }
    state.term = term;
    state.primary = primary.or(state.primary);
}

fn find_slot(board: &Board, status: &SlotStatus) -> Option<SlotKey> {
    let service = board.catalog.service(status.service.as_str())?;
    board.catalog.slot(service, status.slot.as_str())
}

fn update_primary(slot: &mut SlotState, database: DatabaseKey, status: &SlotStatus) {
    let is_current_primary = status.role == Role::Primary && status.term >= slot.term;
    if !is_current_primary {
        return;
    }
    let changed = (slot.term, slot.primary) != (status.term, Some(database));
    if changed {
        slot.primary_verified_at = None;
    }
    slot.term = status.term;
    slot.primary = Some(database);
}

/// Raises the confirmed position to what a majority holds of the running term's log.
fn update_confirmed(slot: &mut SlotState) {
    let current_term = slot.term;
    let mut positions: Vec<Position> =
        slot.members.iter().map(|m| m.position).filter(|p| p.term == current_term).collect();
    positions.sort_unstable_by(|a, b| b.cmp(a));
    if let Some(&held) = positions.get(slot.majority() - 1) {
        slot.confirmed = slot.confirmed.max(held);
    }
}

/// Notes since when a majority has granted no term past the primary's.
fn update_verified(slot: &mut SlotState) {
    let current_term = slot.term;
    let is_primary = |m: &Member| {
        Some(m.database) == slot.primary && m.role == Role::Primary && m.term == current_term
    };
    if !slot.members.iter().any(is_primary) {
        return;
    }
    let mut moments: Vec<MonoTime> =
        slot.members.iter().filter(|m| m.term <= current_term).filter_map(|m| m.asked_at).collect();
    moments.sort_unstable_by(|a, b| b.cmp(a));
    let verified_at = moments.get(slot.majority() - 1).copied();
    slot.primary_verified_at = slot.primary_verified_at.max(verified_at);
}

/// Adds what the last answers say of the confirmed position, and dates the members by it.
fn update_freshness(slot: &mut SlotState) {
    let majority = slot.majority();
    let unseen_max = majority - 1;
    let mut seen: Vec<(MonoTime, Position)> =
        slot.members.iter().filter_map(|m| Some((m.asked_at?, m.position))).collect();
    seen.sort_unstable_by(|a, b| b.cmp(a));
    let fewest = slot.members.len() - unseen_max;
    for count in fewest..=seen.len() {
        add_confirmed_bound(&mut slot.bounds, &seen[..count], slot.members.len(), majority);
    }
    let current_term = slot.term;
    for member in &mut slot.members {
        let in_current_term = member.term == current_term && member.position.term == current_term;
        // A log that ends in an older term may hold entries that were never confirmed.
        member.fresh_at = match in_current_term {
            true => member.fresh_at.max(slot.bounds.covered_until(member.position)),
            false => None,
        };
    }
}

/// What was confirmed at a moment was held by a majority then, so a majority of the positions seen
/// later are no less. Members not seen since may hold anything.
fn add_confirmed_bound(
    bounds: &mut ConfirmedBounds,
    seen: &[(MonoTime, Position)],
    members: usize,
    majority: usize,
) {
    let Some(&(at, _)) = seen.last() else {
        return;
    };
    let unseen = members - seen.len();
    let mut positions: Vec<Position> = seen.iter().map(|&(_, position)| position).collect();
    positions.sort_unstable_by(|a, b| b.cmp(a));
    if let Some(&position) = positions.get(majority - 1 - unseen) {
        bounds.add(ConfirmedBound { at, position });
    }
}
