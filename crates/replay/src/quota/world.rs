//! The simulated fleet of a quota trace: VMs with the real controllers, each on its own clock, and the
//! platform and network between them, driven by one queue of events in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use board::Catalog;
use config::Configuration;
use model::prelude::*;
use proto::{
    platform::{Version, VmRecord, VmState},
    tokens::{TokenLoanRequest, TokenReply, TokenRequest},
};
use quota::{
    events::{ObjectKind, PortionEffect, PortionEvent},
    objects::VmInstance,
    rate_limiter::{Admission, RateEffect},
    workspace_limiter::Ticket,
};
use serde_json::Value;

use super::{check::Arrival, network::Network, platform::Platform, vm::Vm};

const TICK: DurationUs = DurationUs::from_ms(100);
const LIST_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
const CALL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);
const CONNECTION_WORK_TIME: DurationUs = DurationUs::from_ms(100);

/// An event in the simulated fleet. Times are virtual time.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic work of a VM.
    Tick(VmInstance),
    /// A VM reads the platform's list of VMs, and its data centre's object.
    ReadList(VmInstance),
    /// The list of VMs arrives at a VM that asked for it at the given time.
    ListRead(VmInstance, Vec<VmRecord>, MonoTime),
    /// A call of a VM, sent at the given time, arrives at the platform.
    PlatformCall(VmInstance, DcName, PortionEffect, MonoTime),
    /// An event for a VM's portion controller: an answer of the platform to a call sent at the given
    /// time, the lack of one, or the start of a planned stop.
    Portion(VmInstance, PortionEvent, MonoTime),
    /// A delayed update takes effect: name of the object, expected version, and value.
    LateUpdate(String, Version, Value),
    /// A request arrives at a VM: workspace and weight, in tokens.
    Request(VmName, WorkspaceName, u32),
    /// A message arrives at the first VM from the second, sent at the given time.
    PeerMessage(VmInstance, VmInstance, TokenRequest, MonoTime),
    /// The reply to a message arrives at its sender, with the message and the time when that was sent.
    PeerReply(VmInstance, TokenRequest, TokenReply, MonoTime),
    /// A VM gives up waiting for the reply to a request for tokens, of the given number.
    LoanTimeout(VmInstance, WorkspaceName, u64),
    /// A VM decides on the waiting requests of a workspace again.
    Wake(VmInstance, WorkspaceName),
    /// The requests that still use connections above a VM's new limit end, and the VM closes them.
    CloseConnections(VmInstance),
}

#[derive(Debug)]
struct Scheduled {
    at: MonoTime,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A simulated fleet.
pub struct World {
    /// Virtual time.
    pub now: MonoTime,
    /// The configuration of all VMs, which never changes.
    pub cfg: Configuration,
    /// The simulated platform.
    pub platform: Platform,
    /// The simulated network.
    pub network: Network,
    /// VM instances that have not been killed.
    pub vms: BTreeMap<VmInstance, Vm>,
    /// Requests that arrived so far, by workspace.
    pub arrivals: BTreeMap<WorkspaceName, Vec<Arrival>>,
    /// Highest number of connections open at once so far, by database.
    pub most_connections: BTreeMap<DatabaseName, u32>,
    /// Number of events handled so far.
    pub events_handled: u64,
    catalog: Arc<Catalog>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled_count: u64,
    /// Waiting requests, as indices into `arrivals`.
    waiting: FxHashMap<(VmInstance, Ticket), (WorkspaceName, usize)>,
    last_incarnation: u64,
    /// Whether a VM has opened connections since they were last counted.
    connections_changed: bool,
}

impl World {
    /// Creates a fleet without VMs.
    pub fn new(cfg: Configuration, seed: u64) -> World {
        World {
            // The list of VMs is empty before this time.
            now: MonoTime(0),
            catalog: Arc::new(Catalog::new(cfg.clone())),
            cfg,
            platform: Platform::default(),
            network: Network::new(seed),
            vms: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            most_connections: BTreeMap::new(),
            events_handled: 0,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            waiting: FxHashMap::default(),
            last_incarnation: 0,
            connections_changed: false,
        }
    }

