//! Cold databases: holds back what would exceed their allowance, on connections of this VM's own.

use model::{prelude::*, request::stable_hash};
use slog::info;

use super::{DatabaseState, Engine, Waiter, channels::ChannelKey, holders::Path};
use crate::{
    catalog::Database,
    effect::{CallerKey, UpstreamKey},
    message::{ErrorCode, PreparedKey},
    pool::{ControlRequest, Purpose},
    regions::AllowedRegions,
    session::{SessionVariables, Stage},
    warmup::{ColdPeriod, RecentRequests, Sender, allowance, is_barred, transactions_max},
};

/// Added to the estimate for a cold database, in microseconds: about three round trips between regions, so that reads
/// go to a warm database as long as one has room.
pub(super) const COLD_PENALTY_US: f64 = 100_000.0;
/// Requests for a query of the gateway's own: the start of the connection and the query.
const QUERY_REQUESTS: usize = 2;

/// What this VM knows of a database that is, or was, cold.
#[derive(Debug)]
struct Warmup {
    period: ColdPeriod,
    /// Whether it was logged as cold, and not as warm since.
    logged: bool,
    /// This VM's rank among those that are no holders of it.
    outside_rank: usize,
    requests: RecentRequests,
    failover_requests: RecentRequests,
}

/// The databases that are, or were, cold.
#[derive(Debug, Default)]
pub(super) struct Warmups {
    by_database: FxHashMap<DatabaseName, Warmup>,
}

impl Engine {
    /// Number of databases that are cold and whose service limits the requests to them.
    pub fn cold_databases(&self) -> usize {
        self.databases.values().filter(|state| self.is_limited(state)).count()
    }

    /// Whether the number of requests to any database is limited.
    pub(super) fn has_cold_databases(&self) -> bool {
        let mut names = self.warmups.by_database.keys();
        names.any(|name| self.databases.get(name).is_some_and(|state| self.is_limited(state)))
    }

    /// Notes from a database's registry entry whether it is cold. One that has started again is cold again.
    pub(super) fn note_warmup(&mut self, record: &Database) {
        let now = self.now;
        let known = self.warmups.by_database.get(&record.name);
        let is_same =
            known.is_some_and(|known| known.period.is_of(record.incarnation, record.cold_left));
        if is_same || (known.is_none() && record.cold_left == DurationUs(0)) {
            return;
        }
        let period = ColdPeriod::new(record.incarnation, record.cold_left, now);
        let warmup = self.warmups.by_database.entry(record.name.clone()).or_insert(Warmup {
            period,
            logged: false,
            outside_rank: usize::MAX,
            requests: RecentRequests::default(),
            failover_requests: RecentRequests::default(),
        });
        warmup.logged &= warmup.period.is_of(record.incarnation, record.cold_left);
        warmup.period = period;
    }

    /// Logs the databases that have become cold or warm, and forgets warm ones that have left the list.
    pub(super) fn expire_warmups(&mut self) {
        let (now, databases) = (self.now, &self.databases);
        self.warmups
            .by_database
            .retain(|name, warmup| warmup.period.is_cold(now) || databases.contains_key(name));
        let names: Vec<DatabaseName> = self.warmups.by_database.keys().cloned().collect();
        for name in names {
            let Some(state) = self.databases.get(&name) else { continue };
            let (is_limited, rate) = (self.is_limited(state), self.cold_rate_of(state));
            let (service, run) = (state.record.service.clone(), state.record.incarnation);
            let Some(warmup) = self.warmups.by_database.get_mut(&name) else { continue };
            if warmup.logged == is_limited || self.catalog.generation == 0 {
                continue;
            }
            warmup.logged = is_limited;
            match is_limited {
                true => info!(self.log, "database is cold"; "database" => %name,
                    "service" => %service, "incarnation" => run, "per_s" => ?rate,
                    "left_ms" => warmup.period.left(now).as_ms()),
                false => info!(self.log, "database is warm again"; "database" => %name,
                    "service" => %service, "incarnation" => run),
            }
        }
    }

    /// Derives this VM's rank among those that are no holders of each cold database from the list of VMs.
    pub(super) fn rank_outside_holders(&mut self) {
        let names: Vec<DatabaseName> = self.warmups.by_database.keys().cloned().collect();
        for name in names {
            let weight = |vm: &VmName| (stable_hash(&format!("{name}/outside/{vm}")), vm.clone());
            let own = weight(&self.id.vm);
            let holders = self.holders_of(&name);
            let others = self.fleet.members().map(|(vm, _)| vm).filter(|vm| !holders.contains(vm));
            let before = others.filter(|vm| weight(vm) > own).count();
            let rank = if self.fleet.is_listed() { before } else { usize::MAX };
            if let Some(warmup) = self.warmups.by_database.get_mut(&name) {
                warmup.outside_rank = rank;
            }
        }
    }

