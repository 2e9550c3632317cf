//! A simulated fleet on virtual time: one engine per VM, three databases of one service, callers, the
//! store, and a network whose paths can be cut or delayed. Runs are deterministic.

#![allow(dead_code, reason = "each test file uses its part")]

pub mod faults;
mod fleet;
mod links;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
};

use gateway::{
    CallerKey, Effect, Engine, Identity, LinkKey, PromotionIntent, UpstreamKey,
    catalog::{Catalog, Database, Freshness, Role, Route, ServiceLimits, Workspace},
    failover::PromotionOutcome,
    link::LinkMessage,
    message::{
        Access, CallerMessage, ErrorCode, PreparedStatement, Reply, Statement, TransactionState,
        UpstreamRequest,
    },
    peers::{MemberList, PeerBody, PeerMessage},
    policy::Policy,
    promotions::{EndOutcome, RecordedPromotion, TokenOutcome},
    regions::AllowedRegions,
    replicas::ReplicaRoster,
    witnesses::{Candidate, WitnessSet},
};
use model::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use slog::{Discard, Logger, o};
use standin::replica_group::{self, ConnectionId, ExecutedStatement, ReplicaGroup};

use faults::{FaultOutcome, RequestFault};

/// Delay of a message between any two endpoints, in microseconds.
const ONE_WAY_DELAY_US: u64 = 1_000;
/// Virtual time between two ticks of each engine, in microseconds.
const TICK_INTERVAL_US: u64 = 10_000;
/// Time from a call of the store to its reply, in microseconds.
const STORE_DELAY_US: u64 = 5_000;

/// Time until a VM gives up fetching from a peer that does not answer, in microseconds.
const FETCH_TIMEOUT_US: u64 = 1_000_000;
/// Time between two checks of a VM whether it has to watch the store, in microseconds.
const WATCH_POLL_US: u64 = 500_000;

/// Host of a route whose reads accept an age of 2 s and see the session's own commits.
pub const HOST: &str = "orders";
/// Host of a route whose reads see the latest state.
pub const LATEST: &str = "latest";
/// Host of a route whose reads accept an age of 500 ms.
pub const BOUNDED: &str = "bounded";
/// Key of workspace `alpha`; `key-b` is that of workspace `beta`.
pub const KEY: &str = "key-a";

/// An end of a network path that can be cut or delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Vm(usize),
    Database(usize),
}

/// A caller's session on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    pub vm: usize,
    pub key: CallerKey,
}

/// Something that is scheduled to happen at a later time.
enum Event {
    PeerMessage {
        from: usize,
        to: usize,
        message: PeerMessage,
    },
    Request {
        vm: usize,
        key: UpstreamKey,
        request: UpstreamRequest,
    },
    Reply {
        vm: usize,
        key: UpstreamKey,
        reply: Reply,
    },
    Closed {
        vm: usize,
        key: UpstreamKey,
    },
    LinkConnects {
        from: usize,
        to: usize,
        key: LinkKey,
    },
    LinkOpened {
        vm: usize,
        key: LinkKey,
    },
    LinkMessage {
        vm: usize,
        key: LinkKey,
        message: LinkMessage,
    },
    LinkClosed {
        vm: usize,
        key: LinkKey,
    },
    RaiseToken {
        vm: usize,
        attempt: u64,
        intent: PromotionIntent,
        void: Option<u64>,
        seen: u64,
    },
    TokenRaised {
        vm: usize,
        attempt: u64,
        intent: PromotionIntent,
        outcome: TokenOutcome,
        sent: MonoTime,
    },
    TokenRead {
        vm: usize,
    },
    RostersRead {
        vm: usize,
    },
    PromotionEnded {
        vm: usize,
        attempt: u64,
        service: ServiceName,
        term: Term,
        outcome: EndOutcome,
    },
    StoreFailed {
        vm: usize,
    },
    Promote {
        database: DatabaseName,
    },
    PromotionAccepted {
        vm: usize,
        attempt: u64,
    },
    ListChanged {
        vm: usize,
    },
    ListFetched {
        vm: usize,
        list: Option<MemberList>,
    },
}

impl Event {
    /// Whether it concerns a link of the VM's present run.
    fn is_for_link_of(&self, of: usize) -> bool {
        match self {
            Event::LinkOpened { vm, .. }
            | Event::LinkMessage { vm, .. }
            | Event::LinkClosed { vm, .. } => *vm == of,
            Event::LinkConnects { from, .. } => *from == of,
            _ => false,
        }
    }
}

/// A connection of a VM to a database.
struct Connection {
    database: usize,
    id: ConnectionId,
    closed: bool,
}

