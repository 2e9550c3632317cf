//! Regions in which the operations of a route or a workspace may run, so that data stays where its owner allows it.

use std::collections::BTreeSet;

/// The regions in which an operation may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region.
    #[default]
    All,
    /// Only these; none at all if the set is empty.
    Only(BTreeSet<Box<str>>),
}

impl AllowedRegions {
    /// Returns the restriction to the named regions; no names mean no restriction.
    pub fn new(names: impl IntoIterator<Item = Box<str>>) -> AllowedRegions {
        let names: BTreeSet<Box<str>> = names.into_iter().collect();
        if names.is_empty() { AllowedRegions::All } else { AllowedRegions::Only(names) }
    }

    /// Whether an operation may run in `region`. A data centre without a known region is permitted only where
    /// there is no restriction.
    pub fn permits(&self, region: Option<&str>) -> bool {
        match self {
            AllowedRegions::All => true,
            AllowedRegions::Only(names) => region.is_some_and(|region| names.contains(region)),
        }
    }

    /// Returns the regions that both permit.
    pub fn intersection(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::All, allowed) | (allowed, AllowedRegions::All) => allowed.clone(),
            (AllowedRegions::Only(own), AllowedRegions::Only(other)) => {
                AllowedRegions::Only(own.intersection(other).cloned().collect())
            }
        }
    }
}
