//! The simulated store, which holds the list of VMs, and the hosting platform, which promotes databases.

use std::collections::BTreeSet;

use gateway::{
    PlatformRequest, PromotionIntent, UpstreamKey,
    catalog::Catalog,
    failover::PROMOTION_EFFECT_MAX,
    peers::{MemberList, MemberRecord, PeerBody, PeerMessage},
    promotions::{EndOutcome, RecordedPromotion, TokenOutcome},
    witnesses::Capacity,
};
use model::prelude::*;

use super::{
    Connection, Endpoint, Event, ONE_WAY_DELAY_US, STORE_DELAY_US, World, database_name, dc,
    service, vm_address, vm_name,
};

/// Time from when a VM first sees the token of another VM until it replaces it.
const HANDOVER: DurationUs = DurationUs::from_ms(600);

impl World {
    pub fn member_records(&self) -> Vec<MemberRecord> {
        let record = |vm| MemberRecord {
            vm: vm_name(vm),
            address: vm_address(vm),
            incarnation: Incarnation(0),
            dc: dc(vm),
            accepts_links: !self.vms_without_links.contains(&vm),
            capacity: Capacity::default(),
        };
        (0..self.engines.len()).map(record).collect()
    }

    /// Gives a VM the stored list of VMs, if it reaches the store.
    pub(super) fn read_list_from_store(&mut self, vm: usize) {
        if !self.vms_without_store.contains(&vm) {
            self.deliver_list(vm, self.member_list.clone());
        }
    }

    /// Gives the changes since its last one to each VM that has to watch the store again.
    pub(super) fn resume_watches(&mut self) {
        for vm in 0..self.engines.len() {
            let is_behind = self.lists_by_vm[vm].version < self.member_list.version;
            if is_behind && self.engines[vm].must_watch_store() {
                self.schedule(STORE_DELAY_US, Event::ListChanged { vm });
            }
        }
    }

    pub(super) fn deliver_list(&mut self, vm: usize, list: MemberList) {
        if list.version > self.lists_by_vm[vm].version {
            let now = self.now;
            self.lists_by_vm[vm] = list.clone();
            self.drive(vm, |engine| engine.set_members(now, &list));
        }
    }

    /// Changes the stored list of VMs and notifies the VMs that watch it.
    pub fn change_member_list(&mut self, change: impl FnOnce(&mut MemberList)) {
        change(&mut self.member_list);
        self.member_list.version += 1;
        for vm in 0..self.engines.len() {
            self.schedule(STORE_DELAY_US, Event::ListChanged { vm });
        }
    }

    /// Makes another VM announce a term and its primary to a VM.
    pub fn announce_primary(&mut self, vm: usize, term: u64, primary: usize) {
        let primary = Some(database_name(primary));
        let body = PeerBody::Decided { service: service(), term: Term(term), primary };
        self.deliver_from_peer((vm + 1) % self.engines.len(), vm, body);
    }

    /// Delivers a message of one VM to another at once.
    pub fn deliver_from_peer(&mut self, from: usize, to: usize, body: PeerBody) {
        let message = PeerMessage { from: vm_name(from), incarnation: Incarnation(0), body };
        let now = self.now;
        self.drive(to, |engine| engine.peer_message(now, vm_address(from), message));
    }

    /// Returns the witnesses of the stored set.
    pub fn witnesses(&self) -> BTreeSet<usize> {
        let set =
            self.member_list.witnesses.as_ref().map(|set| set.vms.clone()).unwrap_or_default();
        (0..self.engines.len()).filter(|vm| set.contains(&vm_name(*vm))).collect()
    }

    /// Ends a VM for good, without notice, and closes its connections to databases.
    pub fn kill_vm(&mut self, vm: usize) {
        self.freeze(vm);
        self.close_links_of(vm);
        let connections: Vec<(usize, UpstreamKey)> =
            self.connections.keys().filter(|(at, _)| *at == vm).copied().collect();
        for connection in connections {
            if let Some(Connection { database, id, .. }) = self.connections.remove(&connection) {
                let (group, member) = self.group_of(database);
                group.close(member, id);
            }
        }
    }

