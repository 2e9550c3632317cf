//! The configuration as it is stored and distributed.

use model::{key::KeyHash, prelude::*};
use serde::{Deserialize, Serialize};

/// The workspace of requests that come without a key, on routes open to all.
pub const PUBLIC_WORKSPACE: &str = "public";
/// Most valid keys of a workspace: the one in use and the one that replaces it.
pub const VALID_KEYS_MAX: usize = 2;

/// The time zone where none is stated.
pub(crate) fn default_time_zone() -> String {
    "UTC".to_owned()
}

/// Everything that is the same on every VM of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Raised by one with each accepted change.
    pub generation: Generation,
    /// Identifies the change that made this generation, so that a lost answer can be resolved.
    pub change_id: u64,
    /// Data centres that hold VMs and upstreams.
    pub data_centres: Vec<DataCentre>,
    /// How many VMs hold connections to each database.
    pub holders_per_database: u32,
    /// How long a data centre that is cut off from everything goes on trusting keys, in seconds.
    pub cut_off_trust_s: u64,
    /// Time zone of the business days of workspaces that state none of their own, such as
    /// `Europe/Helsinki`.
    #[serde(default = "default_time_zone")]
    pub time_zone: String,
    /// Services and their upstreams.
    pub services: Vec<Service>,
    /// Tenants.
    pub workspaces: Vec<Workspace>,
    /// Callers' keys, as hashes.
    pub keys: Vec<KeyRecord>,
    /// VMs that are to finish their work and end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<Drain>,
    /// The changes before this one, the latest first, so that a lost answer can be resolved after
    /// somebody else's change as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_changes: Vec<u64>,
}

/// A VM that is to finish its work and end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The VM.
    pub vm: VmName,
    /// Which run of it: its successor is not meant.
    pub incarnation: Incarnation,
}

impl Configuration {
    /// The configuration before anything has been applied.
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

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: DcName,
}

/// A set of databases that carry the same slots, and the kinds of request it takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Its upstreams.
    pub databases: Vec<Database>,
    /// Its partitions.
    pub slots: Vec<Slot>,
    /// Its kinds of request.
    pub routes: Vec<Route>,
}

/// An upstream database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name, unique in the fleet.
    pub name: DatabaseName,
    /// Where it stands.
    pub dc: DcName,
    /// Address for requests, `ip:port`.
    pub address: String,
    /// Address for status and promotion, `ip:port`.
    pub admin_address: String,
    /// Most request connections that it takes from the whole fleet.
    pub connection_limit: u32,
    /// Whether it is being withdrawn: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A partition of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slot {
    /// Its name, unique in the service.
    pub name: SlotName,
    /// Databases that carry it. The first is the primary until a promotion says otherwise.
    pub members: Vec<DatabaseName>,
}

/// Whether a route reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Runs on any member that is fresh enough.
    Read,
    /// Runs on the primary.
    Write,
}

/// A named kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name, unique in the service.
    pub name: RouteName,
    /// Whether it reads or writes.
    pub kind: RouteKind,
    /// Greatest age of the data that a read accepts, in milliseconds. Zero: only what is current.
    #[serde(default)]
    pub max_age_ms: u64,
    /// What one request counts against the workspace's rate.
    pub weight: u32,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether a request runs without a key.
    #[serde(default)]
    pub open: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Weight per second that it may use across the fleet.
    pub rate_per_s: u32,
    /// Weight that it may use at once across the fleet.
    pub burst: u32,
    /// Services that it may use.
    pub services: Vec<ServiceName>,
    /// Share of requests that must succeed, in parts per million.
    pub objective_ppm: u32,
    /// Time zone of its business days; that of the fleet where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_zone: Option<String>,
}

/// Whether a key works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// It works.
    Valid,
    /// It was withdrawn.
    Withdrawn,
}

/// A caller's key, of which only the hash is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Its public part.
    pub name: KeyName,
    /// The tenant that it stands for.
    pub workspace: WorkspaceName,
    /// Its hash.
    pub hash: KeyHash,
    /// Whether it works.
    pub state: KeyState,
}
