//! The engine: one VM's sessions, connections, peers and attempts, driven by events.

mod callers;
mod connections;
mod expiry;
mod failovers;
mod gossip;
mod membership;
mod placement;
mod primaries;
mod registry;
mod replies;
mod sharing;
mod suspensions;

pub(crate) use callers::Authorization;
use membership::Membership;

use std::{collections::BTreeMap, sync::Arc};

use model::prelude::*;
use slog::{Logger, info};
use slotmap::SlotMap;

use crate::{
    catalog::{Catalog, Database},
    effect::{CallerKey, Effect},
    failover::{FailoverAttempt, StatusRow},
    fleet::FleetView,
    freshness::ServiceFreshness,
    histogram::Latencies,
    message::TransactionState,
    pool::Pool,
    rates::RateLimiter,
    session::Session,
};

/// How long sessions at rest are kept open after a stop was asked for: a statement may be under way.
const STOP_IDLE_GRACE: DurationUs = DurationUs::from_ms(300);

/// Which VM this is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub dc: DcName,
    /// Regions by data centre.
    pub regions: FxHashMap<DcName, Box<str>>,
    /// Whether the whole fleet starts for the first time: no earlier run can have promised anything.
    pub first_start: bool,
    /// Reads the row with which an upstream answers a question for its status.
    pub decode_status: fn(&str) -> Option<StatusRow>,
}

/// What is known of a database besides what it registered.
#[derive(Debug)]
pub(crate) struct DatabaseState {
    pub(crate) record: Database,
    /// When its entry was first missing.
    pub(crate) missing_since: Option<MonoTime>,
    pub(crate) last_heard: Option<MonoTime>,
    pub(crate) failing_since: Option<MonoTime>,
    /// Not connected to before this moment.
    pub(crate) retry_at: MonoTime,
    /// When it last refused a connection for their number.
    pub(crate) limit_refusal_at: Option<MonoTime>,
    /// Until when its connections count as scarce: it refused some VM one for their number.
    pub(crate) scarce_until: MonoTime,
    /// What it was seen to lack.
    pub(crate) lag_backoff: Option<LagBackoff>,
    /// Time from sending a statement to its answer, averaged, in microseconds.
    pub(crate) avg_response_us: f64,
    pub(crate) response_measured_at: MonoTime,
    pub(crate) failures: u32,
}

/// A replica that was behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LagBackoff {
    /// How far its log went.
    pub(crate) position: Position,
    /// Until when it is passed over for later positions.
    pub(crate) until: MonoTime,
    /// For how long that is; doubles while it stays behind.
    pub(crate) span: DurationUs,
}

/// What is known of a service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) term: Term,
    /// When this VM learned of the term.
    pub(crate) term_since: MonoTime,
    pub(crate) primary: Option<DatabaseName>,
    pub(crate) suspension: Option<Suspension>,
    pub(crate) freshness: ServiceFreshness,
    /// When its databases were last asked who leads.
    pub(crate) primary_queried_at: Option<MonoTime>,
    /// Since when nobody is known to lead.
    pub(crate) no_primary_since: Option<MonoTime>,
    pub(crate) next_failover_at: MonoTime,
}

/// A term that is being prepared, for which this VM does not use the primary.
#[derive(Clone, Debug)]
pub(crate) struct Suspension {
    pub(crate) term: Term,
    pub(crate) by: VmName,
    pub(crate) run: Incarnation,
    pub(crate) since: MonoTime,
    pub(crate) confirmed: bool,
}

/// One VM's gateway.
#[derive(Debug)]
pub struct Engine {
    id: Identity,
    log: Logger,
    now: MonoTime,
    started_at: MonoTime,
    catalog: Arc<Catalog>,
    registry_version: u64,
    registry_known: bool,
    databases: BTreeMap<DatabaseName, DatabaseState>,
    services: BTreeMap<ServiceName, ServiceState>,
    sessions: SlotMap<CallerKey, Session>,
    waiting: Vec<CallerKey>,
    unconfirmed: Vec<CallerKey>,
    pool: Pool,
    fleet: FleetView,
    rates: RateLimiter,
    failovers: Vec<FailoverAttempt>,
    next_failover_id: u64,
    next_heartbeat_at: MonoTime,
    heartbeats: u64,
    last_fetch_at: MonoTime,
    had_lease: bool,
    /// Whether promotions that an earlier run knew of are known again.
    intents_known: bool,
    /// Since when they are not.
    intents_requested_at: MonoTime,
    membership: Membership,
    stopping_since: Option<MonoTime>,
    counts: Counts,
    latencies: Latencies,
    effects: Vec<Effect>,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Statements answered with success.
    pub answered: u64,
    /// Statements refused without having run.
    pub refused: u64,
    /// Statements that failed, or whose outcome is unknown.
    pub failed: u64,
    /// Operations refused because their workspace was past its rate.
    pub rate_limited: u64,
    /// Connections opened to upstreams.
    pub connections_opened: u64,
    /// Statements sent again, elsewhere or later.
    pub retries: u64,
    /// Reads that replicas answered.
    pub replica_reads: u64,
    /// Attempts to replace a primary that began here.
    pub takeovers: u64,
    /// Searches of all upstreams for one that has room for a statement.
    pub searches: u64,
}

