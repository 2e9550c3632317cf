//! The blackboard that controllers read and write.
//!
//! One [`Board`] holds what a VM knows: the catalog made from the configuration in force, the fleet,
//! the slots' terms and positions, and its share of each workspace's rate. Controllers change it in
//! the control thread; request handlers read an immutable copy. It decides nothing.

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

/// What a VM knows.
#[derive(Clone, Debug)]
pub struct Board {
    /// The configuration in force, indexed.
    pub catalog: Arc<Catalog>,
    /// The VMs.
    pub fleet: Fleet,
    /// Each slot as last seen.
    pub slots: TiVec<SlotKey, SlotState>,
    /// Each database as last seen.
    pub databases: TiVec<DatabaseKey, DatabaseState>,
    /// Holders of the databases, for the catalog and VMs of the last call of [`Board::update_placement`].
    pub placement: Arc<Placement>,
    /// What this VM owns of rates and connections.
    pub quota: Arc<QuotaView>,
}

impl Board {
    /// A board that knows only its own VM.
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

    /// Puts a configuration in force, keeping what is known of slots and databases that stay.
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

    /// Brings the placement up to date with the catalog and the VMs.
    pub fn update_placement(&mut self) {
        if !self.placement.matches(&self.catalog, &self.fleet.vms) {
            let placement = Placement::new(self.catalog.clone(), self.fleet.vms.clone());
            self.placement = Arc::new(placement);
        }
    }

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
