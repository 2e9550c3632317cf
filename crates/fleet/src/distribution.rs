//! Distributes the configuration, the list of VMs and the data centre's object, which records the
//! owners of portions of rates, to every VM by gossip. Keeps track of which VMs are members and which
//! don't answer.
//!
//! Two VMs of each data centre watch the platform. Every VM sends a digest of what it knows to another
//! VM once a second, and to a few VMs at once when it learns something new; a VM that has older data
//! pulls the newer data. Ages are taken only from answers to this VM's own messages, and counted from
//! when it sent them, so that a delayed message makes nothing look younger than it is.

use board::{
    Board,
    fleet::{Age, HeardRumour},
};
use config::Configuration;
use model::prelude::*;
use proto::{
    gossip::{Digest, Pull, PullReply, Rumour},
    platform::{Object, Version, VmRecord},
};

use crate::{
    gossip::{RUMOUR_LIFETIME, digest, next_random, pick},
    members::Membership,
    transfer::apply_transfer,
    watchers::{RESERVE_WATCHES_AFTER, WATCHERS, WatchRole, WatcherRanking},
};

/// How often a VM sends its digest to another VM.
pub const GOSSIP_INTERVAL: DurationUs = DurationUs::from_ms(1_000);

/// Time between the rounds in which something new is pushed.
const PUSH_INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Rounds in which something new is pushed.
const PUSH_ROUNDS: u32 = 2;
/// Most VMs of this data centre that a push goes to, besides one of another data centre.
const PUSH_TARGETS_IN_DC: usize = 3;
/// Time after which another pull may be sent although the end of the last one was not reported. Longer than a
/// reply may take to arrive, so that a large document is not requested twice at a time.
const PULL_TIMEOUT: DurationUs = DurationUs::from_ms(35_000);
/// How long a reserve goes on watching the platform once it has begun.
const RESERVE_WATCH_DURATION: DurationUs = DurationUs::from_ms(30_000);
/// One in this many digests goes to another data centre.
const OTHER_DC_ONE_IN: u64 = 4;
/// One in this many digests goes to a suspect VM, to learn whether it answers again.
const SUSPECT_ONE_IN: u64 = 4;

/// Input of the controller.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Sent periodically.
    Tick,
    /// The platform's list of VMs was read, by a call made at this time.
    ListRead(MonoTime, Vec<VmRecord>),
    /// The configuration was read from the platform.
    ConfigurationRead(Box<Configuration>),
    /// The data centre's object was read from the platform.
    DcObjectRead(Object),
    /// The platform answered a call made at this time.
    PlatformAnswered(MonoTime),
    /// Another VM sent its digest.
    DigestReceived(Box<Digest>),
    /// Another VM answered this VM's digest with its own.
    DigestAnswered {
        /// When the digest was sent.
        sent_at: MonoTime,
        /// The other VM's digest.
        digest: Box<Digest>,
    },
    /// Another VM answered a pull.
    PullAnswered {
        /// The VM that answered.
        from: VmRecord,
        /// When the pull was sent.
        sent_at: MonoTime,
        /// The data that it sent.
        pulled: Box<PullReply>,
    },
    /// A pull ended without a usable answer.
    PullFailed,
    /// A VM at a seed address, which the settings name, sent the VMs that it knows.
    Introduced(Vec<VmRecord>),
    /// A VM with this incarnation did not answer.
    PeerFailed(VmName, Incarnation),
    /// A VM with this incarnation answered.
    PeerReached(VmName, Incarnation),
    /// A planned stop of this VM has begun.
    Leaving,
    /// This VM has finished its open work before a planned stop.
    Stopping,
}

/// Output of the controller: what its caller has to do.
#[derive(Clone, Debug)]
pub enum FleetEffect {
    /// Begin to watch the platform, or stop.
    SetWatching(bool),
    /// Send the digest to this VM.
    SendDigest(VmRecord, Box<Digest>),
    /// Send the pull to this VM.
    Pull(VmRecord, Pull),
    /// Make this the current configuration.
    AdoptConfiguration(Box<Configuration>),
    /// The list of members on the board has changed.
    MembersChanged,
    /// The data centre's object on the board has been replaced by a newer version.
    DcObjectChanged(Object),
}

