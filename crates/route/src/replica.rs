//! Decides which databases can serve a request, and in which mode.

use board::{Board, DatabaseKey, SlotKey};
use config::{Route, RouteKind};
use model::prelude::*;

/// How a database can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeMode {
    /// The database serves it as the slot's primary.
    Primary,
    /// The database serves it as a replica that is fresh enough and has applied the session's
    /// position.
    Replica,
    /// The database serves it as a replica that is fresh enough, once it has applied the session's
    /// position.
    LaggingReplica,
    /// The database can't serve it.
    Unable,
}

/// Databases to try for a request, best first, as the entry VM sees them. Reads that accept stale
/// data go to replicas before the primary, and to those in this VM's data centre first.
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
    let in_other_dc = |database: DatabaseKey| cfg(database).dc != board.fleet.me.dc;
    databases.sort_by_key(|&d| (cfg(d).leaving, is_silent(d), is_primary(d), in_other_dc(d)));
    databases
}

/// The slot's databases, the known primary first. The others follow because their holders may know
/// a newer primary.
pub fn primary_first(board: &Board, slot: SlotKey) -> Vec<DatabaseKey> {
    let state = &board.slots[slot];
    let in_other_dc =
        |database: DatabaseKey| board.catalog.databases[database].cfg.dc != board.fleet.me.dc;
    let mut databases: Vec<DatabaseKey> = state.members.iter().map(|m| m.database).collect();
    databases.sort_by_key(|&d| (Some(d) != state.primary, in_other_dc(d)));
    databases
}

/// Another replica that is expected to serve the request without waiting.
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

/// How the database is expected to serve the request, judged from its last status.
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
    let primary_in_same_dc =
        state.primary.is_some_and(|primary| board.catalog.databases[primary].cfg.dc == entry.dc);
    if primary_in_same_dc { ServeMode::Unable } else { ServeMode::LaggingReplica }
}

/// Whether the primary is known, without asking, to have been current at a moment that the route's
/// maximum age allows.
pub fn is_primary_verified(board: &Board, slot: SlotKey, route: &Route, now: MonoTime) -> bool {
    route.max_age_ms > 0 && is_primary_verified_within(board, slot, max_age(route), now)
}

/// Whether the primary is known to have been current at some moment within the last `age`.
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