impl Engine {
    /// An engine that knows no configuration yet.
    pub fn new(id: Identity, log: Logger, now: MonoTime) -> Engine {
        let intents_known = id.first_start;
        let fleet = FleetView::new(id.vm.clone(), id.incarnation, id.dc.clone());
        Engine {
            id,
            log,
            now,
            started_at: now,
            catalog: Arc::default(),
            registry_version: 0,
            registry_known: false,
            databases: BTreeMap::new(),
            services: BTreeMap::new(),
            sessions: SlotMap::with_key(),
            waiting: Vec::new(),
            unconfirmed: Vec::new(),
            pool: Pool::default(),
            fleet,
            rates: RateLimiter::default(),
            failovers: Vec::new(),
            next_failover_id: 1,
            next_heartbeat_at: now,
            heartbeats: 0,
            last_fetch_at: MonoTime(0),
            had_lease: false,
            intents_known,
            intents_requested_at: now,
            membership: Membership::default(),
            stopping_since: None,
            counts: Counts::default(),
            latencies: Latencies::default(),
            effects: Vec::new(),
        }
    }

    /// Takes the effects queued so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How long statements took since the start.
    pub fn latencies(&self) -> &Latencies {
        &self.latencies
    }

    /// Open sessions, and statements that wait for an upstream.
    pub fn load(&self) -> (usize, usize) {
        (self.sessions.len(), self.waiting.len())
    }

    /// Whether new callers can be served here.
    pub fn is_ready(&self) -> bool {
        self.catalog.generation > 0
            && self.registry_known
            && self.stopping_since.is_none()
            && self.has_lease()
    }

    /// Whether a stop was asked for and nothing is left to do.
    pub fn is_stopped(&self) -> bool {
        self.stopping_since.is_some() && self.sessions.is_empty()
    }

    /// Generation of the configuration in force.
    pub fn generation(&self) -> u64 {
        self.catalog.generation
    }

    /// Version of the list of databases in use.
    pub fn registry_version(&self) -> u64 {
        self.registry_version
    }

    /// Version of the list of VMs in use.
    pub fn members_version(&self) -> u64 {
        self.fleet.version()
    }

    /// Step of the set of witnesses in use.
    pub fn witness_step(&self) -> u64 {
        self.fleet.witnesses().step
    }

    /// Whether this VM has to follow the store itself; otherwise it hears from the witnesses.
    pub fn must_watch_store(&self) -> bool {
        self.fleet.self_is_witness() || !self.has_lease() || self.is_starting()
    }

    /// Whether this VM has just started, and the fleet perhaps with it.
    pub fn is_starting(&self) -> bool {
        self.now.since(self.started_at) < STARTUP_PERIOD
    }

    /// When [`Engine::tick`] is due.
    pub fn next_tick(&self, now: MonoTime) -> DurationUs {
        let busy = !self.waiting.is_empty()
            || !self.unconfirmed.is_empty()
            || !self.failovers.is_empty()
            || self.services.values().any(|service| service.suspension.is_some());
        let period = if busy { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        DurationUs(period.0.min(self.next_heartbeat_at.since(now).0.max(BUSY_TICK_INTERVAL.0)))
    }

    /// Takes a configuration. An older one than that in force is dropped.
    pub fn set_catalog(&mut self, now: MonoTime, catalog: Arc<Catalog>) {
        self.now = now;
        if catalog.generation <= self.catalog.generation {
            return;
        }
        info!(self.log, "configuration in force";
            "generation" => catalog.generation, "before" => self.catalog.generation,
            "routes" => catalog.routes.len(), "workspaces" => catalog.workspaces.len());
        self.catalog = catalog;
        self.rates.configure(now, &self.catalog.workspaces);
        let services: Vec<ServiceName> = self.catalog.services.keys().cloned().collect();
        for service in services {
            self.services.entry(service).or_insert_with(|| ServiceState::new(now));
        }
        self.close_unauthorized();
        self.answer_held_starts();
        self.place_waiting();
    }

    /// Stops taking new work; what is in progress goes on.
    pub fn stop(&mut self, now: MonoTime) {
        self.now = now;
        if self.stopping_since.is_none() {
            info!(self.log, "stopping"; "sessions" => self.sessions.len());
            self.stopping_since = Some(now);
            self.send_heartbeats();
        }
    }

    /// Ends transactions that rest although a stop was asked for.
    pub fn roll_back_idle_transactions(&mut self, now: MonoTime) {
        self.now = now;
        let open = self.sessions.iter().filter(|(_, session)| {
            session.transaction.state() == TransactionState::Open && session.current.is_none()
        });
        let open: Vec<CallerKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.abandon_transaction(key, "this VM is stopping");
        }
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: MonoTime) {
        self.now = now;
        self.expire_missing_databases();
        self.expire_statements();
        self.expire_connections();
        self.expire_transactions();
        self.settle_unconfirmed();
        self.borrow_tokens();
        if self.next_heartbeat_at <= now {
            self.send_heartbeats();
        }
        self.log_lease_change();
        self.maintain_membership();
        self.advance_failovers();
        self.start_due_failovers();
        self.find_primaries();
        self.place_waiting();
        self.close_idle_sessions();
    }

