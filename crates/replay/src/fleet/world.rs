//! The simulated fleet of a trace: VMs with the real fleet controllers, the platform, and faults of the
//! network, in virtual time.

use std::sync::Arc;

use board::{Board, Catalog, VmIdentity};
use config::Configuration;
use fleet::{
    access::check_trust,
    distribution::{FleetController, FleetEffect, FleetEvent},
    gossip::{answer_pull, digest, next_random},
    transfer::ConfigurationHistory,
};
use model::prelude::*;
use proto::{
    peer::{PeerReply, PeerRequest},
    platform::{VmRecord, VmState},
};

use super::{
    FleetTraceEvent, configuration,
    network::{Address, Message, Network},
};

const TICK: DurationUs = DurationUs::from_ms(50);
const SAME_DC_LATENCY: DurationUs = DurationUs::from_ms(1);
const OTHER_DC_LATENCY: DurationUs = DurationUs::from_ms(20);
const PLATFORM_LATENCY: DurationUs = DurationUs::from_ms(5);
const PEER_TIMEOUT: DurationUs = DurationUs::from_ms(800);
const PLATFORM_INTERVAL: DurationUs = DurationUs::from_ms(1_000);

/// Bytes of the HTTP headers of a request and its response together, on a connection that is kept open.
const HEADERS_BYTES: u64 = 480;

/// Counts of the simulated traffic since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages between VMs, without replies.
    pub messages: u64,
    /// Bytes of messages between VMs, with replies and headers.
    pub bytes: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Events that the controllers handled.
    pub events: u64,
}

struct Node {
    board: Board,
    controller: FleetController,
    configuration_history: ConfigurationHistory,
    frozen: bool,
    /// Messages that arrived while the VM was frozen.
    backlog: Vec<Message>,
    /// Whether the VM watches the platform.
    watching: bool,
    /// Highest generation of the configuration that the VM read from the platform.
    read_generation: Generation,
    /// When the VM last called the platform.
    polled_at: Option<MonoTime>,
}

/// A simulated fleet.
pub struct World {
    /// Traffic so far.
    pub traffic: Traffic,
    now: MonoTime,
    dcs: Vec<DcName>,
    cut_off_trust_s: u64,
    nodes: Vec<Node>,
    /// Indices into `nodes`.
    index: FxHashMap<Address, usize>,
    /// The platform's list of VMs.
    platform_list: Vec<VmRecord>,
    /// The platform's configuration.
    cfg: Configuration,
    platform_down: bool,
    /// Data centres that can't reach the platform.
    platform_cuts: FxHashSet<DcName>,
    /// Pairs of data centres that can't reach each other, in both orders.
    cuts: FxHashSet<(DcName, DcName)>,
    network: Network,
    /// State of the random number generator.
    random: u64,
    /// Last incarnation given to a VM.
    incarnations: u64,
    next_tick: MonoTime,
}

