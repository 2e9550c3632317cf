//! A fleet in virtual time: the real controllers, a platform, a network, and clocks that nobody shares.

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
const WORK_TIME: DurationUs = DurationUs::from_ms(100);

/// Something that happens in the world.
#[derive(Clone, Debug)]
pub enum Event {
    /// A VM's control thread ticks.
    Tick(VmInstance),
    /// A VM reads the list.
    ReadList(VmInstance),
    /// The list arrives.
    ListRead(VmInstance, Vec<VmRecord>, MonoTime),
    /// A call arrives at the platform.
    Call(VmInstance, DcName, PortionEffect, MonoTime),
    /// An answer of the platform arrives.
    Portion(VmInstance, PortionEvent, MonoTime),
    /// An update takes effect after its sender has given up.
    LateUpdate(String, Version, Value),
    /// A caller's request arrives.
    Request(VmName, WorkspaceName, u32),
    /// A message from another VM arrives, sent at that time.
    Message(VmInstance, VmInstance, TokenRequest, MonoTime),
    /// The answer to a message arrives, with the message and the time when it was sent.
    Reply(VmInstance, TokenRequest, TokenReply, MonoTime),
    /// A borrower gives a message up.
    AskTimeout(VmInstance, WorkspaceName, u64),
    /// A VM looks at its waiting requests.
    Wake(VmInstance, WorkspaceName),
    /// Work on connections above the limit ends.
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

/// A fleet in virtual time.
pub struct World {
    /// Virtual time.
    pub now: MonoTime,
    /// The configuration in force everywhere.
    pub cfg: Configuration,
    /// The platform.
    pub platform: Platform,
    /// The network.
    pub network: Network,
    /// VMs that have not been killed.
    pub vms: BTreeMap<VmInstance, Vm>,
    /// Requests so far, by workspace.
    pub arrivals: BTreeMap<WorkspaceName, Vec<Arrival>>,
    /// Most connections ever open at once, by database.
    pub most_connections: BTreeMap<DatabaseName, u32>,
    /// Events handled so far.
    pub handled: u64,
    catalog: Arc<Catalog>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    waiting: FxHashMap<(VmInstance, Ticket), (WorkspaceName, usize)>,
    last_incarnation: u64,
    connections_changed: bool,
}

impl World {
    /// A world without VMs.
    pub fn new(cfg: Configuration, seed: u64) -> World {
        World {
            // Before this moment the list of VMs has no past.
            now: MonoTime(0),
            catalog: Arc::new(Catalog::new(cfg.clone())),
            cfg,
            platform: Platform::default(),
            network: Network::new(seed),
            vms: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            most_connections: BTreeMap::new(),
            handled: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            waiting: FxHashMap::default(),
            last_incarnation: 0,
            connections_changed: false,
        }
    }

    /// Starts a VM and puts it on the list.
    pub fn start(&mut self, vm: &VmName, dc: &DcName) -> VmInstance {
        self.last_incarnation += 1;
        let owner = VmInstance { vm: vm.clone(), incarnation: Incarnation(self.last_incarnation) };
        let started = Vm::new(owner.clone(), dc.clone(), self.catalog.clone(), self.now);
        let record = started.record(VmState::Live);
        self.platform.change_list(self.now, |list| {
            list.retain(|r| r.vm != record.vm);
            list.push(record);
        });
        self.vms.insert(owner.clone(), started);
        self.schedule(DurationUs(0), Event::ReadList(owner.clone()));
        self.schedule(DurationUs(1), Event::Tick(owner.clone()));
        owner
    }

    /// The newest run of a VM that has not been killed.
    pub fn owner(&self, vm: &VmName) -> Option<VmInstance> {
        self.vms.keys().rfind(|owner| owner.vm == *vm).cloned()
    }

    /// Kills a VM. Its connections end with it.
    pub fn kill(&mut self, vm: &VmName) {
        if let Some(owner) = self.owner(vm) {
            self.vms.remove(&owner);
        }
    }

