//! The list of registered databases, and what becomes of those that leave it.

use model::prelude::*;
use slog::info;

use super::{DatabaseState, Engine, ServiceState};
use crate::{catalog::Database, effect::UpstreamKey};

/// How long a database is still used after its entry disappeared without notice. After an outage of the
/// store, entries may return within two seconds.
pub const MISSING_GRACE: DurationUs = DurationUs::from_ms(2_500);

impl Engine {
    /// Takes a list of all databases, unless it is older than the present one. A database that is
    /// missing is still used for `MISSING_GRACE`, since it may only have failed to renew its entry;
    /// one that was marked as leaving is dropped at once.
    pub fn set_databases(&mut self, now: MonoTime, version: u64, databases: Vec<Database>) {
        self.now = now;
        if version < self.registry_version {
            return;
        }
        self.registry_version = version;
        self.registry_known = true;
        let mut gone: Vec<DatabaseName> = Vec::new();
        for (name, state) in &mut self.databases {
            if databases.iter().any(|record| record.name == *name) {
                state.missing_since = None;
            } else if !state.record.leaving {
                state.missing_since.get_or_insert(now);
            } else {
                gone.push(name.clone());
            }
        }
        for name in gone {
            self.drop_database(&name, "left");
            self.services.values_mut().for_each(|service| service.roster.remove(&name));
        }
        for record in databases {
            self.set_database(record);
        }
        self.update_holders();
        self.find_primaries();
        self.place_waiting();
    }

    fn set_database(&mut self, record: Database) {
        self.note_warmup(&record);
        let name = record.name.clone();
        let restarted = self.databases.get(&name).is_some_and(|state| {
            state.record.incarnation != record.incarnation
                || state.record.address != record.address
                || state.record.service != record.service
        });
        if restarted {
            self.drop_database(&name, "restarted");
            for service in self.services.values_mut() {
                service.newcomers.remove(&name);
            }
        }
        match self.databases.get_mut(&name) {
            Some(state) => {
                if state.record != record {
                    info!(self.log, "database changed"; "database" => %name,
                        "service" => %record.service, "role" => ?record.role,
                        "leaving" => record.leaving);
                }
                state.record = record;
            }
            None => {
                info!(self.log, "database listed"; "database" => %name,
                    "service" => %record.service, "role" => ?record.role, "dc" => %record.dc,
                    "leaving" => record.leaving, "incarnation" => record.incarnation);
                let (now, service) = (self.now, record.service.clone());
                let service =
                    self.services.entry(service).or_insert_with(|| ServiceState::new(now));
                let is_known = service.roster.members.contains(&name);
                if !is_known && service.stored_roster.is_some() {
                    service.newcomers.insert(name.clone());
                }
                service.roster.add(&name);
                self.databases.insert(name, DatabaseState::new(record, now));
            }
        }
    }

    fn drop_database(&mut self, name: &DatabaseName, reason: &str) {
        info!(self.log, "database dropped"; "database" => %name, "reason" => reason);
        // Connections with a statement in progress stay open, since it may still be answered.
        let free = self.pool.connections_to(name).filter(|(_, connection)| connection.is_free());
        let free: Vec<UpstreamKey> = free.map(|(key, _)| key).collect();
        for key in free {
            self.close_connection(key);
        }
        if let Some(state) = self.databases.remove(name) {
            let service = self.services.get_mut(&state.record.service);
            if let Some(service) = service.filter(|s| s.primary.as_ref() == Some(name)) {
                service.primary = None;
            }
        }
    }

    pub(super) fn expire_missing_databases(&mut self) {
        let now = self.now;
        let gone = self.databases.iter().filter(|(_, state)| {
            state.missing_since.is_some_and(|since| now.since(since) >= MISSING_GRACE)
        });
        let gone: Vec<DatabaseName> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone {
            let service = self.databases[&name].record.service.clone();
            self.drop_database(&name, "registry entry missing");
            if !self.is_synchronous(&service)
                && let Some(state) = self.services.get_mut(&service)
            {
                state.roster.remove(&name);
            }
        }
    }
}
