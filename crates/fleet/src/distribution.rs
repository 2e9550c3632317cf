//! Brings configuration, list of VMs and the data centre's object to every VM, and keeps the members.
//!
//! Two VMs of a data centre watch the platform. Each VM tells one other what it knows once a second,
//! and a few at once when it learns something new; whoever has less pulls what it lacks. Ages are
//! taken only from answers to this VM's own messages, measured from when it sent them, so that a
//! message that was long on its way makes nothing look younger than it is.

use board::{
    Board,
    fleet::{Age, HeardRumour},
};
use config::Configuration;
use model::prelude::*;
use proto::{
    gossip::{Digest, Pull, Pulled, Rumour},
    platform::{Object, Version, VmRecord},
};

use crate::{
    gossip::{RUMOUR_LIFETIME, digest, next_random, pick},
    members::Membership,
    transfer::unpack,
    watchers::{RESERVE_AFTER, Ranking, Role, WATCHERS},
};

/// How often a VM tells another what it knows.
pub const GOSSIP_INTERVAL: DurationUs = DurationUs::from_ms(1_000);

const PUSH_INTERVAL: DurationUs = DurationUs::from_ms(100);
const PUSHES: u32 = 2;
const PUSHES_IN_DC: usize = 3;
const PULL_PATIENCE: DurationUs = DurationUs::from_ms(1_500);
const RESERVE_WATCHES_FOR: DurationUs = DurationUs::from_ms(30_000);
const OTHER_DC_ONE_IN: u64 = 4;
const SUSPECT_ONE_IN: u64 = 4;

/// What the controller hears.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time passed.
    Tick,
    /// The platform's list was read, by a call that was made at that moment.
    ListRead(MonoTime, Vec<VmRecord>),
    /// The configuration was read from the platform.
    ConfigurationRead(Box<Configuration>),
    /// The data centre's object was read from the platform.
    DcObjectRead(Object),
    /// The platform answered a call that was made at that moment.
    PlatformAnswered(MonoTime),
    /// Another VM told what it knows.
    Told(Box<Digest>),
    /// Another VM answered this VM's digest.
    Answered {
        /// When the digest was sent.
        sent_at: MonoTime,
        /// What the other knows.
        digest: Box<Digest>,
    },
    /// Another VM sent what was asked for.
    Pulled {
        /// Who.
        from: VmRecord,
        /// When it was asked for.
        sent_at: MonoTime,
        /// What it sent.
        pulled: Box<Pulled>,
    },
    /// A VM at an address from the settings told which VMs it knows.
    Introduced(Vec<VmRecord>),
    /// A run of a VM did not answer.
    Failed(VmName, Incarnation),
    /// A run of a VM answered.
    Reached(VmName, Incarnation),
    /// A planned stop has begun.
    Leaving,
    /// All open work of a planned stop is finished.
    Stopping,
}

/// What the controller asks for.
#[derive(Clone, Debug)]
pub enum FleetEffect {
    /// Watch the platform, or no longer.
    Watch(bool),
    /// Tell that VM what this one knows.
    Tell(VmRecord, Box<Digest>),
    /// Ask that VM for what this one lacks.
    Pull(VmRecord, Pull),
    /// Put a configuration in force.
    Adopt(Box<Configuration>),
    /// The members changed.
    MembersChanged,
    /// The data centre's object has a newer version.
    DcObject(Object),
}

/// The controller.
#[derive(Debug)]
pub struct Distribution {
    members: Membership,
    ranking: Ranking,
    watching: bool,
    watches_until: Option<MonoTime>,
    told_at: Option<MonoTime>,
    pushed_at: Option<MonoTime>,
    pushes_left: u32,
    pulling: Option<MonoTime>,
    rumoured: FxHashMap<VmName, MonoTime>,
}

impl Distribution {
    /// A controller that knows only its own VM.
    pub fn new(me: VmRecord) -> Distribution {
        Distribution {
            members: Membership::new(me),
            ranking: Ranking::default(),
            watching: false,
            watches_until: None,
            told_at: None,
            pushed_at: None,
            pushes_left: 0,
            pulling: None,
            rumoured: FxHashMap::default(),
        }
    }