    /// Starts a VM under a new incarnation and puts it on the platform's list.
    pub fn start(&mut self, vm: &VmName, dc: &DcName) -> VmInstance {
        self.last_incarnation += 1;
        let instance =
            VmInstance { vm: vm.clone(), incarnation: Incarnation(self.last_incarnation) };
        let started = Vm::new(instance.clone(), dc.clone(), self.catalog.clone(), self.now);
        let record = started.record(VmState::Live);
        self.platform.change_list(self.now, |list| {
            list.retain(|r| r.vm != record.vm);
            list.push(record);
        });
        self.vms.insert(instance.clone(), started);
        self.schedule(DurationUs(0), Event::ReadList(instance.clone()));
        self.schedule(DurationUs(1), Event::Tick(instance.clone()));
        instance
    }

    /// Returns the newest instance of a VM that has not been killed.
    pub fn instance(&self, vm: &VmName) -> Option<VmInstance> {
        self.vms.keys().rfind(|instance| instance.vm == *vm).cloned()
    }

    /// Kills the newest instance of a VM, and with it its connections.
    pub fn kill(&mut self, vm: &VmName) {
        if let Some(instance) = self.instance(vm) {
            self.vms.remove(&instance);
        }
    }

    /// Takes a VM off the platform's list, whether it runs or not. A paused VM also loses its connections,
    /// as the platform takes it off the network.
    pub fn unlist(&mut self, vm: &VmName) {
        let instance = self.instance(vm);
        let paused = instance
            .and_then(|instance| self.vms.get_mut(&instance))
            .filter(|vm| vm.paused.is_some());
        if let Some(paused) = paused {
            paused.open_connections.values_mut().for_each(|open| *open = 0);
        }
        self.platform.change_list(self.now, |list| list.retain(|r| r.vm != *vm));
    }

    /// Pauses a VM; its events are queued until [`World::wake`].
    pub fn pause(&mut self, vm: &VmName) {
        let instance = self.instance(vm);
        if let Some(vm) = instance.and_then(|instance| self.vms.get_mut(&instance)) {
            vm.paused.get_or_insert_default();
        }
    }

    /// Resumes a paused VM, which handles the queued events now.
    pub fn wake(&mut self, vm: &VmName) {
        let instance = self.instance(vm);
        let vm = instance.and_then(|instance| self.vms.get_mut(&instance));
        for event in vm.and_then(|vm| vm.paused.take()).unwrap_or_default() {
            self.handle(event);
        }
    }

    /// Begins a planned stop of a VM, which closes its connections and gives up its portions.
    pub fn stop(&mut self, vm: &VmName) {
        let instance = self.instance(vm);
        if let Some(vm) = instance.and_then(|instance| self.vms.get_mut(&instance)) {
            vm.board.fleet.stopping = true;
            vm.open_connections.values_mut().for_each(|open| *open = 0);
        }
        if let Some(instance) = self.instance(vm) {
            self.schedule(DurationUs(0), Event::Portion(instance, PortionEvent::Drained, self.now));
        }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, after: DurationUs, event: Event) {
        self.scheduled_count += 1;
        let at = self.now + after;
        self.queue.push(Reverse(Scheduled { at, number: self.scheduled_count, event }));
    }

    /// Advances virtual time to `at`, handling all events due by then.
    pub fn run_until(&mut self, at: MonoTime) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > at {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.events_handled += 1;
            self.handle(next.event);
        }
        self.now = at;
    }

