//! Chooses the holders of each database: the VMs that keep connections to it.

use std::sync::{Arc, OnceLock};

use model::request::stable_hash;
use proto::platform::{VmRecord, VmState};
use typed_index_collections::TiVec;

use crate::{Catalog, DatabaseKey, fleet::VmRecords};

/// The holders of every database for one catalog and one list of VMs, computed on first use.
#[derive(Debug)]
pub struct Placement {
    catalog: Arc<Catalog>,
    vms: VmRecords,
    holders: TiVec<DatabaseKey, OnceLock<Vec<usize>>>,
}

impl Placement {
    /// Creates the placement of a catalog's databases on these VMs.
    pub fn new(catalog: Arc<Catalog>, vms: VmRecords) -> Placement {
        let holders = catalog.databases.iter().map(|_| OnceLock::new()).collect();
        Placement { catalog, vms, holders }
    }

    /// Whether the placement was made for this very catalog and list.
    pub fn matches(&self, catalog: &Arc<Catalog>, vms: &VmRecords) -> bool {
        Arc::ptr_eq(&self.catalog, catalog) && self.vms.is_same(vms)
    }

    /// Indexes of the database's holders in the list of VMs, best-ranked first.
    pub fn holders(&self, database: DatabaseKey) -> &[usize] {
        self.holders[database].get_or_init(|| rank(&self.catalog, &self.vms, database))
    }
}

/// Ranks the live VMs of the database's data centre by rendezvous hashing and returns the indexes
/// of the first `holders_per_database`, best-ranked first. If no VM is live, the leaving ones stay
/// holders.
pub fn rank(catalog: &Catalog, vms: &[VmRecord], database: DatabaseKey) -> Vec<usize> {
    let entry = &catalog.databases[database];
    let in_dc = |vm: &VmRecord, state| vm.dc == entry.cfg.dc && vm.state == state;
    let has_live = vms.iter().any(|vm| in_dc(vm, VmState::Live));
    let state = if has_live { VmState::Live } else { VmState::Leaving };
    let mut ranked: Vec<(u64, usize)> = vms
        .iter()
        .enumerate()
        .filter(|(_, vm)| in_dc(vm, state))
        .map(|(at, vm)| (stable_hash(&format!("{} {}", vm.vm, entry.name)), at))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| vms[a.1].vm.cmp(&vms[b.1].vm)));
    let count = catalog.cfg.holders_per_database as usize;
    ranked.into_iter().take(count).map(|(_, at)| at).collect()
}
