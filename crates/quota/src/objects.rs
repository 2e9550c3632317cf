//! The objects on the platform that divide rates and connections.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Parts into which a workspace's rate and burst are divided.
pub const TOTAL_PARTS: u32 = 1_000_000;

/// A run of a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmInstance {
    /// The VM.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

/// The object `shares`: how many of each workspace's parts belong to each data centre. Values only
/// rise, and only out of what is free.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharesObject {
    /// Parts of each data centre, by workspace.
    pub workspaces: BTreeMap<WorkspaceName, BTreeMap<DcName, u32>>,
}

impl SharesObject {
    /// Gives every workspace that has no division yet an even one.
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

    /// The parts of a data centre.
    pub fn parts(&self, workspace: &WorkspaceName, dc: &DcName) -> u32 {
        let of = |shares: &BTreeMap<DcName, u32>| shares.get(dc).copied();
        self.workspaces.get(workspace).and_then(of).unwrap_or(0)
    }
}

/// What a run of a VM owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The run.
    pub owner: VmInstance,
    /// Parts of workspaces' rates and bursts.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub portions: BTreeMap<WorkspaceName, u32>,
    /// Connections to databases.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub connections: BTreeMap<DatabaseName, u32>,
}

/// The object `dc/<name>`: who in the data centre owns which part of its rates and connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DcObject {
    /// Parts that the data centre may divide.
    pub parts: BTreeMap<WorkspaceName, u32>,
    /// Owners, sorted.
    pub holdings: Vec<Holding>,
}

impl DcObject {
    /// What the run owns.
    pub fn holding(&self, owner: &VmInstance) -> Option<&Holding> {
        let at = self.holdings.binary_search_by(|h| h.owner.cmp(owner)).ok()?;
        self.holdings.get(at)
    }

    /// What the run owns, to be changed.
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

    /// The run's parts of a workspace.
    pub fn portion(&self, owner: &VmInstance, workspace: &WorkspaceName) -> u32 {
        self.holding(owner).and_then(|h| h.portions.get(workspace)).copied().unwrap_or(0)
    }

    /// The run's connections to a database.
    pub fn connections(&self, owner: &VmInstance, database: &DatabaseName) -> u32 {
        self.holding(owner).and_then(|h| h.connections.get(database)).copied().unwrap_or(0)
    }

    /// Parts owned by somebody, by workspace.
    pub fn owned_parts(&self) -> FxHashMap<&WorkspaceName, u32> {
        let mut owned = FxHashMap::default();
        for (workspace, parts) in self.holdings.iter().flat_map(|h| &h.portions) {
            *owned.entry(workspace).or_default() += parts;
        }
        owned
    }

    /// Connections owned by somebody, by database.
    pub fn owned_connections(&self) -> FxHashMap<&DatabaseName, u32> {
        let mut owned = FxHashMap::default();
        for (database, count) in self.holdings.iter().flat_map(|h| &h.connections) {
            *owned.entry(database).or_default() += count;
        }
        owned
    }

    /// Owners of parts of the workspace, those with the most first.
    pub fn owners(&self, workspace: &WorkspaceName) -> Vec<(&VmInstance, u32)> {
        let of = |h: &'_ Holding| h.portions.get(workspace).copied().filter(|parts| *parts > 0);
        let mut owners: Vec<(&VmInstance, u32)> =
            self.holdings.iter().filter_map(|h| Some((&h.owner, of(h)?))).collect();
        owners.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        owners
    }

    /// Drops what stands for nothing.
    pub fn prune(&mut self) {
        for holding in &mut self.holdings {
            holding.portions.retain(|_, parts| *parts > 0);
            holding.connections.retain(|_, count| *count > 0);
        }
        self.holdings.retain(|h| !h.portions.is_empty() || !h.connections.is_empty());
    }
}
