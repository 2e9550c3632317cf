//! Allowed regions: which databases and which holders may serve an operation, and when it is refused because no
//! allowed region can.
//!
//! The regions of an operation are part of its [`Authorization`], which is fixed when it starts.

use model::prelude::*;

use super::{
    Authorization, DatabaseState, Engine, callers::access_of, placement::Requirement,
    primaries::NO_FAILOVER,
};
use crate::{
    catalog::{Freshness, Route},
    effect::CallerKey,
    failover::StatusRow,
    message::{Access, ErrorCode, Statement},
    pool::ControlRequest,
    regions::AllowedRegions,
    session::{Session, Transaction},
};

/// Time after which a caller may retry what no allowed region can serve, in milliseconds. A failover to an allowed
/// region takes one to two seconds.
const RETRY_MS: u64 = 1_000;
/// Least time between two queries of a primary's position for restricted reads. Reads of a bounded age accept
/// several times as much, and the positions reach the other VMs with heartbeats.
const POSITION_QUERY_INTERVAL: DurationUs = DurationUs::from_ms(150);

impl Engine {
    /// Whether an operation that may run in `regions` may use a database.
    pub(super) fn permits_database(&self, regions: &AllowedRegions, state: &DatabaseState) -> bool {
        regions.permits(self.region_of(&state.record.dc))
    }

    /// Whether an operation that may run in `regions` may pass through a VM. The VM to which the caller connected
    /// is always permitted.
    pub(super) fn permits_vm(&self, regions: &AllowedRegions, vm: &VmName) -> bool {
        *regions == AllowedRegions::All
            || *vm == self.id.vm
            || regions.permits(self.fleet.dc_of(vm).and_then(|dc| self.region_of(dc)))
    }

    /// Whether a VM of another region than the database's holds its connections while some operations are
    /// restricted to regions: those may need connections of this VM's own.
    pub(super) fn may_bypass_holder(&self, state: &DatabaseState, holder: &VmName) -> bool {
        let home = self.region_of(&state.record.dc);
        let is_elsewhere = self.fleet.dc_of(holder).and_then(|dc| self.region_of(dc)) != home;
        is_elsewhere && self.has_restrictions()
    }

    /// Whether any route or workspace has allowed regions.
    fn has_restrictions(&self) -> bool {
        let is_restricted = |regions: &AllowedRegions| *regions != AllowedRegions::All;
        self.catalog.routes.values().any(|route| is_restricted(&route.regions))
            || self.catalog.workspaces.iter().any(|space| is_restricted(&space.regions))
    }

    /// Refuses a session's waiting statement if no database that it may use can serve it. Returns whether it did.
    pub(super) fn refuse_outside_regions(&mut self, key: CallerKey) -> bool {
        let session = &self.sessions[key];
        let Some(auth) = &session.authorization else { return false };
        if auth.regions == AllowedRegions::All || self.can_serve_within_regions(session, auth) {
            return false;
        }
        self.cancel_token(key);
        self.counts.region_refusals += 1;
        let reason =
            format!("no database of an allowed region can serve it; retry after {RETRY_MS} ms");
        self.fail(key, ErrorCode::Busy, &reason);
        true
    }

    /// Whether a database that the operation may use serves its statement, or may do so soon.
    fn can_serve_within_regions(&self, session: &Session, auth: &Authorization) -> bool {
        let permits = |state: &DatabaseState| self.permits_database(&auth.regions, state);
        let members = self.databases.values();
        let has_allowed =
            members.clone().any(|s| s.record.service == auth.route.service && permits(s));
        let service = self.services.get(&auth.route.service);
        let primary = service.and_then(|service| service.primary.as_ref());
        let primary = primary.and_then(|name| self.databases.get(name));
        // While the primary is being replaced, or is not known, it may be in an allowed region next.
        let is_steady = service.is_some_and(|service| service.suspension.is_none());
        let needs_primary = self.needs_primary(session, &auth.route);
        if !self.registry_known {
            return true;
        }
        match primary {
            Some(primary) if needs_primary && is_steady => permits(primary),
            _ => has_allowed,
        }
    }

    /// Whether a statement has to wait because the position that a replica must have reached is not known, and the
    /// primary, which could serve it, is in no allowed region. This VM then queries the primary's position itself:
    /// where only restricted operations run, no answer of the primary would reveal one.
    pub(super) fn awaits_position(&mut self, key: CallerKey, requirement: Requirement) -> bool {
        let session = &self.sessions[key];
        let Some(auth) = &session.authorization else { return false };
        let Some(service) = self.services.get(&auth.route.service) else { return false };
        let Some(primary) = service.primary.as_ref().and_then(|name| self.databases.get(name))
        else {
            return false;
        };
        if requirement != Requirement::Primary || self.permits_database(&auth.regions, primary) {
            return false;
        }
        let (database, name) = (primary.record.name.clone(), auth.route.service.clone());
        let queried_at = service.primary_queried_at;
        if queried_at.is_none_or(|at| self.now.since(at) >= POSITION_QUERY_INTERVAL) {
            if let Some(service) = self.services.get_mut(&name) {
                service.primary_queried_at = Some(self.now);
            }
            self.request_control(&database, NO_FAILOVER, ControlRequest::Status);
        }
        true
    }

    /// Records the position in the status of a primary, as that in any answer of it, where restricted operations
    /// may need it.
    pub(super) fn observe_status(
        &mut self,
        database: &DatabaseName,
        sent_at: MonoTime,
        row: StatusRow,
    ) {
        let Some(state) = self.databases.get(database) else { return };
        let name = state.record.service.clone();
        let Some(service) = self.services.get(&name) else { return };
        let is_confirmed = row.is_primary
            && row.term == service.term
            && service.primary.as_ref() == Some(database)
            && self.can_confirm_answers(service);
        if is_confirmed
            && self.has_restrictions()
            && let Some(service) = self.services.get_mut(&name)
        {
            service.freshness.observe(sent_at, row.received);
        }
    }

    /// Whether only the primary can serve the session's current statement, whatever is known of positions.
    fn needs_primary(&self, session: &Session, route: &Route) -> bool {
        let Some(current) = &session.current else { return false };
        let access = match (&session.transaction, &current.statement) {
            (Transaction::Begun { access } | Transaction::Pinned { access, .. }, _) => *access,
            (_, Statement::Begin { access }) => *access,
            (_, statement) => access_of(session, statement),
        };
        access == Access::Write || route.freshness == Freshness::Latest
    }

    /// Number of a service's routes that must not use a database; the candidates of a failover with the least
    /// are preferred.
    pub(super) fn routes_excluding(&self, state: &DatabaseState) -> usize {
        let routes = self.catalog.routes.values();
        let routes = routes.filter(|route| route.service == state.record.service);
        routes.filter(|route| !self.permits_database(&route.regions, state)).count()
    }

    fn region_of(&self, dc: &DcName) -> Option<&str> {
        self.id.regions.get(dc).map(|region| &**region)
    }
}
