//! The engine of one VM's gateway, as a state machine without I/O.
//!
//! It decides where statements of callers run, which answers may be passed on, and when the primary of a
//! service has to be replaced. Each event (a message, a reply, a tick) is a method call that carries the
//! current time; what the process has to do in response is queued as [`Effect`]s.
//! [`crate::peers`] explains leases and witnesses.

mod balance;
mod callers;
mod channels;
mod connections;
mod evacuation_status;
mod evacuations;
mod expiry;
mod failovers;
mod gossip;
mod holders;
mod homes;
mod links;
mod membership;
mod placement;
mod preparation;
mod primaries;
mod refusals;
mod registry;
mod replies;
mod rosters;
mod sharing;
mod stopping;
mod suspensions;
mod warmups;

use balance::Balance;
pub(crate) use callers::Authorization;
pub(crate) use channels::ChannelKey;
use channels::Channels;
pub use evacuation_status::EvacuationStatus;
use links::Links;
use membership::Membership;
use warmups::Warmups;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{prelude::*, request::stable_hash};
use slog::{Logger, info};
use slotmap::SlotMap;

use crate::{
    catalog::{Catalog, Database},
    contact::Contact,
    effect::{CallerKey, Effect},
    evacuation::Evacuations,
    failover::{FailoverAttempt, StatusRow},
    fleet::FleetView,
    freshness::ServiceFreshness,
    histogram::Latencies,
    policy::Policy,
    pool::Pool,
    rates::{RateCounts, RateLimiter},
    refusals::Refusals,
    replicas::ReplicaRoster,
    session::Session,
    start::ServiceTime,
    witnesses::WitnessSet,
};

/// Identity and fixed properties of the VM that an engine runs on.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmName,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Data centre of the VM.
    pub dc: DcName,
    /// Region of each data centre.
    pub regions: FxHashMap<DcName, Box<str>>,
    /// Whether the fleet starts for the first time, so that no earlier run can have suspended a primary
    /// or requested a promotion.
    pub first_start: bool,
    /// What the deployment's settings ask for.
    pub policy: Policy,
    /// Parses the row with which a database answers a status query.
    pub decode_status: fn(&str) -> Option<StatusRow>,
}

/// A registered database and what this VM has observed of it.
#[derive(Debug)]
pub(crate) struct DatabaseState {
    pub(crate) record: Database,
    /// When its registry entry was first found missing.
    pub(crate) missing_since: Option<MonoTime>,
    /// When the current incarnation last sent anything to this VM.
    pub(crate) last_heard: Option<MonoTime>,
    /// Since when it is suspected to have failed; `None` while it answers.
    pub(crate) failing_since: Option<MonoTime>,
    /// Earliest time of the next connection.
    pub(crate) retry_at: MonoTime,
    /// Number of own connections when it last refused one because too many were open, and when that was.
    pub(crate) limit_refusal: Option<(usize, MonoTime)>,
    /// Until when no statement is sent there through a holder, because one reported that it does not answer.
    pub(crate) avoided_until: MonoTime,
    /// Set while it is avoided as a replica that lags behind.
    pub(crate) lag_backoff: Option<LagBackoff>,
    /// Moving average of the time from sending a statement to its answer, in microseconds; 0 before the
    /// first.
    pub(crate) avg_response_us: f64,
    /// How long it takes for a statement over own connections.
    pub(crate) service_time: ServiceTime,
    /// When `avg_response_us` was last updated.
    pub(crate) response_measured_at: MonoTime,
    /// Failures since it last answered.
    pub(crate) failures: u32,
}

/// Keeps reads away from a replica that refused one because it lagged behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LagBackoff {
    /// Position that its log had reached; reads up to there may still use it.
    pub(crate) position: Position,
    /// Until when reads that need a later position avoid it.
    pub(crate) until: MonoTime,
    /// Length of the current backoff; doubles while the replica stays behind.
    pub(crate) span: DurationUs,
}

