//! What this VM knows of evacuations: for readiness, for what to fetch from peers, and for operators.

use model::prelude::*;

use super::Engine;
use crate::evacuation::Stage;

/// An evacuation as this VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationStatus {
    /// The data centre that is being evacuated.
    pub dc: DcName,
    /// How long this VM has known of it.
    pub age: DurationUs,
    /// Whether the grace period is over, so that only failovers send requests there.
    pub is_closed: bool,
    /// This VM's own connections to databases there. Those of holders elsewhere are in their status.
    pub connections: usize,
    /// How many of these connections run a request, or belong to an open transaction.
    pub in_use: usize,
    /// This VM's channels to holders of databases there.
    pub channels: usize,
    /// Services whose primary is there.
    pub primaries: Vec<ServiceName>,
}

impl Engine {
    /// Whether the deployment has evacuations, so that their list has to be known.
    pub fn watches_evacuations(&self) -> bool {
        self.id.policy.evacuation_bound.is_some()
    }

    /// Whether the list of evacuations is known, or not needed. A VM that does not know it might send callers' work
    /// to a data centre that is being evacuated.
    pub(super) fn knows_evacuations(&self) -> bool {
        !self.watches_evacuations() || self.evacuations.version() > 0
    }

    /// Whether a peer has announced a list of evacuations that is newer than this VM's.
    pub(super) fn needs_evacuations(&self, announced: u64) -> bool {
        self.watches_evacuations() && announced > self.evacuations.version()
    }

    /// Returns the evacuations that this VM knows, by data centre.
    pub fn evacuation_status(&self) -> Vec<EvacuationStatus> {
        self.evacuations.iter().map(|(dc, since)| self.status_of(dc, since)).collect()
    }

    fn status_of(&self, dc: &DcName, since: MonoTime) -> EvacuationStatus {
        let is_there = |database: &DatabaseName| {
            self.databases.get(database).is_some_and(|database| database.record.dc == *dc)
        };
        let (mut connections, mut in_use, mut channels) = (0, 0, 0);
        for connection in self.pool.connections.values().filter(|c| is_there(&c.database)) {
            if connection.link.is_some() {
                channels += 1;
                continue;
            }
            connections += 1;
            in_use += usize::from(connection.user.is_some() || !connection.pending.is_empty());
        }
        let primaries =
            self.services.iter().filter(|(_, s)| s.primary.as_ref().is_some_and(is_there));
        EvacuationStatus {
            dc: dc.clone(),
            age: self.now.since(since),
            is_closed: self.evacuations.stage(self.now, dc) == Stage::Closed,
            connections,
            in_use,
            channels,
            primaries: primaries.map(|(name, _)| name.clone()).collect(),
        }
    }
}