    /// Whether the number of requests to a database is limited because it is cold.
    pub(super) fn is_limited(&self, state: &DatabaseState) -> bool {
        let warmup = self.warmups.by_database.get(&state.record.name);
        warmup.is_some_and(|warmup| warmup.period.is_cold(self.now))
            && self.cold_rate_of(state).is_some()
    }

    /// Requests per second that a cold database may get; `None` if there is no limit. Before the configuration is
    /// known, none may be sent.
    fn cold_rate_of(&self, state: &DatabaseState) -> Option<f64> {
        if self.catalog.generation == 0 {
            return Some(0.0);
        }
        self.catalog.services.get(&state.record.service)?.cold_rate_per_s
    }

    /// Returns how many requests this VM may send to a database in any second, for a failover or else, and those that
    /// it has sent; `None` if there is no limit.
    fn cold_allowance(
        &self,
        database: &DatabaseName,
        for_failover: bool,
    ) -> Option<(usize, &RecentRequests)> {
        let warmup = self.warmups.by_database.get(database)?;
        let state = self.databases.get(database).filter(|_| warmup.period.is_cold(self.now))?;
        let rate = self.cold_rate_of(state)?;
        let rank = self.holders_of(database).iter().position(|vm| *vm == self.id.vm);
        let (sender, requests) = match (for_failover, rank) {
            (true, _) => (Sender::Failover, &warmup.failover_requests),
            (false, Some(rank)) => (Sender::Holder(rank), &warmup.requests),
            (false, None) => (Sender::Outside(warmup.outside_rank), &warmup.requests),
        };
        if self.catalog.generation == 0 || is_barred(self.started_at, self.now) {
            return Some((0, requests));
        }
        Some((allowance(rate, self.id.policy.cold_slack, sender), requests))
    }

    /// Returns how many requests this VM may send to a database now, for a failover or else; `usize::MAX` if there
    /// is no limit.
    fn cold_room(&self, database: &DatabaseName, for_failover: bool) -> usize {
        let limit = self.cold_allowance(database, for_failover);
        limit.map_or(usize::MAX, |(allowance, requests)| requests.room(self.now, allowance))
    }

    /// Whether no further transaction may begin at a database over this VM's own connections now.
    pub(super) fn defers_begin(&self, database: &DatabaseName) -> bool {
        let Some((allowance, _)) = self.cold_allowance(database, false) else { return false };
        let own = self.pool.connections_to(database).filter(|(_, c)| c.link.is_none());
        own.filter(|(_, c)| c.in_transaction).count() >= transactions_max(allowance)
    }

    /// Whether nothing more may be sent to a database now over this VM's own connections.
    pub(super) fn is_cold_full(&self, database: &DatabaseName) -> bool {
        self.cold_room(database, false) == 0
    }

    /// Whether the requests that a statement needs may be sent on a connection now: its preparation and one more.
    pub(super) fn has_cold_room(
        &self,
        upstream: UpstreamKey,
        variables: &SessionVariables,
        prepared: Option<PreparedKey>,
    ) -> bool {
        let Some(connection) = self.pool.connections.get(upstream) else { return true };
        let limit = self.cold_allowance(&connection.database, false);
        let needed = connection.setup_requests(variables, prepared) + 1;
        connection.link.is_some()
            || limit.is_none_or(|(allowance, sent)| sent.admits(self.now, allowance, needed))
    }

    /// Like [`Engine::has_cold_room`], for a session's current statement.
    pub(super) fn has_cold_room_for(&mut self, key: CallerKey, upstream: UpstreamKey) -> bool {
        if self.warmups.by_database.is_empty() {
            return true;
        }
        let prepared = self.prepared_key_of(key);
        let Some(session) = self.sessions.get(key) else { return true };
        self.has_cold_room(upstream, &session.variables, prepared)
    }

    /// Records a request that is sent over a connection of this VM's own.
    pub(super) fn record_request(&mut self, upstream: UpstreamKey) {
        let Some(connection) = self.pool.connections.get(upstream) else { return };
        let for_failover = match connection.purpose {
            Purpose::Control { attempt, .. } => self.is_for_failover(attempt),
            Purpose::Statements(_) => false,
        };
        let now = self.now;
        if let Some(warmup) = self.warmups.by_database.get_mut(&connection.database) {
            match for_failover {
                true => warmup.failover_requests.record(now),
                false => warmup.requests.record(now),
            }
        }
    }

