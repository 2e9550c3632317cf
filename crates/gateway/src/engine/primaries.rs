//! The primary of each service: how this VM finds it, and the start of a new term. Also the control
//! requests (status, pause, resume, demote) that the gateway sends to databases.

use model::prelude::*;
use slog::info;

use super::Engine;
use crate::{
    effect::{CallerKey, UpstreamKey},
    failover::StatusRow,
    message::{Access, Reply, UpstreamRequest},
    pool::{ControlRequest, PendingKind, PendingReply, Purpose},
    session::Transaction,
};

/// Attempt number of control requests that belong to no failover.
pub(super) const NO_FAILOVER: u64 = 0;
/// Time between status queries to the databases of a service without a known primary.
const PRIMARY_QUERY_INTERVAL: DurationUs = DurationUs::from_ms(300);
/// Time without a known primary after which a VM queries databases that it is no holder of, where no term is
/// known yet: all VMs may be starting.
const QUERY_ALL_AFTER_START: DurationUs = DurationUs::from_ms(3_000);
/// The same where a term is known: the primary has changed.
const QUERY_ALL_AFTER_CHANGE: DurationUs = DurationUs::from_ms(100);
/// How long the list of VMs has to be unchanged before a holder queries databases of which it knows no term:
/// while a fleet starts, each VM finds itself a holder of most databases.
const HOLDERS_SETTLED_AFTER: DurationUs = DurationUs::from_ms(400);

