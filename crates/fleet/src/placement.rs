//! Which VMs hold connections to a database: rendezvous hashing over the VMs of its data centre.

use board::{Board, DatabaseKey};
use model::request::stable_hash;
use proto::platform::{VmRecord, VmState};

/// The VMs that hold connections to the database, best-ranked first.
pub fn holders(board: &Board, database: DatabaseKey) -> Vec<&VmRecord> {
    let entry = &board.catalog.databases[database];
    let in_dc =
        board.fleet.vms.iter().filter(|vm| vm.dc == entry.cfg.dc && vm.state == VmState::Live);
    let mut ranked: Vec<(u64, &VmRecord)> =
        in_dc.map(|vm| (stable_hash(&format!("{} {}", vm.vm, entry.name)), vm)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.vm.cmp(&b.1.vm)));
    let count = board.catalog.cfg.holders_per_database as usize;
    ranked.into_iter().take(count).map(|(_, vm)| vm).collect()
}

/// The holders in the order in which to try them: this VM, those that answer, the others.
pub fn holders_to_try(board: &Board, database: DatabaseKey) -> Vec<&VmRecord> {
    let mut holders = holders(board, database);
    let fleet = &board.fleet;
    holders.sort_by_key(|vm| (vm.vm != fleet.me.vm, fleet.suspects.contains_key(&vm.vm)));
    holders
}

/// Whether this VM holds connections to a database of the service, so that it must know the state of
/// all of them.
pub fn holds_any(board: &Board, databases: &[DatabaseKey]) -> bool {
    let is_me = |vm: &VmRecord| vm.vm == board.fleet.me.vm;
    databases.iter().any(|&database| holders(board, database).into_iter().any(is_me))
}