    /// Whether a request of the gateway's own belongs to a failover, or helps the coordinator to decide on one.
    fn is_for_failover(&self, attempt: u64) -> bool {
        attempt != super::primaries::NO_FAILOVER || self.is_coordinator()
    }

    /// Whether a query of the gateway's own has to wait. It is repeated later. A request that changes a database's
    /// role or replication does not wait: a failover sends it once.
    pub(super) fn holds_back_control(
        &mut self,
        database: &DatabaseName,
        attempt: u64,
        request: ControlRequest,
        is_open: bool,
    ) -> bool {
        let may_wait = matches!(request, ControlRequest::Status | ControlRequest::Pause(_));
        let needed = if is_open { 1 } else { QUERY_REQUESTS };
        let waits = may_wait && self.cold_room(database, self.is_for_failover(attempt)) < needed;
        self.counts.cold_held_back += u64::from(waits);
        waits
    }

    /// Has the next statement of an open transaction wait until the database may get it.
    pub(super) fn hold_in_transaction(&mut self, key: CallerKey) {
        if let Some(current) = self.sessions.get_mut(key).and_then(|s| s.current.as_mut()) {
            current.stage = Stage::Waiting;
            self.waiting.push(Waiter::Session(key));
        }
    }

    /// Sends a statement that waits in an open transaction, if the database may get it now. Returns whether it no
    /// longer waits.
    pub(super) fn resume_in_transaction(&mut self, key: CallerKey, upstream: UpstreamKey) -> bool {
        if !self.pool.connections.contains_key(upstream) {
            self.fail(key, ErrorCode::Aborted, "the transaction's connection was lost");
            return true;
        }
        if self.is_handed_over(upstream) {
            self.roll_back(upstream);
            self.fail(key, ErrorCode::Aborted, "planned change of the primary");
            return true;
        }
        if !self.has_cold_room_for(key, upstream) {
            return false;
        }
        self.forward_in_transaction(key, upstream);
        true
    }

    /// Whether a connection leads to a primary whose suspension this VM has confirmed: nothing more may be sent there.
    fn is_handed_over(&self, upstream: UpstreamKey) -> bool {
        let Some(connection) = self.pool.connections.get(upstream) else { return false };
        self.services.values().any(|service| {
            service.primary.as_ref() == Some(&connection.database)
                && service.suspension.as_ref().is_some_and(|suspension| suspension.confirmed)
        })
    }

    /// Counts the waiting requests that a cold database's limit holds back, each once.
    pub(super) fn count_held_back(&mut self) {
        if !self.has_cold_databases() {
            return;
        }
        let is_full = |state: &DatabaseState| {
            matches!(self.path_to(state, &AllowedRegions::All), Path::Own(_))
                && self.is_cold_full(&state.record.name)
        };
        let databases = self.databases.iter().filter(|(_, state)| is_full(state));
        let full: Vec<(DatabaseName, ServiceName)> =
            databases.map(|(name, s)| (name.clone(), s.record.service.clone())).collect();
        for waiter in self.waiting.clone() {
            let is_new = match waiter {
                Waiter::Session(key) => self.mark_held_back(key, &full),
                Waiter::Channel(key) => self.channels.mark_held_back(key, &full),
            };
            self.counts.cold_held_back += u64::from(is_new);
        }
    }

    fn mark_held_back(&mut self, key: CallerKey, full: &[(DatabaseName, ServiceName)]) -> bool {
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let Some(auth) = &session.authorization else { return false };
        let Some(current) = &mut session.current else { return false };
        let waits =
            !current.needs_token && full.iter().any(|(_, service)| *service == auth.route.service);
        waits && !std::mem::replace(&mut current.held_back, true)
    }

    /// Has reads go elsewhere for a while after a holder returned a request to a cold database for lack of room.
    pub(super) fn avoid_if_cold(&mut self, channel: UpstreamKey) {
        let Some(connection) = self.pool.connections.get(channel) else { return };
        let state = self.databases.get(&connection.database);
        if state.is_some_and(|state| self.is_limited(state)) {
            self.avoid_database(channel);
        }
    }

    /// Whether a peer's request is refused at once instead of waiting: a read that other databases can serve, too.
    pub(super) fn returns_to_peer(&self, key: ChannelKey, database: &DatabaseName) -> bool {
        self.is_cold_full(database) && self.channels.is_read_of_position(key)
    }
}
