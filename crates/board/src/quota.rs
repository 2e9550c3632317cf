//! This VM's allocation of rates and connections.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::platform::Version;

/// What this VM may use now. The data centre's object in the platform records who owns what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaView {
    /// Last known version of the data centre's object; zero before it was read.
    pub version: Version,
    /// This VM's portion of each workspace's rate and burst, in millionths.
    pub portions: BTreeMap<WorkspaceName, u32>,
    /// Whether the object names this VM as an owner. A planned stop waits until it no longer does.
    pub owns_anything: bool,
    /// How many connections this VM may open to each database.
    pub connections: BTreeMap<DatabaseName, u32>,
}