/// Answer to one statement as its caller has received it so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub rows: Vec<Box<str>>,
    /// Set once the statement has succeeded, with its receipt if it has one.
    pub complete: Option<Option<Box<str>>>,
    pub error: Option<ErrorCode>,
    /// Set once the answer is complete.
    pub state: Option<TransactionState>,
}

impl Response {
    pub fn succeeded(&self) -> bool {
        self.complete.is_some() && self.error.is_none()
    }
}

/// Random damage to encoded messages.
pub struct Corruption {
    random: u64,
    /// One message in this many is damaged.
    pub one_in: u64,
}

impl Corruption {
    pub fn new(seed: u64, one_in: u64) -> Corruption {
        Corruption { random: seed, one_in }
    }

    fn draw(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.random >> 33
    }

    fn apply(&mut self, bytes: &mut [u8]) {
        if !self.draw().is_multiple_of(self.one_in) {
            return;
        }
        let at = self.draw() as usize % bytes.len();
        bytes[at] = match self.draw() % 3 {
            0 => 0xff,
            1 => bytes[at] ^ 1 << (self.draw() % 8),
            _ => self.draw() as u8,
        };
    }
}

/// State of the simulation. VMs and databases are named by their index.
pub struct World {
    pub now: MonoTime,
    pub engines: Vec<Engine>,
    /// VMs that are paused: they neither run nor lose their state.
    pub frozen: BTreeSet<usize>,
    /// The databases.
    pub group: ReplicaGroup,
    /// Databases of further services, three each. The first one of the first of these has index 3.
    pub other_groups: Vec<ReplicaGroup>,
    /// What the settings of all VMs ask for.
    pub policy: Policy,
    /// Region of each data centre, for all VMs.
    pub regions: FxHashMap<DcName, Box<str>>,
    /// Registry entries of the databases, as the next publication lists them.
    pub databases: Vec<Database>,
    /// Network paths that are cut, each with the smaller endpoint first.
    pub cuts: BTreeSet<(Endpoint, Endpoint)>,
    /// Promotion requests in the order in which they were sent: the VM and its fencing token.
    pub promotion_requests: Vec<(usize, u64)>,
    /// Databases that were promoted, in order.
    pub promotions: Vec<DatabaseName>,
    /// Number of statements that had run when the first promotion took effect.
    pub runs_before_promotion: Option<usize>,
    /// Whether replicas receive the primary's log.
    pub replicating: bool,
    /// Databases that send and receive nothing of the log.
    pub deaf: BTreeSet<usize>,
    /// Callers whose connection the gateway has closed.
    pub closed: BTreeSet<Caller>,
    /// Extra delay of messages from one endpoint to another, in milliseconds.
    pub delays_ms: BTreeMap<(Endpoint, Endpoint), u64>,
    /// Extra time that databases take to accept a connection, in milliseconds.
    pub slow_connects_ms: u64,
    /// Number of messages between VMs so far, by sender and receiver.
    pub messages: BTreeMap<(usize, usize), u64>,
    /// VMs of an earlier version, which accept no links.
    pub vms_without_links: BTreeSet<usize>,
    /// VMs of an earlier version, which can't decode classes of priorities.
    pub vms_without_classes: BTreeSet<usize>,
    /// VMs of an earlier build, which decode no load reports.
    pub vms_of_earlier_build: BTreeSet<usize>,
    /// Senders and receivers of all load reports.
    pub load_reports: Vec<(usize, Option<usize>)>,
    /// Whether load reports are lost.
    pub loses_load_reports: bool,
    /// VMs that can't reach the store.
    pub vms_without_store: BTreeSet<usize>,
    /// Number of failed calls of the store, by VMs of `vms_without_store`.
    pub failed_store_calls: usize,
    /// Damages messages between VMs, if set.
    pub corruption: Option<Corruption>,
    /// The list of VMs in the store.
    pub member_list: MemberList,
    /// The list of VMs as each VM has it.
    lists_by_vm: Vec<MemberList>,
    /// Times and ids of scheduled events, the earliest first.
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    /// Scheduled events by id.
    events: BTreeMap<u64, Event>,
    next_id: u64,
    connections: BTreeMap<(usize, UpstreamKey), Connection>,
    /// The other end of each end of a link.
    links: BTreeMap<(usize, LinkKey), (usize, LinkKey)>,
    /// Requests that reached a database, without those that open a connection: when, which database, and whether
    /// it is a request of the gateway itself for its control.
    pub arrivals: Vec<(MonoTime, usize, bool)>,
    /// Messages on links that have not opened yet, by the sender's end.
    unsent: BTreeMap<(usize, LinkKey), Vec<LinkMessage>>,
    /// Ends of links that send into a cut.
    broken_links: BTreeSet<(usize, LinkKey)>,
    /// Answers to each caller's statements, in order.
    responses: BTreeMap<Caller, Vec<Response>>,
    /// Ids of each caller's statements, in order.
    sent_ids: BTreeMap<Caller, Vec<Box<str>>>,
    /// Number of statements that had run when each promotion took effect.
    runs_at_promotions: Vec<usize>,
    /// Value of the fencing token in the store.
    token: u64,
    /// The VM that raised the token last.
    token_holder: Option<usize>,
    /// The newest promotion that is recorded with the token.
    pub recorded: Option<RecordedPromotion>,
    /// The rosters in the store.
    pub rosters: FxHashMap<ServiceName, ReplicaRoster>,
    /// Number of further updates of the token that are carried out without an answer.
    pub lost_token_answers: u32,
    /// The token that each VM has read or written last, and when it first saw it.
    tokens_seen: BTreeMap<usize, (u64, MonoTime)>,
    /// Time from a promotion request until the database is the primary, in milliseconds.
    pub promotion_ms: u64,
    /// Every request that a database has received, with the time.
    pub requests: Vec<(MonoTime, usize)>,
    /// Requests that databases don't carry out.
    pub request_faults: Vec<RequestFault>,
}