/// What this VM knows of a service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Newest term known.
    pub(crate) term: Term,
    /// When this VM learned of the term.
    pub(crate) term_since: MonoTime,
    /// Primary of the term, where it is known.
    pub(crate) primary: Option<DatabaseName>,
    /// Set while this VM does not use the primary because a new term is being prepared.
    pub(crate) suspension: Option<suspensions::Suspension>,
    /// Databases that may hold acknowledged commits, as far as is known here.
    pub(crate) roster: ReplicaRoster,
    /// Members that this run saw join, and not restart since: they have lost nothing if their log is empty.
    pub(crate) newcomers: BTreeSet<DatabaseName>,
    /// The roster in the store; `None` until it was read.
    pub(crate) stored_roster: Option<ReplicaRoster>,
    /// Lower bounds on confirmed positions, for reads of a bounded age.
    pub(crate) freshness: ServiceFreshness,
    /// When its databases were last queried for their primary.
    pub(crate) primary_queried_at: Option<MonoTime>,
    /// Since when no primary is known.
    pub(crate) no_primary_since: Option<MonoTime>,
    /// Earliest start of the next failover, after a failed one.
    pub(crate) next_failover_at: MonoTime,
}

/// State of one VM's gateway; see the module's documentation.
#[derive(Debug)]
pub struct Engine {
    id: Identity,
    log: Logger,
    /// Time of the event in progress.
    now: MonoTime,
    started_at: MonoTime,
    /// Configuration in force.
    catalog: Arc<Catalog>,
    /// Version of the list of databases in `databases`.
    registry_version: u64,
    /// Whether a list of databases has been received.
    registry_known: bool,
    databases: BTreeMap<DatabaseName, DatabaseState>,
    evacuations: Evacuations,
    services: BTreeMap<ServiceName, ServiceState>,
    sessions: SlotMap<CallerKey, Session>,
    /// What waits for an upstream.
    waiting: Vec<Waiter>,
    /// Sessions whose current statement has an answer that must not be passed on yet.
    unconfirmed: Vec<CallerKey>,
    /// Connections to databases.
    pool: Pool,
    /// The holders of each database, the first choice first.
    holders: FxHashMap<DatabaseName, Vec<VmName>>,
    /// Databases that are, or were, cold.
    warmups: Warmups,
    /// Links to holders, and of peers to this VM.
    links: Links,
    /// Channels of peers that use this VM's connections.
    channels: Channels,
    /// Load of the databases and the split of reads among them.
    balance: Balance,
    /// The other VMs, the witnesses and this VM's lease.
    fleet: FleetView,
    rates: RateLimiter,
    /// Failovers that this VM carries out.
    failovers: Vec<FailoverAttempt>,
    next_failover_id: u64,
    /// Terms that this VM gave up, and that may be recorded in the store as promotions.
    unrecorded_ends: Vec<failovers::UnrecordedEnd>,
    /// When the failovers were last stepped; a gap shows that this process stood still.
    failovers_stepped_at: MonoTime,
    /// Whether this VM had a lease then.
    had_lease_in_failovers: bool,
    next_heartbeat_at: MonoTime,
    /// Number of rounds of heartbeats sent.
    heartbeats: u64,
    /// When this VM last began to fetch a newer configuration or list from a peer.
    last_fetch_at: MonoTime,
    /// Whether such a fetch has not ended yet.
    is_fetching: bool,
    /// Whether this VM had a lease when it last checked which rates it is the home of; `None` before its first one.
    had_lease_as_home: Option<bool>,
    /// Whether the first heartbeat of a witness since this VM has no lease said that the witness has one; `None`
    /// before that heartbeat.
    others_had_lease: Option<bool>,
    /// Whether this VM had a lease at the last tick.
    had_lease: bool,
    contact: Contact,
    /// Whether this VM refused what needs a lease at the last tick.
    is_refusing: bool,
    /// Whether the promotions that earlier runs requested are known here. Until then, but for no longer
    /// than a lease lasts, the heartbeats of this VM give no leases.
    intents_known: bool,
    /// When the list of those promotions was last requested from the store.
    intents_requested_at: MonoTime,
    membership: Membership,
    /// When rosters were last read or written.
    rosters_requested_at: Option<MonoTime>,
    /// When this VM was asked to stop.
    stopping_since: Option<MonoTime>,
    /// Whether each session is closed with its next answer, because new callers are no longer accepted.
    closes_after_answers: bool,
    /// When the process ends at the latest; set from half of the grace period of a stop on.
    ends_at: Option<MonoTime>,
    counts: Counts,
    latencies: Latencies,
    effects: Vec<Effect>,
}

