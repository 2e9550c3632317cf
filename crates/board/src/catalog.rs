//! An index of the configuration, which gives services, databases, slots, routes and workspaces
//! small integer keys.

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
    /// Key of a service in a [`Catalog`].
    ServiceKey
);
key!(
    /// Key of a database in a [`Catalog`].
    DatabaseKey
);
key!(
    /// Key of a slot in a [`Catalog`].
    SlotKey
);
key!(
    /// Key of a route in a [`Catalog`].
    RouteKey
);
key!(
    /// Key of a workspace in a [`Catalog`].
    WorkspaceKey
);

/// A service with the keys of its slots, databases and routes.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Slots of the service, in the order of the configuration.
    pub slots: Vec<SlotKey>,
    /// Databases of the service, in the order of the configuration.
    pub databases: Vec<DatabaseKey>,
    routes: FxHashMap<RouteName, RouteKey>,
}

/// A database and its service.
#[derive(Clone, Debug)]
pub struct DatabaseEntry {
    /// Name of the database.
    pub name: DatabaseName,
    /// The service that the database belongs to.
    pub service: ServiceKey,
    /// Configuration of the database.
    pub cfg: Database,
}

/// A slot, which is a part of a service's data, and the databases that replicate it.
#[derive(Clone, Debug)]
pub struct SlotEntry {
    /// Name of the slot.
    pub name: SlotName,
    /// The service that the slot belongs to.
    pub service: ServiceKey,
    /// Digest that identifies the slot in session tokens.
    pub digest: SlotDigest,
    /// Databases that replicate the slot, in the order of the configuration.
    pub members: Vec<DatabaseKey>,
}

/// A route and its service.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The service that the route belongs to.
    pub service: ServiceKey,
    /// Configuration of the route.
    pub cfg: Route,
}

/// A workspace and the services that it may use.
#[derive(Clone, Debug)]
pub struct WorkspaceEntry {
    /// Services that the workspace may use.
    pub services: FxHashSet<ServiceKey>,
    /// Configuration of the workspace.
    pub cfg: Workspace,
}

/// An indexed configuration. A key is valid only in the catalog that it comes from.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The configuration that was indexed.
    pub cfg: Configuration,
    /// Services, in the order of the configuration.
    pub services: TiVec<ServiceKey, ServiceEntry>,
    /// Databases of all services.
    pub databases: TiVec<DatabaseKey, DatabaseEntry>,
    /// Slots of all services.
    pub slots: TiVec<SlotKey, SlotEntry>,
    /// Routes of all services.
    pub routes: TiVec<RouteKey, RouteEntry>,
    /// Workspaces, in the order of the configuration.
    pub workspaces: TiVec<WorkspaceKey, WorkspaceEntry>,
    service_names: FxHashMap<ServiceName, ServiceKey>,
    database_names: FxHashMap<DatabaseName, DatabaseKey>,
    slot_digests: FxHashMap<SlotDigest, SlotKey>,
    workspace_names: FxHashMap<WorkspaceName, WorkspaceKey>,
    key_names: FxHashMap<KeyName, usize>,
}

impl Catalog {
    /// Indexes the empty configuration.
    pub fn empty() -> Catalog {
        Catalog::new(Configuration::empty())
    }

    /// Indexes a checked configuration. References to names that it doesn't define are dropped.
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

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Looks up a route of the service by name.
    pub fn route(&self, service: ServiceKey, name: &str) -> Option<RouteKey> {
        self.services[service].routes.get(name).copied()
    }

    /// Looks up a database by name.
    pub fn database(&self, name: &str) -> Option<DatabaseKey> {
        self.database_names.get(name).copied()
    }

    /// Looks up a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_names.get(name).copied()
    }

    /// Looks up the record of a caller's key by the key's name.
    pub fn key(&self, name: &str) -> Option<&KeyRecord> {
        self.key_names.get(name).map(|&at| &self.cfg.keys[at])
    }

    /// Looks up a slot by its digest.
    pub fn slot_by_digest(&self, digest: SlotDigest) -> Option<SlotKey> {
        self.slot_digests.get(&digest).copied()
    }

    /// Looks up a slot of the service by name.
    pub fn slot(&self, service: ServiceKey, name: &str) -> Option<SlotKey> {
        let digest = SlotDigest::new(self.services[service].name.as_str(), name);
        self.slot_by_digest(digest)
    }

    /// The slot that a caller's slot key hashes to; absent if the service has no slots.
    pub fn slot_for(&self, service: ServiceKey, slot_key: &str) -> Option<SlotKey> {
        let slots = &self.services[service].slots;
        let at = stable_hash(slot_key).checked_rem(slots.len() as u64)?;
        Some(slots[at as usize])
    }
}
