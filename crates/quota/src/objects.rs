//! The objects on the platform that divide rates and connections among data centres and VMs.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Parts into which each workspace's rate and burst are divided.
pub const TOTAL_PARTS: u32 = 1_000_000;

/// One incarnation of a VM: it owns portions and connections, and borrows and lends tokens. A VM that
/// restarts is another instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmInstance {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the VM, which differs with each start.
    pub incarnation: Incarnation,
}

/// The object `shares`: how many of each workspace's parts belong to each data centre. Numbers only
/// rise, and only by parts that belong to no data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharesObject {
    /// Parts of each data centre, by workspace.
    pub workspaces: BTreeMap<WorkspaceName, BTreeMap<DcName, u32>>,
}

impl SharesObject {
    /// Divides the parts of each workspace that has no entry yet evenly among the data centres.
    pub fn add_even_shares(
        &mut self,
        workspaces: impl Iterator<Item = WorkspaceName>,
        data_centres: &[DcName],
    ) {
        let even = TOTAL_PARTS.checked_div(data_centres.len() as u32).unwrap_or(0);
        for workspace in workspaces {
            self.workspaces
                .entry(workspace)
                .or_insert_with(|| data_centres.iter().map(|dc| (dc.clone(), even)).collect());
        }
    }

    /// A data centre's parts of a workspace; zero if there is no entry.
    pub fn parts(&self, workspace: &WorkspaceName, dc: &DcName) -> u32 {
        let of = |shares: &BTreeMap<DcName, u32>| shares.get(dc).copied();
        self.workspaces.get(workspace).and_then(of).unwrap_or(0)
    }
}

/// What one VM instance owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The instance that owns them.
    pub owner: VmInstance,
    /// Parts of each workspace's rate and burst, out of [`TOTAL_PARTS`].
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub portions: BTreeMap<WorkspaceName, u32>,
    /// Connections that the instance may open to each database.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub connections: BTreeMap<DatabaseName, u32>,
}

/// The object `dc/<name>`: how a data centre's parts and connections are divided among its VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DcObject {
    /// Parts of each workspace that belong to the data centre.
    pub parts: BTreeMap<WorkspaceName, u32>,
    /// What each owner owns, sorted by owner.
    pub holdings: Vec<Holding>,
}

impl DcObject {
    /// What the instance owns, if it owns anything.
    pub fn holding(&self, owner: &VmInstance) -> Option<&Holding> {
        let at = self.holdings.binary_search_by(|h| h.owner.cmp(owner)).ok()?;
        self.holdings.get(at)
    }

    /// What the instance owns, for changes; inserted empty if there is no entry.
    pub fn holding_mut(&mut self, owner: &VmInstance) -> &mut Holding {
        let at = match self.holdings.binary_search_by(|h| h.owner.cmp(owner)) {
            Ok(at) => at,
            Err(at) => {
                let empty = Holding {
                    owner: owner.clone(),
                    portions: BTreeMap::new(),
                    connections: BTreeMap::new(),
                };
                self.holdings.insert(at, empty);
                at
            }
        };
        &mut self.holdings[at]
    }

    /// The instance's parts of a workspace.
    pub fn portion(&self, owner: &VmInstance, workspace: &WorkspaceName) -> u32 {
        self.holding(owner).and_then(|h| h.portions.get(workspace)).copied().unwrap_or(0)
    }

    /// Number of connections that the instance may open to a database.
    pub fn connections(&self, owner: &VmInstance, database: &DatabaseName) -> u32 {
        self.holding(owner).and_then(|h| h.connections.get(database)).copied().unwrap_or(0)
    }

    /// Parts that have an owner, by workspace.
    pub fn owned_parts(&self) -> FxHashMap<&WorkspaceName, u32> {
        let mut owned = FxHashMap::default();
        for (workspace, parts) in self.holdings.iter().flat_map(|h| &h.portions) {
            *owned.entry(workspace).or_default() += parts;
        }
        owned
    }

    /// Connections that have an owner, by database.
    pub fn owned_connections(&self) -> FxHashMap<&DatabaseName, u32> {
        let mut owned = FxHashMap::default();
        for (database, count) in self.holdings.iter().flat_map(|h| &h.connections) {
            *owned.entry(database).or_default() += count;
        }
        owned
    }

    /// Owners of parts of the workspace with their numbers of parts, largest first.
    pub fn owners(&self, workspace: &WorkspaceName) -> Vec<(&VmInstance, u32)> {
        let of = |h: &'_ Holding| h.portions.get(workspace).copied().filter(|parts| *parts > 0);
        let mut owners: Vec<(&VmInstance, u32)> =
            self.holdings.iter().filter_map(|h| Some((&h.owner, of(h)?))).collect();
        owners.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        owners
    }

    /// Removes zero entries, and owners that own nothing.
    pub fn prune(&mut self) {
        for holding in &mut self.holdings {
            holding.portions.retain(|_, parts| *parts > 0);
            holding.connections.retain(|_, count| *count > 0);
        }
        self.holdings.retain(|h| !h.portions.is_empty() || !h.connections.is_empty());
    }
}
