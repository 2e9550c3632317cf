//! The configuration in force, indexed by small keys.

use config::{Configuration, Database, KeyRecord, Route, Workspace};
use model::{prelude::*, request::stable_hash, session::SlotDigest};
use typed_index_collections::TiVec;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl From<usize> for $name {
            fn from(at: usize) -> Self {
                Self(at as u32)
            }
        }

        impl From<$name> for usize {
            fn from(key: $name) -> usize {
                key.0 as usize
            }
        }
    };
}

key!(
    /// A service of a [`Catalog`].
    ServiceKey
);
key!(
    /// A database of a [`Catalog`].
    DatabaseKey
);
key!(
    /// A slot of a [`Catalog`].
    SlotKey
);
key!(
    /// A route of a [`Catalog`].
    RouteKey
);
key!(
    /// A workspace of a [`Catalog`].
    WorkspaceKey
);

/// A service and what belongs to it.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// Its slots, in the order of the configuration.
    pub slots: Vec<SlotKey>,
    /// Its databases.
    pub databases: Vec<DatabaseKey>,
    routes: FxHashMap<RouteName, RouteKey>,
}

/// A database and its service.
#[derive(Clone, Debug)]
pub struct DatabaseEntry {
    /// Its name.
    pub name: DatabaseName,
    /// Its service.
    pub service: ServiceKey,
    /// The rest of its configuration.
    pub cfg: Database,
}

/// A slot and the databases that carry it.
#[derive(Clone, Debug)]
pub struct SlotEntry {
    /// Its name.
    pub name: SlotName,
    /// Its service.
    pub service: ServiceKey,
    /// Its digest in session tokens.
    pub digest: SlotDigest,
    /// The databases that carry it.
    pub members: Vec<DatabaseKey>,
}

/// A route and its service.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Its service.
    pub service: ServiceKey,
    /// The rest of its configuration.
    pub cfg: Route,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceEntry {
    /// Services that it may use.
    pub services: FxHashSet<ServiceKey>,
    /// The rest of its configuration.
    pub cfg: Workspace,
}

/// The configuration in force, indexed. Keys of one catalog mean nothing in another.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The configuration itself.
    pub cfg: Configuration,
    /// Services.
    pub services: TiVec<ServiceKey, ServiceEntry>,
    /// Databases of all services.
    pub databases: TiVec<DatabaseKey, DatabaseEntry>,
    /// Slots of all services.
    pub slots: TiVec<SlotKey, SlotEntry>,
    /// Routes of all services.
    pub routes: TiVec<RouteKey, RouteEntry>,
    /// Workspaces.
    pub workspaces: TiVec<WorkspaceKey, WorkspaceEntry>,
    service_names: FxHashMap<ServiceName, ServiceKey>,
    database_names: FxHashMap<DatabaseName, DatabaseKey>,
    slot_digests: FxHashMap<SlotDigest, SlotKey>,
    workspace_names: FxHashMap<WorkspaceName, WorkspaceKey>,
    key_names: FxHashMap<KeyName, usize>,
}

impl Catalog {
    /// The catalog of the empty configuration.
    pub fn empty() -> Catalog {
        Catalog::new(Configuration::empty())
    }

    /// Indexes a configuration that has been checked. What refers to nothing is left out.
    pub fn new(cfg: Configuration) -> Catalog {
        let mut catalog = Catalog {
            services: TiVec::new(),
            databases: TiVec::new(),
            slots: TiVec::new(),
            routes: TiVec::new(),
            workspaces: TiVec::new(),
            service_names: FxHashMap::default(),
            database_names: FxHashMap::default(),
            slot_digests: FxHashMap::default(),
            workspace_names: FxHashMap::default(),
            key_names: cfg.keys.iter().enumerate().map(|(at, k)| (k.name.clone(), at)).collect(),
            cfg: Configuration::empty(),
        };
        for service in &cfg.services {
            catalog.add_service(service);
        }
        for workspace in &cfg.workspaces {
            catalog.add_workspace(workspace);
        }
        catalog.cfg = cfg;
        catalog
    }

    fn add_service(&mut self, service: &config::Service) {
        let key = self.services.next_key();
        let databases: Vec<DatabaseKey> =
            service.databases.iter().map(|d| self.add_database(key, d)).collect();
        let slots = service.slots.iter().map(|s| self.add_slot(key, service, s)).collect();
        let mut routes = FxHashMap::default();
        for route in &service.routes {
            let route_key =
                self.routes.push_and_get_key(RouteEntry { service: key, cfg: route.clone() });
            routes.insert(route.name.clone(), route_key);
        }
        self.service_names.insert(service.name.clone(), key);
        self.services.push(ServiceEntry { name: service.name.clone(), slots, databases, routes });
    }

    fn add_database(&mut self, service: ServiceKey, database: &Database) -> DatabaseKey {
        let entry = DatabaseEntry { name: database.name.clone(), service, cfg: database.clone() };
        let key = self.databases.push_and_get_key(entry);
        self.database_names.insert(database.name.clone(), key);
        key
    }

    fn add_slot(
        &mut self,
        service: ServiceKey,
        cfg: &config::Service,
        slot: &config::Slot,
    ) -> SlotKey {
        let digest = SlotDigest::new(cfg.name.as_str(), slot.name.as_str());
        let members = slot.members.iter().filter_map(|m| self.database(m.as_str())).collect();
        let entry = SlotEntry { name: slot.name.clone(), service, digest, members };
        let key = self.slots.push_and_get_key(entry);
        self.slot_digests.insert(digest, key);
        key
    }

    fn add_workspace(&mut self, workspace: &Workspace) {
        let services = workspace.services.iter().filter_map(|s| self.service(s.as_str())).collect();
        let entry = WorkspaceEntry { services, cfg: workspace.clone() };
        let key = self.workspaces.push_and_get_key(entry);
        self.workspace_names.insert(workspace.name.clone(), key);
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// The route of that name in the service.
    pub fn route(&self, service: ServiceKey, name: &str) -> Option<RouteKey> {
        self.services[service].routes.get(name).copied()
    }

    /// The database of that name.
    pub fn database(&self, name: &str) -> Option<DatabaseKey> {
        self.database_names.get(name).copied()
    }

    /// The workspace of that name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_names.get(name).copied()
    }

    /// The record of the key of that name.
    pub fn key(&self, name: &str) -> Option<&KeyRecord> {
        self.key_names.get(name).map(|&at| &self.cfg.keys[at])
    }

    /// The slot of that digest.
    pub fn slot_by_digest(&self, digest: SlotDigest) -> Option<SlotKey> {
        self.slot_digests.get(&digest).copied()
    }

    /// The slot of that name in the service.
    pub fn slot(&self, service: ServiceKey, name: &str) -> Option<SlotKey> {
        let digest = SlotDigest::new(self.services[service].name.as_str(), name);
        self.slot_by_digest(digest)
    }

    /// The slot that a caller's slot key falls into; absent where the service has none.
    pub fn slot_for(&self, service: ServiceKey, slot_key: &str) -> Option<SlotKey> {
        let slots = &self.services[service].slots;
        let at = stable_hash(slot_key).checked_rem(slots.len() as u64)?;
        Some(slots[at as usize])
    }
}
