//! The types of the configuration. Their serialised form is stored and sent between VMs, so field
//! names are part of a format.

use model::{key::KeyHash, prelude::*};
use serde::{Deserialize, Serialize};

/// Name of the workspace that requests without a key count against, on routes that allow them.
pub const PUBLIC_WORKSPACE: &str = "public";
/// Maximum number of valid keys of a workspace: the one in use and, during a rotation, its
/// replacement.
pub const VALID_KEYS_MAX: usize = 2;

/// The time zone used if none is set.
pub(crate) fn default_time_zone() -> String {
    "UTC".to_owned()
}

/// The configuration of the fleet, the same on every VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version of the configuration, raised by one with each accepted change.
    pub generation: Generation,
    /// Identifies the change that made this generation, so that a tool whose answer was lost can
    /// find out whether its change was accepted.
    pub change_id: u64,
    /// Data centres with VMs or databases.
    pub data_centres: Vec<DataCentre>,
    /// Number of VMs that hold connections to each database.
    pub holders_per_database: u32,
    /// How long a data centre that is cut off from the platform and the other data centres goes on
    /// accepting the keys that it knows, in seconds.
    pub cut_off_trust_s: u64,
    /// Time zone of the business days of workspaces that set none of their own, such as
    /// `Europe/Helsinki`.
    #[serde(default = "default_time_zone")]
    pub time_zone: String,
    /// Services and their databases.
    pub services: Vec<Service>,
    /// Workspaces, the tenants of the fleet.
    pub workspaces: Vec<Workspace>,
    /// Callers' keys, of which only hashes are stored.
    pub keys: Vec<KeyRecord>,
    /// VMs that operators want to drain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<Drain>,
    /// Identifiers of the changes before this one, latest first, so that a lost answer can be
    /// resolved even if another change followed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_changes: Vec<u64>,
}

/// An instruction to drain a VM: it finishes its work and stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The VM to drain.
    pub vm: VmName,
    /// The run of its daemon to drain. A later run is not affected.
    pub incarnation: Incarnation,
}

impl Configuration {
    /// The configuration of generation zero, before anything was applied.
    pub fn empty() -> Configuration {
        Configuration {
            generation: Generation(0),
            change_id: 0,
            data_centres: Vec::new(),
            holders_per_database: 1,
            cut_off_trust_s: 0,
            time_zone: default_time_zone(),
            services: Vec::new(),
            workspaces: Vec::new(),
            keys: Vec::new(),
            drains: Vec::new(),
            earlier_changes: Vec::new(),
        }
    }
}

/// A data centre of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: DcName,
}

/// A service: a set of databases that replicate the same slots, and the requests that it accepts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Upstream databases of the service.
    pub databases: Vec<Database>,
    /// Partitions of the service's data.
    pub slots: Vec<Slot>,
    /// Kinds of request that the service accepts.
    pub routes: Vec<Route>,
}

/// An upstream database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Name of the database, unique in the fleet.
    pub name: DatabaseName,
    /// The data centre that the database runs in.
    pub dc: DcName,
    /// Address for callers' requests, `ip:port`.
    pub address: String,
    /// Address for status queries and promotion, `ip:port`.
    pub admin_address: String,
    /// Maximum number of request connections that the database accepts from the whole fleet.
    pub connection_limit: u32,
    /// Whether the database is being removed, so that it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A slot: a partition of a service's data, replicated with its own primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slot {
    /// Name of the slot, unique in the service.
    pub name: SlotName,
    /// Databases that replicate the slot. The first is the primary until another one is promoted.
    pub members: Vec<DatabaseName>,
}

/// Whether a route reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Runs on any member of the slot whose data is fresh enough.
    Read,
    /// Runs on the slot's primary.
    Write,
}

/// A route: a named kind of request that a service accepts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, unique in the service.
    pub name: RouteName,
    /// Whether requests of the route read or write.
    pub kind: RouteKind,
    /// Greatest age of the data that a read accepts, in milliseconds. Zero requires current data.
    #[serde(default)]
    pub max_age_ms: u64,
    /// Weight that one request counts against the workspace's rate.
    pub weight: u32,
    /// Whether a request may run more than once, so that it can be retried if its answer is lost.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub open: bool,
}

/// A workspace: a tenant of the fleet with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Weight per second that the workspace may use across the fleet.
    pub rate_per_s: u32,
    /// Weight that the workspace may use at once across the fleet.
    pub burst: u32,
    /// Services that the workspace may use.
    pub services: Vec<ServiceName>,
    /// Service-level objective: share of requests to be answered in time, in parts per million.
    pub objective_ppm: u32,
    /// Time zone of the workspace's business days; that of the fleet if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_zone: Option<String>,
}

/// Whether a caller's key is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// The key is accepted.
    Valid,
    /// The key was revoked and is refused.
    Withdrawn,
}

/// The record of a caller's key, which holds a hash instead of the secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Name of the key, its public part.
    pub name: KeyName,
    /// The workspace that the key gives access to.
    pub workspace: WorkspaceName,
    /// Hash of the key's name and secret.
    pub hash: KeyHash,
    /// Whether the key is accepted.
    pub state: KeyState,
}
