//! Gossip between VMs about the fleet's members and its configuration.

use bytes::Bytes;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::platform::{Object, Version, VmRecord};

/// Summary of a VM's knowledge of the fleet, a few hundred bytes long. It carries ages instead of
/// timestamps because the VMs' clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Record of the sender.
    pub from: VmRecord,
    /// Generation of the sender's current configuration.
    pub generation: Generation,
    /// Version of the object of the sender's data centre.
    pub dc_object: Version,
    /// Hash and age of the sender's copy of the platform's VM list.
    pub list: Option<ListDigest>,
    /// Time since the last known contact with the platform, direct or through another VM.
    pub platform_age: Option<DurationUs>,
    /// Time since the last known contact with each other data centre.
    pub heard: Vec<(DcName, DurationUs)>,
    /// Recent membership changes.
    pub rumours: Vec<Rumour>,
}

/// Identifies a copy of the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// Hash of the list.
    pub hash: u64,
    /// Time since the list was read from the platform.
    pub age: DurationUs,
}

/// A membership change that VMs pass on by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// A VM started or began to leave.
    Vm(VmRecord),
    /// A VM does not answer.
    Suspect {
        /// Name of the VM.
        vm: VmName,
        /// Incarnation of the VM.
        incarnation: Incarnation,
        /// Time since the VM failed to answer.
        age: DurationUs,
    },
}

/// Requests the state that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Generation that the sender has: it wants a newer configuration. Zero requests all of it.
    pub have: Generation,
    /// Whether the sender wants the VM list.
    pub list: bool,
    /// Version of the data centre's object that the sender has, if it wants a newer one.
    pub dc_object: Option<Version>,
}

/// Reply to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullReply {
    /// The configuration, if it is newer than the requester's.
    pub configuration: Option<Transfer>,
    /// The VM list and the time since it was read from the platform.
    pub list: Option<(Vec<VmRecord>, DurationUs)>,
    /// The data centre's object, if it is newer than the requester's.
    pub dc_object: Option<Object>,
}

/// A configuration sent to another VM, compressed with DEFLATE.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// The complete configuration as JSON.
    Whole(Bytes),
    /// Changes since the receiver's generation, oldest first.
    Changes(Vec<Change>),
}

/// The difference between two configurations, as a JSON patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Generation that the patch applies to.
    pub from: Generation,
    /// Generation that the patch results in.
    pub to: Generation,
    /// Hash of the resulting configuration.
    pub hash: u64,
    /// The JSON patch, compressed with DEFLATE.
    pub patch: Bytes,
}
