//! A VM's view of the configuration, the fleet, the databases and its quota.
//!
//! Each process keeps one [`Board`]. The controllers that maintain its parts run on the control
//! thread and change it there; request handlers read an immutable copy. The crate stores this state
//! and makes no decisions on it.

pub mod catalog;
pub mod fleet;
pub mod freshness;
pub mod placement;
pub mod quota;
pub mod slots;

use std::sync::Arc;

use typed_index_collections::TiVec;

pub use catalog::{Catalog, DatabaseKey, RouteKey, ServiceKey, SlotKey, WorkspaceKey};
pub use fleet::{Fleet, VmIdentity, VmRecords};
pub use placement::Placement;
pub use quota::QuotaView;
pub use slots::{DatabaseState, SlotMember, SlotState};

/// Everything that the controllers of a VM share.
#[derive(Clone, Debug)]
pub struct Board {
    /// The current configuration, indexed.
    pub catalog: Arc<Catalog>,
    /// Membership and reachability of the VMs.
    pub fleet: Fleet,
    /// The last observed state of each slot.
    pub slots: TiVec<SlotKey, SlotState>,
    /// When each database last answered.
    pub databases: TiVec<DatabaseKey, DatabaseState>,
    /// Holders of each database, as of the last call of [`Board::update_placement`].
    pub placement: Arc<Placement>,
    /// The portions of rates and the connections that this VM may use.
    pub quota: Arc<QuotaView>,
}

impl Board {
    /// Creates a board with an empty configuration and no VM but `me`.
    pub fn new(me: VmIdentity) -> Board {
        let catalog = Arc::new(Catalog::empty());
        let fleet = Fleet::new(me);
        Board {
            placement: Arc::new(Placement::new(catalog.clone(), fleet.vms.clone())),
            catalog,
            fleet,
            slots: TiVec::new(),
            databases: TiVec::new(),
            quota: Arc::default(),
        }
    }

    /// Replaces the configuration. Slots and databases that are in both configurations keep their
    /// observed state.
    pub fn adopt(&mut self, catalog: Arc<Catalog>) {
        let slots = catalog.slots.keys().map(|key| self.carry_over_slot(&catalog, key)).collect();
        let databases = catalog.databases.iter().map(|d| {
            let old = self.catalog.database(d.name.as_str());
            old.map(|key| self.databases[key].clone()).unwrap_or_default()
        });
        self.databases = databases.collect();
        self.slots = slots;
        self.catalog = catalog;
    }

    /// Recomputes the holders if the configuration or the VMs have changed.
    pub fn update_placement(&mut self) {
        if !self.placement.matches(&self.catalog, &self.fleet.vms) {
            let placement = Placement::new(self.catalog.clone(), self.fleet.vms.clone());
            self.placement = Arc::new(placement);
        }
    }

    /// The state of a slot of the new catalog, with database keys translated from the current one.
    fn carry_over_slot(&self, catalog: &Catalog, key: SlotKey) -> SlotState {
        let fresh = SlotState::new(catalog, key);
        let Some(old_key) = self.catalog.slot_by_digest(catalog.slots[key].digest) else {
            return fresh;
        };
        let old = &self.slots[old_key];
        let rename = |database: DatabaseKey| {
            catalog.database(self.catalog.databases[database].name.as_str())
        };
        let members = fresh.members.iter().map(|member| {
            let known = old.members.iter().find(|m| rename(m.database) == Some(member.database));
            known.map_or_else(
                || member.clone(),
                |m| SlotMember {
                    database: member.database,
                    follows: m.follows.and_then(rename),
                    ..m.clone()
                },
            )
        });
        SlotState {
            term: old.term,
            primary: old.primary.and_then(rename).or(fresh.primary),
            members: members.collect(),
            confirmed: old.confirmed,
            primary_verified_at: old.primary_verified_at,
            bounds: old.bounds.clone(),
        }
    }
}
