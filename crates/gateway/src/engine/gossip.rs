//! What VMs tell each other regularly, and what is learned from it.

use std::{cmp::Reverse, net::SocketAddr};

use model::prelude::*;

use super::{Engine, ServiceState, Suspension, suspensions::UNOWNED_RUN};
use crate::{
    effect::Effect,
    peers::{
        AgedPosition, Demand, HEARTBEAT_PERIOD, Heartbeat, HeartbeatTiming, LEASE_DURATION,
        PeerBody, PeerMessage, ServiceReport, SuspensionReport,
    },
};

/// How often a newer state is fetched from peers.
const FETCH_INTERVAL: DurationUs = DurationUs::from_ms(200);
/// One heartbeat in so many says who leads each service, for VMs that have just started.
const PRIMARIES_EVERY: u64 = 8;
/// Services that a heartbeat tells of at most, so that it stays below a kilobyte.
const NOTES_MAX: usize = 16;
/// Demand that is said to a home in another data centre, in operations per second: a VM is handed out
/// parts of a rate from twice that on.
const MIN_REPORTED_PER_S: f32 = 1.0;
/// A leader that is known for less than this is said in every heartbeat.
const NEW_PRIMARY_PERIOD: DurationUs = DurationUs::from_ms(2_000);

/// What of a heartbeat's notes goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    None,
    News,
    /// The sender has promised to tell of it: whoever hears a heartbeat may rely on its lease.
    Promise,
}

impl Engine {
    /// A peer said something.
    pub fn peer_message(&mut self, now: MonoTime, message: PeerMessage) {
        self.now = now;
        let PeerMessage { from, incarnation, body } = message;
        match body {
            PeerBody::Heartbeat(heartbeat) => self.handle_heartbeat(from, incarnation, heartbeat),
            PeerBody::Short { database } => self.release_idle_connection(&database),
            PeerBody::Borrow { workspace, tokens } => self.lend_tokens(&from, workspace, tokens),
            PeerBody::Lend { workspace, tokens, all } => {
                self.rates.receive_loan(now, &workspace, tokens, all);
            }
            PeerBody::Stop { service, term, planned } => {
                self.suspend_primary(&service, term, planned, &from, incarnation)
            }
            PeerBody::Stopped { service, term } => {
                self.record_confirmation(&service, term, from);
                self.advance_failovers();
            }
            PeerBody::Decided { service, term, primary } => {
                self.handle_decision(&service, term, primary)
            }
        }
        self.settle_unconfirmed();
        self.place_waiting();
    }

    fn handle_heartbeat(&mut self, from: VmName, incarnation: Incarnation, heartbeat: Heartbeat) {
        let now = self.now;
        let Heartbeat { stamps, witness_step, .. } = heartbeat;
        let heard = self.fleet.record_timestamps(now, &from, incarnation, stamps, witness_step);
        let Some(HeartbeatTiming { is_newer: true, sent_after: said_at }) = heard else { return };
        for note in &heartbeat.services {
            self.merge_note(&from, note, said_at);
        }
        if let Some(said_at) = said_at {
            self.rates.accept_grants(now, said_at, &heartbeat.grants);
        }
        let wants_notes = heartbeat.wants_notes;
        let newer = heartbeat.generation > self.catalog.generation
            || heartbeat.registry > self.registry_version
            || heartbeat.members > self.fleet.version();
        self.fleet.record_heartbeat(&from, said_at, heartbeat);
        if self.fleet.self_is_witness() && !self.fleet.is_witness(&from) {
            let services = self.service_notes(wants_notes);
            self.send_heartbeat(&from, services, &[], false);
        }
        let is_due = newer && now.since(self.last_fetch_at) >= FETCH_INTERVAL;
        if let Some(address) = self.fleet.address_of(&from).filter(|_| is_due) {
            self.last_fetch_at = now;
            self.effects.push(Effect::FetchFromPeer(address));
        }
    }

