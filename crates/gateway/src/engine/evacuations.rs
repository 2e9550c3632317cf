//! Effects of evacuations: which databases get work, which primaries are handed over, and what is rolled back or
//! refused.

use model::prelude::*;
use slog::{info, warn};

use super::{DatabaseState, Engine, placement::Requirement};
use crate::{
    effect::{CallerKey, UpstreamKey},
    evacuation::{self, Change, Work},
    failover::FailoverAttempt,
    message::{ErrorCode, Statement},
    session::{Session, Transaction},
};

impl Engine {
    /// Takes the list of all data centres that are being evacuated, unless it is older than the present one.
    pub fn set_evacuations(&mut self, now: MonoTime, version: u64, dcs: Vec<DcName>) {
        self.now = now;
        let was_unknown = self.evacuations.is_unknown(now);
        let Change { begun, ended } = self.evacuations.replace(now, version, dcs);
        for dc in &begun {
            let known = self.id.regions.contains_key(dc)
                || self.databases.values().any(|state| state.record.dc == *dc);
            info!(self.log, "evacuation begins"; "dc" => %dc, "version" => version,
                "known" => known);
        }
        for dc in &ended {
            info!(self.log, "evacuation ended"; "dc" => %dc, "version" => version);
        }
        if begun.is_empty() && ended.is_empty() && !was_unknown {
            return;
        }
        self.withdraw_evacuated_candidates();
        self.enforce_evacuations();
        self.start_due_failovers();
        self.place_waiting();
    }

