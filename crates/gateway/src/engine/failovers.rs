//! Failovers: when the coordinator replaces a primary, and how it carries out the steps that a
//! [`FailoverAttempt`] asks for.

use model::prelude::*;
use slog::{info, warn};

use super::{
    DatabaseState, Engine, ServiceState,
    primaries::NO_FAILOVER,
    suspensions::{Preparer, UNOWNED_RUN},
};
use crate::{
    effect::{Effect, PlatformRequest},
    failover::{self, FailoverAttempt, Phase, PrimaryHealth, PromotionOutcome, Step},
    peers::PeerBody,
    pool::ControlRequest,
    promotions::{EndOutcome, PromotionIntent, RecordedPromotion, TokenOutcome},
};

/// How long a suspension is left to the VM that asked for it before the coordinator takes the failover
/// over.
const ORPHANED_SUSPENSION_AFTER: DurationUs = DurationUs::from_ms(1_500);

/// Attempt number of requests that belong to no failover in progress.
const NO_ATTEMPT: u64 = 0;
/// Time between two requests to record that a term was given up.
const END_RETRY_INTERVAL: DurationUs = DurationUs(failover::PROMOTION_EFFECT_MAX.0 + 500_000);

/// A term that this VM gave up without knowing whether its promotion is recorded in the store. No promotion is
/// requested for it, but VMs that start would wait for one.
#[derive(Debug)]
pub(super) struct UnrecordedEnd {
    service: ServiceName,
    term: Term,
    next_try: MonoTime,
}

/// Action that is due for a service's primary.
enum PrimaryAction {
    /// Query the database's status: others report it as lost, but this VM has not seen it fail.
    Probe(DatabaseName),
    /// Replace the primary.
    Replace {
        /// Whether the primary still serves and is being withdrawn.
        planned: bool,
    },
}

impl Engine {
    /// Starts failovers of services whose primary is lost or leaving, if this VM is the coordinator. Also
    /// confirms or ends suspensions that are due.
    pub(super) fn start_due_failovers(&mut self) {
        self.confirm_drained_suspensions();
        self.expire_suspensions();
        let is_unknown = self.evacuations.is_unknown(self.now);
        if is_unknown || !self.has_lease() || !self.is_coordinator() {
            return;
        }
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in services {
            let busy = self.failovers.iter().any(|attempt| attempt.service == name);
            let in_retry_delay = self.services[&name].next_failover_at > self.now;
            if busy || in_retry_delay {
                continue;
            }
            match self.due_action(&name) {
                Some(PrimaryAction::Replace { planned }) => self.start_failover(&name, planned),
                Some(PrimaryAction::Probe(database)) if !self.pool.is_opening(&database) => {
                    self.request_control(&database, NO_FAILOVER, ControlRequest::Status);
                }
                Some(PrimaryAction::Probe(_)) | None => {}
            }
        }
    }

    /// Returns the action that is due for the service's primary, if there is another database to promote.
    fn due_action(&self, name: &ServiceName) -> Option<PrimaryAction> {
        let service = &self.services[name];
        let members = || self.databases.values().filter(|state| state.record.service == *name);
        let has_candidate = members().any(|state| {
            !state.record.leaving
                && !self.is_evacuated(state)
                && Some(&state.record.name) != service.primary.as_ref()
        });
        if !has_candidate {
            return None;
        }
        if self.is_orphaned(service) {
            return Some(PrimaryAction::Replace { planned: false });
        }
        if service.suspension.as_ref().is_some_and(|suspension| !suspension.preparing.is_empty()) {
            // The VM that asked for it may have requested a promotion, which a second one would undo.
            return None;
        }
        let Some(primary) = service.primary.as_ref().and_then(|name| self.databases.get(name))
        else {
            if service.suspension.is_some() {
                // It has been given up, and the primary is queried once it ends.
                return None;
            }
            let lasted = service.no_primary_since.map(|since| self.now.since(since));
            let bound = match (service.term, self.id.first_start) {
                (Term(0), true) => failover::NO_PRIMARY_TIMEOUT_FIRST_START,
                (Term(0), false) => failover::NO_PRIMARY_TIMEOUT_RESTART,
                _ => failover::NO_PRIMARY_TIMEOUT,
            };
            let overdue = lasted.is_some_and(|span| span >= bound);
            return overdue.then_some(PrimaryAction::Replace { planned: false });
        };
        let own = self.service_report(name, service);
        let now = self.now;
        let reports = self
            .fleet
            .members()
            .filter(|(vm, _)| self.fleet.is_live(now, vm))
            .flat_map(|(_, member)| &member.reports)
            .filter(|report| report.service == *name && report.term == service.term);
        match failover::assess_primary(std::iter::once(&own).chain(reports)) {
            PrimaryHealth::Lost if own.failing.is_some() => {
                Some(PrimaryAction::Replace { planned: false })
            }
            // The queries of a planned failover show whether it has failed.
            _ if self.is_evacuated(primary) => Some(PrimaryAction::Replace { planned: true }),
            // The coordinator only acts on a failure that it has seen itself.
            PrimaryHealth::Lost => Some(PrimaryAction::Probe(primary.record.name.clone())),
            _ if primary.record.leaving => Some(PrimaryAction::Replace { planned: true }),
            PrimaryHealth::Serving | PrimaryHealth::Unknown => None,
        }
    }