/// What waits for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiter {
    /// The current statement of a session.
    Session(CallerKey),
    /// The current request of a peer's channel.
    Channel(ChannelKey),
}

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Statements answered with success.
    pub answered: u64,
    /// Statements refused without having run, or rolled back with their transaction.
    pub refused: u64,
    /// Statements answered with any other error: they failed or were invalid, or it is unknown whether
    /// they took effect.
    pub failed: u64,
    /// Statements refused because no database of an allowed region could serve them.
    pub region_refusals: u64,
    /// Requests that waited, or were not sent, because their database was cold and had got its number of them.
    pub cold_held_back: u64,
    /// Operations refused because their workspace was past its rate.
    pub rate_limited: u64,
    /// Refusals by reason and priority.
    pub refusals: Refusals,
    /// Tokens that this VM was asked for though it is not the home of the rate.
    pub tokens_not_home: u64,
    /// Connections opened to upstreams.
    pub connections_opened: u64,
    /// Connections that databases refused because too many were open.
    pub connections_refused: u64,
    /// Statements sent again, to the same or another upstream.
    pub retries: u64,
    /// Statements and requests of peers that were not sent because the preparation of their connection failed, and
    /// that were tried again.
    pub preparation_retries: u64,
    /// Reads that replicas answered.
    pub replica_reads: u64,
    /// Failovers started by this VM.
    pub takeovers: u64,
    /// Searches through all upstreams for one with room for a waiting statement.
    pub searches: u64,
    /// Requests sent to databases through holders.
    pub forwarded: u64,
    /// Requests that a holder refused to send to a database.
    pub holder_refusals: u64,
    /// Requests of peers that this VM, as a holder, refused to send to a database.
    pub channel_refusals: u64,
    /// Transactions rolled back because their database's data centre is being evacuated.
    pub evacuation_aborts: u64,
    /// Statements refused at once because all databases of their service are being evacuated.
    pub evacuation_refusals: u64,
    /// Calls of the store whose result the program reported.
    pub store_calls: u64,
    /// Those of them that were not answered.
    pub store_failures: u64,
}

/// Numbers of open connections and channels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenConnections {
    /// Connections to databases.
    pub own: usize,
    /// Channels to holders.
    pub channels: usize,
    /// Channels of peers that use this VM's connections.
    pub peer_channels: usize,
}

impl Engine {
    /// Creates an engine without a configuration; callers wait until [`Engine::set_catalog`].
    pub fn new(id: Identity, log: Logger, now: MonoTime) -> Engine {
        let intents_known = id.first_start;
        let seed = stable_hash(&format!("{}/{}", id.vm, id.incarnation.0));
        let rates = RateLimiter::with_priorities(id.policy.rates_by_priority).with_seed(seed);
        let fleet = FleetView::new(id.vm.clone(), id.incarnation, id.dc.clone());
        let evacuations = Evacuations::new(id.policy.evacuation_bound, now);
        Engine {
            id,
            log,
            now,
            started_at: now,
            catalog: Arc::default(),
            registry_version: 0,
            registry_known: false,
            databases: BTreeMap::new(),
            evacuations,
            services: BTreeMap::new(),
            sessions: SlotMap::with_key(),
            waiting: Vec::new(),
            unconfirmed: Vec::new(),
            pool: Pool::default(),
            holders: FxHashMap::default(),
            warmups: Warmups::default(),
            links: Links::default(),
            channels: Channels::default(),
            balance: Balance::default(),
            fleet,
            rates,
            failovers: Vec::new(),
            next_failover_id: 1,
            unrecorded_ends: Vec::new(),
            failovers_stepped_at: now,
            had_lease_in_failovers: false,
            next_heartbeat_at: now,
            heartbeats: 0,
            last_fetch_at: MonoTime(0),
            is_fetching: false,
            had_lease_as_home: None,
            others_had_lease: None,
            had_lease: false,
            contact: Engine::initial_contact(now),
            is_refusing: false,
            intents_known,
            intents_requested_at: now,
            membership: Membership::default(),
            rosters_requested_at: None,
            stopping_since: None,
            closes_after_answers: false,
            ends_at: None,
            counts: Counts::default(),
            latencies: Latencies::default(),
            effects: Vec::new(),
        }
    }

