//! Events and effects of the [`PortionController`](crate::portions::PortionController).

use std::collections::BTreeMap;

use model::prelude::*;
use proto::platform::{UpdateResult, Version};
use serde_json::Value;

use crate::{objects::VmInstance, rate_limiter::LentTokens};

/// An object of the platform that the controller reads and updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// `dc/<name>`: what the VMs of this VM's data centre own.
    Dc,
    /// `shares`: the parts of each data centre.
    Shares,
}

/// Input of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum PortionEvent {
    /// Sent periodically.
    Tick {
        /// Number of open connections, by database.
        open_connections: FxHashMap<DatabaseName, u32>,
        /// Tokens lent since the last tick.
        lent: Vec<LentTokens>,
    },
    /// The platform's list of VMs was read, by this VM or by another that passed it on.
    ListRead {
        /// All VM instances on the list.
        instances: FxHashSet<VmInstance>,
        /// When it was read from the platform, on this VM's clock.
        read_at: MonoTime,
    },
    /// This VM has finished its work before a planned stop and gives up what it owns.
    Drained,
    /// An object was read, from the platform or from another VM.
    ObjectRead {
        /// The object that was read.
        object: ObjectKind,
        /// Version of the object.
        version: Version,
        /// Value of the object; null if it does not exist.
        value: Value,
    },
    /// The platform answered an update.
    UpdateAnswered {
        /// The object to be updated.
        object: ObjectKind,
        /// Whether the update took effect.
        updated: UpdateResult,
    },
    /// A read of the object got no answer.
    ReadFailed(ObjectKind),
    /// An update of the object got no answer: it may have taken effect, or may yet.
    UpdateFailed(ObjectKind),
}

/// Output of the controller: what its caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum PortionEffect {
    /// Read the object from the platform.
    ReadObject(ObjectKind),
    /// Replace the object's value on the platform if it still has the expected version.
    UpdateObject {
        /// The object to be updated.
        object: ObjectKind,
        /// The expected version.
        expected: Version,
        /// The new value.
        value: Value,
    },
    /// Call [`apply_allocation`](crate::apply::apply_allocation): the allocation or the data centre's
    /// object has changed.
    AllocationChanged,
}

/// What this VM may use now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Parts of each workspace's rate and burst, out of [`TOTAL_PARTS`](crate::objects::TOTAL_PARTS).
    pub parts: BTreeMap<WorkspaceName, u32>,
    /// Connections to each database.
    pub connections: BTreeMap<DatabaseName, u32>,
}
