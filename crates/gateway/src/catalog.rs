//! The configuration and the list of databases in the form that the engine uses.

use std::net::SocketAddr;

use model::prelude::*;

use crate::regions::AllowedRegions;

/// Which commits the reads of a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Every commit acknowledged before the read.
    Latest,
    /// Every commit acknowledged earlier than `max_age` before the read.
    Bounded {
        /// The greatest age of missing commits; `None` if any age is accepted.
        max_age: Option<DurationUs>,
        /// Whether the session's own commits must be seen regardless of their age.
        own_commits: bool,
    },
}

/// A route: how statements of sessions that name its host are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service that runs the statements.
    pub service: ServiceName,
    /// Which commits the route's reads must see.
    pub freshness: Freshness,
    /// Time limit of a single statement.
    pub statement_timeout: DurationUs,
    /// Time that a whole operation should take.
    pub target_latency: DurationUs,
    /// Priority of waiting statements; lower values are served first.
    pub priority: u32,
    /// Whether sessions need no key.
    pub open: bool,
    /// Regions in which its operations may run.
    pub regions: AllowedRegions,
}

/// A workspace (customer) and its rate limit across the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Rate limit in operations per second; `None` if there is no limit.
    pub rate_per_s: Option<f64>,
    /// Number of operations that may come at once.
    pub burst: f64,
    /// Regions in which its operations may run.
    pub regions: AllowedRegions,
}

/// Limits and properties of a service's databases.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLimits {
    /// Greatest number of connections to one database, from all VMs together.
    pub connections: u32,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub synchronous: bool,
    /// Requests per second that a database may get while it is cold, from all VMs together; `None` if there is
    /// no limit.
    pub cold_rate_per_s: Option<f64>,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Generation of the configuration; a newer one has a higher number.
    pub generation: u64,
    /// Routes by host.
    pub routes: FxHashMap<Box<str>, Route>,
    /// Services by name.
    pub services: FxHashMap<ServiceName, ServiceLimits>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// Index into `workspaces` of each caller key.
    pub keys: FxHashMap<Box<str>, usize>,
    /// How long a transaction may be idle before it is rolled back; `None` if there is no limit.
    pub transaction_idle_timeout: Option<DurationUs>,
}

/// The role that a database claims in its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It follows the primary's log.
    Replica,
}

/// A database as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Database {
    /// Name of the database, which stays the same after a restart.
    pub name: DatabaseName,
    /// The start time of the current run. After a restart, sessions and connections of earlier runs
    /// are gone.
    pub incarnation: u64,
    /// The service that the database belongs to.
    pub service: ServiceName,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub dc: DcName,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to be withdrawn.
    pub leaving: bool,
    /// The role that it claims.
    pub role: Role,
    /// How much longer it is slow after its start, when the entry was written; zero once it is warm.
    pub cold_left: DurationUs,
}