    /// Closes sessions that rest, once a stop was asked for.
    fn close_idle_sessions(&mut self) {
        let Some(at) = self.stopping_since else { return };
        let now = self.now;
        let resting = self.sessions.iter().filter(|(_, session)| {
            session.is_idle() && now.since(at.max(session.last_active)) >= STOP_IDLE_GRACE
        });
        let resting: Vec<CallerKey> = resting.map(|(key, _)| key).collect();
        for key in resting {
            self.close_session(key);
        }
    }

    fn close_session(&mut self, key: CallerKey) {
        self.release_transaction(key);
        if self.sessions.remove(key).is_some() {
            self.effects.push(Effect::CloseCaller(key));
        }
    }

    /// Closes sessions at rest whose key or route is gone.
    fn close_unauthorized(&mut self) {
        let keys: Vec<CallerKey> = self.sessions.keys().collect();
        for key in keys {
            let session = &self.sessions[key];
            if session.started && session.is_idle() && self.authorize(session).is_err() {
                info!(self.log, "session closed: its key or route is gone";
                    "host" => &*session.host, "generation" => self.catalog.generation);
                self.close_session(key);
            }
        }
    }

    fn has_lease(&self) -> bool {
        self.fleet.lease_until(self.now).is_some_and(|until| self.now < until)
            && !self.has_missed_term()
    }

    /// Terms of all services, added up.
    fn terms_total(&self) -> u64 {
        self.services.values().map(|service| service.term.0).sum()
    }

    /// Whether a witness knows of a change that this VM has not heard of.
    fn has_missed_term(&self) -> bool {
        self.terms_total() < self.fleet.witness_terms_total(self.now)
    }

    fn log_lease_change(&mut self) {
        let has_lease = self.has_lease();
        if has_lease != self.had_lease {
            self.had_lease = has_lease;
            info!(self.log, "{}", if has_lease { "lease gained" } else { "lease lost" };
                "live" => self.fleet.live_count(self.now), "members" => self.fleet.vm_count());
        }
    }

    /// Whether this VM may send new work to the service's primary.
    fn may_use_primary(&self, service: &ServiceState) -> bool {
        service.primary.is_some() && service.suspension.is_none() && self.has_lease()
    }

    /// Whether what the service's primary has answered is surely in force: nobody can have been
    /// appointed while this VM has not confirmed that it stopped.
    fn can_confirm_answers(&self, service: &ServiceState) -> bool {
        let stopped = service.suspension.as_ref().is_some_and(|suspension| suspension.confirmed);
        service.primary.is_some() && !stopped && self.has_lease()
    }
}

/// How long a VM counts as just started: databases and the other VMs may be starting, too.
const STARTUP_PERIOD: DurationUs = DurationUs::from_ms(9_000);
/// Time between ticks while something waits.
const BUSY_TICK_INTERVAL: DurationUs = DurationUs::from_ms(20);
/// Time between ticks otherwise.
const IDLE_TICK_INTERVAL: DurationUs = DurationUs::from_ms(100);

impl ServiceState {
    pub(crate) fn new(now: MonoTime) -> ServiceState {
        ServiceState {
            term: Term(0),
            term_since: now,
            primary: None,
            suspension: None,
            freshness: ServiceFreshness::default(),
            primary_queried_at: None,
            no_primary_since: None,
            next_failover_at: now,
        }
    }
}

impl DatabaseState {
    fn new(record: Database, now: MonoTime) -> DatabaseState {
        DatabaseState {
            record,
            missing_since: None,
            last_heard: None,
            failing_since: None,
            retry_at: now,
            limit_refusal_at: None,
            scarce_until: now,
            lag_backoff: None,
            avg_response_us: 0.0,
            response_measured_at: now,
            failures: 0,
        }
    }
}