impl Engine {
    /// Queries the databases of services whose primary is not known, and those that have failed.
    pub(super) fn find_primaries(&mut self) {
        let now = self.now;
        for service in self.services.values_mut() {
            match service.primary {
                Some(_) => service.no_primary_since = None,
                // Databases' reports count once the suspension has ended.
                None if service.suspension.is_some() => service.no_primary_since = Some(now),
                None => drop(service.no_primary_since.get_or_insert(now)),
            }
        }
        let unknown: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, service)| service.primary.is_none())
            .filter(|(_, s)| {
                s.primary_queried_at.is_none_or(|at| now.since(at) >= PRIMARY_QUERY_INTERVAL)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for service in unknown {
            // The registered roles may be out of date while the store is unavailable, so all are queried.
            let state = &self.services[&service];
            let is_first_term = state.term == Term(0);
            let wait = if is_first_term { QUERY_ALL_AFTER_START } else { QUERY_ALL_AFTER_CHANGE };
            let overdue = state.no_primary_since.is_some_and(|since| now.since(since) >= wait);
            let is_settled = !is_first_term
                || self.fleet.unchanged_for(now).is_none_or(|span| span >= HOLDERS_SETTLED_AFTER);
            let members = self.databases.iter().filter(|(_, state)| {
                let may_query = overdue || (is_settled && self.may_query(state));
                state.record.service == service && may_query
            });
            let members: Vec<DatabaseName> = members.map(|(name, _)| name.clone()).collect();
            if let Some(state) = self.services.get_mut(&service).filter(|_| !members.is_empty()) {
                state.primary_queried_at = Some(now);
            }
            for database in members {
                self.request_control(&database, NO_FAILOVER, ControlRequest::Status);
            }
        }
        self.probe_failing_databases();
    }

    /// Queries databases that are suspected to have failed, once their retry is due.
    fn probe_failing_databases(&mut self) {
        let now = self.now;
        let due: Vec<DatabaseName> = self
            .databases
            .iter()
            .filter(|(_, state)| state.failing_since.is_some() && state.retry_at <= now)
            .filter(|(name, _)| !self.pool.is_opening(name))
            .map(|(name, _)| name.clone())
            .collect();
        for database in due {
            self.request_control(&database, NO_FAILOVER, ControlRequest::Status);
        }
    }

    /// Opens a connection to a database for a control request.
    pub(super) fn request_control(
        &mut self,
        database: &DatabaseName,
        attempt: u64,
        request: ControlRequest,
    ) {
        let is_query = attempt == NO_FAILOVER && request == ControlRequest::Status;
        if is_query && !self.admits_query(database) {
            return;
        }
        if self.databases.contains_key(database)
            && !self.holds_back_control(database, attempt, request, false)
        {
            self.open(database, Purpose::Control { attempt, request });
        }
    }

    /// Sends the control request for which a connection was opened.
    pub(super) fn send_control_request(&mut self, key: UpstreamKey) {
        let connection = &self.pool.connections[key];
        let Purpose::Control { attempt, request } = connection.purpose else { return };
        let database = connection.database.clone();
        if self.holds_back_control(&database, attempt, request, true) {
            return self.close_connection(key);
        }
        let request = match request {
            ControlRequest::Status => UpstreamRequest::Status,
            ControlRequest::Pause(term) => UpstreamRequest::Pause(term),
            ControlRequest::Resume => UpstreamRequest::Resume,
            ControlRequest::Demote(term) => UpstreamRequest::Demote(term),
        };
        self.send(key, PendingKind::Control, request);
    }

    /// Handles the answer to a control request, which is the database's status.
    pub(super) fn finish_control_request(&mut self, key: UpstreamKey, done: PendingReply) {
        let connection = &self.pool.connections[key];
        let database = connection.database.clone();
        let Purpose::Control { attempt, .. } = connection.purpose else { return };
        self.close_connection(key);
        let row = done.rows.iter().find_map(|row| match row {
            Reply::Row(text) => (self.id.decode_status)(text),
            _ => None,
        });
        let Some(row) = row else {
            info!(self.log, "control request without a status"; "database" => %database,
                "outcome" => ?done.outcome);
            return;
        };
        let service = self.databases.get(&database).map(|state| state.record.service.clone());
        if let Some(service) = service.and_then(|service| self.services.get_mut(&service))
            && row.received > Position::ZERO
        {
            service.roster.lost.remove(&database);
        }
        self.note_status(&database, row);
        self.observe_status(&database, done.sent_at, row);
        if let Some(attempt) = self.failovers.iter_mut().find(|a| a.id == attempt) {
            attempt.note_status(self.now, &database, row);
            self.advance_failovers();
        }
    }

    /// Records a database as the primary if its status says so and its term is not outdated.
    pub(super) fn note_status(&mut self, database: &DatabaseName, row: StatusRow) {
        let Some(state) = self.databases.get(database) else { return };
        let service = state.record.service.clone();
        let Some(known) = self.services.get(&service) else { return };
        let suspended =
            known.suspension.as_ref().is_some_and(|suspension| row.term < suspension.term);
        if !row.is_primary || row.term < known.term || suspended {
            return;
        }
        if row.term > known.term {
            self.begin_term(&service, row.term, Some(database.clone()), "reported by the database");
        } else if known.primary.is_none() {
            info!(self.log, "primary known"; "service" => %service, "database" => %database,
                "term" => row.term.0);
            if let Some(known) = self.services.get_mut(&service) {
                known.primary = Some(database.clone());
            }
        }
    }

    /// Begins a new term of a service and ends its suspension, unless that is for a later term.
    pub(super) fn begin_term(
        &mut self,
        name: &ServiceName,
        term: Term,
        primary: Option<DatabaseName>,
        reason: &str,
    ) {
        let now = self.now;
        let Some(service) = self.services.get_mut(name) else { return };
        if term <= service.term {
            return;
        }
        info!(self.log, "term began"; "service" => %name, "term" => term.0,
            "before" => service.term.0, "primary" => ?primary, "reason" => reason,
            "stopped_ms" => service.suspension.as_ref().map(|s| now.since(s.began_at).as_ms()));
        service.term = term;
        service.term_since = now;
        service.primary = primary;
        service.freshness.begin_term(term);
        if service.suspension.as_ref().is_some_and(|suspension| suspension.term <= term) {
            service.suspension = None;
        }
        self.abort_transactions_on_old_primary(name);
        self.return_waiting_requests(name);
    }

    /// Rolls back idle transactions that may write and are open at a database that is no longer the
    /// primary.
    fn abort_transactions_on_old_primary(&mut self, service: &ServiceName) {
        let primary = self.services.get(service).and_then(|s| s.primary.clone());
        let open: Vec<CallerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                let Transaction::Pinned { access, upstream } = session.transaction else {
                    return false;
                };
                let connection = self.pool.connections.get(upstream);
                session.current.is_none()
                    && access == Access::Write
                    && session
                        .authorization
                        .as_ref()
                        .is_some_and(|auth| auth.route.service == *service)
                    && connection.is_some_and(|c| Some(&c.database) != primary.as_ref())
            })
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.abandon_transaction(key, "the primary was replaced");
        }
    }
}