fn valid<T, E: std::fmt::Debug>(made: Result<T, E>) -> T {
    made.expect("a valid name")
}

pub fn database_name(index: usize) -> DatabaseName {
    valid(DatabaseName::new(format!("db-{index}")))
}

pub fn vm_name(index: usize) -> VmName {
    valid(VmName::new(format!("vm-{index}")))
}

pub fn service() -> ServiceName {
    valid(ServiceName::new("ledger"))
}

fn vm_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7000))
}

fn database_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, index as u8 + 1], 8000))
}

pub fn dc(index: usize) -> DcName {
    valid(DcName::new(format!("dc-{}", index % 3)))
}

pub fn route(freshness: Freshness) -> Route {
    Route {
        service: service(),
        freshness,
        statement_timeout: DurationUs::from_ms(1_000),
        target_latency: DurationUs::from_ms(600),
        priority: 1,
        open: false,
        regions: AllowedRegions::All,
    }
}

/// The registry entry of a database whose service has just started.
fn registered(index: usize, service: ServiceName) -> Database {
    Database {
        name: database_name(index),
        incarnation: 1,
        service,
        address: database_address(index),
        dc: dc(index),
        slots: 3,
        leaving: false,
        cold_left: DurationUs(0),
        role: if index.is_multiple_of(3) { Role::Primary } else { Role::Replica },
    }
}

/// Returns a configuration with three routes and two workspaces of the given rate; `connections` is the
/// limit of each database.
pub fn catalog(generation: u64, rate_per_s: f64, connections: u32) -> Catalog {
    let own = Freshness::Bounded { max_age: Some(DurationUs::from_ms(2_000)), own_commits: true };
    let bounded =
        Freshness::Bounded { max_age: Some(DurationUs::from_ms(500)), own_commits: false };
    let workspace = |text: &str| Workspace {
        name: valid(WorkspaceName::new(text)),
        rate_per_s: Some(rate_per_s),
        burst: rate_per_s,
        regions: AllowedRegions::All,
    };
    Catalog {
        generation,
        routes: [(HOST, own), (LATEST, Freshness::Latest), (BOUNDED, bounded)]
            .into_iter()
            .map(|(host, freshness)| (host.into(), route(freshness)))
            .collect(),
        services: [(service(), ServiceLimits { connections, ..ServiceLimits::default() })]
            .into_iter()
            .collect(),
        workspaces: vec![workspace("alpha"), workspace("beta")],
        keys: [(KEY.into(), 0), ("key-b".into(), 1)].into_iter().collect(),
        transaction_idle_timeout: Some(DurationUs::from_ms(3_000)),
    }
}

/// Returns [`catalog`] with commits that are acknowledged once a replica has received them.
pub fn synchronous_catalog() -> Catalog {
    let mut catalog = catalog(1, 1e6, 100);
    for limits in catalog.services.values_mut() {
        limits.synchronous = true;
    }
    catalog
}

impl World {
    /// Like [`World::new`], with [`synchronous_catalog`].
    pub fn synchronous(vms: usize) -> World {
        let mut world = World::unconfigured(vms);
        world.configure(synchronous_catalog());
        world.run_for(3_000);
        world
    }

    /// Returns a fleet of `vms` engines that has been configured and has run for 3 s.
    pub fn new(vms: usize) -> World {
        let mut world = World::unconfigured(vms);
        world.configure(catalog(1, 1e6, 100));
        world.run_for(3_000);
        world
    }

    /// Returns a fleet of `vms` engines without a configuration or a list of databases.
    pub fn unconfigured(vms: usize) -> World {
        World::with_policy(vms, Policy::default(), FxHashMap::default())
    }

