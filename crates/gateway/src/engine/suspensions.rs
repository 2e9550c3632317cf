//! Suspensions: while a new term is prepared for a service, no VM uses the old primary.

use model::prelude::*;
use slog::{info, warn};

use super::{Engine, ServiceState, Suspension};
use crate::{
    effect::CallerKey,
    failover::{self, PromotionIntent},
    message::TransactionState,
    peers::{LEASE_DURATION, PeerBody},
    session::Transaction,
};

/// How long a suspension lasts if its outcome is never heard. A failover is over much sooner.
const SUSPENSION_TIMEOUT: DurationUs = DurationUs::from_ms(30_000);

/// Stands for the incarnation in a suspension that no running VM has asked for: an earlier run may have
/// requested the promotion.
pub(super) const UNOWNED_RUN: Incarnation = Incarnation(0);

impl Suspension {
    /// A confirmed suspension for a term that one VM prepares.
    pub(super) fn new(now: MonoTime, term: Term, by: VmName, run: Incarnation) -> Suspension {
        let (preparing, given_up) = (vec![(by, run)], Vec::new());
        Suspension { term, preparing, given_up, began_at: now, heard_at: now, confirmed: true }
    }

    /// Adds a VM that asks for the suspension, or reports that it still prepares the term.
    pub(super) fn add(&mut self, now: MonoTime, by: VmName, run: Incarnation) {
        self.preparing.retain(|(vm, _)| *vm != by);
        self.given_up.retain(|vm| *vm != by);
        self.preparing.push((by, run));
        self.heard_at = now;
    }

    /// Adds a VM that prepares the term according to another VM, which may not know yet that it gave up.
    pub(super) fn add_reported(&mut self, by: VmName, run: Incarnation) {
        let is_known =
            self.preparing.iter().any(|(vm, _)| *vm == by) || self.given_up.contains(&by);
        if !is_known {
            self.preparing.insert(0, (by, run));
        }
    }

    /// Removes a VM that gave the term up. If no other prepares it, the suspension lasts for
    /// [`LEASE_DURATION`] from then on: until this VM's lease rests on heartbeats that were sent later,
    /// which name any other VM that a witness has confirmed it to.
    fn give_up(&mut self, now: MonoTime, by: &VmName) {
        let before = self.preparing.len();
        self.preparing.retain(|(vm, _)| vm != by);
        if self.preparing.len() < before {
            self.given_up.push(by.clone());
            if self.preparing.is_empty() {
                self.heard_at = now;
            }
        }
    }
}

impl Engine {
    /// Suspends the use of a service's primary because the VM `by` prepares a new term. The suspension is
    /// confirmed to that VM at once, or, with `planned`, after the statements in progress have ended.
    pub(super) fn suspend_primary(
        &mut self,
        name: &ServiceName,
        term: Term,
        planned: bool,
        by: &VmName,
        run: Incarnation,
    ) {
        let now = self.now;
        let Some(service) = self.services.get_mut(name) else {
            // This VM does not use the service, so there is nothing to wait for.
            return self.send_confirmation(name, term, by);
        };
        if term <= service.term {
            let primary = service.primary.clone();
            let known = service.term;
            let service = name.clone();
            return self.send_to_vm(by, PeerBody::Decided { service, term: known, primary });
        }
        if let Some(suspension) = service.suspension.as_mut().filter(|s| s.term == term) {
            suspension.add(now, by.clone(), run);
        }
        match &service.suspension {
            Some(suspension) if suspension.term >= term && suspension.confirmed => {}
            Some(suspension) if suspension.term >= term => return,
            _ => {
                info!(self.log, "primary suspended"; "service" => %name, "term" => term.0,
                    "planned" => planned, "by" => %by);
                let suspension = Suspension::new(now, term, by.clone(), run);
                service.suspension = Some(Suspension { confirmed: !planned, ..suspension });
            }
        }
        self.confirm_drained_suspensions();
        let confirmed = self.services[name].suspension.as_ref().is_some_and(|s| s.confirmed);
        if confirmed {
            self.send_confirmation(name, term, by);
        }
    }

