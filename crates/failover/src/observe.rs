//! Takes what databases say of themselves onto the board.

use board::{Board, DatabaseKey, SlotKey, SlotState};
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
        if let Some(slot) = find_slot(board, slot_status) {
            observe_member(&mut board.slots[slot], database, slot_status, observation.asked_at);
        }
    }
}

/// Takes the word of another VM or of a database about who is the primary.
pub fn learn_primary(board: &mut Board, slot: SlotKey, term: Term, primary: Option<DatabaseKey>) {
    let state = &mut board.slots[slot];
    if term < state.term {
        return;
    }
    state.term = term;
    state.primary = primary.or(state.primary);
}

fn find_slot(board: &Board, status: &SlotStatus) -> Option<SlotKey> {
    let service = board.catalog.service(status.service.as_str())?;
    board.catalog.slot(service, status.slot.as_str())
}

fn observe_member(
    slot: &mut SlotState,
    database: DatabaseKey,
    status: &SlotStatus,
    asked_at: MonoTime,
) {
    let Some(member) = slot.members.iter_mut().find(|m| m.database == database) else {
        return;
    };
    member.role = status.role;
    member.term = status.term;
    member.position = status.position;
    let takes_over = status.role == Role::Primary && status.term >= slot.term;
    if takes_over {
        slot.term = status.term;
        slot.primary = Some(database);
    }
    slot.confirmed = slot.confirmed.max(majority_position(slot));
    let confirmed = slot.confirmed;
    if let Some(member) =
        slot.members.iter_mut().find(|m| m.database == database && m.position >= confirmed)
    {
        member.fresh_at = Some(asked_at);
    }
}

/// The highest position that a majority of the members has reached.
fn majority_position(slot: &SlotState) -> Position {
    let mut positions: Vec<Position> = slot.members.iter().map(|m| m.position).collect();
    positions.sort_unstable_by(|a, b| b.cmp(a));
    positions.get(slot.majority() - 1).copied().unwrap_or(Position::ZERO)
}
