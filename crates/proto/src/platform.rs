//! Messages of the platform's object API, JSON over HTTP; see docs/protocol-platform.md.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of an object, increased by each change. Zero means that the object does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Response to `GET /objects/{name}`. With `?after=V&wait_ms=N` the platform responds once the
/// version is greater than V, or after N milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Version of the object.
    pub version: Version,
    /// Value of the object; null if it does not exist.
    pub value: Value,
}

/// Body of `PUT /objects/{name}`, which replaces the value if the version is the expected one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Version to be replaced.
    pub expected: Version,
    /// The new value.
    pub value: Value,
}

/// Response to an [`Update`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum UpdateResult {
    /// The value was replaced.
    Done {
        /// The new version.
        version: Version,
    },
    /// The object has another version than expected; nothing changed.
    Conflict {
        /// The object's current version.
        version: Version,
    },
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is being stopped.
    Leaving,
}

/// A VM in the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Data centre of the VM.
    pub dc: DcName,
    /// Address of the VM's peer listener, `ip:port`.
    pub peer_address: String,
    /// Whether the VM is running or being stopped.
    pub state: VmState,
}

/// Response to `GET /vms`: the VM list, which may lag behind the actual state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmList {
    /// Every VM that the platform knows.
    pub vms: Vec<VmRecord>,
}