    /// Returns the name of this VM.
    pub fn vm(&self) -> &VmName {
        &self.id.vm
    }

    /// Takes the effects that have been queued since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the counters since the process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the numbers of tokens of workspaces' rates since the process started.
    pub fn rate_counts(&self) -> RateCounts {
        self.rates.counts()
    }

    /// Returns the distributions of statement times since the process started.
    pub fn latencies(&self) -> &Latencies {
        &self.latencies
    }

    /// Returns the number of open sessions and of statements that wait for an upstream.
    pub fn load(&self) -> (usize, usize) {
        (self.sessions.len(), self.waiting.len())
    }

    /// Returns how many connections and channels are open.
    pub fn open_connections(&self) -> OpenConnections {
        let channels = self.pool.connections.values().filter(|c| c.link.is_some()).count();
        OpenConnections {
            own: self.pool.connections.len() - channels,
            channels,
            peer_channels: self.channels.count(),
        }
    }

    /// Whether this VM can serve new callers; it is what the readiness check reports.
    pub fn is_ready(&self) -> bool {
        self.catalog.generation > 0
            && self.registry_known
            && self.stopping_since.is_none()
            && self.has_lease()
            && self.knows_evacuations()
    }

    /// Returns the generation of the configuration in force; 0 before there is one.
    pub fn generation(&self) -> u64 {
        self.catalog.generation
    }

    /// Returns the version of the list of databases in use.
    pub fn registry_version(&self) -> u64 {
        self.registry_version
    }

    /// Returns the version of the list of evacuations in use; zero before one was received.
    pub fn evacuations_version(&self) -> u64 {
        self.evacuations.version()
    }

    /// Returns the version of the list of VMs in use.
    pub fn members_version(&self) -> u64 {
        self.fleet.version()
    }

    /// Returns the step of the set of witnesses in use; it rises with each change of the set.
    pub fn witness_step(&self) -> u64 {
        self.witness_set().step
    }

    /// Returns the set of witnesses in use.
    pub fn witness_set(&self) -> &WitnessSet {
        self.fleet.witnesses()
    }

    /// Whether this VM has to watch the platform's store itself. Otherwise it fetches new versions from
    /// peers whose heartbeats announce them.
    pub fn must_watch_store(&self) -> bool {
        self.fleet.self_is_witness() || !self.has_lease()
    }

    /// Whether this VM has to notice soon if its watches of the store have fallen silent. Other VMs hear of
    /// changes from the coordinator; one without a lease may not hear of them from any.
    pub fn must_watch_closely(&self) -> bool {
        self.is_coordinator() || !self.has_lease()
    }

    /// Whether this VM started a short time ago.
    pub fn is_starting(&self) -> bool {
        self.now.since(self.started_at) < STARTUP_PERIOD
    }

    /// Returns the time from `now` until [`Engine::tick`] is due.
    pub fn next_tick(&self, now: MonoTime) -> DurationUs {
        let busy = !self.waiting.is_empty()
            || !self.unconfirmed.is_empty()
            || !self.failovers.is_empty()
            || self.services.values().any(|service| service.suspension.is_some());
        let period = if busy { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        DurationUs(period.0.min(self.next_heartbeat_at.since(now).0.max(BUSY_TICK_INTERVAL.0)))
    }

    /// Puts a configuration in force, unless it is older than the present one.
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
        self.answer_deferred_starts();
        self.place_waiting();
    }

