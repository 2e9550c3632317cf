//! What the controller of the portions hears and asks for.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::platform::{UpdateResult, Version};
use serde_json::Value;

use crate::{objects::VmInstance, rate_limiter::LentTokens};

/// An object of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// `dc/<name>` of this VM's data centre.
    Dc,
    /// `shares`.
    Shares,
}

/// What the controller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum PortionEvent {
    /// Time passed.
    Tick {
        /// Connections open now, by database.
        open_connections: FxHashMap<DatabaseName, u32>,
        /// Tokens lent since the last tick.
        lent: Vec<LentTokens>,
    },
    /// The platform's list of VMs was read, by this VM or by one that told it.
    ListRead {
        /// Every run on the list.
        instances: FxHashSet<VmInstance>,
        /// When it was read from the platform.
        read_at: MonoTime,
    },
    /// All work of this VM is finished before a planned stop.
    Drained,
    /// An object was read, from the platform or from another VM.
    ObjectRead {
        /// Which.
        object: ObjectKind,
        /// Its version.
        version: Version,
        /// Its value; null where it does not exist.
        value: Value,
    },
    /// The update was answered.
    UpdateAnswered {
        /// The object.
        object: ObjectKind,
        /// The answer.
        updated: UpdateResult,
    },
    /// A read got no answer.
    ReadFailed(ObjectKind),
    /// An update got no answer: it may have taken effect, or may still.
    UpdateFailed(ObjectKind),
}

/// What the controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum PortionEffect {
    /// Read the object.
    ReadObject(ObjectKind),
    /// Replace the object.
    UpdateObject {
        /// The object.
        object: ObjectKind,
        /// The version to be replaced.
        expected: Version,
        /// The new value.
        value: Value,
    },
    /// What is in force has changed.
    AllocationChanged,
}

/// What this VM may use now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Parts of workspaces' rates and bursts.
    pub parts: BTreeMap<WorkspaceName, u32>,
    /// Connections to databases.
    pub connections: BTreeMap<DatabaseName, u32>,
}
