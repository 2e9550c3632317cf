//! Which databases may serve a request.

use board::{Board, DatabaseKey, SlotKey};
use config::{Route, RouteKind};
use model::prelude::*;

/// The databases to try for a request, best first, as an entry VM sees it.
pub fn databases_to_try(board: &Board, slot: SlotKey, route: &Route) -> Vec<DatabaseKey> {
    let state = &board.slots[slot];
    let usable = |database: &DatabaseKey| !board.catalog.databases[*database].cfg.leaving;
    if route.kind == RouteKind::Write {
        return state.primary.into_iter().collect();
    }
    let distance = |database: &DatabaseKey| {
        let near = board.catalog.databases[*database].cfg.dc == board.fleet.me.dc;
        (!near, Some(*database) != state.primary)
    };
    let mut databases: Vec<DatabaseKey> =
        state.members.iter().map(|m| m.database).filter(usable).collect();
    databases.sort_by_key(distance);
    databases
}

/// Whether a database can serve a read, as far as is known before asking it.
pub fn may_serve(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    route: &Route,
    min_position: Position,
    now: MonoTime,
) -> bool {
    let state = &board.slots[slot];
    if state.primary == Some(database) {
        return true;
    }
    let Some(member) = state.member(database) else {
        return false;
    };
    let age = member.fresh_at.map(|at| now.since(at));
    let young = age.is_some_and(|age| age <= DurationUs::from_ms(route.max_age_ms));
    young && member.position >= min_position
}