    /// Takes what a peer knows of a service.
    fn merge_note(&mut self, from: &VmName, note: &ServiceReport, said_at: Option<MonoTime>) {
        let now = self.now;
        let service =
            self.services.entry(note.service.clone()).or_insert_with(|| ServiceState::new(now));
        if note.term > service.term {
            self.begin_term(&note.service, note.term, note.primary.clone(), "a peer said so");
        }
        let Some(service) = self.services.get_mut(&note.service) else { return };
        if note.term == service.term && service.primary.is_none() && note.primary.is_some() {
            service.primary = note.primary.clone();
        }
        if let (Some(AgedPosition { position, age }), Some(said_at)) = (note.position, said_at)
            && position.term == service.term
            && said_at.0 > age.0
        {
            service.freshness.observe(said_at - age, position);
        }
        let Some(SuspensionReport { term, by, run }) = note.stopped_for.clone() else { return };
        let is_own = by == self.id.vm && run == self.id.incarnation;
        let given_up = !self.failovers.iter().any(|a| a.service == note.service && a.term == term);
        if is_own && given_up && term > service.term {
            // The sender has missed that this VM gave up.
            let (service, primary) = (note.service.clone(), None);
            return self.send_to_vm(from, PeerBody::Decided { service, term, primary });
        }
        match &mut service.suspension {
            // Whoever prepares it is at it still.
            Some(suspension) if suspension.term == term && by == *from && run != UNOWNED_RUN => {
                suspension.since = now;
            }
            Some(suspension) if suspension.term >= term => {}
            _ if term > service.term => {
                service.suspension =
                    Some(Suspension { term, by, run, since: now, confirmed: true });
            }
            _ => {}
        }
    }

