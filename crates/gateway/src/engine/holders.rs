//! Which VMs hold the connections to each database, how this VM reaches a database, and how many connections it
//! may have open.

use model::prelude::*;

use super::{DatabaseState, Engine};
use crate::{holders, regions::AllowedRegions};

/// Connections to a database that a VM may open which reaches none of its holders.
const CONNECTIONS_WITHOUT_HOLDER: usize = 2;

/// How this VM reaches a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Path {
    /// Over its own connections, as many as this.
    Own(usize),
    /// Through a holder.
    Through(VmName),
}

impl Engine {
    /// Derives the holders of all databases from the lists of VMs and databases.
    pub(super) fn update_holders(&mut self) {
        let me = self.fleet.is_listed().then_some((&self.id.vm, &self.id.dc));
        let vms: Vec<(&VmName, &DcName)> =
            me.into_iter().chain(self.fleet.members_accepting_links()).collect();
        let region = |dc: &DcName| self.id.regions.get(dc);
        let holders = self.databases.values().map(|state| {
            let record = &state.record;
            let same_region =
                |dc: &DcName| region(dc).is_some() && region(dc) == region(&record.dc);
            // The database's data centre comes before its region, and that before all others.
            let distance = |dc: &DcName| (*dc != record.dc, !same_region(dc));
            let nearest = vms.iter().map(|(_, dc)| distance(dc)).min();
            let candidates = vms.iter().filter(|(_, dc)| Some(distance(dc)) == nearest);
            let candidates = candidates.map(|(vm, _)| *vm);
            (record.name.clone(), holders::choose(&record.name, candidates))
        });
        self.holders = holders.collect();
        self.rank_outside_holders();
    }

    /// Returns how this VM reaches a database: through its first usable holder, or, where that is this VM
    /// itself or there is none in the regions through which a statement may pass, over its own connections.
    pub(super) fn path_to(&self, state: &DatabaseState, regions: &AllowedRegions) -> Path {
        let holders = self.holders_of(&state.record.name);
        if holders.is_empty() {
            let shared = self.connection_limit(state) / self.fleet.vm_count();
            return Path::Own(shared.max(CONNECTIONS_WITHOUT_HOLDER));
        }
        for vm in holders {
            if *vm == self.id.vm {
                return Path::Own(self.own_share(state).unwrap_or(CONNECTIONS_WITHOUT_HOLDER));
            }
            if self.permits_vm(regions, vm) && self.links.is_usable(self.now, vm) {
                return Path::Through(vm.clone());
            }
        }
        Path::Own(CONNECTIONS_WITHOUT_HOLDER)
    }

    /// Whether this VM reaches a database over its own connections.
    pub(super) fn runs_over_own_connections(&self, database: &DatabaseName) -> bool {
        let state = self.databases.get(database);
        state.is_some_and(|state| matches!(self.path_to(state, &AllowedRegions::All), Path::Own(_)))
    }

    /// Returns how many connections this VM may open as a holder of the database; `None` if it is none.
    pub(super) fn own_share(&self, state: &DatabaseState) -> Option<usize> {
        let holders = self.holders_of(&state.record.name);
        let rank = holders.iter().position(|vm| *vm == self.id.vm)?;
        Some(holders::share(self.connection_limit(state), holders.len(), rank))
    }

    /// Closes free connections to databases beyond this VM's share, which ends or shrinks when VMs join or
    /// return: the new first holder needs them.
    pub(super) fn close_excess_connections(&mut self) {
        let excess: Vec<(DatabaseName, usize)> = self
            .databases
            .iter()
            .filter_map(|(name, state)| {
                let count = self.pool.count(name);
                let share = self.own_share(state).unwrap_or_else(|| {
                    match self.path_to(state, &AllowedRegions::All) {
                        Path::Own(limit) => limit,
                        Path::Through(vm) if self.may_bypass_holder(state, &vm) => {
                            CONNECTIONS_WITHOUT_HOLDER
                        }
                        Path::Through(_) => 0,
                    }
                });
                (count > share).then(|| (name.clone(), count - share))
            })
            .collect();
        for (database, count) in excess {
            for _ in 0..count {
                let Some(key) = self.pool.longest_idle(&database) else { break };
                self.close_connection(key);
            }
        }
    }

    fn connection_limit(&self, state: &DatabaseState) -> usize {
        let limits = self.catalog.services.get(&state.record.service);
        limits.map_or(1, |limits| limits.connections as usize)
    }

    /// Whether this VM may query the database on its own account. With hundreds of VMs, their queries
    /// would take the databases' slots from statements; holders report what they find.
    pub(super) fn may_query(&self, state: &DatabaseState) -> bool {
        let holders = self.holders_of(&state.record.name);
        holders.is_empty() || holders.contains(&self.id.vm)
    }

    /// The holders of a database, the first choice first.
    pub(super) fn holders_of(&self, database: &DatabaseName) -> &[VmName] {
        self.holders.get(database).map(Vec::as_slice).unwrap_or_default()
    }
}