    /// Takes an event and returns what to do. `random` is a number drawn for this call.
    pub fn handle(
        &mut self,
        board: &mut Board,
        event: FleetEvent,
        now: MonoTime,
        random: u64,
    ) -> Vec<FleetEffect> {
        let mut effects = Vec::new();
        let before = board.fleet.vms.clone();
        match event {
            FleetEvent::Tick => self.tick(board, now, random, &mut effects),
            FleetEvent::ListRead(sent_at, vms) => {
                self.members.take_list(board, vms, Age::zero(sent_at));
            }
            FleetEvent::ConfigurationRead(cfg) => self.adopt(board, cfg, &mut effects),
            FleetEvent::DcObjectRead(object) => self.take_object(board, object, &mut effects),
            FleetEvent::PlatformAnswered(sent_at) => {
                freshen(&mut board.fleet.platform, Age::zero(sent_at), now)
            }
            FleetEvent::Told(digest) => self.told(board, &digest, now, &mut effects),
            FleetEvent::Answered { sent_at, digest } => {
                self.told(board, &digest, now, &mut effects);
                self.take_ages(board, &digest, sent_at, now);
                self.pull_list(board, &digest, sent_at, now, &mut effects);
            }
            FleetEvent::Pulled { from, sent_at, pulled } => {
                self.pulled(board, &from, sent_at, *pulled, now, &mut effects)
            }
            FleetEvent::Introduced(vms) => {
                for record in &vms {
                    self.members.hear(board, record);
                }
            }
            FleetEvent::Failed(vm, incarnation) => self.failed(board, vm, incarnation, now),
            FleetEvent::Reached(vm, incarnation) => self.reached(board, &vm, incarnation),
            FleetEvent::Leaving => {
                board.fleet.leaving = true;
                self.pushes_left = PUSHES;
            }
            FleetEvent::Stopping => {
                board.fleet.stopping = true;
                self.members.stop_me(board);
            }
        }
        if !before.is_same(&board.fleet.vms) {
            effects.push(FleetEffect::MembersChanged);
        }
        effects
    }

    fn tick(
        &mut self,
        board: &mut Board,
        now: MonoTime,
        random: u64,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.expire(board, now);
        self.choose_role(board, now, effects);
        let is_due = |at: Option<MonoTime>, interval| at.is_none_or(|at| now.since(at) >= interval);
        if self.pushes_left > 0 && is_due(self.pushed_at, PUSH_INTERVAL) {
            self.pushes_left -= 1;
            self.pushed_at = Some(now);
            self.push(board, now, random, effects);
        }
        if is_due(self.told_at, GOSSIP_INTERVAL) {
            self.told_at = Some(now);
            if let Some(peer) = self.partner(board, random) {
                effects.push(FleetEffect::Tell(peer.clone(), Box::new(digest(board, now))));
            }
        }
    }

    fn expire(&mut self, board: &mut Board, now: MonoTime) {
        board.fleet.rumours.retain(|heard| now.since(heard.at) < RUMOUR_LIFETIME);
        let expired = self.rumoured.extract_if(|_, until| now >= *until);
        for (vm, _) in expired {
            board.fleet.suspects.remove(&vm);
        }
        if self.pulling.is_some_and(|at| now.since(at) >= PULL_PATIENCE) {
            self.pulling = None;
        }
    }

    fn choose_role(&mut self, board: &Board, now: MonoTime, effects: &mut Vec<FleetEffect>) {
        self.ranking.update(board);
        let watch = match self.ranking.role(board) {
            Role::Watcher => true,
            Role::Reserve => self.reserve_watches(board, now),
            Role::Follower => false,
        };
        if watch != self.watching {
            self.watching = watch;
            effects.push(FleetEffect::Watch(watch));
        }
    }

    fn reserve_watches(&mut self, board: &Board, now: MonoTime) -> bool {
        let no_contact = board.fleet.platform.is_none_or(|age| age.now(now) >= RESERVE_AFTER);
        if no_contact {
            self.watches_until = Some(now + RESERVE_WATCHES_FOR);
        }
        self.watches_until.is_some_and(|until| now < until)
    }