    fn handle(&mut self, event: Event) {
        let instance = match &event {
            Event::Tick(instance)
            | Event::ReadList(instance)
            | Event::ListRead(instance, ..)
            | Event::Portion(instance, ..)
            | Event::PeerMessage(instance, ..)
            | Event::PeerReply(instance, ..)
            | Event::LoanTimeout(instance, ..)
            | Event::Wake(instance, _)
            | Event::CloseConnections(instance) => Some(instance.clone()),
            Event::Request(vm, ..) => match self.instance(vm) {
                Some(instance) => Some(instance),
                None => return,
            },
            Event::PlatformCall(..) | Event::LateUpdate(..) => None,
        };
        let Some(instance) = instance else {
            return self.handle_at_platform(event);
        };
        let Some(mut vm) = self.vms.remove(&instance) else {
            return;
        };
        match &mut vm.paused {
            Some(held) => held.push(event),
            None => self.handle_at_vm(&mut vm, event),
        }
        self.vms.insert(instance, vm);
        if std::mem::take(&mut self.connections_changed) {
            self.record_connections();
        }
    }

    fn handle_at_platform(&mut self, event: Event) {
        match event {
            Event::PlatformCall(from, dc, effect, sent_at) => {
                self.handle_platform_call(from, &dc, effect, sent_at)
            }
            Event::LateUpdate(name, expected, value) => {
                self.platform.update(&name, expected, value);
            }
            _ => {}
        }
    }

