//! Suspensions: while a new term is prepared for a service, no VM uses the old primary.

use model::prelude::*;
use slog::{info, warn};

use super::{Engine, ServiceState, Suspension};
use crate::{
    effect::CallerKey,
    failover::{self, PromotionIntent},
    message::TransactionState,
    peers::PeerBody,
    session::Transaction,
};

/// How long a suspension lasts if its outcome is never heard. A failover is over much sooner.
const SUSPENSION_TIMEOUT: DurationUs = DurationUs::from_ms(30_000);

/// Stands for the incarnation in a suspension that no running VM has asked for: an earlier run may have
/// requested the promotion.
pub(super) const UNOWNED_RUN: Incarnation = Incarnation(0);

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
            // Whoever asked last took the attempt over.
            (suspension.by, suspension.run, suspension.heard_at) = (by.clone(), run, now);
        }
        match &service.suspension {
            Some(suspension) if suspension.term >= term && suspension.confirmed => {}
            Some(suspension) if suspension.term >= term => return,
            _ => {
                info!(self.log, "primary suspended"; "service" => %name, "term" => term.0,
                    "planned" => planned, "by" => %by);
                let confirmed = !planned;
                let by = by.clone();
                service.suspension =
                    Some(Suspension { term, by, run, began_at: now, heard_at: now, confirmed });
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
            let (term, by) = (suspension.term, suspension.by.clone());
            self.send_confirmation(&name, term, &by);
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

    /// Ends the suspension for a term: the term begins with the primary, or is given up where that is
    /// `None`. Only the VM that asked for the suspension can give the term up.
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
        let suspension = service.suspension.as_ref();
        if suspension.is_some_and(|suspension| suspension.term == term && suspension.by == *from) {
            info!(self.log, "primary in use again"; "service" => %name, "term" => service.term.0);
            service.suspension = None;
        }
    }

    /// Ends suspensions whose outcome was not heard in time.
    pub(super) fn expire_suspensions(&mut self) {
        let now = self.now;
        for (name, service) in &mut self.services {
            let is_old = service
                .suspension
                .as_ref()
                .is_some_and(|s| now.since(s.heard_at) >= SUSPENSION_TIMEOUT);
            if is_old {
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
                let run = UNOWNED_RUN;
                service.suspension = Some(Suspension {
                    term,
                    by,
                    run,
                    began_at: now,
                    heard_at: now,
                    confirmed: true,
                });
            }
        }
    }
}
