//! Messages between VMs: sending heartbeats, and handling what peers report of services, databases and
//! rates.

use std::{cmp::Reverse, net::SocketAddr};

use model::prelude::*;

use super::{
    Engine, ServiceState,
    suspensions::{Preparer, Suspension, UNOWNED_RUN},
};
use crate::{
    effect::Effect,
    peers::{
        AgedPosition, HEARTBEAT_PERIOD, Heartbeat, HeartbeatTiming, PeerBody, PeerMessage,
        ServiceReport, SuspensionReport,
    },
    rates::Demand,
    witnesses::LEASE_DURATION,
};

/// Time between two heartbeats of a VM that has just started and waits for its first lease: callers wait, too.
const FIRST_HEARTBEAT_PERIOD: DurationUs = DurationUs::from_ms(60);
/// Shortest time between two fetches of a newer configuration or list from a peer.
const FETCH_INTERVAL: DurationUs = DurationUs::from_ms(200);
/// One heartbeat in this many names the primary of every service, for VMs that have just started.
const PRIMARIES_EVERY: u64 = 8;
/// Most services that a heartbeat reports on, so that it stays below a kilobyte.
const REPORTS_MAX: usize = 16;
/// Demand from which a VM sends heartbeats to the home VM of a workspace's rate even if it sends that VM
/// no others, in operations per second. Half of the demand from which a VM gets a grant.
const DISTANT_HOME_MIN_PER_S: f32 = 1.0;
/// How long every heartbeat names a primary after its term became known.
const NEW_PRIMARY_PERIOD: DurationUs = DurationUs::from_ms(2_000);

/// Order in which reports on services are put into a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Nothing new.
    Routine,
    /// A term began recently, or the primary does not answer.
    News,
    /// The sender has suspended the primary. Such a report must not be left out: whoever takes a lease
    /// from the heartbeat relies on hearing of suspensions.
    Suspension,
}

impl Engine {
    /// Handles a message of a peer, which came from the address `source`.
    pub fn peer_message(&mut self, now: MonoTime, source: SocketAddr, message: PeerMessage) {
        self.now = now;
        if self.fleet.version() == 0 && !self.reaches_store() {
            // Without a list, no sender is known and no heartbeat counts. This one has the address of this
            // VM from a list that names its earlier run.
            self.fetch_from(source);
        }
        let PeerMessage { from, incarnation, body } = message;
        match body {
            PeerBody::Heartbeat(heartbeat) => self.handle_heartbeat(from, incarnation, heartbeat),
            PeerBody::Short { database } => self.release_idle_connection(&database),
            PeerBody::Borrow { workspace, tokens, by_class } => {
                // Statements of this VM don't wait for what another VM borrows.
                return self.handle_borrow(&from, workspace, tokens, by_class);
            }
            PeerBody::BorrowFor { vm, workspace, tokens, by_class } => {
                return self.lend_tokens(&vm, workspace, tokens, &by_class);
            }
            PeerBody::Lend { workspace, tokens, all } => {
                self.rates.receive_loan(now, &workspace, tokens, all);
            }
            PeerBody::HandOver { rates } => {
                return rates.into_iter().for_each(|rate| self.rates.receive_rate(now, rate));
            }
            PeerBody::Stop { service, term, planned } => {
                self.suspend_primary(&service, term, planned, &from, incarnation)
            }
            PeerBody::Stopped { service, term } => {
                self.record_confirmation(&service, term, from);
                self.advance_failovers();
            }
            PeerBody::Decided { service, term, primary } => {
                self.handle_decision(&service, term, primary, &from)
            }
            PeerBody::Ended { service, term } => self.end_term(&service, term),
        }
        self.settle_unconfirmed();
        self.place_waiting();
    }

    fn handle_heartbeat(&mut self, from: VmName, incarnation: Incarnation, heartbeat: Heartbeat) {
        let now = self.now;
        let Heartbeat { stamps, witness_step, .. } = heartbeat;
        let timing = self.fleet.record_timestamps(now, &from, incarnation, stamps, witness_step);
        let Some(HeartbeatTiming { is_newer: true, sent_after }) = timing else { return };
        for report in &heartbeat.services {
            self.merge_report(&from, report, sent_after);
        }
        if let Some(sent_after) = sent_after {
            self.rates.accept_grants(now, &from, sent_after, &heartbeat.grants);
        }
        if self.others_had_lease.is_none() && self.fleet.is_witness(&from) && !self.has_lease() {
            self.others_had_lease = Some(heartbeat.lease_left.is_some());
        }
        let wants_notes = heartbeat.wants_notes;
        let is_behind = heartbeat.terms_total < self.terms_total();
        let newer = heartbeat.generation > self.catalog.generation
            || heartbeat.registry > self.registry_version
            || heartbeat.members > self.fleet.version()
            || self.needs_evacuations(heartbeat.evacuations);
        self.fleet.record_heartbeat(&from, sent_after, heartbeat);
        if self.fleet.self_is_witness() && !self.fleet.is_witness(&from) {
            let services = self.service_reports(wants_notes, is_behind);
            self.send_heartbeat(&from, services, &[], false);
        }
        if let Some(address) = self.fleet.address_of(&from).filter(|_| newer) {
            self.fetch_from(address);
        }
    }

