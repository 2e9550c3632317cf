//! The VMs, databases and network of a trace, in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use board::{Catalog, SlotKey};
use failover::promotion::{CallResult, PromotionAction, PromotionCall, PromotionEvent};
use model::prelude::*;
use rand::Rng;

use super::{
    configuration,
    database::{DatabaseNode, LogBatch, Reply, Request},
    history::History,
    name,
    network::Network,
    vm::{OpenWrite, STATUS_INTERVAL, VmNode, WRITE_TIMEOUT, vm_records},
};

const TICK: DurationUs = DurationUs::from_ms(50);
const REPLICATION_INTERVAL: DurationUs = DurationUs::from_ms(20);
const WRITE_INTERVAL: DurationUs = DurationUs::from_ms(90);
const CONFIRM_INTERVAL: DurationUs = DurationUs::from_ms(20);
const CALL_TIMEOUT: DurationUs = DurationUs::from_ms(600);

/// Whether a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Running,
    Frozen,
    Killed,
}

/// A message in flight, or a timer.
#[derive(Clone, Debug)]
pub enum Message {
    /// A VM's controllers tick.
    Tick(String),
    /// A VM asks every database for its status.
    Poll(String),
    /// A VM sends a write.
    Write(String),
    /// A VM asks whether its open write is held.
    Confirm(String, RequestId),
    /// A call's time is over.
    CallTimeout(String, PromotionCall),
    /// A replica asks its primary.
    Replicate(String),
    /// A replica's lag is over.
    LagElapsed(String, LogBatch),
    /// From a VM to a database; the moment it left.
    ToDatabase(String, String, Request, MonoTime),
    /// From a database to a VM; the moment the request left.
    ToVm(String, String, Reply, MonoTime),
    /// From a replica to its primary.
    FetchLog(String, String, Term, Vec<Position>),
    /// From a primary to its replica.
    LogBatch(String, String, LogBatch),
}

/// Everything in a trace.
pub struct World {
    /// Virtual time.
    pub now: MonoTime,
    /// What was promised.
    pub history: History,
    /// Messages in flight.
    pub network: Network<Message>,
    /// The next VM that calls a database so is killed.
    pub kill_next_caller: Option<String>,
    /// The next database that is promoted is killed.
    pub kill_next_promoted: bool,
    /// VMs, by name.
    pub vms: BTreeMap<String, VmNode>,
    /// Databases, by name.
    pub databases: BTreeMap<String, DatabaseNode>,
    node_states: BTreeMap<String, NodeState>,
    backlogs: BTreeMap<String, Vec<Message>>,
    leaving: Vec<String>,
    next_write: u64,
}

impl World {
    /// Nodes that have just started.
    pub fn new(vms: usize, databases: usize, seed: u64) -> World {
        let catalog = Arc::new(Catalog::new(configuration(databases, &[])));
        let records = vm_records(vms);
        let vm = |record| VmNode::new(record, &records, catalog.clone());
        let vms: BTreeMap<String, VmNode> =
            records.iter().map(|record| (record.vm.to_string(), vm(record))).collect();
        let database = |number: usize| {
            let text = format!("d{number}");
            (text.clone(), DatabaseNode::new(name(DatabaseName::new(text))))
        };
        let databases: BTreeMap<String, DatabaseNode> = (1..=databases).map(database).collect();
        let node_states =
            vms.keys().chain(databases.keys()).map(|n| (n.clone(), NodeState::Running)).collect();
        let mut world = World {
            now: MonoTime::default(),
            history: History::default(),
            network: Network::new(seed),
            kill_next_caller: None,
            kill_next_promoted: false,
            vms,
            databases,
            node_states,
            backlogs: BTreeMap::new(),
            leaving: Vec::new(),
            next_write: 0,
        };
        world.start_timers();
        world
    }