    /// Asks a VM to stop; [`World::remove_stopped_vm`] ends it.
    pub fn stop_vm(&mut self, vm: usize) {
        let now = self.now;
        self.drive(vm, |engine| engine.stop(now));
    }

    /// Has a VM that was asked to stop end its work, `ms` before its process ends at the latest.
    pub fn end_work(&mut self, vm: usize, ms: u64) {
        let now = self.now;
        self.drive(vm, |engine| engine.end_work(now, now + DurationUs::from_ms(ms)));
    }

    /// Has a VM answer what is still outstanding at the end of its stop.
    pub fn answer_outstanding(&mut self, vm: usize) {
        let now = self.now;
        self.drive(vm, |engine| engine.answer_outstanding(now));
    }

    /// Ends a VM that was asked to stop and removes its entry from the stored list.
    pub fn remove_stopped_vm(&mut self, vm: usize) {
        self.kill_vm(vm);
        let name = vm_name(vm);
        self.change_member_list(|list| list.records.retain(|record| record.vm != name));
    }

    /// Starts a VM again that was removed from the stored list.
    pub fn return_vm(&mut self, vm: usize, catalog: Catalog) {
        self.thaw(vm);
        self.restart(vm, catalog);
        self.handle_platform_request(vm, PlatformRequest::Enter);
    }

    pub(super) fn handle_platform_request(&mut self, vm: usize, request: PlatformRequest) {
        if self.vms_without_store.contains(&vm) {
            self.failed_store_calls += 1;
            self.schedule(STORE_DELAY_US, Event::StoreFailed { vm });
            if let PlatformRequest::RaiseToken { attempt, intent, .. } = request {
                let (outcome, sent) = (TokenOutcome::NoAnswer, self.now);
                let event = Event::TokenRaised { vm, attempt, intent, outcome, sent };
                self.schedule(STORE_DELAY_US, event);
            }
            return;
        }
        match request {
            PlatformRequest::RaiseToken { attempt, intent, void } => {
                let seen = *self.tokens_seen.entry(vm).or_insert((self.token, self.now));
                let by_other = self.token_holder.is_some_and(|holder| holder != vm);
                let until = seen.1 + HANDOVER;
                let wait = if by_other { until.since(self.now).0 } else { 0 };
                let seen = seen.0;
                self.schedule(wait, Event::RaiseToken { vm, attempt, intent, void, seen });
            }
            PlatformRequest::Promote { attempt, database, token, not_after, .. } => {
                if self.now <= not_after {
                    self.promotion_requests.push((vm, token));
                    self.schedule(self.promotion_ms * 1_000, Event::Promote { database });
                    self.schedule(ONE_WAY_DELAY_US, Event::PromotionAccepted { vm, attempt });
                }
            }
            PlatformRequest::SetWitnesses(set) => {
                let step = self.member_list.witnesses.as_ref().map_or(0, |present| present.step);
                if set.step > step {
                    self.change_member_list(|list| list.witnesses = Some(set));
                }
            }
            PlatformRequest::RemoveMember { vm, .. } => {
                self.change_member_list(|list| list.records.retain(|record| record.vm != vm));
            }
            PlatformRequest::Enter => {
                let record = self.member_records().remove(vm);
                self.change_member_list(|list| list.records.push(record));
                let (now, version) = (self.now, self.member_list.version);
                self.drive(vm, |engine| engine.registered(now, version));
            }
            PlatformRequest::ReadToken => {
                self.see_token(vm);
                self.schedule(STORE_DELAY_US, Event::TokenRead { vm });
            }
            PlatformRequest::ReadIntents => {}
            PlatformRequest::ReadRosters => {
                self.schedule(STORE_DELAY_US, Event::RostersRead { vm });
            }
            PlatformRequest::WriteRoster { service, before, roster } => {
                if self.rosters.get(&service).cloned().unwrap_or_default() == before {
                    self.rosters.insert(service, roster);
                }
                self.schedule(STORE_DELAY_US, Event::RostersRead { vm });
            }
            PlatformRequest::EndPromotion { attempt, service, term, known_term } => {
                self.see_token(vm);
                let outcome = self.end_promotion(vm, term, known_term);
                let event = Event::PromotionEnded { vm, attempt, service, term, outcome };
                self.schedule(STORE_DELAY_US, event);
            }
        }
    }

