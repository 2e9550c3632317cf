//! The simulated cluster of a failover trace: VMs, databases and network, driven by one queue of
//! messages in virtual time. Each VM writes periodically and acknowledges a write once a majority of the
//! databases holds it.

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

/// Whether a node handles messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Running,
    Frozen,
    Killed,
}

/// A message in flight, or a timer. The strings are names of nodes.
#[derive(Clone, Debug)]
pub enum Message {
    /// Timer for the periodic work of a VM's controller.
    Tick(String),
    /// Timer at which a VM queries the status of every database.
    Poll(String),
    /// Timer at which a VM sends a write.
    Write(String),
    /// Timer at which a VM checks whether a majority holds its write.
    Confirm(String, RequestId),
    /// Timeout of a VM's promotion call.
    CallTimeout(String, PromotionCall),
    /// Timer at which a replica asks its primary for log entries.
    Replicate(String),
    /// Timer at which a replica applies a batch, once its simulated lag has passed.
    LagElapsed(String, LogBatch),
    /// Request from a VM to a database, and when it was sent.
    ToDatabase(String, String, Request, MonoTime),
    /// Reply from a database to a VM, and when the request was sent.
    ToVm(String, String, Reply, MonoTime),
    /// Request from a replica to its primary for log entries: the replica's term, and the last position
    /// of each term in its log.
    FetchLog(String, String, Term, Vec<Position>),
    /// Log entries from a primary to its replica.
    LogBatch(String, String, LogBatch),
}

/// A simulated cluster of VMs and databases.
pub struct World {
    /// Virtual time.
    pub now: MonoTime,
    /// Promotions and acknowledged writes so far.
    pub history: History,
    /// Messages in flight.
    pub network: Network<Message>,
    /// Kills the next VM that sends this call (`fence`, `promote` or `follow`).
    pub kill_next_caller: Option<String>,
    /// Kills the next database that is promoted, before it replies.
    pub kill_next_promoted: bool,
    /// VMs by name, killed ones included.
    pub vms: BTreeMap<String, VmNode>,
    /// Databases by name, killed ones included.
    pub databases: BTreeMap<String, DatabaseNode>,
    node_states: BTreeMap<String, NodeState>,
    /// Messages that arrived at frozen nodes.
    backlogs: BTreeMap<String, Vec<Message>>,
    /// Names of the databases that the configuration marks as leaving.
    leaving: Vec<String>,
    next_write: u64,
}

impl World {
    /// Creates a cluster whose nodes have just started.
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

    /// Advances virtual time to `until`, handling all messages due by then.
    pub fn run_until(&mut self, until: MonoTime) {
        while let Some((at, message)) = self.network.pop_due(until) {
            self.now = self.now.max(at);
            self.handle(message);
        }
        self.now = until;
    }

    /// Ends a node for good.
    pub fn kill(&mut self, node: &str) {
        self.node_states.insert(node.to_owned(), NodeState::Killed);
        self.backlogs.remove(node);
    }

    /// Suspends a node; messages to it are queued.
    pub fn freeze(&mut self, node: &str) {
        self.node_states.insert(node.to_owned(), NodeState::Frozen);
    }

    /// Resumes a frozen node, and schedules the queued messages for now.
    pub fn thaw(&mut self, node: &str) {
        self.node_states.insert(node.to_owned(), NodeState::Running);
        for message in self.backlogs.remove(node).unwrap_or_default() {
            self.network.schedule(self.now, message);
        }
    }

    /// Cuts the named nodes off from all others.
    pub fn partition(&mut self, side: &[String]) {
        let others: Vec<String> =
            self.node_states.keys().filter(|node| !side.contains(node)).cloned().collect();
        for node in side {
            others.iter().for_each(|other| self.network.cut(node, other));
        }
    }

    /// Sets the replication lag of a database; does nothing if `node` is a VM.
    pub fn set_lag(&mut self, node: &str, lag: DurationUs) {
        if let Some(database) = self.databases.get_mut(node) {
            database.lag = lag;
        }
    }

    /// Opens a transaction on a database.
    pub fn open_transaction(&mut self, node: &str) {
        let database = self.database(node);
        database.transactions.push(database.data.open_transactions.clone());
    }

    /// Ends the open transactions of a database.
    pub fn end_transactions(&mut self, node: &str) {
        self.database(node).transactions.clear();
    }

    /// Gives every VM a configuration that marks the database as leaving.
    pub fn leave(&mut self, node: &str) {
        self.leaving.push(node.to_owned());
        let catalog = Arc::new(Catalog::new(configuration(self.databases.len(), &self.leaving)));
        for vm in self.vms.values_mut() {
            vm.board.adopt(catalog.clone());
        }
    }

    /// Returns the age of a member's data by a VM's knowledge; `None` if the VM knows nothing of it.
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

    /// Acknowledges a write once a majority holds it. Until then or the deadline, asks the members that
    /// are not known to hold it.
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
        self.vms.get_mut(name).expect("the VM is in the trace")
    }

    fn database(&mut self, name: &str) -> &mut DatabaseNode {
        self.databases.get_mut(name).expect("the database is in the trace")
    }
}

/// Returns the sender and the receiver of a message; a timer has no sender.
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