    /// Says what this VM knows: to the witnesses of its data centre, and to others that have to know.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        self.next_heartbeat_at = now + HEARTBEAT_PERIOD;
        self.heartbeats += 1;
        let nearest = self.fleet.nearest_witness(now, |dc| self.distance(dc)).cloned();
        let demands = self.rates.demands(now);
        self.grant_to_self(&demands);
        let behind = self.has_missed_term();
        let (all, news) = (self.service_notes(true), self.service_notes(false));
        let am_witness = self.fleet.self_is_witness();
        // What this VM sees of a primary that fails concerns the one that may replace it.
        let has_news = self.services.values().any(|service| self.is_failing(service));
        let confidants = self.fleet.heartbeat_targets(now);
        let witnesses = self.fleet.witnesses().vms.iter().filter(|vm| **vm != self.id.vm);
        let witnesses: Vec<VmName> = witnesses.cloned().collect();
        for vm in witnesses {
            let asks_rates = demands.iter().any(|demand| {
                demand.per_s >= MIN_REPORTED_PER_S
                    && self.fleet.home_of(now, &demand.workspace) == vm
            });
            if !confidants.contains(&vm) && !asks_rates && !has_news {
                continue;
            }
            let wants_notes = nearest.as_ref() == Some(&vm) || behind;
            let services = if am_witness || wants_notes { &all } else { &news };
            self.send_heartbeat(&vm, services.clone(), &demands, wants_notes);
        }
    }

    /// Whether this VM gets no answer of the service's primary.
    fn is_failing(&self, service: &ServiceState) -> bool {
        let primary = service.primary.as_ref().and_then(|name| self.databases.get(name));
        primary.is_some_and(|primary| primary.failing_since.is_some())
    }

    fn send_heartbeat(
        &mut self,
        to: &VmName,
        services: Vec<ServiceReport>,
        demands: &[Demand],
        wants_notes: bool,
    ) {
        let now = self.now;
        let Some(address) = self.fleet.address_of(to) else { return };
        let mut stamps = self.fleet.timestamps_for(now, to);
        // A run that has just begun may have promised something in the run before; without an echo
        // what it says gives no lease.
        if !self.intents_known && now.since(self.intents_requested_at) < LEASE_DURATION {
            stamps.echo = None;
        }
        let grants = self.grants_for(to);
        let demands = demands
            .iter()
            .filter(|demand| self.fleet.home_of(now, &demand.workspace) == *to)
            .cloned()
            .collect();
        let lease_left = self.fleet.own_lease_until(now).map(|until| until.since(now));
        let may_lend = self.fleet.self_is_witness() && self.has_lease();
        let heartbeat = Heartbeat {
            lease_left: lease_left.filter(|_| may_lend),
            live_witnesses: self.fleet.live_witnesses(now),
            spare: self.fleet.spare_vm(now).cloned(),
            stamps,
            generation: self.catalog.generation,
            registry: self.registry_version,
            services,
            demands,
            grants,
            terms_total: self.terms_total(),
            members: self.fleet.version(),
            witness_step: self.fleet.witnesses().step,
            wants_notes,
            reaches_store: self.reaches_store(),
            stopping: self.stopping_since.is_some(),
        };
        self.send_to_peer(address, PeerBody::Heartbeat(heartbeat));
    }

    /// What this VM knows of the services, as far as it fits: what matters most goes first, the rest,
    /// if wanted, takes turns.
    fn service_notes(&self, all: bool) -> Vec<ServiceReport> {
        let now = self.now;
        let say_leaders = self.heartbeats.is_multiple_of(PRIMARIES_EVERY);
        let mut notes: Vec<(Urgency, ServiceReport)> = Vec::new();
        for (name, service) in &self.services {
            let mut note = self.service_note(name, service);
            let is_news = now.since(service.term_since) < NEW_PRIMARY_PERIOD;
            note.primary = note.primary.filter(|_| say_leaders || is_news);
            let urgency = match (&note.stopped_for, is_news || note.failing.is_some()) {
                (Some(_), _) => Urgency::Promise,
                (None, true) => Urgency::News,
                (None, false) => Urgency::None,
            };
            notes.push((urgency, note));
        }
        notes.retain(|(urgency, _)| all || *urgency > Urgency::None);
        if notes.len() > NOTES_MAX {
            let turn = self.heartbeats as usize * NOTES_MAX % notes.len();
            notes.rotate_left(turn);
            notes.sort_by_key(|(urgency, _)| Reverse(*urgency));
            let promises = notes.iter().filter(|(urgency, _)| *urgency == Urgency::Promise).count();
            notes.truncate(NOTES_MAX.max(promises));
        }
        notes.into_iter().map(|(_, note)| note).collect()
    }

    pub(super) fn service_note(&self, name: &ServiceName, service: &ServiceState) -> ServiceReport {
        let now = self.now;
        let primary = service.primary.as_ref().and_then(|name| self.databases.get(name));
        let latest = service.freshness.latest();
        ServiceReport {
            service: name.clone(),
            term: service.term,
            primary: service.primary.clone(),
            stopped_for: service.suspension.as_ref().map(|suspension| SuspensionReport {
                term: suspension.term,
                by: suspension.by.clone(),
                run: suspension.run,
            }),
            failing: primary.and_then(|p| p.failing_since).map(|since| now.since(since)),
            answered: primary.and_then(|p| p.last_heard).map(|at| now.since(at)),
            position: latest
                .map(|bound| AgedPosition { position: bound.position, age: now.since(bound.at) }),
        }
    }

    /// Says something to a VM, if the list has it.
    pub(super) fn send_to_vm(&mut self, vm: &VmName, body: PeerBody) {
        if let Some(address) = self.fleet.address_of(vm) {
            self.send_to_peer(address, body);
        }
    }

    pub(super) fn send_to_peer(&mut self, address: SocketAddr, body: PeerBody) {
        let from = self.id.vm.clone();
        let incarnation = self.id.incarnation;
        self.effects.push(Effect::ToPeer(address, PeerMessage { from, incarnation, body }));
    }

    pub(super) fn broadcast(&mut self, body: PeerBody) {
        let addresses: Vec<_> = self.fleet.members().map(|(_, member)| member.address).collect();
        for address in addresses {
            self.send_to_peer(address, body.clone());
        }
    }
}