    /// Whether all VMs that prepared a new term are gone, or know nothing of it since they have restarted. One of
    /// them may have requested a promotion, so the failover has to be completed.
    fn is_orphaned(&self, service: &ServiceState) -> bool {
        let Some(suspension) = &service.suspension else { return false };
        suspension.confirmed
            && self.now.since(suspension.heard_at) >= ORPHANED_SUSPENSION_AFTER
            && !suspension.preparing.is_empty()
            // Where this VM still prepares the term itself, it does not come here.
            && suspension.preparing.iter().all(|preparer| {
                preparer.vm == self.id.vm || self.is_gone(preparer)
            })
    }

    /// Whether a VM that prepared a term is gone, or knows nothing of it since it has restarted.
    pub(super) fn is_gone(&self, preparer: &Preparer) -> bool {
        preparer.run == UNOWNED_RUN
            || self.fleet.has_restarted(&preparer.vm, preparer.run)
            || !self.fleet.is_live(self.now, &preparer.vm)
    }

    fn start_failover(&mut self, name: &ServiceName, planned: bool) {
        let now = self.now;
        let service = &self.services[name];
        let suspended_term =
            service.suspension.as_ref().map_or(Term(0), |suspension| suspension.term);
        let term = service.term.next().max(suspended_term);
        let old_primary = service.primary.clone();
        let old_dc = old_primary
            .as_ref()
            .and_then(|name| self.databases.get(name))
            .map(|state| state.record.dc.clone());
        let spares_old_primary = old_dc.as_ref().is_some_and(|dc| self.evacuations.contains(dc));
        let candidates = self.failover_candidates(name, old_primary.as_ref());
        let id = self.next_failover_id;
        self.next_failover_id += 1;
        self.counts.takeovers += 1;
        warn!(self.log, "replacing the primary"; "attempt" => id, "service" => %name,
            "term" => term.0, "planned" => planned, "old" => ?old_primary,
            "candidates" => ?candidates);
        let synchronous = self.is_synchronous(name);
        let attempt = FailoverAttempt::new(id, name.clone(), term, now)
            .with_known_term(service.term)
            .with_takeover(suspended_term > service.term)
            .with_old_primary(old_primary, planned)
            .with_candidates(candidates)
            .with_spared_old_primary(spares_old_primary)
            .with_observed(self.evacuated_members(name, synchronous))
            .with_synchronous(synchronous);
        self.failovers.push(attempt);
        self.effects.push(Effect::CallPlatform(PlatformRequest::ReadToken));
        if synchronous {
            self.read_rosters();
        }
        self.advance_failovers();
    }

    /// The databases that may replace the primary of a service, in order of preference.
    fn failover_candidates(
        &self,
        name: &ServiceName,
        old_primary: Option<&DatabaseName>,
    ) -> Vec<DatabaseName> {
        let old_dc =
            old_primary.and_then(|name| self.databases.get(name)).map(|state| &state.record.dc);
        let mut candidates: Vec<&DatabaseState> = self
            .databases
            .values()
            .filter(|state| state.record.service == *name && !state.record.leaving)
            .filter(|state| !self.is_evacuated(state))
            .filter(|state| Some(&state.record.name) != old_primary)
            .collect();
        candidates.sort_by_key(|state| {
            let is_returning = self.share_of(state) < 1.0;
            let is_elsewhere = Some(&state.record.dc) != old_dc;
            let excluded = self.routes_excluding(state);
            (state.failing_since.is_some(), excluded, is_returning, is_elsewhere)
        });
        candidates.into_iter().map(|state| state.record.name.clone()).collect()
    }

