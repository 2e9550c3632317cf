//! Which VMs hold the connections to a database, and how many each may open.
//!
//! A connection belongs to one workspace, and opening one costs a database as much as running a
//! statement. With a pool on every VM, a fleet needs VMs times workspaces connections to a database,
//! which databases of a large fleet don't have: each statement would open a connection, and many
//! would be refused. So the connections of a database are concentrated on a few VMs near it, which
//! follow from the list of VMs alone. All VMs use the first holder that they can reach; the others
//! have a small share of the connections, so that the limit holds while VMs disagree on who is
//! reachable.

use model::{prelude::*, request::stable_hash};

/// Greatest number of holders of a database.
pub const HOLDERS_MAX: usize = 3;
/// Percentage of a database's connections that is left free: for connections of VMs that died, which
/// the database has not noticed yet, and for VMs that reach no holder.
const RESERVE_PERCENT: usize = 10;
/// Percentages of the other connections for the second and third holder. The rest is for the first.
const RESERVE_SHARE_PERCENT: [usize; HOLDERS_MAX - 1] = [20, 10];

/// Returns the holders of a database among `candidates`, the first choice first.
///
/// The order depends on the names only, and the loss or addition of a VM moves only its own databases.
pub fn choose<'a>(
    database: &DatabaseName,
    candidates: impl Iterator<Item = &'a VmName>,
) -> Vec<VmName> {
    let mut ranked: Vec<(u64, &VmName)> =
        candidates.map(|vm| (stable_hash(&format!("{database}/{vm}")), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(HOLDERS_MAX);
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Returns how many connections the holder of a rank may open to a database that accepts `limit`, where
/// there are `holders` of them. The shares of all ranks never exceed the limit; where it is below the
/// number of holders, the last ones have none.
pub fn share(limit: usize, holders: usize, rank: usize) -> usize {
    let shared = limit - limit * RESERVE_PERCENT / 100;
    let later_share = |rank: usize| match rank < holders.min(shared) {
        true => (shared * RESERVE_SHARE_PERCENT[rank - 1] / 100).max(1),
        false => 0,
    };
    match rank {
        0 => shared - (1..HOLDERS_MAX).map(later_share).sum::<usize>(),
        1..HOLDERS_MAX => later_share(rank),
        _ => 0,
    }
}
