//! Suspensions: while a new term is prepared for a service, no VM uses the old primary.

use model::prelude::*;
use slog::{info, warn};

use super::{Engine, ServiceState};
use crate::{
    effect::CallerKey, failover, message::TransactionState, peers::PeerBody,
    promotions::RecordedPromotion, session::Transaction, witnesses::LEASE_DURATION,
};

/// How long a suspension lasts if its outcome is never heard. A failover is over much sooner.
const SUSPENSION_TIMEOUT: DurationUs = DurationUs::from_ms(30_000);

/// Stands for the incarnation in a suspension that no running VM has asked for: an earlier run may have
/// requested the promotion.
pub(super) const UNOWNED_RUN: Incarnation = Incarnation(0);

/// A VM that prepares a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Preparer {
    pub(super) vm: VmName,
    pub(super) run: Incarnation,
}

/// A pause in this VM's use of a primary while other VMs, or this one, prepare a new term.
///
/// More than one VM prepares a term where they began without knowing of each other. Each of them relies on
/// the confirmation that this VM has sent to it, so a suspension ends only when the term begins, when all of them
/// have given up (see [`Suspension::give_up`]), or after a timeout.
#[derive(Clone, Debug)]
pub(crate) struct Suspension {
    /// Term that is being prepared.
    pub(super) term: Term,
    /// The VMs that prepare it; the one that asked last is the last one. Empty once all have given up.
    pub(super) preparing: Vec<Preparer>,
    /// The VMs that gave the term up. Others may still report them as preparing it.
    given_up: Vec<VmName>,
    /// When this VM suspended the primary.
    pub(super) began_at: MonoTime,
    /// When a VM that prepares the term last asked for the suspension, or reported that it still does;
    /// or when the last one gave up.
    pub(super) heard_at: MonoTime,
    /// Whether this VM has confirmed the suspension; from then on it also holds back answers of the
    /// primary. A planned suspension is confirmed only once the statements in progress have ended.
    pub(super) confirmed: bool,
}

impl Suspension {
    /// A confirmed suspension for a term that one VM prepares.
    pub(super) fn new(now: MonoTime, term: Term, preparer: Preparer) -> Suspension {
        let (preparing, given_up) = (vec![preparer], Vec::new());
        Suspension { term, preparing, given_up, began_at: now, heard_at: now, confirmed: true }
    }

    /// Adds a VM that asks for the suspension, or reports itself that it still prepares the term.
    pub(super) fn add_preparer(&mut self, now: MonoTime, preparer: Preparer) {
        self.preparing.retain(|known| known.vm != preparer.vm);
        self.given_up.retain(|vm| *vm != preparer.vm);
        self.preparing.push(preparer);
        self.heard_at = now;
    }

    /// Adds a VM that prepares the term according to another VM, unless it is known to have given up.
    pub(super) fn add_reported(&mut self, preparer: Preparer) {
        let is_known = self.preparing.iter().any(|known| known.vm == preparer.vm);
        if !is_known && !self.given_up.contains(&preparer.vm) {
            self.preparing.insert(0, preparer);
        }
    }

    /// Removes VMs that are gone, after the term was given up in the store.
    fn end(&mut self, now: MonoTime, is_gone: impl Fn(&Preparer) -> bool) {
        let gone: Vec<Preparer> = self.preparing.extract_if(.., |known| is_gone(known)).collect();
        if !gone.is_empty() && self.preparing.is_empty() {
            self.heard_at = now;
        }
        self.given_up.extend(gone.into_iter().map(|preparer| preparer.vm));
    }

    /// Removes a VM that gave the term up. After the last one, the suspension lasts for
    /// [`LEASE_DURATION`]: a VM that this one does not know of may prepare the term, too. By then the lease of
    /// this VM rests on heartbeats that were sent later, and one of them names that VM.
    fn give_up(&mut self, now: MonoTime, vm: &VmName) {
        let before = self.preparing.len();
        self.preparing.retain(|known| known.vm != *vm);
        if self.preparing.len() == before {
            return;
        }
        self.given_up.push(vm.clone());
        if self.preparing.is_empty() {
            self.heard_at = now;
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
            suspension.add_preparer(now, Preparer { vm: by.clone(), run });
        }
        match &service.suspension {
            Some(suspension) if suspension.term >= term && suspension.confirmed => {}
            Some(suspension) if suspension.term >= term => return,
            _ => {
                info!(self.log, "primary suspended"; "service" => %name, "term" => term.0,
                    "planned" => planned, "by" => %by);
                let suspension = Suspension::new(now, term, Preparer { vm: by.clone(), run });
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
            for preparer in preparing {
                self.send_confirmation(&name, term, &preparer.vm);
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

    /// Ends what lost VMs and earlier runs prepared for a term that was given up in the store. A VM that still
    /// prepares it fails to record its promotion, and asks again.
    pub(super) fn end_term(&mut self, name: &ServiceName, term: Term) {
        let now = self.now;
        let is_preparing = self.failovers.iter().any(|a| a.service == *name && a.term <= term);
        let service = self.services.get_mut(name).filter(|service| {
            service.suspension.as_ref().is_some_and(|suspension| suspension.term <= term)
        });
        let Some(mut suspension) = service.and_then(|service| service.suspension.take()) else {
            return;
        };
        suspension.end(now, |preparer| match preparer.vm == self.id.vm {
            true => !is_preparing,
            false => self.is_gone(preparer),
        });
        if let Some(service) = self.services.get_mut(name) {
            service.suspension = Some(suspension);
        }
    }

    /// Takes the promotions that were recorded before this run began. Any of them may still take
    /// effect, so the primaries that they replace are suspended.
    pub fn set_intents(&mut self, now: MonoTime, recorded: &[(ServiceName, RecordedPromotion)]) {
        self.now = now;
        self.intents_known = true;
        for (name, RecordedPromotion { term, ended, .. }) in recorded {
            if *ended {
                self.end_term(name, *term);
                continue;
            }
            let preparer = Preparer { vm: self.id.vm.clone(), run: UNOWNED_RUN };
            let service =
                self.services.entry(name.clone()).or_insert_with(|| ServiceState::new(now));
            if *term > service.term && service.suspension.is_none() {
                info!(self.log, "promotion may be under way"; "service" => %name, "term" => term.0);
                service.suspension = Some(Suspension::new(now, *term, preparer));
            }
        }
    }
}