    /// Gives a failover of a service with synchronous commits what is known now of the service's databases.
    fn update_synchronous(&mut self, index: usize) {
        let attempt = &self.failovers[index];
        if !attempt.synchronous || attempt.planned {
            return;
        }
        let service = &attempt.service;
        // An old primary that was demoted may have commits that no other has.
        let is_demoted =
            |name: &&DatabaseName| attempt.statuses.get(*name).is_some_and(|row| !row.is_primary);
        let old_primary = attempt.old_primary.as_ref().filter(|name| !is_demoted(name));
        let listed = self.failover_candidates(service, old_primary);
        let Some(state) = self.services.get(service) else { return };
        let attempt = &mut self.failovers[index];
        attempt.add_candidates(listed);
        attempt.newcomers.clone_from(&state.newcomers);
        attempt.roster = state.stored_roster.is_some().then(|| state.roster.clone());
    }

    /// Discards what failovers rest on after this VM stood still or was without a lease: other VMs may have taken them
    /// over, and may have ended the suspensions that they had confirmed.
    fn discard_outdated(&mut self) {
        let (now, has_lease) = (self.now, self.has_lease());
        let still = now.since(std::mem::replace(&mut self.failovers_stepped_at, now));
        let had_lease = std::mem::replace(&mut self.had_lease_in_failovers, has_lease);
        for attempt in &mut self.failovers {
            attempt.note_standstill(now, still);
            if has_lease != had_lease {
                attempt.discard_confirmations(now);
            }
        }
    }

    /// Takes the next step of each failover in progress.
    pub(super) fn advance_failovers(&mut self) {
        self.discard_outdated();
        let (now, has_lease) = (self.now, self.has_lease());
        let ids: Vec<u64> = self.failovers.iter().map(|attempt| attempt.id).collect();
        for id in ids {
            let Some(index) = self.failovers.iter().position(|attempt| attempt.id == id) else {
                continue;
            };
            let attempt = &self.failovers[index];
            let is_early =
                matches!(attempt.phase, Phase::AwaitingSuspension | Phase::CollectingStatus { .. });
            if is_early
                && !attempt.promotion_requested
                && !self.reaches_store()
                && !self.is_coordinator()
            {
                self.give_up(index, "this VM does not reach the store");
                continue;
            }
            self.send_due_suspend_requests(index);
            self.update_synchronous(index);
            let attempt = &mut self.failovers[index];
            let service = attempt.service.clone();
            let term = attempt.term;
            let state = self.services.get(&service).filter(|state| state.term >= term);
            if let Some(primary) = state.map(|state| state.primary.clone()) {
                self.finish_failover(index, primary);
                continue;
            }
            // Without a lease, this VM may not know of suspensions that have ended.
            let is_majority = has_lease && self.fleet.is_witness_majority(&attempt.suspended);
            attempt.note_majority(now, is_majority);
            let all_confirmed = has_lease && self.fleet.includes_all_members(&attempt.suspended);
            match attempt.step(now, all_confirmed) {
                Step::Wait => {}
                Step::QueryStatus(databases) => {
                    let pauses = attempt.pauses_replication();
                    let old_primary = attempt.old_primary.clone();
                    for database in databases {
                        let request = match pauses && Some(&database) != old_primary.as_ref() {
                            true => ControlRequest::Pause(term),
                            false => ControlRequest::Status,
                        };
                        self.request_control(&database, id, request);
                    }
                }
                Step::Demote(database) => {
                    self.request_control(&database, id, ControlRequest::Demote(term))
                }
                Step::RaiseToken => {
                    let Phase::RaisingToken { candidate, .. } = &attempt.phase else { continue };
                    info!(self.log, "raising the fencing token"; "attempt" => id, "service" => %service,
                        "term" => term.0, "candidate" => %candidate, "requested" => ?attempt.requested,
                        "rows" => ?attempt.statuses, "stopped" => attempt.suspended.len());
                    let intent = PromotionIntent { service, term, database: candidate.clone() };
                    let void = attempt.void_token;
                    let request = PlatformRequest::RaiseToken { attempt: id, intent, void };
                    self.effects.push(Effect::CallPlatform(request));
                }
                Step::EndPromotion => {
                    info!(self.log, "giving up the term"; "attempt" => id, "service" => %service,
                        "term" => term.0, "rows" => ?attempt.statuses);
                    let known_term = attempt.known_term;
                    let request =
                        PlatformRequest::EndPromotion { attempt: id, service, term, known_term };
                    self.effects.push(Effect::CallPlatform(request));
                }
                Step::AwaitProof(unanswered) => {
                    warn!(self.log, "no database provably has all acknowledged commits";
                        "attempt" => id, "service" => %service, "unanswered" => ?unanswered,
                        "roster" => ?attempt.roster, "rows" => ?attempt.statuses);
                    self.read_rosters();
                }
                Step::GiveUp(reason) => self.give_up(index, reason),
                Step::Announce(database, term) => {
                    self.begin_term(&service, term, Some(database.clone()), "replaced by this VM");
                    self.finish_failover(index, Some(database));
                }
            }
        }
    }

