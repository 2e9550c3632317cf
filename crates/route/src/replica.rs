//! Which databases may serve a request, and how.

use board::{Board, DatabaseKey, SlotKey};
use config::{Route, RouteKind};
use model::prelude::*;

/// How a database can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeMode {
    /// As the slot's primary.
    Primary,
    /// As a replica that is fresh enough.
    Replica,
    /// As a replica, once it has applied the position that the session has seen.
    LaggingReplica,
    /// Not at all.
    Unable,
}

/// The databases to try for a request, best first, as an entry VM sees it.
pub fn databases_to_try(board: &Board, slot: SlotKey, route: &Route) -> Vec<DatabaseKey> {
    if route.kind == RouteKind::Write || route.max_age_ms == 0 {
        return primary_first(board, slot);
    }
    let state = &board.slots[slot];
    let is_primary = |database: DatabaseKey| Some(database) == state.primary;
    let cfg = |database: DatabaseKey| &board.catalog.databases[database].cfg;
    let members = state.members.iter().map(|m| m.database);
    let mut databases: Vec<DatabaseKey> =
        members.filter(|&d| is_primary(d) || !cfg(d).leaving).collect();
    let is_silent = |database: DatabaseKey| board.databases[database].silent_since.is_some();
    let is_far = |database: DatabaseKey| cfg(database).dc != board.fleet.me.dc;
    databases.sort_by_key(|&d| (cfg(d).leaving, is_silent(d), is_primary(d), is_far(d)));
    databases
}

/// The slot's databases, its primary first: the holders of the others know where it went.
pub fn primary_first(board: &Board, slot: SlotKey) -> Vec<DatabaseKey> {
    let state = &board.slots[slot];
    let is_far =
        |database: DatabaseKey| board.catalog.databases[database].cfg.dc != board.fleet.me.dc;
    let mut databases: Vec<DatabaseKey> = state.members.iter().map(|m| m.database).collect();
    databases.sort_by_key(|&d| (Some(d) != state.primary, is_far(d)));
    databases
}

/// Another replica that can serve the request, as far as is known.
pub fn find_other_replica(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    route: &Route,
    min_position: Position,
    now: MonoTime,
) -> Option<DatabaseKey> {
    let can_serve = |d: &DatabaseKey| {
        serve_mode(board, slot, *d, route, min_position, now) == ServeMode::Replica
    };
    board.slots[slot].members.iter().map(|m| m.database).filter(|d| *d != database).find(can_serve)
}

/// How the database can serve the request, as far as is known before asking it.
pub fn serve_mode(
    board: &Board,
    slot: SlotKey,
    database: DatabaseKey,
    route: &Route,
    min_position: Position,
    now: MonoTime,
) -> ServeMode {
    let state = &board.slots[slot];
    if state.primary == Some(database) {
        return ServeMode::Primary;
    }
    let Some(member) = state.member(database).filter(|_| route.kind == RouteKind::Read) else {
        return ServeMode::Unable;
    };
    let entry = &board.catalog.databases[database].cfg;
    let age = member.fresh_at.map(|at| now.since(at));
    let fresh_enough = age.is_some_and(|age| age <= max_age(route));
    if !fresh_enough || entry.leaving || route.max_age_ms == 0 {
        return ServeMode::Unable;
    }
    if member.position >= min_position {
        return ServeMode::Replica;
    }
    let primary_is_near =
        state.primary.is_some_and(|primary| board.catalog.databases[primary].cfg.dc == entry.dc);
    if primary_is_near { ServeMode::Unable } else { ServeMode::LaggingReplica }
}

/// Whether it is known without asking that the primary was the current one at a moment that the
/// route's age allows.
pub fn is_primary_verified(board: &Board, slot: SlotKey, route: &Route, now: MonoTime) -> bool {
    route.max_age_ms > 0 && is_primary_verified_within(board, slot, max_age(route), now)
}

/// Whether the primary was the current one at a moment no longer ago than that.
pub fn is_primary_verified_within(
    board: &Board,
    slot: SlotKey,
    age: DurationUs,
    now: MonoTime,
) -> bool {
    board.slots[slot].primary_verified_at.is_some_and(|at| now.since(at) <= age)
}

fn max_age(route: &Route) -> DurationUs {
    DurationUs::from_ms(route.max_age_ms)
}