    /// Like [`World::unconfigured`], with what the settings ask for and the region of each data centre.
    pub fn with_policy(vms: usize, policy: Policy, regions: FxHashMap<DcName, Box<str>>) -> World {
        let now = MonoTime(1_000_000_000);
        let names: Vec<DatabaseName> = (0..3).map(database_name).collect();
        let databases = (0..3).map(|index| registered(index, service())).collect();
        let mut world = World {
            now,
            engines: Vec::new(),
            frozen: BTreeSet::new(),
            group: ReplicaGroup::new(service(), &names),
            other_groups: Vec::new(),
            policy,
            regions,
            databases,
            cuts: BTreeSet::new(),
            promotion_requests: Vec::new(),
            promotions: Vec::new(),
            runs_before_promotion: None,
            replicating: true,
            deaf: BTreeSet::new(),
            closed: BTreeSet::new(),
            delays_ms: BTreeMap::new(),
            slow_connects_ms: 0,
            messages: BTreeMap::new(),
            vms_without_links: BTreeSet::new(),
            vms_without_classes: BTreeSet::new(),
            vms_of_earlier_build: BTreeSet::new(),
            load_reports: Vec::new(),
            loses_load_reports: false,
            vms_without_store: BTreeSet::new(),
            failed_store_calls: 0,
            corruption: None,
            member_list: MemberList::default(),
            lists_by_vm: vec![MemberList::default(); vms],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            connections: BTreeMap::new(),
            links: BTreeMap::new(),
            arrivals: Vec::new(),
            unsent: BTreeMap::new(),
            broken_links: BTreeSet::new(),
            responses: BTreeMap::new(),
            sent_ids: BTreeMap::new(),
            runs_at_promotions: Vec::new(),
            token: 0,
            token_holder: None,
            recorded: None,
            rosters: FxHashMap::default(),
            lost_token_answers: 0,
            tokens_seen: BTreeMap::new(),
            promotion_ms: 300,
            requests: Vec::new(),
            request_faults: Vec::new(),
        };
        world.engines = (0..vms).map(|vm| world.engine(vm, true)).collect();
        world
    }

    fn engine(&self, vm: usize, first_start: bool) -> Engine {
        let id = Identity {
            vm: vm_name(vm),
            incarnation: Incarnation(self.now.0),
            dc: dc(vm),
            regions: self.regions.clone(),
            first_start,
            policy: Policy {
                rates_by_priority: self.policy.rates_by_priority
                    && !self.vms_without_classes.contains(&vm),
                ..self.policy
            },
            decode_status: replica_group::parse_status_row,
        };
        Engine::new(id, Logger::root(Discard, o!()), self.now)
    }

    /// Adds the databases of another service.
    pub fn with_service(mut self, name: ServiceName) -> World {
        let first = self.database_count();
        let names: Vec<DatabaseName> = (first..first + 3).map(database_name).collect();
        let records = (first..first + 3).map(|index| registered(index, name.clone()));
        self.databases.extend(records);
        self.other_groups.push(ReplicaGroup::new(name, &names));
        self
    }

    /// Number of databases of all services, also of those that are not registered.
    fn database_count(&self) -> usize {
        3 * (1 + self.other_groups.len())
    }

    /// The group of a database, and its index in the group.
    pub fn group_of(&mut self, database: usize) -> (&mut ReplicaGroup, usize) {
        match database / 3 {
            0 => (&mut self.group, database),
            other => (&mut self.other_groups[other - 1], database % 3),
        }
    }

    /// Publishes the list of VMs, the databases and a configuration to all engines.
    pub fn configure(&mut self, catalog: Catalog) {
        let catalog = Arc::new(catalog);
        if self.member_list.version == 0 {
            let records = self.member_records();
            let vms = records.iter().map(Candidate::from);
            let witnesses = Some(WitnessSet::default().choose_next(vms));
            self.member_list = MemberList { version: 1, records, witnesses };
        }
        for vm in 0..self.engines.len() {
            let (now, records) = (self.now, self.databases.clone());
            self.read_list_from_store(vm);
            self.drive(vm, |engine| {
                engine.registered(now, 1);
                engine.set_databases(now, 1, records);
                engine.set_catalog(now, catalog.clone());
            });
        }
    }

    /// Publishes the present registry entries of the databases to all engines.
    pub fn publish_databases(&mut self, version: u64) {
        for vm in 0..self.engines.len() {
            let (now, records) = (self.now, self.databases.clone());
            self.drive(vm, |engine| engine.set_databases(now, version, records));
        }
    }

    /// Gives a VM a list of evacuations; data centres are named by their index.
    pub fn set_evacuations(&mut self, vm: usize, version: u64, dcs: &[usize]) {
        let (now, dcs) = (self.now, dcs.iter().map(|index| dc(*index)).collect());
        self.drive(vm, |engine| engine.set_evacuations(now, version, dcs));
    }

