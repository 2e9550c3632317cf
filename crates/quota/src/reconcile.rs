//! Brings the data centre's object in line with the list of VMs and the configuration.

use std::collections::BTreeMap;

use board::{Board, DatabaseKey};
use fleet::placement::holders;
use model::prelude::*;

use crate::{
    lenders::{HOME_OWNERS, HomeRanking, instance_of},
    objects::{DcObject, SharesObject, VmInstance},
};

/// The object as it should be: owners in `gone` removed, free parts and connections assigned to the VMs
/// that should own them. Takes nothing from any other owner.
pub fn reconciled<'a>(
    board: &Board,
    object: &DcObject,
    shares: &SharesObject,
    gone: impl Iterator<Item = &'a VmInstance>,
) -> DcObject {
    let mut wanted = object.clone();
    let gone: FxHashSet<&VmInstance> = gone.collect();
    wanted.holdings.retain(|h| !gone.contains(&h.owner));
    raise_dc_parts(board, &mut wanted, shares);
    assign_free_parts(board, &mut wanted);
    assign_free_connections(board, &mut wanted);
    wanted.prune();
    wanted
}

/// Takes over the data centre's parts from `shares`.
fn raise_dc_parts(board: &Board, wanted: &mut DcObject, shares: &SharesObject) {
    for workspace in &board.catalog.cfg.workspaces {
        let parts = shares.parts(&workspace.name, &board.fleet.me.dc);
        if parts > 0 {
            wanted.parts.insert(workspace.name.clone(), parts);
        }
    }
}

/// Assigns parts without an owner to home owners, up to an even portion each.
fn assign_free_parts(board: &Board, wanted: &mut DcObject) {
    let ranking = HomeRanking::new(&board.fleet.vms, &board.fleet.me.dc);
    let owned = wanted.owned_parts();
    let free = wanted.parts.iter().filter_map(|(workspace, parts)| {
        let free = parts.saturating_sub(owned.get(workspace).copied().unwrap_or(0));
        (free > 0).then_some((workspace.clone(), *parts, free))
    });
    let free: Vec<(WorkspaceName, u32, u32)> = free.collect();
    for (workspace, parts, mut free) in free {
        let homes = ranking.home_owners(&workspace, HOME_OWNERS);
        let count = homes.len() as u32;
        let Some(even) = parts.checked_div(count) else {
            continue;
        };
        for (rank, home) in homes.into_iter().enumerate() {
            let target = even + u32::from((rank as u32) < parts % count);
            let mine = wanted.holding_mut(home).portions.entry(workspace.clone()).or_default();
            let given = target.saturating_sub(*mine).min(free);
            *mine += given;
            free -= given;
        }
    }
}

/// Assigns connections without an owner to the holders of the database, up to their targets.
fn assign_free_connections(board: &Board, wanted: &mut DcObject) {
    let owned: FxHashMap<DatabaseName, u32> =
        wanted.owned_connections().into_iter().map(|(name, count)| (name.clone(), count)).collect();
    for (key, entry) in board.catalog.databases.iter_enumerated() {
        if entry.cfg.dc != board.fleet.me.dc {
            continue;
        }
        let owned = owned.get(&entry.name).copied().unwrap_or(0);
        let mut free = entry.cfg.connection_limit.saturating_sub(owned);
        for (holder, target) in connection_targets(board, key) {
            let mine = wanted.holding_mut(&holder).connections.entry(entry.name.clone());
            let mine = mine.or_default();
            let given = target.saturating_sub(*mine).min(free);
            *mine += given;
            free -= given;
        }
    }
}

/// How many connections each holder of the database should own: the database's limit, divided evenly.
pub fn connection_targets(board: &Board, database: DatabaseKey) -> Vec<(VmInstance, u32)> {
    let limit = board.catalog.databases[database].cfg.connection_limit;
    let holders: Vec<VmInstance> = holders(board, database).into_iter().map(instance_of).collect();
    let count = holders.len() as u32;
    let target = |rank: usize| limit / count + u32::from((rank as u32) < limit % count);
    holders.into_iter().enumerate().map(|(rank, holder)| (holder, target(rank))).collect()
}

/// Databases to which the instance `me` owns more connections than its target, with the target. `mine`
/// is what it owns.
pub fn surplus_connections(
    board: &Board,
    mine: &BTreeMap<DatabaseName, u32>,
    me: &VmInstance,
) -> BTreeMap<DatabaseName, u32> {
    let target = |name: &DatabaseName| {
        let Some(key) = board.catalog.database(name.as_str()) else {
            return 0;
        };
        let targets = connection_targets(board, key);
        targets.into_iter().find(|(holder, _)| holder == me).map_or(0, |(_, target)| target)
    };
    let with_targets = mine.iter().map(|(name, count)| (name, *count, target(name)));
    let surplus = with_targets.filter(|(_, count, target)| count > target);
    surplus.map(|(name, _, target)| (name.clone(), target)).collect()
}
