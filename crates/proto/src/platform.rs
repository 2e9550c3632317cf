//! The contract of the platform: JSON over HTTP. See docs/protocol-platform.md.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of an object; raised with each change. Zero: the object does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// An object: `GET /objects/{name}`. With `?after=V&wait_ms=N` the answer comes once the version is
/// past V, or after N milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its value; null where it does not exist.
    pub value: Value,
}

/// `PUT /objects/{name}`: replaces the value if the version is still the expected one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The version to be replaced.
    pub expected: Version,
    /// The new value.
    pub value: Value,
}

/// Answer to [`Update`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum UpdateResult {
    /// The value was replaced.
    Done {
        /// The new version.
        version: Version,
    },
    /// The version was another: nothing changed.
    Conflict {
        /// The version found.
        version: Version,
    },
}

/// Whether a VM goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is being stopped.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its name.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub dc: DcName,
    /// Address of its peer listener, `ip:port`.
    pub peer_address: String,
    /// Whether it goes on.
    pub state: VmState,
}

/// `GET /vms`: the list, which may lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmList {
    /// Every VM that the platform knows of.
    pub vms: Vec<VmRecord>,
}