    /// Rolls back what is open at databases whose grace period is over, and closes free connections to databases
    /// that get no new work.
    pub(super) fn enforce_evacuations(&mut self) {
        if self.evacuations.is_empty() {
            return;
        }
        let open: Vec<CallerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                let Transaction::Pinned { upstream, .. } = session.transaction else {
                    return false;
                };
                session.current.is_none() && !self.admits_next_statement(upstream)
            })
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.counts.evacuation_aborts += 1;
            self.abandon_transaction(key, "the database's data centre is being evacuated");
        }
        self.abort_evacuated_channels();
        let unused = self.pool.connections.iter().filter(|(_, connection)| {
            let state = self.databases.get(&connection.database);
            connection.is_free()
                && connection.is_for_statements()
                && state.is_some_and(|state| !self.admits_operations(state))
        });
        let unused: Vec<UpstreamKey> = unused.map(|(key, _)| key).collect();
        for key in unused {
            self.close_connection(key);
        }
        let closed = self.evacuations.take_closed(self.now);
        if closed.is_empty() {
            return;
        }
        let status = self.evacuation_status();
        for left in status.into_iter().filter(|left| closed.contains(&left.dc)) {
            info!(self.log, "grace period of the evacuation over"; "dc" => %left.dc,
                "connections" => left.connections, "primaries" => ?left.primaries);
        }
    }

    /// Whether a request of this kind may be sent to the database.
    pub(super) fn admits(&self, state: &DatabaseState, work: Work) -> bool {
        self.evacuations.stage(self.now, &state.record.dc).admits(work)
    }

    /// Whether any new operation may be sent to the database. A holder does not know which requests of its peers
    /// need the primary, so it takes all of them there for such.
    pub(super) fn admits_operations(&self, state: &DatabaseState) -> bool {
        if self.evacuations.is_unknown(self.now) {
            // The peer knows the list, or waits for it itself.
            return true;
        }
        let service = self.services.get(&state.record.service);
        let is_primary = service.is_some_and(|s| s.primary.as_ref() == Some(&state.record.name));
        self.admits(state, if is_primary { Work::NeedsPrimary } else { Work::New })
    }

    /// Whether the next statement of the transaction on a connection may be sent.
    pub(super) fn admits_next_statement(&self, upstream: UpstreamKey) -> bool {
        if self.evacuations.is_unknown(self.now) {
            // Only peers have transactions here that soon after the start.
            return true;
        }
        let connection = self.pool.connections.get(upstream);
        let state = connection.and_then(|connection| self.databases.get(&connection.database));
        state.is_none_or(|state| self.admits(state, Work::InProgress))
    }

    /// Returns the share of new work from which a database gets the session's current statement. It is above zero
    /// only while work returns to a data centre and a database in another one can serve the statement.
    pub(super) fn share_needed(&self, session: &Session, requirement: Requirement) -> f64 {
        let (Some(current), Some(auth)) = (&session.current, &session.authorization) else {
            return 0.0;
        };
        if !self.evacuations.is_returning(self.now) {
            return 0.0;
        }
        let has_other = self.databases.values().any(|state| {
            state.record.service == auth.route.service
                && self.share_of(state) >= 1.0
                && self.database_meets(state, requirement)
        });
        if has_other { evacuation::share_needed(&current.id, current.arrived) } else { 0.0 }
    }

    /// Returns the share of new work that the database gets.
    pub(super) fn share_of(&self, state: &DatabaseState) -> f64 {
        self.evacuations.stage(self.now, &state.record.dc).share()
    }

    /// Refuses a session's waiting statement if all databases of its service are being evacuated and none may
    /// run it any more. Returns whether it did.
    pub(super) fn refuse_evacuated(&mut self, key: CallerKey) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let session = &self.sessions[key];
        let (Some(current), Some(auth)) = (&session.current, &session.authorization) else {
            return false;
        };
        let service = &auth.route.service;
        if self.has_database_outside(service) {
            return false;
        }
        let requirement = match current.statement {
            // Which database a transaction needs is known with its first statement.
            Statement::Begin { .. } => None,
            _ => self.requirement(session),
        };
        let may_run = |state: &DatabaseState| match requirement {
            Some(requirement) => self.database_meets(state, requirement),
            None => self.admits(state, Work::NeedsPrimary),
        };
        let mut members = self.databases.values().filter(|s| s.record.service == *service);
        if members.any(may_run) {
            return false;
        }
        self.cancel_token(key);
        self.counts.evacuation_refusals += 1;
        let text = format!(
            "all databases of the service are in data centres that are being evacuated; retry after {} ms",
            evacuation::RETRY_AFTER.as_ms()
        );
        self.fail(key, ErrorCode::Busy, &text);
        true
    }

    /// Whether the service has a database outside the data centres that are being evacuated. True as well while
    /// none of its databases is known.
    pub(super) fn has_database_outside(&self, service: &ServiceName) -> bool {
        let members = self.databases.values().filter(|state| state.record.service == *service);
        !self.evacuations.contains_all(members.map(|state| &state.record.dc))
    }

    /// Whether the database is in a data centre that is being evacuated.
    pub(super) fn is_evacuated(&self, state: &DatabaseState) -> bool {
        self.evacuations.contains(&state.record.dc)
    }

    /// Whether this VM may query a database's status outside a failover. In a data centre that is being evacuated
    /// only the coordinator does, to find the primary that it has to replace.
    pub(super) fn admits_query(&self, database: &DatabaseName) -> bool {
        let Some(state) = self.databases.get(database) else { return false };
        if self.admits(state, Work::New) {
            return true;
        }
        let service = self.services.get(&state.record.service);
        let unknown_since = service.and_then(|service| service.no_primary_since);
        !self.evacuations.is_unknown(self.now)
            && unknown_since
                .is_some_and(|since| self.now.since(since) >= evacuation::EVACUATED_QUERY_AFTER)
            && self.has_lease()
            && self.is_coordinator()
            && self.has_database_outside(&state.record.service)
    }

    /// Returns the evacuated databases whose positions a failover has to know: promoting one that has received
    /// less would lose acknowledged writes. The old primary is one of them where a commit may be at no replica yet,
    /// unless it has failed.
    pub(super) fn evacuated_members(
        &self,
        service: &ServiceName,
        synchronous: bool,
    ) -> Vec<DatabaseName> {
        let primary = self.services.get(service).and_then(|service| service.primary.as_ref());
        let members = self.databases.values().filter(|state| {
            let skipped = Some(&state.record.name) == primary
                && (synchronous || state.failing_since.is_some());
            state.record.service == *service && self.is_evacuated(state) && !skipped
        });
        members.map(|state| state.record.name.clone()).collect()
    }

    /// Takes databases that are being evacuated from the candidates of failovers in progress.
    fn withdraw_evacuated_candidates(&mut self) {
        let is_evacuated = |name: &DatabaseName| {
            let state = self.databases.get(name);
            state.is_some_and(|state| self.evacuations.contains(&state.record.dc))
        };
        for attempt in &mut self.failovers {
            let withdrawn: Vec<DatabaseName> =
                attempt.candidates.iter().filter(|name| is_evacuated(name)).cloned().collect();
            if withdrawn.is_empty() {
                continue;
            }
            let FailoverAttempt { id, service, promotion_requested, .. } = &*attempt;
            warn!(self.log, "candidates are being evacuated"; "attempt" => id,
                "service" => %service, "candidates" => ?withdrawn,
                "promotion_requested" => promotion_requested);
            attempt.withdraw(self.now, &withdrawn);
        }
    }
}