    /// Takes a VM off the list, whether it runs or not. The platform takes a paused one off the network
    /// as well, which ends its connections.
    pub fn unlist(&mut self, vm: &VmName) {
        let owner = self.owner(vm);
        let paused =
            owner.and_then(|owner| self.vms.get_mut(&owner)).filter(|vm| vm.paused.is_some());
        if let Some(paused) = paused {
            paused.open.values_mut().for_each(|open| *open = 0);
        }
        self.platform.change_list(self.now, |list| list.retain(|r| r.vm != *vm));
    }

    /// Pauses a VM: nothing happens there until it is woken.
    pub fn pause(&mut self, vm: &VmName) {
        let owner = self.owner(vm);
        if let Some(vm) = owner.and_then(|owner| self.vms.get_mut(&owner)) {
            vm.paused.get_or_insert_default();
        }
    }

    /// Lets a paused VM go on: everything that came meanwhile is handled now.
    pub fn wake(&mut self, vm: &VmName) {
        let owner = self.owner(vm);
        let vm = owner.and_then(|owner| self.vms.get_mut(&owner));
        for event in vm.and_then(|vm| vm.paused.take()).unwrap_or_default() {
            self.handle(event);
        }
    }

    /// Begins a planned stop of a VM.
    pub fn stop(&mut self, vm: &VmName) {
        let owner = self.owner(vm);
        if let Some(vm) = owner.and_then(|owner| self.vms.get_mut(&owner)) {
            vm.board.fleet.stopping = true;
            vm.open.values_mut().for_each(|open| *open = 0);
        }
        if let Some(owner) = self.owner(vm) {
            self.schedule(DurationUs(0), Event::Portion(owner, PortionEvent::Drained, self.now));
        }
    }

    /// Lets an event happen after a while.
    pub fn schedule(&mut self, after: DurationUs, event: Event) {
        self.scheduled += 1;
        let at = self.now + after;
        self.queue.push(Reverse(Scheduled { at, number: self.scheduled, event }));
    }

    /// Lets time pass until `at`.
    pub fn run_until(&mut self, at: MonoTime) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > at {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.handled += 1;
            self.handle(next.event);
        }
        self.now = at;
    }

    fn handle(&mut self, event: Event) {
        let owner = match &event {
            Event::Tick(owner)
            | Event::ReadList(owner)
            | Event::ListRead(owner, ..)
            | Event::Portion(owner, ..)
            | Event::Message(owner, ..)
            | Event::Reply(owner, ..)
            | Event::AskTimeout(owner, ..)
            | Event::Wake(owner, _)
            | Event::CloseConnections(owner) => Some(owner.clone()),
            Event::Request(vm, ..) => match self.owner(vm) {
                Some(owner) => Some(owner),
                None => return,
            },
            Event::Call(..) | Event::LateUpdate(..) => None,
        };
        let Some(owner) = owner else {
            return self.handle_at_platform(event);
        };
        let Some(mut vm) = self.vms.remove(&owner) else {
            return;
        };
        match &mut vm.paused {
            Some(held) => held.push(event),
            None => self.handle_at_vm(&mut vm, event),
        }
        self.vms.insert(owner, vm);
        if std::mem::take(&mut self.connections_changed) {
            self.note_connections();
        }
    }

    fn handle_at_platform(&mut self, event: Event) {
        match event {
            Event::Call(from, dc, effect, sent_at) => self.call(from, &dc, effect, sent_at),
            Event::LateUpdate(name, expected, value) => {
                self.platform.update(&name, expected, value);
            }
            _ => {}
        }
    }