    pub fn cut(&mut self, a: Endpoint, b: Endpoint) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    pub fn heal(&mut self, a: Endpoint, b: Endpoint) {
        self.cuts.remove(&(a.min(b), a.max(b)));
    }

    /// Cuts a VM off from all other VMs.
    pub fn isolate_vm(&mut self, vm: usize) {
        for other in (0..self.engines.len()).filter(|other| *other != vm) {
            self.cut(Endpoint::Vm(vm), Endpoint::Vm(other));
        }
    }

    /// Cuts a database off from everything except one VM.
    pub fn isolate_database_with_vm(&mut self, database: usize, vm: usize) {
        for other in (0..self.engines.len()).filter(|other| *other != vm) {
            self.cut(Endpoint::Vm(other), Endpoint::Database(database));
        }
        for other in (0..3).filter(|other| *other != database) {
            self.cut(Endpoint::Database(database), Endpoint::Database(other));
        }
    }

    /// Cuts a database off from all VMs.
    pub fn cut_database_from_vms(&mut self, database: usize) {
        for vm in 0..self.engines.len() {
            self.cut(Endpoint::Vm(vm), Endpoint::Database(database));
        }
    }

    fn is_cut(&self, a: Endpoint, b: Endpoint) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    pub fn open(&mut self, vm: usize, host: &str, key: &str) -> Caller {
        let now = self.now;
        let key_of_session = self.engines[vm].caller_opened(now);
        let caller = Caller { vm, key: key_of_session };
        self.responses.insert(caller, Vec::new());
        let message = CallerMessage::Start { host: host.into(), credential: Some(key.into()) };
        self.send_message(caller, message);
        self.responses.insert(caller, Vec::new());
        caller
    }

    /// Records the next reply to a caller, which has no answer to its start yet.
    pub fn await_start(&mut self, caller: Caller) {
        self.responses.entry(caller).or_default().push(Response::default());
    }

    pub fn send_message(&mut self, caller: Caller, message: CallerMessage) {
        let now = self.now;
        self.drive(caller.vm, |engine| engine.caller_message(now, caller.key, message));
    }

    /// Sends a statement without waiting for its answer.
    pub fn send(&mut self, caller: Caller, id: &str, statement: Statement) {
        self.responses.entry(caller).or_default().push(Response::default());
        self.sent_ids.entry(caller).or_default().push(id.into());
        self.send_message(
            caller,
            CallerMessage::Query { id: id.into(), statement: Some(statement) },
        );
    }

    /// Sends statements in a single write, without waiting for their answers.
    pub fn send_together(&mut self, caller: Caller, statements: Vec<(&str, Statement)>) {
        let now = self.now;
        let mut messages = Vec::new();
        for (id, statement) in statements {
            self.responses.entry(caller).or_default().push(Response::default());
            self.sent_ids.entry(caller).or_default().push(id.into());
            messages.push(CallerMessage::Query { id: id.into(), statement: Some(statement) });
        }
        self.drive(caller.vm, |engine| engine.caller_messages(now, caller.key, messages));
    }

    /// Sends a statement and waits for its answer.
    pub fn query(&mut self, caller: Caller, id: &str, statement: Statement) -> Response {
        self.send(caller, id, statement);
        for _ in 0..400 {
            if let Some(response) = self.response(caller) {
                return response;
            }
            self.run_for(10);
        }
        panic!("no answer to {id} within 4 s");
    }

    /// Returns the answers to all of a caller's statements, in order.
    pub fn responses(&self, caller: Caller) -> &[Response] {
        &self.responses[&caller]
    }

    /// Returns the answer to a caller's last statement, once it is complete.
    pub fn response(&self, caller: Caller) -> Option<Response> {
        self.responses[&caller].last().filter(|response| response.state.is_some()).cloned()
    }

