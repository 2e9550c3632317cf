//! Which VMs hold connections to a database: rendezvous hashing over the VMs of its data centre.

use board::{Board, DatabaseKey, placement::rank};
use proto::platform::VmRecord;

/// The VMs that hold connections to the database, best-ranked first.
pub fn holders(board: &Board, database: DatabaseKey) -> Vec<&VmRecord> {
    let vms = &board.fleet.vms;
    if board.placement.matches(&board.catalog, vms) {
        return board.placement.holders(database).iter().map(|&at| &vms[at]).collect();
    }
    rank(&board.catalog, vms, database).into_iter().map(|at| &vms[at]).collect()
}

/// The holders of the database in the order in which to try them: this VM, those that answer, then
/// those that are suspect.
pub fn holders_to_try(board: &Board, database: DatabaseKey) -> Vec<&VmRecord> {
    let mut holders = holders(board, database);
    let fleet = &board.fleet;
    holders.sort_by_key(|vm| (vm.vm != fleet.me.vm, fleet.suspects.contains_key(&vm.vm)));
    holders
}

/// Whether this VM holds connections to any of the databases. If they are a service's databases, it
/// then has to know the state of all of them.
pub fn holds_any(board: &Board, databases: &[DatabaseKey]) -> bool {
    let is_me = |vm: &VmRecord| vm.vm == board.fleet.me.vm;
    databases.iter().any(|&database| holders(board, database).into_iter().any(is_me))
}