    fn handle_at_vm(&mut self, vm: &mut Vm, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(instance) => {
                let (effects, rate_effects) = vm.tick(now);
                self.carry_out(vm, effects);
                self.carry_out_rate_effects(vm, rate_effects);
                self.schedule(TICK, Event::Tick(instance));
            }
            Event::ReadList(instance) => {
                if let Some(latency) = self.platform_latency(vm) {
                    self.platform.calls += 1;
                    let list = self.platform.list(now);
                    self.schedule(latency, Event::ListRead(instance.clone(), list, now));
                    // In a real fleet the object comes by watches and gossip; here it is read with the list.
                    let (version, value) = self.platform.get(&format!("dc/{}", vm.dc));
                    let read = PortionEvent::ObjectRead { object: ObjectKind::Dc, version, value };
                    self.schedule(latency, Event::Portion(instance.clone(), read, now));
                }
                self.schedule(LIST_INTERVAL, Event::ReadList(instance));
            }
            Event::ListRead(_, list, sent_at) => {
                vm.rate_limiter.record_contact(vm.local_time(sent_at));
                let effects = vm.set_list(list, now);
                self.carry_out(vm, effects);
            }
            Event::Portion(_, event, sent_at) => {
                let failed =
                    matches!(event, PortionEvent::ReadFailed(_) | PortionEvent::UpdateFailed(_));
                if !failed {
                    vm.rate_limiter.record_contact(vm.local_time(sent_at));
                }
                let effects = vm.handle(event, now);
                self.carry_out(vm, effects);
            }
            Event::Request(_, workspace, weight) => self.handle_request(vm, workspace, weight),
            Event::PeerMessage(_, from, req, sent_at) => {
                self.handle_message(vm, &from, req, sent_at)
            }
            Event::PeerReply(_, req, reply, sent_at) => self.handle_reply(vm, req, reply, sent_at),
            Event::LoanTimeout(_, workspace, id) => {
                let ((), effects) = vm.with_rate_limiter(now, |limiter, now, effects| {
                    limiter.handle_loan_reply(&workspace, id, None, now, effects)
                });
                self.carry_out_rate_effects(vm, effects);
            }
            Event::Wake(_, workspace) => {
                let ((), effects) = vm.with_rate_limiter(now, |limiter, now, effects| {
                    limiter.wake(&workspace, now, effects)
                });
                self.carry_out_rate_effects(vm, effects);
            }
            Event::CloseConnections(_) => vm.close_excess_connections(),
            Event::PlatformCall(..) | Event::LateUpdate(..) => {}
        }
    }

    fn handle_request(&mut self, vm: &mut Vm, workspace: WorkspaceName, weight: u32) {
        let now = self.now;
        let (admission, effects) = vm.with_rate_limiter(now, |limiter, now, effects| {
            limiter.admit(&workspace, weight, now, effects)
        });
        let admitted = admission == Admission::Granted;
        let waits = matches!(admission, Admission::Waiting(_));
        let decided_at = (!waits).then_some(now);
        let arrivals = self.arrivals.entry(workspace.clone()).or_default();
        arrivals.push(Arrival { at: now, decided_at, weight, admitted });
        if let Admission::Waiting(ticket) = admission {
            let index = arrivals.len() - 1;
            self.waiting.insert((vm.instance.clone(), ticket), (workspace, index));
        }
        self.carry_out_rate_effects(vm, effects);
    }

    fn handle_message(
        &mut self,
        vm: &mut Vm,
        from: &VmInstance,
        req: TokenRequest,
        sent_at: MonoTime,
    ) {
        let reply = vm.rate_limiter.handle_request(&req, vm.local_time(self.now));
        vm.messages_sent += 1;
        let Some(dc) = self.vms.get(from).map(|sender| sender.dc.clone()) else {
            return;
        };
        for latency in self.network.delivery_delays((&vm.instance.vm, &vm.dc), (&from.vm, &dc)) {
            let reply = Event::PeerReply(from.clone(), req.clone(), reply.clone(), sent_at);
            self.schedule(latency, reply);
        }
    }

    fn handle_reply(
        &mut self,
        vm: &mut Vm,
        req: TokenRequest,
        reply: TokenReply,
        sent_at: MonoTime,
    ) {
        match (req, reply) {
            (TokenRequest::Ask(ask), TokenReply::Loan(loan)) => {
                let ((), effects) = vm.with_rate_limiter(self.now, |limiter, now, effects| {
                    limiter.handle_loan_reply(&ask.workspace, loan.id, Some(loan), now, effects)
                });
                self.carry_out_rate_effects(vm, effects);
            }
            (TokenRequest::Probe, _) => vm.rate_limiter.record_contact(vm.local_time(sent_at)),
            _ => {}
        }
    }

    fn carry_out(&mut self, vm: &mut Vm, effects: Vec<PortionEffect>) {
        for effect in effects {
            if effect == PortionEffect::AllocationChanged {
                vm.open_allowed_connections();
                self.connections_changed = true;
                self.schedule(CONNECTION_WORK_TIME, Event::CloseConnections(vm.instance.clone()));
                continue;
            }
            match self.platform_latency(vm) {
                Some(latency) => {
                    let call =
                        Event::PlatformCall(vm.instance.clone(), vm.dc.clone(), effect, self.now);
                    self.schedule(latency, call);
                }
                None => {
                    self.schedule(CALL_TIMEOUT, call_failed(vm.instance.clone(), &effect, self.now))
                }
            }
        }
    }

    fn carry_out_rate_effects(&mut self, vm: &mut Vm, effects: Vec<RateEffect>) {
        for effect in effects {
            match effect {
                RateEffect::Grant(ticket) => self.record_decision(vm, ticket, true),
                RateEffect::Refuse(ticket, _) => self.record_decision(vm, ticket, false),
                RateEffect::Wake(workspace, at) => {
                    let after = at.since(vm.local_time(self.now));
                    self.schedule(after, Event::Wake(vm.instance.clone(), workspace));
                }
                RateEffect::Ask { to, ask, timeout } => {
                    self.send_loan_request(vm, &to, ask, timeout)
                }
                RateEffect::Send { to, message } => self.send(vm, &to, &message),
                RateEffect::Probe(to) => self.send(vm, &to, &TokenRequest::Probe),
            }
        }
    }

    fn send_loan_request(
        &mut self,
        vm: &mut Vm,
        to: &VmInstance,
        ask: TokenLoanRequest,
        timeout: DurationUs,
    ) {
        let give_up = Event::LoanTimeout(vm.instance.clone(), ask.workspace.clone(), ask.id);
        self.schedule(timeout, give_up);
        self.send(vm, to, &TokenRequest::Ask(ask));
    }

    fn send(&mut self, vm: &mut Vm, to: &VmInstance, req: &TokenRequest) {
        vm.messages_sent += 1;
        let Some(dc) = self.vms.get(to).map(|receiver| receiver.dc.clone()) else {
            return;
        };
        for latency in self.network.delivery_delays((&vm.instance.vm, &vm.dc), (&to.vm, &dc)) {
            let from = vm.instance.clone();
            self.schedule(latency, Event::PeerMessage(to.clone(), from, req.clone(), self.now));
        }
    }

    fn record_decision(&mut self, vm: &Vm, ticket: Ticket, admitted: bool) {
        let Some((workspace, index)) = self.waiting.remove(&(vm.instance.clone(), ticket)) else {
            return;
        };
        let arrivals = self.arrivals.get_mut(&workspace);
        if let Some(arrival) = arrivals.and_then(|arrivals| arrivals.get_mut(index)) {
            arrival.admitted = admitted;
            arrival.decided_at = Some(self.now);
        }
    }

    fn platform_latency(&self, vm: &Vm) -> Option<DurationUs> {
        let latency = self.network.platform_latency(&vm.instance.vm, &vm.dc)?;
        (!self.platform.faults.down).then_some(latency)
    }

    fn handle_platform_call(
        &mut self,
        from: VmInstance,
        dc: &DcName,
        effect: PortionEffect,
        sent_at: MonoTime,
    ) {
        self.platform.calls += 1;
        let name = |object: ObjectKind| match object {
            ObjectKind::Dc => format!("dc/{dc}"),
            ObjectKind::Shares => "shares".to_owned(),
        };
        let reply = match &effect {
            PortionEffect::ReadObject(object) => {
                let (version, value) = self.platform.get(&name(*object));
                PortionEvent::ObjectRead { object: *object, version, value }
            }
            PortionEffect::UpdateObject { object, expected, value }
                if self.platform.delays_next_update() =>
            {
                let late = Event::LateUpdate(name(*object), *expected, value.clone());
                self.schedule(DurationUs(CALL_TIMEOUT.0 * 3 / 2), late);
                return self.schedule(CALL_TIMEOUT, call_failed(from, &effect, sent_at));
            }
            PortionEffect::UpdateObject { object, expected, value } => {
                let updated = self.platform.update(&name(*object), *expected, value.clone());
                if self.platform.loses_next_answer() {
                    return self.schedule(CALL_TIMEOUT, call_failed(from, &effect, sent_at));
                }
                PortionEvent::UpdateAnswered { object: *object, updated }
            }
            PortionEffect::AllocationChanged => return,
        };
        match self.network.platform_latency(&from.vm, dc) {
            Some(latency) => self.schedule(latency, Event::Portion(from, reply, sent_at)),
            None => self.schedule(CALL_TIMEOUT, call_failed(from, &effect, sent_at)),
        }
    }

    fn record_connections(&mut self) {
        let mut open: BTreeMap<&DatabaseName, u32> = BTreeMap::new();
        for (database, count) in self.vms.values().flat_map(|vm| &vm.open_connections) {
            *open.entry(database).or_default() += count;
        }
        for (database, count) in open {
            match self.most_connections.get_mut(database) {
                Some(most) => *most = count.max(*most),
                None => {
                    self.most_connections.insert(database.clone(), count);
                }
            }
        }
    }
}

/// Returns the event by which a VM learns that its call got no answer.
fn call_failed(vm: VmInstance, effect: &PortionEffect, sent_at: MonoTime) -> Event {
    let event = match effect {
        PortionEffect::UpdateObject { object, .. } => PortionEvent::UpdateFailed(*object),
        PortionEffect::ReadObject(object) => PortionEvent::ReadFailed(*object),
        PortionEffect::AllocationChanged => unreachable!("not a call to the platform"),
    };
    Event::Portion(vm, event, sent_at)
}