    /// Fetches what a peer has read from the store, unless a fetch is in progress or began a short
    /// time ago. A second one would slow down the first where it takes long for lack of bandwidth.
    fn fetch_from(&mut self, address: SocketAddr) {
        if !self.is_fetching && self.now.since(self.last_fetch_at) >= FETCH_INTERVAL {
            self.is_fetching = true;
            self.last_fetch_at = self.now;
            self.effects.push(Effect::FetchFromPeer(address));
        }
    }

    /// Handles the end of an [`Effect::FetchFromPeer`], with or without a result.
    pub fn fetch_ended(&mut self, now: MonoTime) {
        self.now = now;
        self.is_fetching = false;
    }

    /// Merges a peer's report on a service into what this VM knows.
    fn merge_report(
        &mut self,
        from: &VmName,
        report: &ServiceReport,
        sent_after: Option<MonoTime>,
    ) {
        let now = self.now;
        let service =
            self.services.entry(report.service.clone()).or_insert_with(|| ServiceState::new(now));
        if report.term > service.term {
            self.begin_term(
                &report.service,
                report.term,
                report.primary.clone(),
                "reported by a peer",
            );
        }
        let Some(service) = self.services.get_mut(&report.service) else { return };
        if report.term == service.term && service.primary.is_none() && report.primary.is_some() {
            service.primary = report.primary.clone();
        }
        if let (Some(AgedPosition { position, age }), Some(sent_after)) =
            (report.position, sent_after)
            && position.term == service.term
            && sent_after.0 > age.0
        {
            service.freshness.observe(sent_after - age, position);
        }
        let Some(SuspensionReport { term, by, run }) = report.stopped_for.clone() else { return };
        let is_own = by == self.id.vm && run == self.id.incarnation;
        let given_up =
            !self.failovers.iter().any(|a| a.service == report.service && a.term == term);
        if is_own && given_up && term > service.term {
            // The sender has missed that this VM gave the failover up.
            let (service, primary) = (report.service.clone(), None);
            return self.send_to_vm(from, PeerBody::Decided { service, term, primary });
        }
        // Only a report of the VM that prepares the term prolongs the suspension. A later run of that VM does
        // not prepare it, but has learned of it from others.
        let is_preparing =
            by == *from && run != UNOWNED_RUN && !self.fleet.has_restarted(from, run);
        let preparer = Preparer { vm: by, run };
        match &mut service.suspension {
            Some(suspension) if suspension.term == term && is_preparing => {
                suspension.add_preparer(now, preparer);
            }
            Some(suspension) if suspension.term == term => suspension.add_reported(preparer),
            Some(suspension) if suspension.term > term => {}
            _ if term > service.term => {
                service.suspension = Some(Suspension::new(now, term, preparer));
            }
            _ => {}
        }
    }

