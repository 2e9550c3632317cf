//! What this VM owns of rates and connections.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::platform::Version;

/// What this VM may use now, out of its data centre's object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaView {
    /// Version of the object.
    pub version: Version,
    /// Parts of workspaces' rates and bursts, in millionths.
    pub portions: BTreeMap<WorkspaceName, u32>,
    /// Whether the object names this VM as the owner of anything, or did so before a planned stop.
    pub owns_anything: bool,
    /// Connections to databases.
    pub connections: BTreeMap<DatabaseName, u32>,
}