    /// Ends a failover whose service has a new primary, and announces it. If it leads an earlier term than the one
    /// that was prepared, that one is given up.
    fn finish_failover(&mut self, index: usize, primary: Option<DatabaseName>) {
        let FailoverAttempt { id, service, term: prepared, .. } = self.failovers.remove(index);
        let Some(term) = self.services.get(&service).map(|service| service.term) else { return };
        info!(self.log, "primary replaced"; "attempt" => id, "service" => %service,
            "database" => ?primary, "term" => term.0, "prepared" => prepared.0);
        if primary.is_some() {
            let service = service.clone();
            self.broadcast(PeerBody::Decided { service, term, primary });
        }
        if term < prepared {
            self.note_unrecorded_end(service.clone(), prepared);
            self.announce_given_up(service, prepared);
        }
    }

    fn note_unrecorded_end(&mut self, service: ServiceName, term: Term) {
        let next_try = self.now;
        self.unrecorded_ends.push(UnrecordedEnd { service, term, next_try });
    }

    /// Requests the record of terms that this VM gave up, until one is made or a later term has begun.
    pub(super) fn record_ends(&mut self) {
        let now = self.now;
        let services = &self.services;
        self.unrecorded_ends.retain(|end| {
            services.get(&end.service).is_some_and(|service| service.term < end.term)
        });
        if !self.reaches_store() {
            return;
        }
        for end in self.unrecorded_ends.iter_mut().filter(|end| end.next_try <= now) {
            end.next_try = now + END_RETRY_INTERVAL;
            let (attempt, service, term) = (NO_ATTEMPT, end.service.clone(), end.term);
            let known_term = self.services.get(&service).map_or(Term(0), |service| service.term);
            let request = PlatformRequest::EndPromotion { attempt, service, term, known_term };
            self.effects.push(Effect::CallPlatform(request));
        }
    }

    /// Handles the outcome of recording that a term of a service was given up.
    pub fn promotion_ended(
        &mut self,
        now: MonoTime,
        attempt: u64,
        service: &ServiceName,
        term: Term,
        outcome: EndOutcome,
    ) {
        self.now = now;
        info!(self.log, "record of a term that was given up answered"; "attempt" => attempt,
            "service" => %service, "term" => term.0, "outcome" => ?outcome);
        let is_over = matches!(outcome, EndOutcome::Ended | EndOutcome::Recorded(_));
        if is_over {
            self.unrecorded_ends.retain(|end| end.service != *service || end.term > term);
        }
        let index = self.failovers.iter().position(|a| a.id == attempt && a.term == term);
        let Some(index) = index else { return };
        match outcome {
            EndOutcome::Ended => {
                let attempt = self.failovers.remove(index);
                self.resume_replication(&attempt);
                self.announce_given_up(service.clone(), term);
                self.end_term(service, term);
                self.broadcast(PeerBody::Ended { service: service.clone(), term });
            }
            _ => self.failovers[index].promotion_not_ended(now, outcome),
        }
        self.advance_failovers();
    }

    /// Has the databases of an attempt receive the primary's log again.
    fn resume_replication(&mut self, attempt: &FailoverAttempt) {
        if attempt.synchronous {
            for database in attempt.candidates.iter().chain(&attempt.observed) {
                self.request_control(database, NO_FAILOVER, ControlRequest::Resume);
            }
        }
    }

    /// Tells all VMs, and this one, that this VM does not prepare a term any more.
    fn announce_given_up(&mut self, service: ServiceName, term: Term) {
        let me = self.id.vm.clone();
        self.handle_decision(&service, term, None, &me);
        self.broadcast(PeerBody::Decided { service, term, primary: None });
    }