    /// Handles everything that is due by time: timeouts, heartbeats, failovers and waiting statements.
    pub fn tick(&mut self, now: MonoTime) {
        self.now = now;
        self.expire_missing_databases();
        self.expire_warmups();
        self.expire_statements();
        self.expire_connections();
        self.close_excess_connections();
        self.expire_links();
        self.reassure_users();
        self.expire_transactions();
        self.enforce_evacuations();
        self.settle_unconfirmed();
        self.follow_homes();
        self.borrow_tokens();
        if self.next_heartbeat_at <= now {
            self.send_heartbeats();
        }
        self.log_lease_change();
        self.maintain_membership();
        self.advance_failovers();
        self.start_due_failovers();
        self.record_ends();
        self.maintain_rosters();
        self.find_primaries();
        self.update_splits();
        self.place_waiting();
        self.follow_contact();
        self.refuse_out_of_contact();
        self.refuse_late_starts();
        self.close_idle_sessions();
    }

    fn close_session(&mut self, key: CallerKey) {
        self.release_transaction(key);
        if self.sessions.remove(key).is_some() {
            self.effects.push(Effect::CloseCaller(key));
        }
    }

    /// Closes idle sessions whose key or route was removed from the configuration.
    fn close_unauthorized(&mut self) {
        let keys: Vec<CallerKey> = self.sessions.keys().collect();
        for key in keys {
            let session = &self.sessions[key];
            if session.started && session.is_idle() && self.authorize(session).is_err() {
                info!(self.log, "session closed: its key or route was removed";
                    "host" => &*session.host, "generation" => self.catalog.generation);
                self.close_session(key);
            }
        }
    }

    fn has_lease(&self) -> bool {
        self.fleet.lease_until(self.now).is_some_and(|until| self.now < until)
            && !self.has_missed_term()
    }

    /// Returns the sum of all services' terms. A VM with a lower sum than another has missed a new term.
    fn terms_total(&self) -> u64 {
        self.services.values().map(|service| service.term.0).sum()
    }

    /// Whether a witness knows of a term that this VM has not heard of.
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

    /// Whether this VM may send new statements to the service's primary.
    fn may_use_primary(&self, service: &ServiceState) -> bool {
        service.primary.is_some() && service.suspension.is_none() && self.has_lease()
    }

    /// Whether answers of the service's primary may be passed on. No other primary can have been promoted
    /// while this VM has a lease and has not confirmed a suspension.
    fn can_confirm_answers(&self, service: &ServiceState) -> bool {
        let suspended = service.suspension.as_ref().is_some_and(|suspension| suspension.confirmed);
        service.primary.is_some() && !suspended && self.has_lease()
    }
}

/// Time after its start in which a VM gathers changes of the store for longer: the databases and other VMs may
/// be starting, too.
const STARTUP_PERIOD: DurationUs = DurationUs::from_ms(9_000);
/// Time between ticks while statements, answers or failovers wait.
const BUSY_TICK_INTERVAL: DurationUs = DurationUs::from_ms(20);
/// Time between ticks when nothing waits.
const IDLE_TICK_INTERVAL: DurationUs = DurationUs::from_ms(100);

impl ServiceState {
    pub(crate) fn new(now: MonoTime) -> ServiceState {
        ServiceState {
            term: Term(0),
            term_since: now,
            primary: None,
            suspension: None,
            roster: ReplicaRoster::default(),
            newcomers: BTreeSet::new(),
            stored_roster: None,
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
            limit_refusal: None,
            avoided_until: now,
            lag_backoff: None,
            avg_response_us: 0.0,
            service_time: ServiceTime::default(),
            response_measured_at: now,
            failures: 0,
        }
    }
}