    fn handle_at_vm(&mut self, vm: &mut Vm, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(owner) => {
                let (effects, rate_effects) = vm.tick(now);
                self.carry_out(vm, effects);
                self.carry_out_rates(vm, rate_effects);
                self.schedule(TICK, Event::Tick(owner));
            }
            Event::ReadList(owner) => {
                if let Some(latency) = self.reach_platform(vm) {
                    self.platform.calls += 1;
                    let list = self.platform.list(now);
                    self.schedule(latency, Event::ListRead(owner.clone(), list, now));
                    // Watches and gossip bring the object in the fleet; here it comes with the list.
                    let (version, value) = self.platform.get(&format!("dc/{}", vm.dc));
                    let read = PortionEvent::ObjectRead { object: ObjectKind::Dc, version, value };
                    self.schedule(latency, Event::Portion(owner.clone(), read, now));
                }
                self.schedule(LIST_INTERVAL, Event::ReadList(owner));
            }
            Event::ListRead(_, list, sent_at) => {
                vm.rates.record_contact(vm.clock(sent_at));
                let effects = vm.set_list(list, now);
                self.carry_out(vm, effects);
            }
            Event::Portion(_, event, sent_at) => {
                let failed =
                    matches!(event, PortionEvent::ReadFailed(_) | PortionEvent::UpdateFailed(_));
                if !failed {
                    vm.rates.record_contact(vm.clock(sent_at));
                }
                let effects = vm.handle(event, now);
                self.carry_out(vm, effects);
            }
            Event::Request(_, workspace, weight) => self.request(vm, workspace, weight),
            Event::Message(_, from, req, sent_at) => self.answer(vm, &from, req, sent_at),
            Event::Reply(_, req, reply, sent_at) => self.take_reply(vm, req, reply, sent_at),
            Event::AskTimeout(_, workspace, id) => {
                let ((), effects) = vm.with_rates(now, |rates, now, effects| {
                    rates.handle_loan_reply(&workspace, id, None, now, effects)
                });
                self.carry_out_rates(vm, effects);
            }
            Event::Wake(_, workspace) => {
                let ((), effects) =
                    vm.with_rates(now, |rates, now, effects| rates.wake(&workspace, now, effects));
                self.carry_out_rates(vm, effects);
            }
            Event::CloseConnections(_) => vm.close_connections(),
            Event::Call(..) | Event::LateUpdate(..) => {}
        }
    }

    fn request(&mut self, vm: &mut Vm, workspace: WorkspaceName, weight: u32) {
        let now = self.now;
        let (admission, effects) =
            vm.with_rates(now, |rates, now, effects| rates.admit(&workspace, weight, now, effects));
        let admitted = admission == Admission::Granted;
        let waits = matches!(admission, Admission::Waiting(_));
        let decided_at = (!waits).then_some(now);
        let arrivals = self.arrivals.entry(workspace.clone()).or_default();
        arrivals.push(Arrival { at: now, decided_at, weight, admitted });
        if let Admission::Waiting(ticket) = admission {
            let index = arrivals.len() - 1;
            self.waiting.insert((vm.owner.clone(), ticket), (workspace, index));
        }
        self.carry_out_rates(vm, effects);
    }

    fn answer(&mut self, vm: &mut Vm, from: &VmInstance, req: TokenRequest, sent_at: MonoTime) {
        let reply = vm.rates.handle_request(&req, vm.clock(self.now));
        vm.messages += 1;
        let Some(dc) = self.vms.get(from).map(|sender| sender.dc.clone()) else {
            return;
        };
        for latency in self.network.deliveries((&vm.owner.vm, &vm.dc), (&from.vm, &dc)) {
            let reply = Event::Reply(from.clone(), req.clone(), reply.clone(), sent_at);
            self.schedule(latency, reply);
        }
    }

    fn take_reply(&mut self, vm: &mut Vm, req: TokenRequest, reply: TokenReply, sent_at: MonoTime) {
        match (req, reply) {
            (TokenRequest::Ask(ask), TokenReply::Loan(loan)) => {
                let ((), effects) = vm.with_rates(self.now, |rates, now, effects| {
                    rates.handle_loan_reply(&ask.workspace, loan.id, Some(loan), now, effects)
                });
                self.carry_out_rates(vm, effects);
            }
            (TokenRequest::Probe, _) => vm.rates.record_contact(vm.clock(sent_at)),
            _ => {}
        }
    }

    fn carry_out(&mut self, vm: &mut Vm, effects: Vec<PortionEffect>) {
        for effect in effects {
            if effect == PortionEffect::AllocationChanged {
                vm.open_connections();
                self.connections_changed = true;
                self.schedule(WORK_TIME, Event::CloseConnections(vm.owner.clone()));
                continue;
            }
            match self.reach_platform(vm) {
                Some(latency) => {
                    let call = Event::Call(vm.owner.clone(), vm.dc.clone(), effect, self.now);
                    self.schedule(latency, call);
                }
                None => self.schedule(CALL_TIMEOUT, failed(vm.owner.clone(), &effect, self.now)),
            }
        }
    }

    fn carry_out_rates(&mut self, vm: &mut Vm, effects: Vec<RateEffect>) {
        for effect in effects {
            match effect {
                RateEffect::Grant(ticket) => self.decide(vm, ticket, true),
                RateEffect::Refuse(ticket, _) => self.decide(vm, ticket, false),
                RateEffect::Wake(workspace, at) => {
                    let after = at.since(vm.clock(self.now));
                    self.schedule(after, Event::Wake(vm.owner.clone(), workspace));
                }
                RateEffect::Ask { to, ask, timeout } => self.send_ask(vm, &to, ask, timeout),
                RateEffect::Send { to, message } => self.send(vm, &to, &message),
                RateEffect::Probe(to) => self.send(vm, &to, &TokenRequest::Probe),
            }
        }
    }

    fn send_ask(
        &mut self,
        vm: &mut Vm,
        to: &VmInstance,
        ask: TokenLoanRequest,
        timeout: DurationUs,
    ) {
        let give_up = Event::AskTimeout(vm.owner.clone(), ask.workspace.clone(), ask.id);
        self.schedule(timeout, give_up);
        self.send(vm, to, &TokenRequest::Ask(ask));
    }

    fn send(&mut self, vm: &mut Vm, to: &VmInstance, req: &TokenRequest) {
        vm.messages += 1;
        let Some(dc) = self.vms.get(to).map(|receiver| receiver.dc.clone()) else {
            return;
        };
        for latency in self.network.deliveries((&vm.owner.vm, &vm.dc), (&to.vm, &dc)) {
            let from = vm.owner.clone();
            self.schedule(latency, Event::Message(to.clone(), from, req.clone(), self.now));
        }
    }

    fn decide(&mut self, vm: &Vm, ticket: Ticket, admitted: bool) {
        let Some((workspace, index)) = self.waiting.remove(&(vm.owner.clone(), ticket)) else {
            return;
        };
        let arrivals = self.arrivals.get_mut(&workspace);
        if let Some(arrival) = arrivals.and_then(|arrivals| arrivals.get_mut(index)) {
            arrival.admitted = admitted;
            arrival.decided_at = Some(self.now);
        }
    }

    fn reach_platform(&self, vm: &Vm) -> Option<DurationUs> {
        let latency = self.network.to_platform(&vm.owner.vm, &vm.dc)?;
        (!self.platform.faults.down).then_some(latency)
    }

    fn call(&mut self, from: VmInstance, dc: &DcName, effect: PortionEffect, sent_at: MonoTime) {
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
            PortionEffect::UpdateObject { object, expected, value } if self.platform.is_late() => {
                let late = Event::LateUpdate(name(*object), *expected, value.clone());
                self.schedule(DurationUs(CALL_TIMEOUT.0 * 3 / 2), late);
                return self.schedule(CALL_TIMEOUT, failed(from, &effect, sent_at));
            }
            PortionEffect::UpdateObject { object, expected, value } => {
                let updated = self.platform.update(&name(*object), *expected, value.clone());
                if self.platform.loses_answer() {
                    return self.schedule(CALL_TIMEOUT, failed(from, &effect, sent_at));
                }
                PortionEvent::UpdateAnswered { object: *object, updated }
            }
            PortionEffect::AllocationChanged => return,
        };
        match self.network.to_platform(&from.vm, dc) {
            Some(latency) => self.schedule(latency, Event::Portion(from, reply, sent_at)),
            None => self.schedule(CALL_TIMEOUT, failed(from, &effect, sent_at)),
        }
    }

    fn note_connections(&mut self) {
        let mut open: BTreeMap<&DatabaseName, u32> = BTreeMap::new();
        for (database, count) in self.vms.values().flat_map(|vm| &vm.open) {
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

/// What a VM hears of a call without an answer.
fn failed(vm: VmInstance, effect: &PortionEffect, sent_at: MonoTime) -> Event {
    let event = match effect {
        PortionEffect::UpdateObject { object, .. } => PortionEvent::UpdateFailed(*object),
        PortionEffect::ReadObject(object) => PortionEvent::ReadFailed(*object),
        PortionEffect::AllocationChanged => unreachable!("it is no call"),
    };
    Event::Portion(vm, event, sent_at)
}