    /// Asks the VMs that have not confirmed to suspend the primary, if the last request is old enough.
    fn send_due_suspend_requests(&mut self, index: usize) {
        let now = self.now;
        let attempt = &mut self.failovers[index];
        let due = attempt
            .suspend_sent_at
            .is_none_or(|at| now.since(at) >= failover::SUSPEND_RETRY_INTERVAL);
        if attempt.phase != Phase::AwaitingSuspension || !due {
            return;
        }
        let is_first = attempt.suspend_sent_at.replace(now).is_none();
        let (service, term, planned) = (attempt.service.clone(), attempt.term, attempt.planned);
        if is_first {
            let me = self.id.vm.clone();
            self.suspend_primary(&service, term, planned, &me, self.id.incarnation);
        }
        let attempt = &self.failovers[index];
        let suspended = attempt.suspended.clone();
        let addresses: Vec<_> = self
            .fleet
            .members()
            .filter(|(vm, _)| !suspended.contains(*vm))
            .map(|(_, member)| member.address)
            .collect();
        for address in addresses {
            let service = service.clone();
            self.send_to_peer(address, PeerBody::Stop { service, term, planned });
        }
    }

    /// Records that a VM has confirmed a suspension for a failover of this VM.
    pub(super) fn record_confirmation(&mut self, service: &ServiceName, term: Term, vm: VmName) {
        for attempt in &mut self.failovers {
            if attempt.service == *service && attempt.term == term {
                attempt.suspended.insert(vm.clone());
            }
        }
    }

    /// Ends a failover without a new primary, unless a promotion was already requested.
    fn give_up(&mut self, index: usize, reason: &str) {
        let attempt = &self.failovers[index];
        if attempt.promotion_requested {
            // The promotion may still take effect, so the old primary must not be used again.
            let now = self.now;
            self.failovers[index].try_again(now);
            return;
        }
        let attempt = self.failovers.remove(index);
        warn!(self.log, "primary not replaced"; "attempt" => attempt.id,
            "service" => %attempt.service, "reason" => reason, "rows" => ?attempt.statuses,
            "stopped" => attempt.suspended.len());
        self.resume_replication(&attempt);
        if attempt.may_be_recorded {
            self.note_unrecorded_end(attempt.service.clone(), attempt.term);
        }
        if let Some(service) = self.services.get_mut(&attempt.service) {
            service.next_failover_at = self.now + failover::ATTEMPT_RETRY_DELAY;
        }
        self.announce_given_up(attempt.service, attempt.term);
    }

    /// Handles the outcome of raising the fencing token for `intent`. `sent` is when the update was sent.
    pub fn token_raised(
        &mut self,
        now: MonoTime,
        attempt: u64,
        intent: &PromotionIntent,
        outcome: TokenOutcome,
        sent: MonoTime,
    ) {
        self.now = now;
        self.discard_outdated();
        let Some(found) = self.failovers.iter_mut().find(|a| a.id == attempt) else { return };
        info!(self.log, "fencing token update answered"; "attempt" => attempt,
            "outcome" => ?outcome, "age_ms" => now.since(sent).as_ms());
        if let Some((database, token)) = found.token_raised(now, intent, outcome) {
            let not_after = sent + failover::PROMOTION_SEND_WINDOW;
            let service = intent.service.clone();
            let request = PlatformRequest::Promote { attempt, service, database, token, not_after };
            self.effects.push(Effect::CallPlatform(request));
        }
        self.advance_failovers();
    }

    /// Takes the promotions that are recorded with the fencing token, which was read for a failover.
    pub fn token_read(&mut self, now: MonoTime, recorded: &[(ServiceName, RecordedPromotion)]) {
        self.now = now;
        self.discard_outdated();
        for (service, recorded) in recorded {
            for attempt in self.failovers.iter_mut().filter(|a| a.service == *service) {
                attempt.note_recorded(now, recorded);
            }
        }
        self.advance_failovers();
    }

    /// Handles the platform's answer to a promotion request.
    pub fn promotion_answered(&mut self, now: MonoTime, attempt: u64, outcome: PromotionOutcome) {
        self.now = now;
        info!(self.log, "promotion request answered"; "attempt" => attempt, "outcome" => ?outcome);
        if let Some(attempt) = self.failovers.iter_mut().find(|a| a.id == attempt) {
            attempt.promotion_answered(now, outcome);
        }
        self.advance_failovers();
    }
}
