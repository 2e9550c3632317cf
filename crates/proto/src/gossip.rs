//! What VMs tell each other about the fleet and its configuration.

use bytes::Bytes;
use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::platform::{Object, Version, VmRecord};

/// What a VM knows, in a few hundred bytes. Ages are given instead of times, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: VmRecord,
    /// Generation of the configuration that it has in force.
    pub generation: Generation,
    /// Version of its data centre's object.
    pub dc_object: Version,
    /// The platform's list of VMs as it knows it.
    pub list: Option<ListDigest>,
    /// Time since the platform answered it, or a VM that the platform had answered.
    pub platform_age: Option<DurationUs>,
    /// Time since each other data centre was heard from.
    pub heard: Vec<(DcName, DurationUs)>,
    /// Recent changes of the fleet.
    pub rumours: Vec<Rumour>,
}

/// Which list of VMs it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// Hash of the list.
    pub hash: u64,
    /// Time since it was read from the platform.
    pub age: DurationUs,
}

/// A change of the fleet that spreads from VM to VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// A VM started or began to leave.
    Vm(VmRecord),
    /// A VM does not answer.
    Suspect {
        /// The VM.
        vm: VmName,
        /// Which run of it.
        incarnation: Incarnation,
        /// Time since it failed to answer.
        age: DurationUs,
    },
}

/// Asks for what the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The configuration, if it is newer than this. Zero asks for all of it.
    pub have: Generation,
    /// Whether the list of VMs is wanted.
    pub list: bool,
    /// The object of the data centre, if its version is higher than this.
    pub dc_object: Option<Version>,
}

/// Answer to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullReply {
    /// The configuration, where it is newer.
    pub configuration: Option<Transfer>,
    /// The list of VMs and the time since it was read.
    pub list: Option<(Vec<VmRecord>, DurationUs)>,
    /// The data centre's object.
    pub dc_object: Option<Object>,
}

/// A configuration on its way to another VM. Compressed with DEFLATE.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// All of it, as JSON.
    Whole(Bytes),
    /// What changed since the receiver's generation, oldest first.
    Changes(Vec<Change>),
}

/// The difference between two configurations, as a JSON patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Generation to which it applies.
    pub from: Generation,
    /// Generation that it makes.
    pub to: Generation,
    /// Hash of the configuration that it makes.
    pub hash: u64,
    /// The compressed patch.
    pub patch: Bytes,
}