/// Decides what this VM exchanges with the platform and with other VMs, and keeps the fleet's state on
/// the board.
#[derive(Debug)]
pub struct FleetController {
    members: Membership,
    ranking: WatcherRanking,
    /// Whether this VM watches the platform.
    watching: bool,
    /// Until when this VM watches the platform as a reserve.
    watches_until: Option<MonoTime>,
    last_gossip_at: Option<MonoTime>,
    last_push_at: Option<MonoTime>,
    push_rounds_left: u32,
    /// When the pull was sent that has not been answered yet.
    pull_sent_at: Option<MonoTime>,
    /// VMs that only other VMs suspect, and until when this VM believes them.
    rumoured_suspects: FxHashMap<VmName, MonoTime>,
}

impl FleetController {
    /// A controller that knows only its own VM.
    pub fn new(me: VmRecord) -> FleetController {
        FleetController {
            members: Membership::new(me),
            ranking: WatcherRanking::default(),
            watching: false,
            watches_until: None,
            last_gossip_at: None,
            last_push_at: None,
            push_rounds_left: 0,
            pull_sent_at: None,
            rumoured_suspects: FxHashMap::default(),
        }
    }

    /// Handles an event and returns what the caller has to do. `random` is a random number drawn for
    /// this call.
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
                self.members.apply_list(board, vms, Age::zero(sent_at));
            }
            FleetEvent::ConfigurationRead(cfg) => self.adopt(board, cfg, &mut effects),
            FleetEvent::DcObjectRead(object) => self.adopt_object(board, object, &mut effects),
            FleetEvent::PlatformAnswered(sent_at) => {
                keep_younger(&mut board.fleet.platform_contact, Age::zero(sent_at), now)
            }
            FleetEvent::DigestReceived(digest) => {
                self.handle_digest(board, &digest, now, &mut effects)
            }
            FleetEvent::DigestAnswered { sent_at, digest } => {
                self.handle_digest(board, &digest, now, &mut effects);
                self.update_ages(board, &digest, sent_at, now);
                self.pull_list(board, &digest, sent_at, now, &mut effects);
            }
            FleetEvent::PullAnswered { from, sent_at, pulled } => {
                self.handle_pulled(board, &from, sent_at, *pulled, now, &mut effects)
            }
            FleetEvent::PullFailed => self.pull_sent_at = None,
            FleetEvent::Introduced(vms) => {
                for record in &vms {
                    self.members.apply_record(board, record);
                }
            }
            FleetEvent::PeerFailed(vm, incarnation) => {
                self.handle_failure(board, vm, incarnation, now)
            }
            FleetEvent::PeerReached(vm, incarnation) => {
                self.clear_suspicion(board, &vm, incarnation)
            }
            FleetEvent::Leaving => {
                board.fleet.leaving = true;
                self.push_rounds_left = PUSH_ROUNDS;
            }
            FleetEvent::Stopping => {
                board.fleet.stopping = true;
                self.members.mark_me_leaving(board);
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
        if self.push_rounds_left > 0 && is_due(self.last_push_at, PUSH_INTERVAL) {
            self.push_rounds_left -= 1;
            self.last_push_at = Some(now);
            self.push(board, now, random, effects);
        }
        if is_due(self.last_gossip_at, GOSSIP_INTERVAL) {
            self.last_gossip_at = Some(now);
            if let Some(peer) = self.gossip_target(board, random) {
                effects.push(FleetEffect::SendDigest(peer.clone(), Box::new(digest(board, now))));
            }
        }
    }

    /// Forgets old rumours, rumoured suspicions that were not confirmed, and an unanswered pull.
    fn expire(&mut self, board: &mut Board, now: MonoTime) {
        board.fleet.rumours.retain(|heard| now.since(heard.at) < RUMOUR_LIFETIME);
        let expired = self.rumoured_suspects.extract_if(|_, until| now >= *until);
        for (vm, _) in expired {
            board.fleet.suspects.remove(&vm);
        }
        if self.pull_sent_at.is_some_and(|at| now.since(at) >= PULL_TIMEOUT) {
            self.pull_sent_at = None;
        }
    }

    fn choose_role(&mut self, board: &Board, now: MonoTime, effects: &mut Vec<FleetEffect>) {
        self.ranking.update(board);
        let watch = match self.ranking.role(board) {
            WatchRole::Watcher => true,
            WatchRole::Reserve => self.reserve_should_watch(board, now),
            WatchRole::Follower => false,
        };
        if watch != self.watching {
            self.watching = watch;
            effects.push(FleetEffect::SetWatching(watch));
        }
    }

    /// Whether this VM, as a reserve, watches the platform: for [`RESERVE_WATCH_DURATION`] from the
    /// last time at which no VM seemed to be in contact with it.
    fn reserve_should_watch(&mut self, board: &Board, now: MonoTime) -> bool {
        let no_contact =
            board.fleet.platform_contact.is_none_or(|age| age.now(now) >= RESERVE_WATCHES_AFTER);
        if no_contact {
            self.watches_until = Some(now + RESERVE_WATCH_DURATION);
        }
        self.watches_until.is_some_and(|until| now < until)
    }

    /// Sends the digest to a few VMs: some of this data centre, and one of another.
    fn push(&self, board: &Board, now: MonoTime, random: u64, effects: &mut Vec<FleetEffect>) {
        let (same_dc, other_dc) = reachable_peers(board);
        let digest = digest(board, now);
        let mut random = random;
        let mut targets: Vec<&VmRecord> = pick(&other_dc, random).into_iter().collect();
        for _ in 0..PUSH_TARGETS_IN_DC {
            random = next_random(random);
            let target = pick(&same_dc, random).filter(|vm| !targets.contains(vm));
            targets.extend(target);
        }
        let send = |vm: &VmRecord| FleetEffect::SendDigest(vm.clone(), Box::new(digest.clone()));
        effects.extend(targets.into_iter().map(send));
    }

    /// The VM to send the next digest to: a watcher if this VM is a reserve, now and then a suspect VM,
    /// otherwise any that answers, now and then of another data centre.
    fn gossip_target<'a>(&'a self, board: &'a Board, random: u64) -> Option<&'a VmRecord> {
        let (same_dc, other_dc) = reachable_peers(board);
        let random = next_random(random);
        if self.ranking.role(board) == WatchRole::Reserve {
            return self.ranking.answering(board).nth(random as usize % WATCHERS);
        }
        let suspects: Vec<&VmRecord> = board
            .fleet
            .vms
            .iter()
            .filter(|vm| board.fleet.suspects.contains_key(&vm.vm))
            .filter(|vm| !self.rumoured_suspects.contains_key(&vm.vm))
            .collect();
        let everyone_is_suspect = same_dc.is_empty() && other_dc.is_empty();
        if random % SUSPECT_ONE_IN == 1 || everyone_is_suspect {
            let suspect = pick(&suspects, random);
            if suspect.is_some() {
                return suspect;
            }
        }
        let to_other_dc = random.is_multiple_of(OTHER_DC_ONE_IN);
        let (first, second) = if to_other_dc { (other_dc, same_dc) } else { (same_dc, other_dc) };
        pick(&first, random).or_else(|| pick(&second, random))
    }

    fn handle_digest(
        &mut self,
        board: &mut Board,
        digest: &Digest,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.clear_suspicion(board, &digest.from.vm, digest.from.incarnation);
        self.hear_record(board, &digest.from, now);
        for rumour in &digest.rumours {
            match rumour {
                Rumour::Vm(record) => self.hear_record(board, record, now),
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

    /// Asks another VM for newer data, unless a pull is pending. `list` asks for the list of VMs too.
    fn pull(
        &mut self,
        board: &Board,
        from: &VmRecord,
        list: bool,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.pull_sent_at.is_some() {
            return;
        }
        self.pull_sent_at = Some(now);
        let have = board.fleet.dc_object.as_ref().map_or(Version(0), |object| object.version);
        let pull = Pull {
            have: board.catalog.cfg.generation,
            list,
            dc_object: (from.dc == board.fleet.me.dc).then_some(have),
        };
        effects.push(FleetEffect::Pull(from.clone(), pull));
    }

    /// Takes over ages from the answer to a digest sent at `sent_at`.
    fn update_ages(&self, board: &mut Board, digest: &Digest, sent_at: MonoTime, now: MonoTime) {
        let aged = |age: DurationUs| Age { age, at: sent_at };
        let fleet = &mut board.fleet;
        if let Some(age) = digest.platform_age {
            keep_younger(&mut fleet.platform_contact, aged(age), now);
        }
        let sender = (digest.from.dc.clone(), DurationUs::default());
        for (dc, age) in digest.heard.iter().cloned().chain([sender]) {
            if dc == fleet.me.dc {
                continue;
            }
            let mut known = fleet.dc_contacts.get(&dc).copied();
            keep_younger(&mut known, aged(age), now);
            fleet.dc_contacts.extend(known.map(|known| (dc, known)));
        }
    }

    /// Pulls the list of VMs if the answer to a digest shows that it was read more recently.
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

    /// Takes over what is newer. Pulls the whole configuration if the changes can't be applied.
    fn handle_pulled(
        &mut self,
        board: &mut Board,
        from: &VmRecord,
        sent_at: MonoTime,
        pulled: PullReply,
        now: MonoTime,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.pull_sent_at = None;
        if let Some(transfer) = pulled.configuration {
            match apply_transfer(&board.catalog.cfg, &transfer) {
                Ok(cfg) => self.adopt(board, Box::new(cfg), effects),
                Err(_) => {
                    let pull = Pull { have: Generation(0), list: false, dc_object: None };
                    self.pull_sent_at = Some(now);
                    effects.push(FleetEffect::Pull(from.clone(), pull));
                }
            }
        }
        if let Some((vms, age)) = pulled.list {
            let read = Age { age, at: sent_at };
            let known = board.fleet.listed.as_ref().map(|listed| listed.read.now(now));
            if known.is_none_or(|known| read.now(now) < known) {
                self.members.apply_list(board, vms, read);
            }
        }
        if let Some(object) = pulled.dc_object.filter(|_| from.dc == board.fleet.me.dc) {
            self.adopt_object(board, object, effects);
        }
    }

    /// Asks the caller to adopt a configuration if it is newer than the current one.
    fn adopt(&mut self, board: &Board, cfg: Box<Configuration>, effects: &mut Vec<FleetEffect>) {
        if cfg.generation > board.catalog.cfg.generation {
            self.push_rounds_left = PUSH_ROUNDS;
            effects.push(FleetEffect::AdoptConfiguration(cfg));
        }
    }

    fn adopt_object(&mut self, board: &mut Board, object: Object, effects: &mut Vec<FleetEffect>) {
        let known = board.fleet.dc_object.as_ref().map_or(Version(0), |known| known.version);
        if object.version > known {
            self.push_rounds_left = PUSH_ROUNDS;
            board.fleet.dc_object = Some(object.clone().into());
            effects.push(FleetEffect::DcObjectChanged(object));
        }
    }

    fn hear_record(&mut self, board: &mut Board, record: &VmRecord, now: MonoTime) {
        if self.members.apply_record(board, record) {
            self.spread_rumour(board, Rumour::Vm(record.clone()), now);
        }
    }

    /// Suspects a VM on the word of another VM.
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
        self.rumoured_suspects.insert(vm.clone(), now + RUMOUR_LIFETIME - age);
        self.spread_rumour(board, Rumour::Suspect { vm: vm.clone(), incarnation, age }, now);
    }

    /// Suspects a VM that did not answer this VM.
    fn handle_failure(
        &mut self,
        board: &mut Board,
        vm: VmName,
        incarnation: Incarnation,
        now: MonoTime,
    ) {
        let member = board.fleet.vm(vm.as_str());
        if member.is_none_or(|known| known.incarnation != incarnation) {
            return;
        }
        self.rumoured_suspects.remove(&vm);
        if board.fleet.suspects.insert(vm.clone(), now).is_none() {
            let age = DurationUs::default();
            self.spread_rumour(board, Rumour::Suspect { vm, incarnation, age }, now);
        }
    }

    /// Clears the suspicion against a VM that has answered.
    fn clear_suspicion(&mut self, board: &mut Board, vm: &VmName, incarnation: Incarnation) {
        let member = board.fleet.vm(vm.as_str());
        if member.is_some_and(|known| known.incarnation == incarnation) {
            board.fleet.suspects.remove(vm);
            self.rumoured_suspects.remove(vm);
        }
    }

    /// Adds a rumour to the next digests, and pushes them.
    fn spread_rumour(&mut self, board: &mut Board, rumour: Rumour, now: MonoTime) {
        self.push_rounds_left = PUSH_ROUNDS;
        board.fleet.rumours.push(HeardRumour { rumour, at: now });
    }
}

/// Replaces a known age if the one heard is lower.
fn keep_younger(known: &mut Option<Age>, heard: Age, now: MonoTime) {
    if known.is_none_or(|known| heard.now(now) < known.now(now)) {
        *known = Some(heard);
    }
}

/// The other VMs that are not suspect: those of this data centre, and those of other data centres.
fn reachable_peers(board: &Board) -> (Vec<&VmRecord>, Vec<&VmRecord>) {
    let fleet = &board.fleet;
    let answers = |vm: &&VmRecord| !fleet.suspects.contains_key(&vm.vm);
    let others = fleet.vms.iter().filter(|vm| vm.vm != fleet.me.vm).filter(answers);
    others.partition(|vm| vm.dc == fleet.me.dc)
}