    /// Sends heartbeats to the witnesses that this VM is in regular contact with, and to any other that
    /// needs what this VM has to report.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        let awaits_first_lease = !self.has_lease() && self.is_starting();
        let period = if awaits_first_lease { FIRST_HEARTBEAT_PERIOD } else { HEARTBEAT_PERIOD };
        self.next_heartbeat_at = now + period;
        self.heartbeats += 1;
        let nearest = self.fleet.nearest_witness(now, |dc| self.distance(dc)).cloned();
        let demands = self.rates.demands(now);
        self.grant_to_self(&demands);
        let behind = self.has_missed_term();
        let (all, news) = (self.service_reports(true, false), self.service_reports(false, false));
        let am_witness = self.fleet.self_is_witness();
        // The coordinator judges a primary by what all VMs report, so every witness is told of one that
        // does not answer this VM.
        let has_news = self.services.values().any(|service| self.is_failing(service));
        let targets = self.fleet.heartbeat_targets(now);
        let witnesses = self.fleet.witnesses().vms.iter().filter(|vm| **vm != self.id.vm);
        let witnesses: Vec<VmName> = witnesses.cloned().collect();
        for vm in witnesses {
            let needs_rates = demands.iter().any(|demand| {
                demand.per_s >= DISTANT_HOME_MIN_PER_S
                    && self.fleet.home_of(now, &demand.workspace) == vm
            });
            if !targets.contains(&vm) && !needs_rates && !has_news {
                continue;
            }
            let wants_notes = nearest.as_ref() == Some(&vm) || behind;
            let services = if am_witness || wants_notes { &all } else { &news };
            self.send_heartbeat(&vm, services.clone(), &demands, wants_notes);
        }
    }

    /// Whether the service's primary does not answer this VM.
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
        // An earlier run of this VM may have confirmed suspensions that are not known again yet. A
        // heartbeat without an echo gives its receiver no lease.
        if !self.intents_known && now.since(self.intents_requested_at) < LEASE_DURATION {
            stamps.echo = None;
        }
        let grants = self.grants_for(to);
        let demands = self.demands_for(to, demands);
        let lease_left = self.fleet.own_lease_until(now).map(|until| until.since(now));
        let may_lend = self.fleet.self_is_witness() && self.has_lease();
        let heartbeat = Heartbeat {
            lease_left: lease_left.filter(|_| may_lend),
            live_witnesses: self.fleet.live_witnesses(now) | self.announced_classes(),
            spare: self.fleet.spare_vm(now).cloned(),
            stamps,
            generation: self.catalog.generation,
            registry: self.registry_version,
            services,
            demands,
            grants,
            terms_total: self.terms_total(),
            members: self.fleet.version(),
            evacuations: self.evacuations.version(),
            witness_step: self.fleet.witnesses().step,
            wants_notes,
            reaches_store: self.reaches_store(),
            stopping: self.stopping_since.is_some(),
        };
        self.send_to_peer(address, PeerBody::Heartbeat(heartbeat));
    }

    /// Returns reports on services, the most urgent first, as many as fit into a heartbeat. With `all`,
    /// services without news are included in turns; with `primaries`, all reports name the primary.
    fn service_reports(&self, all: bool, primaries: bool) -> Vec<ServiceReport> {
        let now = self.now;
        let include_primaries = primaries || self.heartbeats.is_multiple_of(PRIMARIES_EVERY);
        let mut reports: Vec<(Urgency, ServiceReport)> = Vec::new();
        for (name, service) in &self.services {
            let mut report = self.service_report(name, service);
            let is_news = now.since(service.term_since) < NEW_PRIMARY_PERIOD;
            report.primary = report.primary.filter(|_| include_primaries || is_news);
            let urgency = match (&report.stopped_for, is_news || report.failing.is_some()) {
                (Some(_), _) => Urgency::Suspension,
                (None, true) => Urgency::News,
                (None, false) => Urgency::Routine,
            };
            reports.push((urgency, report));
        }
        reports.retain(|(urgency, _)| all || *urgency > Urgency::Routine);
        if reports.len() > REPORTS_MAX {
            let turn = self.heartbeats as usize * REPORTS_MAX % reports.len();
            reports.rotate_left(turn);
            reports.sort_by_key(|(urgency, _)| Reverse(*urgency));
            let suspensions =
                reports.iter().filter(|(urgency, _)| *urgency == Urgency::Suspension).count();
            reports.truncate(REPORTS_MAX.max(suspensions));
        }
        reports.into_iter().map(|(_, report)| report).collect()
    }

    pub(super) fn service_report(
        &self,
        name: &ServiceName,
        service: &ServiceState,
    ) -> ServiceReport {
        let now = self.now;
        let primary = service.primary.as_ref().and_then(|name| self.databases.get(name));
        let latest = service.freshness.latest();
        ServiceReport {
            service: name.clone(),
            term: service.term,
            primary: service.primary.clone(),
            stopped_for: service.suspension.as_ref().and_then(|suspension| {
                let Preparer { vm: by, run } = suspension.preparing.last()?.clone();
                Some(SuspensionReport { term: suspension.term, by, run })
            }),
            failing: primary.and_then(|p| p.failing_since).map(|since| now.since(since)),
            answered: primary.and_then(|p| p.last_heard).map(|at| now.since(at)),
            position: latest
                .map(|bound| AgedPosition { position: bound.position, age: now.since(bound.at) }),
        }
    }

    /// Sends a message to a VM, if it is listed.
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