    fn end_promotion(&mut self, vm: usize, term: Term, known_term: Term) -> EndOutcome {
        let seen_at = self.tokens_seen[&vm].1;
        match &self.recorded {
            Some(recorded) if recorded.ended || recorded.term <= known_term => {}
            Some(recorded) if recorded.term > term => {
                return EndOutcome::Recorded(recorded.clone());
            }
            Some(_) if self.now < seen_at + PROMOTION_EFFECT_MAX => {
                return EndOutcome::NotBefore(seen_at + PROMOTION_EFFECT_MAX);
            }
            Some(_) | None => {}
        }
        self.token += 1;
        self.token_holder = Some(vm);
        let token = self.token;
        self.recorded = Some(RecordedPromotion { term, database: None, token, ended: true });
        self.see_token(vm);
        EndOutcome::Ended
    }

    /// Starts all VMs again, which read the recorded promotions.
    pub fn restart_all(&mut self, catalog: &Catalog) {
        self.tokens_seen.clear();
        for vm in 0..self.engines.len() {
            self.thaw(vm);
            self.restart(vm, catalog.clone());
            self.see_token(vm);
            let (now, recorded) = (self.now, self.recorded());
            self.drive(vm, |engine| engine.set_intents(now, &recorded));
        }
    }

    /// Starts a database again with its log, which registers anew.
    pub fn restart_database(&mut self, database: usize, version: u64) {
        let healed = |end: &Endpoint| *end == Endpoint::Database(database);
        self.cuts.retain(|(a, b)| !healed(a) && !healed(b));
        self.deaf.remove(&database);
        self.databases[database].incarnation += 1;
        self.publish_databases(version);
    }

    /// The promotions that are recorded with the token.
    pub fn recorded(&self) -> Vec<(ServiceName, RecordedPromotion)> {
        self.recorded.iter().map(|recorded| (service(), recorded.clone())).collect()
    }

    /// Records the token that a VM has read or written, and when it first saw it.
    fn see_token(&mut self, vm: usize) {
        let (token, now) = (self.token, self.now);
        let seen = self.tokens_seen.entry(vm).or_insert((token, now));
        if seen.0 != token {
            *seen = (token, now);
        }
    }

    /// Carries out the conditional update of the token by a VM that has last seen `seen`.
    pub(super) fn raise_token(
        &mut self,
        vm: usize,
        attempt: u64,
        intent: PromotionIntent,
        void: Option<u64>,
        seen: u64,
    ) {
        let sent = self.now;
        let is_newest = seen == self.token;
        let refuses = |recorded: &RecordedPromotion| match is_newest {
            true => !recorded.admits(&intent, void),
            false => recorded.term >= intent.term,
        };
        let outcome = match self.recorded.clone().filter(refuses) {
            Some(recorded) => TokenOutcome::Recorded(recorded),
            None if !is_newest => TokenOutcome::Conflict,
            None => {
                self.token += 1;
                self.token_holder = Some(vm);
                let (term, database) = (intent.term, Some(intent.database.clone()));
                self.recorded =
                    Some(RecordedPromotion { term, database, token: self.token, ended: false });
                TokenOutcome::Raised(self.token)
            }
        };
        self.see_token(vm);
        let outcome = match outcome {
            TokenOutcome::Raised(_) if self.lost_token_answers > 0 => {
                self.lost_token_answers -= 1;
                let now = self.now;
                self.drive(vm, |engine| engine.note_store_result(now, false));
                TokenOutcome::NoAnswer
            }
            outcome => outcome,
        };
        self.schedule(STORE_DELAY_US, Event::TokenRaised { vm, attempt, intent, outcome, sent });
    }
}
