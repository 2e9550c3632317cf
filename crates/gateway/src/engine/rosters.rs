//! The rosters of services with synchronous commits: what this VM knows of them, and keeping the store's up to date.

use model::prelude::*;
use slog::info;

use super::{Engine, primaries::NO_FAILOVER};
use crate::{
    effect::{Effect, PlatformRequest},
    pool::ControlRequest,
    replicas::ReplicaRoster,
};

/// Time between two calls of the store, and between two queries of members that were given up.
const ROSTER_INTERVAL: DurationUs = DurationUs::from_ms(2_000);

impl Engine {
    /// Whether a service's commits are acknowledged once a replica has them.
    pub(super) fn is_synchronous(&self, service: &ServiceName) -> bool {
        self.catalog.services.get(service).is_some_and(|limits| limits.synchronous)
    }

    /// Takes the rosters in the store. Databases that are listed at present are members, too.
    pub fn set_rosters(&mut self, now: MonoTime, rosters: &FxHashMap<ServiceName, ReplicaRoster>) {
        self.now = now;
        let databases = &self.databases;
        for (name, service) in &mut self.services {
            let stored = rosters.get(name).cloned().unwrap_or_default();
            if service.stored_roster.as_ref() == Some(&stored) {
                continue;
            }
            info!(self.log, "roster read"; "service" => %name, "members" => ?stored.members,
                "lost" => ?stored.lost);
            service.roster = stored.clone();
            let listed = databases.values().filter(|state| state.record.service == *name);
            listed.for_each(|state| service.roster.add(&state.record.name));
            service.stored_roster = Some(stored);
        }
        self.advance_failovers();
    }

    /// Requests the rosters from the store, unless that was done a short time ago.
    pub(super) fn read_rosters(&mut self) {
        if self.rosters_requested_at.is_none_or(|at| self.now.since(at) >= ROSTER_INTERVAL) {
            self.rosters_requested_at = Some(self.now);
            self.effects.push(Effect::CallPlatform(PlatformRequest::ReadRosters));
        }
    }

    /// As the coordinator, keeps the rosters in the store up to date.
    pub(super) fn maintain_rosters(&mut self) {
        let synchronous = |name: &&ServiceName| self.is_synchronous(name);
        let services: Vec<ServiceName> =
            self.services.keys().filter(synchronous).cloned().collect();
        if services.is_empty() || !self.has_lease() || !self.is_coordinator() {
            return;
        }
        let is_due =
            self.rosters_requested_at.is_none_or(|at| self.now.since(at) >= ROSTER_INTERVAL);
        if !is_due || !self.reaches_store() {
            return;
        }
        for service in services {
            let state = &self.services[&service];
            let Some(stored) = &state.stored_roster else { return self.read_rosters() };
            let lost: Vec<DatabaseName> = state.roster.lost.iter().cloned().collect();
            if *stored != state.roster {
                let (before, roster) = (stored.clone(), state.roster.clone());
                self.rosters_requested_at = Some(self.now);
                let request = PlatformRequest::WriteRoster { service, before, roster };
                self.effects.push(Effect::CallPlatform(request));
            }
            for database in lost {
                // One that answers is not lost.
                self.request_control(&database, NO_FAILOVER, ControlRequest::Status);
            }
        }
    }
}
