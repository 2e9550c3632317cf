//! The configuration and the databases, as the gateway uses them.

use std::net::SocketAddr;

use model::prelude::*;

/// Which commits a route's reads must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Every commit that was acknowledged before.
    Latest,
    /// Every commit that was acknowledged longer ago than the age.
    Bounded {
        /// The age; `None` where any age is accepted.
        max_age: Option<DurationUs>,
        /// Whether the session's own commits must be seen whatever their age.
        own_commits: bool,
    },
}

/// A named kind of request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service that serves it.
    pub service: ServiceName,
    /// Which commits its reads must see.
    pub freshness: Freshness,
    /// Time that a single statement may take.
    pub statement_timeout: DurationUs,
    /// Time that a whole operation should take.
    pub target_latency: DurationUs,
    /// 0 goes first.
    pub priority: u32,
    /// Whether it needs no key.
    pub open: bool,
}

/// A tenant's rate across the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Operations per second; `None` where there is no limit.
    pub rate_per_s: Option<f64>,
    /// Operations at once.
    pub burst: f64,
}

/// What a service's databases allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Most connections to one database, from all VMs.
    pub connections: u32,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub synchronous: bool,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Only ever rises.
    pub generation: u64,
    /// Routes by host.
    pub routes: FxHashMap<Box<str>, Route>,
    /// Services by name.
    pub services: FxHashMap<ServiceName, ServiceLimits>,
    /// Tenants.
    pub workspaces: Vec<Workspace>,
    /// Index into `workspaces` by key.
    pub keys: FxHashMap<Box<str>, usize>,
    /// How long a transaction may rest.
    pub transaction_idle_timeout: Option<DurationUs>,
}

/// What a database says of its part in the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It copies the primary's log.
    Replica,
}

/// A database as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Database {
    /// Its name; the same after a restart.
    pub name: DatabaseName,
    /// Which run of it, as its start time; a later one holds nothing of before.
    pub incarnation: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Where it stands.
    pub dc: DcName,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it is being withdrawn.
    pub leaving: bool,
    /// What it says of itself.
    pub role: Role,
}