    fn start_timers(&mut self) {
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            for timer in [Message::Tick(vm.clone()), Message::Poll(vm.clone()), Message::Write(vm)]
            {
                self.network.send(timer, self.now);
            }
        }
        for database in self.databases.keys().cloned().collect::<Vec<_>>() {
            self.network.send(Message::Replicate(database), self.now);
        }
    }

    /// Lets everything happen until that moment.
    pub fn run_until(&mut self, until: MonoTime) {
        while let Some((at, message)) = self.network.pop_due(until) {
            self.now = self.now.max(at);
            self.handle(message);
        }
        self.now = until;
    }

    /// A node is gone for good.
    pub fn kill(&mut self, node: &str) {
        self.node_states.insert(node.to_owned(), NodeState::Killed);
        self.backlogs.remove(node);
    }

    /// A node is stopped.
    pub fn freeze(&mut self, node: &str) {
        self.node_states.insert(node.to_owned(), NodeState::Frozen);
    }

    /// A stopped node goes on, beginning with what was sent to it meanwhile.
    pub fn thaw(&mut self, node: &str) {
        self.node_states.insert(node.to_owned(), NodeState::Running);
        for message in self.backlogs.remove(node).unwrap_or_default() {
            self.network.schedule(self.now, message);
        }
    }

    /// Cuts one side off from all other nodes.
    pub fn partition(&mut self, side: &[String]) {
        let others: Vec<String> =
            self.node_states.keys().filter(|node| !side.contains(node)).cloned().collect();
        for node in side {
            others.iter().for_each(|other| self.network.cut(node, other));
        }
    }

    /// A database's log is copied late.
    pub fn set_lag(&mut self, node: &str, lag: DurationUs) {
        if let Some(database) = self.databases.get_mut(node) {
            database.lag = lag;
        }
    }

    /// A transaction is opened on the database.
    pub fn open_transaction(&mut self, node: &str) {
        let database = self.database(node);
        database.transactions.push(database.data.open_transactions.clone());
    }

    /// The transactions that are open on the database end.
    pub fn end_transactions(&mut self, node: &str) {
        self.database(node).transactions.clear();
    }

    /// A configuration comes into force in which the database is leaving.
    pub fn leave(&mut self, node: &str) {
        self.leaving.push(node.to_owned());
        let catalog = Arc::new(Catalog::new(configuration(self.databases.len(), &self.leaving)));
        for vm in self.vms.values_mut() {
            vm.board.adopt(catalog.clone());
        }
    }

    /// How old a VM takes a member's data for.
    pub fn member_age(&self, vm: &str, database: &str) -> Option<DurationUs> {
        let board = &self.vms.get(vm)?.board;
        let member = board.slots[SlotKey::from(0)].member(board.catalog.database(database)?)?;
        member.fresh_at.map(|at| self.now.since(at))
    }

    fn handle(&mut self, message: Message) {
        let (from, to) = endpoints(&message);
        if from.is_some_and(|from| self.network.is_cut(from, to)) {
            return;
        }
        let to = to.to_owned();
        match self.node_states[&to] {
            NodeState::Killed => {}
            NodeState::Frozen => self.backlogs.entry(to).or_default().push(message),
            NodeState::Running => self.deliver(message),
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Tick(vm) => self.tick(vm),
            Message::Poll(vm) => self.poll(vm),
            Message::Write(vm) => self.write(vm),
            Message::Confirm(vm, id) => self.confirm(vm, id),
            Message::CallTimeout(vm, call) => {
                let event = PromotionEvent::CallFinished(call, CallResult::Lost);
                let calls = self.vm(&vm).handle_event(event, now);
                self.send_calls(&vm, calls);
            }
            Message::Replicate(database) => self.fetch_log(database),
            Message::LagElapsed(database, batch) => self.database(&database).apply_batch(batch),
            Message::ToDatabase(vm, database, req, asked_at) => {
                self.answer(vm, &database, req, asked_at);
            }
            Message::ToVm(database, vm, reply, asked_at) => {
                let is_status = matches!(reply, Reply::Status(_));
                let calls = self.vm(&vm).handle_reply(reply, &database, asked_at, now);
                self.send_calls(&vm, calls);
                if is_status {
                    self.check_freshness(&vm);
                }
            }
            Message::FetchLog(replica, primary, term, ends) => {
                if let Some(batch) = self.database(&primary).log_batch(term, &ends) {
                    self.network.send(Message::LogBatch(primary, replica, batch), self.now);
                }
            }
            Message::LogBatch(_, replica, batch) => {
                let lag = self.database(&replica).lag;
                self.database(&replica).note_primary_in_service(&batch);
                self.network.schedule(self.now + lag, Message::LagElapsed(replica, batch));
            }
        }
    }

    fn tick(&mut self, vm: String) {
        let now = self.now;
        let random = self.network.rng.random();
        let calls = self.vm(&vm).tick(random, now);
        self.send_calls(&vm, calls);
        self.network.schedule(self.now + TICK, Message::Tick(vm));
    }

    fn poll(&mut self, vm: String) {
        for database in self.databases.keys().cloned().collect::<Vec<_>>() {
            let query = Message::ToDatabase(vm.clone(), database, Request::Status, self.now);
            self.network.send(query, self.now);
        }
        self.network.schedule(self.now + STATUS_INTERVAL, Message::Poll(vm));
    }

    fn write(&mut self, vm: String) {
        self.next_write += 1;
        let id = RequestId(0, self.next_write);
        let now = self.now;
        let board = &self.vm(&vm).board;
        let slot = &board.slots[SlotKey::from(0)];
        let term = slot.term;
        if let Some(primary) = slot.primary {
            let primary = board.catalog.databases[primary].name.to_string();
            let held_by = FxHashSet::from_iter([primary.clone()]);
            let deadline = now + WRITE_TIMEOUT;
            let write = OpenWrite { deadline, executed: None, primary: primary.clone(), held_by };
            self.vm(&vm).writes.insert(id, write);
            let req = Request::Execute { id, term };
            self.network.send(Message::ToDatabase(vm.clone(), primary, req, now), now);
            self.network.schedule(now + CONFIRM_INTERVAL, Message::Confirm(vm.clone(), id));
        }
        self.network.schedule(now + WRITE_INTERVAL, Message::Write(vm));
    }

    /// Acknowledges an open write that a majority holds; asks the others as long as there is time.
    fn confirm(&mut self, vm: String, id: RequestId) {
        let now = self.now;
        let majority = self.databases.len() / 2 + 1;
        let Some(write) = self.vm(&vm).writes.get(&id).cloned() else {
            return;
        };
        if now >= write.deadline {
            self.vm(&vm).writes.remove(&id);
            return;
        }
        if let Some((position, term)) = write.executed {
            if write.held_by.len() >= majority {
                self.vm(&vm).writes.remove(&id);
                self.acknowledge(id, term);
                return;
            }
            for database in self.databases.keys().cloned().collect::<Vec<_>>() {
                if !write.held_by.contains(&database) {
                    let req = Request::Held { id, position, term };
                    self.network.send(Message::ToDatabase(vm.clone(), database, req, now), now);
                }
            }
        }
        self.network.schedule(now + CONFIRM_INTERVAL, Message::Confirm(vm, id));
    }

    fn acknowledge(&mut self, id: RequestId, term: Term) {
        let newest = self.history.primary().map(|(_, name)| name.to_owned());
        if let Some(database) = newest.and_then(|name| self.databases.get(&name)) {
            self.history.record_acknowledgement(id, self.now, term, &database.data);
        }
    }

    fn answer(&mut self, vm: String, name: &str, req: Request, asked_at: MonoTime) {
        let proposer = self.vm(&vm).proposer();
        let now = self.now;
        let promotes =
            matches!(&req, Request::Promotion(call) if call.action == PromotionAction::Promote);
        let database = self.database(name);
        let reply = database.answer(req, &proposer, now);
        let done = matches!(&reply, Reply::Promotion(_, CallResult::Done(_)));
        if promotes && done {
            let term = database.data.granted_term;
            if let Some(database) = self.databases.get(name) {
                self.history.record_promotion(term, name, &database.data);
            }
            if std::mem::take(&mut self.kill_next_promoted) {
                self.kill(name);
                return;
            }
        }
        self.network.send(Message::ToVm(name.to_owned(), vm, reply, asked_at), now);
    }

    fn fetch_log(&mut self, name: String) {
        let database = self.database(&name);
        let (term, ends) = (database.data.granted_term, database.data.term_ends.clone());
        if let Some(primary) = database.primary_to_follow() {
            self.network.send(Message::FetchLog(name.clone(), primary, term, ends), self.now);
        }
        self.network.schedule(self.now + REPLICATION_INTERVAL, Message::Replicate(name));
    }

    fn send_calls(&mut self, vm: &str, calls: Vec<PromotionCall>) {
        let now = self.now;
        for call in calls {
            let action = match call.action {
                PromotionAction::Fence => "fence",
                PromotionAction::Promote => "promote",
                PromotionAction::Follow(_) => "follow",
            };
            let trapped = self.kill_next_caller.as_deref() == Some(action);
            let req = Request::Promotion(call.clone());
            let database = call.database.to_string();
            self.network.send(Message::ToDatabase(vm.to_owned(), database, req, now), now);
            self.network.schedule(now + CALL_TIMEOUT, Message::CallTimeout(vm.to_owned(), call));
            if trapped {
                self.kill_next_caller = None;
                self.kill(vm);
                return;
            }
        }
    }

    fn check_freshness(&mut self, vm: &str) {
        let slot = &self.vms[vm].board.slots[SlotKey::from(0)];
        let catalog = &self.vms[vm].board.catalog;
        let primary = slot.primary.zip(slot.primary_verified_at);
        let members = slot.members.iter().filter_map(|m| Some((m.database, m.fresh_at?)));
        for (database, until) in members.chain(primary) {
            let name = catalog.databases[database].name.as_str();
            self.history.check_assumed_fresh(name, &self.databases[name].data, until);
        }
    }

    fn vm(&mut self, name: &str) -> &mut VmNode {
        self.vms.get_mut(name).expect("messages name VMs of the trace")
    }

    fn database(&mut self, name: &str) -> &mut DatabaseNode {
        self.databases.get_mut(name).expect("messages name databases of the trace")
    }
}

/// Sender and receiver of a message; a timer has no sender.
fn endpoints(message: &Message) -> (Option<&str>, &str) {
    match message {
        Message::Tick(node)
        | Message::Poll(node)
        | Message::Write(node)
        | Message::Confirm(node, _)
        | Message::CallTimeout(node, _)
        | Message::Replicate(node)
        | Message::LagElapsed(node, _) => (None, node),
        Message::ToDatabase(from, to, ..)
        | Message::ToVm(from, to, ..)
        | Message::FetchLog(from, to, ..)
        | Message::LogBatch(from, to, _) => (Some(from), to),
    }
}