    /// Tells a few VMs at once: some of this data centre, one of another.
    fn push(&self, board: &Board, now: MonoTime, random: u64, effects: &mut Vec<FleetEffect>) {
        let (near, far) = reachable(board);
        let digest = digest(board, now);
        let mut random = random;
        let mut targets: Vec<&VmRecord> = pick(&far, random).into_iter().collect();
        for _ in 0..PUSHES_IN_DC {
            random = next_random(random);
            let target = pick(&near, random).filter(|vm| !targets.contains(vm));
            targets.extend(target);
        }
        let tell = |vm: &VmRecord| FleetEffect::Tell(vm.clone(), Box::new(digest.clone()));
        effects.extend(targets.into_iter().map(tell));
    }

    /// The VM to be told next: a watcher where this VM is a reserve, now and then one that did not
    /// answer, else any.
    fn partner<'a>(&'a self, board: &'a Board, random: u64) -> Option<&'a VmRecord> {
        let (near, far) = reachable(board);
        let random = next_random(random);
        if self.ranking.role(board) == Role::Reserve {
            return self.ranking.answering(board).nth(random as usize % WATCHERS);
        }
        let suspects: Vec<&VmRecord> = board
            .fleet
            .vms
            .iter()
            .filter(|vm| board.fleet.suspects.contains_key(&vm.vm))
            .filter(|vm| !self.rumoured.contains_key(&vm.vm))
            .collect();
        let everyone_is_suspect = near.is_empty() && far.is_empty();
        if random % SUSPECT_ONE_IN == 1 || everyone_is_suspect {
            let suspect = pick(&suspects, random);
            if suspect.is_some() {
                return suspect;
            }
        }
        let away = random.is_multiple_of(OTHER_DC_ONE_IN);
        let (first, second) = if away { (far, near) } else { (near, far) };
        pick(&first, random).or_else(|| pick(&second, random))
    }

    fn told(
        &mut self,
        board: &mut Board,
        digest: &Digest,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.reached(board, &digest.from.vm, digest.from.incarnation);
        self.hear(board, &digest.from, now);
        for rumour in &digest.rumours {
            match rumour {
                Rumour::Vm(record) => self.hear(board, record, now),
                Rumour::Suspect { vm, incarnation, age } => {
                    self.hear_suspicion(board, vm, *incarnation, *age, now)
                }
            }
        }
        let newer = digest.generation > board.catalog.cfg.generation;
        let have = board.fleet.dc_object.as_ref().map_or(Version(0), |object| object.version);
        let newer_object = digest.from.dc == board.fleet.me.dc && digest.dc_object > have;
        if newer || newer_object {
            self.pull(board, &digest.from, false, now, effects);
        }
    }

    fn pull(
        &mut self,
        board: &Board,
        from: &VmRecord,
        list: bool,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.pulling.is_some() {
            return;
        }
        self.pulling = Some(now);
        let have = board.fleet.dc_object.as_ref().map_or(Version(0), |object| object.version);
        let pull = Pull {
            have: board.catalog.cfg.generation,
            list,
            dc_object: (from.dc == board.fleet.me.dc).then_some(have),
        };
        effects.push(FleetEffect::Pull(from.clone(), pull));
    }

    fn take_ages(&self, board: &mut Board, digest: &Digest, sent_at: MonoTime, now: MonoTime) {
        let aged = |age: DurationUs| Age { age, at: sent_at };
        let fleet = &mut board.fleet;
        if let Some(age) = digest.platform_age {
            freshen(&mut fleet.platform, aged(age), now);
        }
        let sender = (digest.from.dc.clone(), DurationUs::default());
        for (dc, age) in digest.heard.iter().cloned().chain([sender]) {
            if dc == fleet.me.dc {
                continue;
            }
            let mut known = fleet.heard.get(&dc).copied();
            freshen(&mut known, aged(age), now);
            fleet.heard.extend(known.map(|known| (dc, known)));
        }
    }

    fn pull_list(
        &mut self,
        board: &mut Board,
        digest: &Digest,
        sent_at: MonoTime,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(theirs) = digest.list else {
            return;
        };
        let age = Age { age: theirs.age, at: sent_at };
        match &mut board.fleet.listed {
            Some(ours) if age.now(now) >= ours.read.now(now) => {}
            Some(ours) if ours.hash == theirs.hash => ours.read = age,
            _ => self.pull(board, &digest.from, true, now, effects),
        }
    }

