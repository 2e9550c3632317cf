//! Updates the board from the status answers of databases.

use board::{
    Board, DatabaseKey, SlotKey, SlotMember, SlotState,
    freshness::{ConfirmedBound, ConfirmedBounds},
};
use model::prelude::*;
use proto::database::{Role, SlotStatus, Status};

/// A status query to a database and its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The database that was queried.
    pub database: DatabaseName,
    /// When the query was sent.
    pub asked_at: MonoTime,
    /// The answer, or `None` if none arrived.
    pub status: Option<Status>,
}

/// Records an observation on the board. Databases that the catalog does not know are ignored.
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

/// Records a database's status of one slot, from the answer to a query sent at `asked_at`. An
/// answer to an older query than the last recorded one is ignored.
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

/// Records the slot's term and primary as reported by another VM or in a database's error. A report
/// with a lower term than the known one is ignored.
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

/// Records the database as the primary if it reports that role in the highest known term.
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

/// Advances the confirmed position to the highest one that a majority holds in the current term's
/// log.
fn update_confirmed(slot: &mut SlotState) {
    let current_term = slot.term;
    let mut positions: Vec<Position> =
        slot.members.iter().map(|m| m.position).filter(|p| p.term == current_term).collect();
    positions.sort_unstable_by(|a, b| b.cmp(a));
    if let Some(&held) = positions.get(slot.majority() - 1) {
        slot.confirmed = slot.confirmed.max(held);
    }
}

/// Advances the last moment at which a majority is known not to have granted a higher term than the
/// primary's.
fn update_verified(slot: &mut SlotState) {
    let current_term = slot.term;
    let is_primary = |m: &SlotMember| {
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

/// Derives bounds on the confirmed position from the members' last answers, and from the bounds how
/// fresh each member's data is.
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

/// Adds an upper bound on the position that was confirmed when the oldest of the `seen` queries was
/// sent.
///
/// A position confirmed at that moment was held by a majority, at most `unseen` of which are
/// missing from `seen`, so at least `majority - unseen` of the seen positions are no lower. Unseen
/// members may hold any position.
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