impl World {
    /// Creates a fleet without VMs, and a platform with a configuration of generation 1. VMs that are cut
    /// off trust their list of keys for `cut_off_trust_s` seconds.
    pub fn new(dcs: &[DcName], cut_off_trust_s: u64, seed: u64) -> World {
        World {
            traffic: Traffic::default(),
            now: MonoTime(0),
            dcs: dcs.to_vec(),
            cut_off_trust_s,
            nodes: Vec::new(),
            index: FxHashMap::default(),
            platform_list: Vec::new(),
            cfg: configuration(1, dcs, cut_off_trust_s),
            platform_down: false,
            platform_cuts: FxHashSet::default(),
            cuts: FxHashSet::default(),
            network: Network::default(),
            random: seed,
            incarnations: 0,
            next_tick: MonoTime(0),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Replaces the platform's configuration. VMs take notice only of a higher generation than the one
    /// they read before.
    pub fn set_configuration(&mut self, cfg: Configuration) {
        self.cfg = cfg;
    }

    /// Returns the generation of the platform's configuration.
    pub fn platform_generation(&self) -> Generation {
        self.cfg.generation
    }

    /// Returns the running VMs with the generation of their current configuration.
    pub fn generations(&self) -> Vec<(VmName, Generation)> {
        let of = |node: &Node| (node.board.fleet.me.vm.clone(), node.board.catalog.cfg.generation);
        self.nodes.iter().map(of).collect()
    }

    /// Advances virtual time to `until`. Fails if a VM adopts a configuration whose generation is not
    /// higher than that of its current one.
    pub fn run_until(&mut self, until: MonoTime) -> Result<(), String> {
        while self.now < until {
            let step = self.next_tick.min(until);
            self.deliver(step)?;
            self.now = step;
            if step == self.next_tick {
                self.tick()?;
                self.next_tick = step + TICK;
            }
        }
        Ok(())
    }

    /// Applies an event of a trace, or checks an expectation.
    pub fn apply(&mut self, event: &FleetTraceEvent) -> Result<(), String> {
        match event {
            FleetTraceEvent::Start { vm, dc } => self.start(vm, dc),
            FleetTraceEvent::Kill { vm } => self.kill(vm),
            FleetTraceEvent::Freeze { vm } => self.node(vm)?.frozen = true,
            FleetTraceEvent::Thaw { vm } => self.thaw(vm)?,
            FleetTraceEvent::Stop { vm } => {
                let address = self.node(vm)?.address();
                self.handle(&address, FleetEvent::Leaving)?;
            }
            FleetTraceEvent::Introduce { vm } => self.introduce(vm)?,
            FleetTraceEvent::Apply => self.change_configuration(),
            FleetTraceEvent::PlatformDown { down } => self.platform_down = *down,
            FleetTraceEvent::CutPlatform { dc, cut: true } => {
                self.platform_cuts.insert(dc.clone());
            }
            FleetTraceEvent::CutPlatform { dc, cut: false } => {
                self.platform_cuts.remove(dc);
            }
            FleetTraceEvent::Cut { dc, other, cut } => self.cut(dc, other, *cut),
            FleetTraceEvent::ExpectGeneration { vms, generation } => {
                return self.expect_generation(vms, *generation);
            }
            FleetTraceEvent::ExpectTrust { vm, trusts } => return self.expect_trust(vm, *trusts),
            FleetTraceEvent::ExpectLive { vm, live } => return self.expect_live(vm, live),
            FleetTraceEvent::ExpectWatchers { dc, least, most } => {
                let watches = |node: &&Node| node.watching && node.board.fleet.me.dc == *dc;
                let count = self.nodes.iter().filter(watches).count();
                return expect((*least..=*most).contains(&count), || {
                    format!("{count} VMs of {dc} watch the platform, expected {least} to {most}")
                });
            }
        }
        Ok(())
    }

    /// Applies the next generation of the configuration on the platform, in which a key is withdrawn.
    pub fn change_configuration(&mut self) {
        let next = configuration(self.cfg.generation.0 + 1, &self.dcs, self.cut_off_trust_s);
        let services = std::mem::take(&mut self.cfg.services);
        let keys = if next.keys.len() > self.cfg.keys.len() {
            next.keys
        } else {
            let mut keys = std::mem::take(&mut self.cfg.keys);
            let at = self.cfg.generation.0 as usize % keys.len();
            keys[at].state = config::KeyState::Withdrawn;
            keys
        };
        self.cfg = Configuration { services, keys, ..next };
    }

    /// Starts a VM under a new incarnation and puts it on the platform's list, in place of an older
    /// incarnation.
    pub fn start(&mut self, vm: &VmName, dc: &DcName) {
        self.incarnations += 1;
        let me = VmIdentity {
            vm: vm.clone(),
            incarnation: Incarnation(self.incarnations),
            dc: dc.clone(),
            peer_address: format!("{vm}:{}", self.incarnations),
        };
        let record = me.record(VmState::Live);
        self.remove(vm);
        self.platform_list.push(record.clone());
        self.index.insert((vm.clone(), me.incarnation), self.nodes.len());
        self.nodes.push(Node {
            board: Board::new(me),
            controller: FleetController::new(record),
            configuration_history: ConfigurationHistory::empty(),
            frozen: false,
            backlog: Vec::new(),
            watching: false,
            read_generation: Generation(0),
            polled_at: None,
        });
    }

    /// Tells a VM of all VMs on the platform's list, as the peer addresses in its settings would.
    pub fn introduce(&mut self, vm: &VmName) -> Result<(), String> {
        let address = self.node(vm)?.address();
        let known = self.platform_list.clone();
        self.handle(&address, FleetEvent::Introduced(known))
    }

    /// Ends a VM at once and takes it off the platform's list.
    pub fn kill(&mut self, vm: &VmName) {
        self.remove(vm);
    }

    fn thaw(&mut self, vm: &VmName) -> Result<(), String> {
        let node = self.node(vm)?;
        node.frozen = false;
        let address = node.address();
        for message in std::mem::take(&mut self.node(vm)?.backlog) {
            self.receive(&address, message)?;
        }
        Ok(())
    }

    fn cut(&mut self, dc: &DcName, other: &DcName, cut: bool) {
        for pair in [(dc.clone(), other.clone()), (other.clone(), dc.clone())] {
            match cut {
                true => self.cuts.insert(pair),
                false => self.cuts.remove(&pair),
            };
        }
    }

    fn deliver(&mut self, by: MonoTime) -> Result<(), String> {
        while let Some((at, to, message)) = self.network.receive(by) {
            self.now = at;
            self.receive(&to, message)?;
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), String> {
        let addresses: Vec<Address> = self.nodes.iter().map(Node::address).collect();
        for address in addresses {
            let Some(at) = self.node_index(&address) else { continue };
            if self.nodes[at].frozen {
                continue;
            }
            self.call_platform(at);
            self.handle(&address, FleetEvent::Tick)?;
        }
        Ok(())
    }

    fn call_platform(&mut self, at: usize) {
        let (node, now) = (&mut self.nodes[at], self.now);
        let dc = &node.board.fleet.me.dc;
        let reachable = !self.platform_down && !self.platform_cuts.contains(dc);
        if !node.watching {
            return;
        }
        let address = node.address();
        if reachable && self.cfg.generation > node.read_generation {
            node.read_generation = self.cfg.generation;
            let cfg = Box::new(self.cfg.clone());
            self.network.send(
                now + PLATFORM_LATENCY,
                address.clone(),
                Message::Configuration { sent_at: now, cfg },
            );
        }
        if node.polled_at.is_none_or(|called| now.since(called) >= PLATFORM_INTERVAL) {
            node.polled_at = Some(now);
            // Two watch requests and one read of the list.
            self.traffic.platform_calls += 3;
            if reachable {
                let vms = self.platform_list.clone();
                self.network.send(
                    now + PLATFORM_LATENCY,
                    address,
                    Message::List { sent_at: now, vms },
                );
            }
        }
    }

    fn receive(&mut self, to: &Address, message: Message) -> Result<(), String> {
        let Some(at) = self.node_index(to) else { return Ok(()) };
        if self.nodes[at].frozen {
            self.nodes[at].backlog.push(message);
            return Ok(());
        }
        let now = self.now;
        match message {
            Message::Digest { from, sent_at, digest: theirs } => {
                let ours = Box::new(digest(&self.nodes[at].board, now));
                self.traffic.bytes += size(&PeerReply::Gossip(ours.clone()));
                self.reply(to, &from, sent_at, Message::DigestReply { sent_at, digest: ours });
                self.handle(to, FleetEvent::DigestReceived(theirs))
            }
            Message::DigestReply { sent_at, digest } => {
                self.handle(to, FleetEvent::DigestAnswered { sent_at, digest })
            }
            Message::Pull { from, sent_at, pull } => {
                let node = &self.nodes[at];
                let pulled =
                    Box::new(answer_pull(&node.board, &node.configuration_history, &pull, now));
                let me = node.board.fleet.own_record();
                self.traffic.bytes += size(&PeerReply::Pulled(pulled.clone()));
                self.reply(to, &from, sent_at, Message::PullReply { from: me, sent_at, pulled });
                Ok(())
            }
            Message::PullReply { from, sent_at, pulled } => {
                self.handle(to, FleetEvent::PullAnswered { from, sent_at, pulled })
            }
            Message::PeerFailed(vm, incarnation) => {
                self.handle(to, FleetEvent::PeerFailed(vm, incarnation))
            }
            Message::PullFailed(vm, incarnation) => {
                self.handle(to, FleetEvent::PullFailed)?;
                self.handle(to, FleetEvent::PeerFailed(vm, incarnation))
            }
            Message::Configuration { sent_at, cfg } => {
                self.handle(to, FleetEvent::PlatformAnswered(sent_at))?;
                self.handle(to, FleetEvent::ConfigurationRead(cfg))
            }
            Message::List { sent_at, vms } => {
                self.handle(to, FleetEvent::PlatformAnswered(sent_at))?;
                self.handle(to, FleetEvent::ListRead(sent_at, vms))
            }
        }
    }

    /// Sends a reply, unless it would arrive after the request's timeout.
    fn reply(&mut self, from: &Address, to: &VmRecord, sent_at: MonoTime, message: Message) {
        let Some(at) = self.node_index(from) else { return };
        let arrives = self.now + self.latency(&self.nodes[at].board.fleet.me.dc, &to.dc);
        if arrives.since(sent_at) < PEER_TIMEOUT {
            self.network.send(arrives, (to.vm.clone(), to.incarnation), message);
        }
    }

    fn handle(&mut self, to: &Address, event: FleetEvent) -> Result<(), String> {
        let Some(at) = self.node_index(to) else { return Ok(()) };
        self.random = next_random(self.random);
        self.traffic.events += 1;
        let (now, random) = (self.now, self.random);
        let node = &mut self.nodes[at];
        let effects = node.controller.handle(&mut node.board, event, now, random);
        for effect in effects {
            self.perform(at, effect)?;
        }
        Ok(())
    }

    fn perform(&mut self, at: usize, effect: FleetEffect) -> Result<(), String> {
        let (node, now) = (&mut self.nodes[at], self.now);
        let from = node.board.fleet.own_record();
        match effect {
            FleetEffect::SetWatching(watching) => node.watching = watching,
            FleetEffect::AdoptConfiguration(cfg) => node.adopt(*cfg)?,
            FleetEffect::SendDigest(to, digest) => {
                self.traffic.bytes += size(&PeerRequest::Gossip(digest.clone()));
                self.send(&from, &to, Message::Digest { from: from.clone(), sent_at: now, digest });
            }
            FleetEffect::Pull(to, pull) => {
                self.traffic.bytes += size(&PeerRequest::Pull(pull.clone()));
                self.send(&from, &to, Message::Pull { from: from.clone(), sent_at: now, pull });
            }
            FleetEffect::MembersChanged | FleetEffect::DcObjectChanged(_) => {}
        }
        Ok(())
    }

    fn send(&mut self, from: &VmRecord, to: &VmRecord, message: Message) {
        self.traffic.messages += 1;
        self.traffic.bytes += HEADERS_BYTES;
        let address = (to.vm.clone(), to.incarnation);
        let failed = match &message {
            Message::Pull { .. } => Message::PullFailed(to.vm.clone(), to.incarnation),
            _ => Message::PeerFailed(to.vm.clone(), to.incarnation),
        };
        let sender = (from.vm.clone(), from.incarnation);
        let is_cut = self.cuts.contains(&(from.dc.clone(), to.dc.clone()));
        let latency = self.latency(&from.dc, &to.dc);
        match self.node_index(&address) {
            _ if is_cut => self.network.send(self.now + PEER_TIMEOUT, sender, failed),
            None => self.network.send(self.now + latency + latency, sender, failed),
            Some(at) if self.nodes[at].frozen => {
                self.network.send(self.now + PEER_TIMEOUT, sender, failed);
                self.network.send(self.now + latency, address, message);
            }
            Some(_) => self.network.send(self.now + latency, address, message),
        }
    }

    fn latency(&self, from: &DcName, to: &DcName) -> DurationUs {
        if from == to { SAME_DC_LATENCY } else { OTHER_DC_LATENCY }
    }

    fn node_index(&self, address: &Address) -> Option<usize> {
        self.index.get(address).copied()
    }

    fn remove(&mut self, vm: &VmName) {
        self.nodes.retain(|node| node.board.fleet.me.vm != *vm);
        self.platform_list.retain(|listed| listed.vm != *vm);
        let at = self.nodes.iter().enumerate();
        self.index = at.map(|(at, node)| (node.address(), at)).collect();
    }

    fn node(&mut self, vm: &VmName) -> Result<&mut Node, String> {
        let node = self.nodes.iter_mut().find(|node| node.board.fleet.me.vm == *vm);
        node.ok_or_else(|| format!("{vm} is not running"))
    }

    fn expect_generation(&self, vms: &[VmName], expected: Generation) -> Result<(), String> {
        for (vm, generation) in self.generations() {
            let is_meant = vms.is_empty() || vms.contains(&vm);
            expect(!is_meant || generation == expected, || {
                format!("{vm} has generation {}, expected {}", generation.0, expected.0)
            })?;
        }
        Ok(())
    }

    fn expect_trust(&mut self, vm: &VmName, expected: bool) -> Result<(), String> {
        let now = self.now;
        let trusts = check_trust(&self.node(vm)?.board, now).is_ok();
        expect(trusts == expected, || {
            format!("{vm} trusts its list of keys: {trusts}, expected {expected}")
        })
    }

    fn expect_live(&mut self, vm: &VmName, expected: &[VmName]) -> Result<(), String> {
        let members = &self.node(vm)?.board.fleet.vms;
        let live = members.iter().filter(|member| member.state == VmState::Live);
        let live: Vec<VmName> = live.map(|member| member.vm.clone()).collect();
        expect(live == expected, || format!("{vm} considers live: {live:?}, expected {expected:?}"))
    }
}

impl Node {
    fn address(&self) -> Address {
        (self.board.fleet.me.vm.clone(), self.board.fleet.me.incarnation)
    }

    fn adopt(&mut self, cfg: Configuration) -> Result<(), String> {
        let before = self.board.catalog.cfg.generation;
        expect(cfg.generation > before, || {
            let vm = &self.board.fleet.me.vm;
            format!("{vm} replaced generation {} by {}", before.0, cfg.generation.0)
        })?;
        self.configuration_history = self.configuration_history.with_next(cfg.clone());
        self.board.adopt(Arc::new(Catalog::new(cfg)));
        self.board.update_placement();
        Ok(())
    }
}

fn expect(holds: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what()) }
}

fn size(message: &impl serde::Serialize) -> u64 {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len() as u64)
}