    fn pulled(
        &mut self,
        board: &mut Board,
        from: &VmRecord,
        sent_at: MonoTime,
        pulled: Pulled,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.pulling = None;
        if let Some(transfer) = pulled.configuration {
            match unpack(&board.catalog.cfg, &transfer) {
                Ok(cfg) => self.adopt(board, Box::new(cfg), effects),
                Err(_) => {
                    let pull = Pull { have: Generation(0), list: false, dc_object: None };
                    self.pulling = Some(now);
                    effects.push(FleetEffect::Pull(from.clone(), pull));
                }
            }
        }
        if let Some((vms, age)) = pulled.list {
            let read = Age { age, at: sent_at };
            let known = board.fleet.listed.as_ref().map(|listed| listed.read.now(now));
            if known.is_none_or(|known| read.now(now) < known) {
                self.members.take_list(board, vms, read);
            }
        }
        if let Some(object) = pulled.dc_object.filter(|_| from.dc == board.fleet.me.dc) {
            self.take_object(board, object, effects);
        }
    }

    /// Asks for a configuration to be put in force, unless one as new is.
    fn adopt(&mut self, board: &Board, cfg: Box<Configuration>, effects: &mut Vec<FleetEffect>) {
        if cfg.generation > board.catalog.cfg.generation {
            self.pushes_left = PUSHES;
            effects.push(FleetEffect::Adopt(cfg));
        }
    }

    fn take_object(&mut self, board: &mut Board, object: Object, effects: &mut Vec<FleetEffect>) {
        let known = board.fleet.dc_object.as_ref().map_or(Version(0), |known| known.version);
        if object.version > known {
            self.pushes_left = PUSHES;
            board.fleet.dc_object = Some(object.clone().into());
            effects.push(FleetEffect::DcObject(object));
        }
    }

    fn hear(&mut self, board: &mut Board, record: &VmRecord, now: MonoTime) {
        if self.members.hear(board, record) {
            self.spread(board, Rumour::Vm(record.clone()), now);
        }
    }

    fn hear_suspicion(
        &mut self,
        board: &mut Board,
        vm: &VmName,
        incarnation: Incarnation,
        age: DurationUs,
        now: MonoTime,
    ) {
        let is_member =
            board.fleet.vm(vm.as_str()).is_some_and(|known| known.incarnation == incarnation);
        let about_me = *vm == board.fleet.me.vm;
        let is_known = board.fleet.suspects.contains_key(vm);
        if !is_member || about_me || is_known || age >= RUMOUR_LIFETIME {
            return;
        }
        board.fleet.suspects.insert(vm.clone(), now);
        self.rumoured.insert(vm.clone(), now + RUMOUR_LIFETIME - age);
        self.spread(board, Rumour::Suspect { vm: vm.clone(), incarnation, age }, now);
    }

    fn failed(&mut self, board: &mut Board, vm: VmName, incarnation: Incarnation, now: MonoTime) {
        let member = board.fleet.vm(vm.as_str());
        if member.is_none_or(|known| known.incarnation != incarnation) {
            return;
        }
        self.rumoured.remove(&vm);
        if board.fleet.suspects.insert(vm.clone(), now).is_none() {
            let age = DurationUs::default();
            self.spread(board, Rumour::Suspect { vm, incarnation, age }, now);
        }
    }

    fn reached(&mut self, board: &mut Board, vm: &VmName, incarnation: Incarnation) {
        let member = board.fleet.vm(vm.as_str());
        if member.is_some_and(|known| known.incarnation == incarnation) {
            board.fleet.suspects.remove(vm);
            self.rumoured.remove(vm);
        }
    }

    fn spread(&mut self, board: &mut Board, rumour: Rumour, now: MonoTime) {
        self.pushes_left = PUSHES;
        board.fleet.rumours.push(HeardRumour { rumour, at: now });
    }
}

/// Replaces a known age by a lower one.
fn freshen(known: &mut Option<Age>, heard: Age, now: MonoTime) {
    if known.is_none_or(|known| heard.now(now) < known.now(now)) {
        *known = Some(heard);
    }
}

/// The other VMs that are thought to answer: those of this data centre, and those of others.
fn reachable(board: &Board) -> (Vec<&VmRecord>, Vec<&VmRecord>) {
    let fleet = &board.fleet;
    let answers = |vm: &&VmRecord| !fleet.suspects.contains_key(&vm.vm);
    let others = fleet.vms.iter().filter(|vm| vm.vm != fleet.me.vm).filter(answers);
    others.partition(|vm| vm.dc == fleet.me.dc)
}