    /// Ids of the statements that succeeded.
    pub fn succeeded_ids(&self) -> BTreeSet<Box<str>> {
        let answered = |caller: &Caller| self.responses[caller].iter().map(Response::succeeded);
        let sent = self.sent_ids.iter().filter(|(caller, _)| self.responses.contains_key(caller));
        sent.flat_map(|(caller, ids)| ids.iter().zip(answered(caller)))
            .filter(|(_, succeeded)| *succeeded)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Ids of the statements that succeeded although they ran at a database after another one had been promoted.
    pub fn succeeded_at_old_primaries(&self) -> Vec<Box<str>> {
        let succeeded = self.succeeded_ids();
        let runs = self.group.runs.iter().enumerate();
        let is_outdated = |(index, run): &(usize, &ExecutedStatement)| {
            let promotions = self.runs_at_promotions.iter().zip(&self.promotions);
            let newest = promotions.rev().find(|(runs_before, _)| *runs_before <= index);
            newest.is_some_and(|(_, primary)| run.database != *primary)
        };
        let outdated = runs.filter(is_outdated).map(|(_, run)| run.id.clone());
        outdated.filter(|id| succeeded.contains(id)).collect()
    }

    /// Whether a database holds a write that ran after the first promotion.
    pub fn committed_after_promotion(&self, member: usize, id: &str) -> bool {
        let Some(runs_before) = self.runs_before_promotion else { return false };
        let run = self.group.runs.iter().position(|run| &*run.id == id);
        self.group.has_write(member, id) && run.is_some_and(|run| run >= runs_before)
    }

    /// Has a database end without notice; [`World::restart_database`] brings it back with its log.
    pub fn crash_database(&mut self, database: usize) {
        self.cut_database_from_vms(database);
        self.deaf.insert(database);
    }

    /// Pauses a VM, as when its process is suspended.
    pub fn freeze(&mut self, vm: usize) {
        self.frozen.insert(vm);
    }

    pub fn thaw(&mut self, vm: usize) {
        self.frozen.remove(&vm);
    }

    /// Restarts a VM's process without any of its earlier state.
    pub fn restart(&mut self, vm: usize, catalog: Catalog) {
        self.connections.retain(|(at, _), _| *at != vm);
        self.close_links_of(vm);
        self.events.retain(|_, event| !event.is_for_link_of(vm));
        self.engines[vm] = self.engine(vm, false);
        let (now, records) = (self.now, self.databases.clone());
        self.lists_by_vm[vm] = MemberList::default();
        self.read_list_from_store(vm);
        self.drive(vm, |engine| {
            engine.set_databases(now, 1, records);
            engine.set_catalog(now, Arc::new(catalog));
        });
    }

    /// Advances the virtual time, in steps of one tick.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + DurationUs::from_ms(ms);
        while self.now < end {
            self.now = self.now + DurationUs(TICK_INTERVAL_US);
            if self.replicating {
                self.replicate();
            }
            while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
                let Some(Reverse((_, number))) = self.queue.pop() else { break };
                if let Some(event) = self.events.remove(&number) {
                    self.handle_event(event);
                }
            }
            if self.now.0.is_multiple_of(WATCH_POLL_US) {
                self.resume_watches();
            }
            for vm in 0..self.engines.len() {
                if !self.frozen.contains(&vm) {
                    let now = self.now;
                    self.drive(vm, |engine| engine.tick(now));
                }
            }
        }
    }

    fn replicate(&mut self) {
        for first in (0..self.database_count()).step_by(3) {
            let members = &self.group_of(first).0.members;
            let newest = (0..3).filter(|member| members[*member].is_primary);
            let Some(primary) = newest.max_by_key(|member| members[*member].term) else {
                continue;
            };
            for replica in (0..3).filter(|replica| *replica != primary) {
                let (from, to) = (first + primary, first + replica);
                let cut = self.is_cut(Endpoint::Database(from), Endpoint::Database(to))
                    || self.deaf.contains(&from)
                    || self.deaf.contains(&to);
                if !cut {
                    let group = self.group_of(first).0;
                    // An old primary becomes a replica once it reaches the new one.
                    group.members[replica].is_primary = false;
                    group.replicate(primary, replica);
                }
            }
        }
    }

    fn schedule(&mut self, us: u64, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + DurationUs(us), self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::PeerMessage { from, to, message } if !self.frozen.contains(&to) => {
                let Some(message) = self.corrupt(message) else { return };
                self.drive(to, |engine| engine.peer_message(now, vm_address(from), message));
            }
            Event::PeerMessage { .. } => {}
            Event::Request { vm, key, request } => self.deliver_request(vm, key, request),
            Event::Reply { vm, key, reply } => {
                if self.frozen.contains(&vm) {
                    return self.schedule(TICK_INTERVAL_US, Event::Reply { vm, key, reply });
                }
                self.drive(vm, |engine| engine.upstream_reply(now, key, reply));
            }
            Event::Closed { vm, key } => {
                self.drive(vm, |engine| engine.upstream_closed(now, key));
            }
            Event::LinkConnects { from, to, key } => self.accept_link(from, to, key),
            Event::LinkOpened { vm, key } => {
                self.drive(vm, |engine| engine.link_opened(now, key));
            }
            Event::LinkMessage { vm, key, message } => {
                if self.frozen.contains(&vm) {
                    let event = Event::LinkMessage { vm, key, message };
                    return self.schedule(TICK_INTERVAL_US, event);
                }
                let Some(message) = self.corrupt(message) else { return };
                self.drive(vm, |engine| engine.link_message(now, key, message));
            }
            Event::LinkClosed { vm, key } => {
                self.drive(vm, |engine| engine.link_closed(now, key));
            }
            // What a paused VM would do or receive happens once it runs again.
            Event::RaiseToken { vm, .. }
            | Event::TokenRaised { vm, .. }
            | Event::TokenRead { vm }
            | Event::RostersRead { vm }
            | Event::PromotionEnded { vm, .. }
            | Event::PromotionAccepted { vm, .. }
                if self.frozen.contains(&vm) =>
            {
                self.schedule(TICK_INTERVAL_US, event);
            }
            Event::RaiseToken { vm, attempt, intent, void, seen } => {
                self.raise_token(vm, attempt, intent, void, seen);
            }
            Event::TokenRaised { vm, attempt, intent, outcome, sent } => {
                self.drive(vm, |engine| {
                    engine.token_raised(now, attempt, &intent, outcome, sent);
                });
            }
            Event::PromotionEnded { vm, attempt, service, term, outcome } => {
                self.drive(vm, |engine| {
                    engine.promotion_ended(now, attempt, &service, term, outcome);
                });
            }
            Event::RostersRead { vm } => {
                let rosters = self.rosters.clone();
                self.drive(vm, |engine| engine.set_rosters(now, &rosters));
            }
            Event::TokenRead { vm } => {
                let recorded = self.recorded();
                self.drive(vm, |engine| engine.token_read(now, &recorded));
            }
            Event::StoreFailed { vm } => {
                self.drive(vm, |engine| engine.note_store_result(now, false));
            }
            Event::Promote { database } => {
                self.group.promote(&database);
                self.runs_before_promotion.get_or_insert(self.group.runs.len());
                self.runs_at_promotions.push(self.group.runs.len());
                self.promotions.push(database);
            }
            Event::ListChanged { vm } if self.frozen.contains(&vm) => {
                self.schedule(TICK_INTERVAL_US, Event::ListChanged { vm });
            }
            Event::ListChanged { vm } if self.engines[vm].must_watch_store() => {
                self.read_list_from_store(vm);
            }
            Event::ListChanged { .. } => {}
            Event::ListFetched { vm, list } => {
                if let Some(list) = list {
                    self.deliver_list(vm, list);
                }
                self.drive(vm, |engine| engine.fetch_ended(now));
            }
            Event::PromotionAccepted { vm, attempt } => {
                let accepted = PromotionOutcome::Accepted;
                self.drive(vm, |engine| engine.promotion_answered(now, attempt, accepted));
            }
        }
    }

    /// Damages a message as [`World::corruption`] says; `None` if it can't be decoded any more.
    fn corrupt<T: Serialize + DeserializeOwned>(&mut self, message: T) -> Option<T> {
        let Some(corruption) = &mut self.corruption else { return Some(message) };
        let mut bytes = rmp_serde::to_vec(&message).expect("messages can be encoded");
        corruption.apply(&mut bytes);
        rmp_serde::from_slice(&bytes).ok()
    }

    fn deliver_request(&mut self, vm: usize, key: UpstreamKey, request: UpstreamRequest) {
        let Some(connection) = self.connections.get(&(vm, key)) else { return };
        let (database, id) = (connection.database, connection.id);
        if connection.closed || self.is_cut(Endpoint::Vm(vm), Endpoint::Database(database)) {
            return;
        }
        self.requests.push((self.now, database));
        match request {
            UpstreamRequest::Start { .. } => {}
            UpstreamRequest::Status
            | UpstreamRequest::Pause(_)
            | UpstreamRequest::Resume
            | UpstreamRequest::Demote(_) => self.arrivals.push((self.now, database, true)),
            _ => self.arrivals.push((self.now, database, false)),
        }
        let (replies, closes) = match self.take_fault(database, &request) {
            Some(FaultOutcome::Error(code)) => {
                let (group, member) = self.group_of(database);
                (group.refuse(member, id, code), false)
            }
            Some(FaultOutcome::Silence) => (Vec::new(), false),
            Some(FaultOutcome::Close) => (Vec::new(), true),
            None => {
                let (group, member) = self.group_of(database);
                match group.execute(member, id, request) {
                    Ok(replies) => (replies, false),
                    Err(replies) => (replies, true),
                }
            }
        };
        let us = self.one_way_us(Endpoint::Database(database), Endpoint::Vm(vm));
        for reply in replies {
            self.schedule(us, Event::Reply { vm, key, reply });
        }
        if closes {
            self.schedule(us, Event::Closed { vm, key });
        }
    }

    fn one_way_us(&self, from: Endpoint, to: Endpoint) -> u64 {
        ONE_WAY_DELAY_US + self.delays_ms.get(&(from, to)).copied().unwrap_or(0) * 1_000
    }

    /// Passes an event to a VM's engine and carries out the effects.
    fn drive(&mut self, vm: usize, event: impl FnOnce(&mut Engine)) {
        event(&mut self.engines[vm]);
        for effect in self.engines[vm].take_effects() {
            self.perform(vm, effect);
        }
    }

    fn perform(&mut self, vm: usize, effect: Effect) {
        match effect {
            Effect::ToCaller(key, reply) => self.record_reply(Caller { vm, key }, reply),
            Effect::CloseCaller(key) => {
                self.closed.insert(Caller { vm, key });
            }
            Effect::Connect(key, address) => {
                let mut indexes = 0..self.database_count();
                let database = indexes.find(|index| database_address(*index) == address);
                let id = ConnectionId(self.next_id);
                self.next_id += 1;
                if let Some(database) = database {
                    self.connections.insert((vm, key), Connection { database, id, closed: false });
                }
            }
            Effect::ToUpstream(key, request) => {
                let opens = matches!(request, UpstreamRequest::Start { .. });
                let extra = if opens { self.slow_connects_ms * 1_000 } else { 0 };
                let database =
                    self.connections.get(&(vm, key)).map_or(0, |connection| connection.database);
                let us = self.one_way_us(Endpoint::Vm(vm), Endpoint::Database(database)) + extra;
                self.schedule(us, Event::Request { vm, key, request });
            }
            Effect::CloseUpstream(key) => {
                if let Some(connection) = self.connections.get_mut(&(vm, key)) {
                    connection.closed = true;
                    let (database, id) = (connection.database, connection.id);
                    let (group, member) = self.group_of(database);
                    group.close(member, id);
                }
            }
            Effect::OpenLink(key, address) => self.open_link(vm, key, address),
            Effect::ToLink(key, message) => self.send_on_link(vm, key, message),
            Effect::CloseLink(key) => self.close_link(vm, key),
            Effect::ToPeer(address, message) => {
                let to = (0..self.engines.len()).find(|index| vm_address(*index) == address);
                if let Some(to) = to {
                    let decodable = !self.vms_without_classes.contains(&to);
                    assert!(
                        decodable || !has_classes(&message),
                        "vm-{to} can't decode {message:?}"
                    );
                    *self.messages.entry((vm, to)).or_default() += 1;
                }
                if let Some(to) = to.filter(|to| !self.is_cut(Endpoint::Vm(vm), Endpoint::Vm(*to)))
                {
                    let event = Event::PeerMessage { from: vm, to, message };
                    self.schedule(self.one_way_us(Endpoint::Vm(vm), Endpoint::Vm(to)), event);
                }
            }
            Effect::FetchFromPeer(address) => {
                let from = (0..self.engines.len()).find(|index| vm_address(*index) == address);
                let reached =
                    from.filter(|from| !self.is_cut(Endpoint::Vm(vm), Endpoint::Vm(*from)));
                let list = reached.map(|from| self.lists_by_vm[from].clone());
                let took_us = if list.is_some() { 2 * ONE_WAY_DELAY_US } else { FETCH_TIMEOUT_US };
                self.schedule(took_us, Event::ListFetched { vm, list });
            }
            Effect::CallPlatform(request) => self.handle_platform_request(vm, request),
        }
    }

    fn record_reply(&mut self, caller: Caller, reply: Reply) {
        let Some(responses) = self.responses.get_mut(&caller) else { return };
        let open = responses.iter_mut().find(|response| response.state.is_none());
        let Some(response) = open else { return };
        match reply {
            Reply::Row(row) => response.rows.push(row),
            Reply::Complete { receipt } => response.complete = Some(receipt),
            Reply::Error { code, .. } => response.error = Some(code),
            Reply::Ready { state, .. } => response.state = Some(state),
        }
    }
}

/// Whether an earlier version can't decode a message because of classes of priorities.
fn has_classes(message: &PeerMessage) -> bool {
    match &message.body {
        PeerBody::Heartbeat(heartbeat) => heartbeat.demands.iter().any(|d| !d.by_class.is_empty()),
        PeerBody::Borrow { by_class, .. } => !by_class.is_empty(),
        _ => false,
    }
}

pub fn read(item: &str) -> Statement {
    Statement::Plain { access: Access::Read, text: format!("READ {item}").into() }
}

pub fn write(item: &str) -> Statement {
    Statement::Plain { access: Access::Write, text: format!("WRITE {item} x").into() }
}

pub fn begin(access: Access) -> Statement {
    Statement::Begin { access }
}

pub fn set(name: &str, value: &str) -> Statement {
    Statement::Set { name: name.into(), value: value.into() }
}

pub fn prepare(name: &str, access: Access, shape: &str) -> Statement {
    Statement::Prepare {
        name: name.into(),
        statement: PreparedStatement { access, text: shape.into() },
    }
}

pub fn execute(name: &str, arguments: &str) -> Statement {
    Statement::Execute { name: name.into(), arguments: arguments.into() }
}