    /// Confirms suspensions once nothing is in progress at the primary any more. Transactions that are
    /// still open after a time limit are rolled back.
    pub(super) fn confirm_drained_suspensions(&mut self) {
        let now = self.now;
        let mut confirmed = Vec::new();
        let mut overdue = Vec::new();
        for (name, service) in &self.services {
            let Some(suspension) = service.suspension.as_ref().filter(|s| !s.confirmed) else {
                continue;
            };
            let Some(primary) = &service.primary else {
                confirmed.push(name.clone());
                continue;
            };
            let busy = self.pool.connections_to(primary).any(|(_, connection)| {
                connection.is_for_statements() && !connection.is_free() && connection.started
            });
            if !busy {
                confirmed.push(name.clone());
            } else if now.since(suspension.began_at) >= failover::PLANNED_SUSPEND_TIMEOUT {
                overdue.push((name.clone(), primary.clone()));
            }
        }
        for (_, primary) in &overdue {
            self.roll_back_transactions_at(primary);
        }
        confirmed.extend(overdue.into_iter().map(|(name, _)| name));
        for name in confirmed {
            let Some(service) = self.services.get_mut(&name) else { continue };
            let Some(suspension) = &mut service.suspension else { continue };
            suspension.confirmed = true;
            let (term, preparing) = (suspension.term, suspension.preparing.clone());
            for (by, _) in preparing {
                self.send_confirmation(&name, term, &by);
            }
        }
    }

    fn roll_back_transactions_at(&mut self, database: &DatabaseName) {
        let open: Vec<CallerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                let Transaction::Pinned { upstream, .. } = session.transaction else {
                    return false;
                };
                session.transaction.state() == TransactionState::Open
                    && session.current.is_none()
                    && self.pool.connections.get(upstream).is_some_and(|c| c.database == *database)
            })
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.abandon_transaction(key, "planned change of the primary");
        }
    }

    pub(super) fn send_confirmation(&mut self, service: &ServiceName, term: Term, by: &VmName) {
        if *by == self.id.vm {
            return self.record_confirmation(service, term, self.id.vm.clone());
        }
        self.send_to_vm(by, PeerBody::Stopped { service: service.clone(), term });
    }

    /// Handles the outcome of what a VM prepared: the term begins with the primary, or that VM has given
    /// it up where that is `None`.
    pub(super) fn handle_decision(
        &mut self,
        name: &ServiceName,
        term: Term,
        primary: Option<DatabaseName>,
        from: &VmName,
    ) {
        if primary.is_some() {
            self.begin_term(name, term, primary, "announced by a peer");
            return;
        }
        let Some(service) = self.services.get_mut(name) else { return };
        if let Some(suspension) = service.suspension.as_mut().filter(|s| s.term == term) {
            suspension.give_up(self.now, from);
        }
    }

    /// Ends suspensions that all VMs have given up, and those whose outcome was not heard in time.
    pub(super) fn expire_suspensions(&mut self) {
        let now = self.now;
        for (name, service) in &mut self.services {
            let Some(suspension) = &service.suspension else { continue };
            let lasted = now.since(suspension.heard_at);
            if suspension.preparing.is_empty() && lasted >= LEASE_DURATION {
                info!(self.log, "primary in use again"; "service" => %name,
                    "term" => service.term.0);
                service.suspension = None;
            } else if lasted >= SUSPENSION_TIMEOUT {
                warn!(self.log, "suspension ended without an outcome"; "service" => %name,
                    "term" => service.term.0);
                service.suspension = None;
                // The primary may have changed, so the databases are queried again.
                service.primary = None;
                service.primary_queried_at = None;
            }
        }
    }

    /// Takes the promotions that were requested before this run began. Any of them may still take
    /// effect, so the primaries that they replace are suspended.
    pub fn set_intents(&mut self, now: MonoTime, intents: Vec<PromotionIntent>) {
        self.now = now;
        self.intents_known = true;
        for PromotionIntent { service: name, term } in intents {
            let by = self.id.vm.clone();
            let service =
                self.services.entry(name.clone()).or_insert_with(|| ServiceState::new(now));
            if term > service.term && service.suspension.is_none() {
                info!(self.log, "promotion may be under way"; "service" => %name, "term" => term.0);
                service.suspension = Some(Suspension::new(now, term, by, UNOWNED_RUN));
            }
        }
    }
}
