//! Placement of waiting statements: which database and which connection each one gets.
//!
//! Among the databases that meet a statement's requirement, the one with the lowest estimated response
//! time is taken.

use model::prelude::*;

use super::{
    DatabaseState, Engine, Waiter, balance::Candidates, callers::access_of, holders::Path,
    warmups::COLD_PENALTY_US,
};
use crate::{
    catalog::Freshness,
    commits::NewestCommit,
    effect::{CallerKey, UpstreamKey},
    evacuation::Work,
    message::{Access, ErrorCode, ForwardedStatement, PreparedKey, Statement, UpstreamRequest},
    pool::{PendingKind, Purpose, User},
    queue,
    regions::AllowedRegions,
    session::{Session, SessionVariables, Stage, Transaction},
    spill::Side,
};

/// Which databases can serve a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requirement {
    /// Only the primary, while this VM may use it.
    Primary,
    /// Any database of the service whose log has reached the position; any at all for `None`.
    AtLeast(Option<Position>),
}

/// How a statement gets a connection.
#[derive(Clone, Debug)]
pub(super) enum ConnectionChoice {
    /// Use an open connection or channel that is free.
    Reuse(UpstreamKey),
    /// Open a channel to a holder.
    Channel(VmName),
    /// Open a new connection.
    Open,
    /// Close a free connection of another workspace and open a new one in its place.
    Evict(UpstreamKey),
}

/// What may be done to get a connection, depending on how long a statement has waited. The later variant
/// includes the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionPolicy {
    /// Open connections up to this VM's share, or in place of idle ones if none of its own workspace is about
    /// to become free.
    WithinShare,
    /// Close connections of other workspaces even if one of its own is about to become free.
    Evict,
}

impl ConnectionPolicy {
    fn after(waited: DurationUs) -> ConnectionPolicy {
        match waited {
            waited if waited >= EVICT_AFTER => ConnectionPolicy::Evict,
            _ => ConnectionPolicy::WithinShare,
        }
    }
}

/// Parameters of a search that found no database with room.
#[derive(Debug)]
struct FailedSearch {
    service: ServiceName,
    workspace: Option<WorkspaceName>,
    requirement: Requirement,
    policy: ConnectionPolicy,
    regions: AllowedRegions,
    /// The side that the statement has drawn; `None` if all databases were searched.
    side: Option<Side>,
}

/// Searches that failed during one pass over the waiting statements.
///
/// While hundreds of statements wait for a few full databases, each answer frees one connection. Without
/// this record each answer would lead to a search for every waiting statement, which would take the
/// processor time that the answers need.
#[derive(Debug, Default)]
pub(super) struct FailedSearches {
    searches: Vec<FailedSearch>,
    /// Searches for peers' requests, each for one database.
    channels: Vec<(DatabaseName, Option<WorkspaceName>, ConnectionPolicy)>,
    /// Databases whose slots are all in use.
    full: Vec<DatabaseName>,
    /// Workspaces without a token left.
    rate_limited: Vec<WorkspaceName>,
}

impl FailedSearches {
    /// Whether a search is bound to fail, because one with the same or a weaker requirement and the same
    /// or a wider policy did.
    fn rules_out(
        &self,
        service: &ServiceName,
        workspace: &Option<WorkspaceName>,
        requirement: Requirement,
        waited: DurationUs,
        regions: &AllowedRegions,
        side: Option<Side>,
    ) -> bool {
        let policy = ConnectionPolicy::after(waited);
        self.searches.iter().any(|search| {
            search.policy >= policy
                && (search.regions == AllowedRegions::All || search.regions == *regions)
                // A search of one side says nothing of statements that may not use its databases.
                && match search.side {
                    None => search.requirement.is_implied_by(requirement),
                    Some(_) => search.side == side && search.requirement == requirement,
                }
                && search.service == *service
                && search.workspace == *workspace
        })
    }

    /// Records that all slots of a database are in use.
    pub(super) fn add_full(&mut self, database: DatabaseName) {
        self.full.push(database);
    }

    /// Whether all slots of a database are in use.
    pub(super) fn is_full(&self, database: &DatabaseName) -> bool {
        self.full.contains(database)
    }

    /// Records that there was no room at the database for a peer's request.
    pub(super) fn add_channel(
        &mut self,
        database: DatabaseName,
        workspace: Option<WorkspaceName>,
        waited: DurationUs,
    ) {
        self.channels.push((database, workspace, ConnectionPolicy::after(waited)));
    }

    /// Whether a search for a peer's request is bound to fail, as in [`FailedSearches::rules_out`].
    pub(super) fn rules_out_channel(
        &self,
        database: &DatabaseName,
        workspace: &Option<WorkspaceName>,
        waited: DurationUs,
    ) -> bool {
        let policy = ConnectionPolicy::after(waited);
        self.channels.iter().any(|(failed_at, failed_for, failed_policy)| {
            *failed_policy >= policy && failed_at == database && failed_for == workspace
        })
    }
}

impl Requirement {
    /// Whether every database that meets `other` also meets `self`.
    fn is_implied_by(self, other: Requirement) -> bool {
        match (self, other) {
            (Requirement::Primary, Requirement::Primary) => true,
            (Requirement::AtLeast(own), Requirement::AtLeast(other)) => own <= other,
            _ => false,
        }
    }
}

/// Round trip times assumed until answers are measured, in microseconds: to a database in the same data
/// centre, in the same region, and elsewhere.
pub(super) const ASSUMED_ROUND_TRIP_US: [f64; 3] = [500.0, 2_500.0, 35_000.0];
/// Execution time of a statement assumed until answers are measured, in microseconds.
pub(super) const ASSUMED_EXECUTION_US: f64 = 25_000.0;
/// Time that a database takes to accept a connection, in microseconds.
const CONNECT_COST_US: f64 = 12_000.0;
/// Added to the estimate for the primary, in microseconds, to leave its capacity to writes.
const PRIMARY_PENALTY_US: f64 = 8_000.0;
/// Time constant with which a measured response time loses its weight, in microseconds.
const RESPONSE_TIME_DECAY_US: f64 = 2_000_000.0;
/// How long no more connections to a database are opened than it accepted, after it refused one as too many.
const FULL_PERIOD: DurationUs = DurationUs::from_ms(250);
/// Waiting time up to which a statement leaves connections of other workspaces open if one of its own
/// workspace is about to become free.
const EVICT_AFTER: DurationUs = DurationUs::from_ms(80);

impl Engine {
    /// Places waiting statements as far as there is room. The first pass only reuses open connections,
    /// each for its own workspace, and the second one also opens connections: under load, opening one
    /// costs a database half as much as a statement.
    pub(super) fn place_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|waiter| self.waiter_order(*waiter));
        for may_open in [false, true] {
            let mut failures = FailedSearches::default();
            for waiter in waiting {
                let key = match waiter {
                    Waiter::Session(key) => key,
                    Waiter::Channel(key) => {
                        if !self.try_place_channel(key, may_open, &mut failures) {
                            self.waiting.push(waiter);
                        }
                        continue;
                    }
                };
                let is_due = self
                    .sessions
                    .get(key)
                    .and_then(|session| session.current.as_ref())
                    .is_some_and(|current| current.stage == Stage::Waiting);
                if is_due && !self.try_place(key, may_open, &mut failures) {
                    self.waiting.push(waiter);
                }
            }
            waiting = std::mem::take(&mut self.waiting);
        }
        self.waiting = waiting;
        self.count_held_back();
    }

    /// Returns the sort key of a waiting statement or request; see [`queue::sort_key`].
    fn waiter_order(&self, waiter: Waiter) -> (u32, MonoTime) {
        match waiter {
            Waiter::Session(key) => self.queue_order(key),
            Waiter::Channel(key) => self.channel_order(key),
        }
    }

    fn queue_order(&self, key: CallerKey) -> (u32, MonoTime) {
        let session = self.sessions.get(key);
        let current = session.and_then(|session| session.current.as_ref());
        let auth = session.and_then(|session| session.authorization.as_ref());
        if session.is_some_and(|s| matches!(s.transaction, Transaction::Pinned { .. })) {
            return queue::IN_TRANSACTION;
        }
        match (current, auth) {
            (Some(current), Some(auth)) => queue::sort_key(auth.route.priority, current.refuse_at),
            _ => (u32::MAX, self.now),
        }
    }

    /// Tries to place a session's current statement. Returns whether it no longer waits.
    fn try_place(&mut self, key: CallerKey, may_open: bool, failures: &mut FailedSearches) -> bool {
        let now = self.now;
        if self.refuse_at_stop(key) {
            return true;
        }
        let Some(current) = &self.sessions[key].current else { return true };
        if current.retry_at > now {
            return false;
        }
        if let Transaction::Pinned { upstream, .. } = self.sessions[key].transaction {
            return self.resume_in_transaction(key, upstream);
        }
        if self.refuse_evacuated(key) || self.refuse_outside_regions(key) {
            return true;
        }
        let session = &self.sessions[key];
        let (Some(current), Some(auth)) = (&session.current, &session.authorization) else {
            return true;
        };
        if current.needs_token {
            if let Some(workspace) = auth.workspace.clone() {
                if failures.rate_limited.contains(&workspace) {
                    return false;
                }
                if !self.rates.try_take(now, &workspace, auth.route.priority) {
                    failures.rate_limited.push(workspace);
                    return false;
                }
            }
            if self.rate_token_acquired(key) {
                return true;
            }
        }
        let session = &self.sessions[key];
        if session.current.is_none() {
            return true;
        }
        let Some(requirement) = self.requirement(session) else { return false };
        if self.awaits_position(key, requirement) {
            return false;
        }
        let session = &self.sessions[key];
        let (Some(current), Some(auth)) = (&session.current, &session.authorization) else {
            return true;
        };
        let waited = now.since(current.arrived);
        let regions = auth.regions.clone();
        let draw = self.draw_side(key, &auth.route.service, requirement);
        let side = draw.map(|draw| draw.side);
        let (service, workspace) = (&auth.route.service, &auth.workspace);
        if failures.rules_out(service, workspace, requirement, waited, &regions, side) {
            return false;
        }
        let service = auth.route.service.clone();
        let workspace = auth.workspace.clone();
        self.counts.searches += 1;
        let prepared = self.prepared_key_of(key);
        let session = &self.sessions[key];
        let share_needed = self.share_needed(session, requirement);
        let mut candidates = Candidates::default();
        for (name, state) in &self.databases {
            let is_allowed = self.permits_database(&regions, state);
            if state.record.service != service
                || !is_allowed
                || !self.database_meets(state, requirement)
            {
                continue;
            }
            if self.share_of(state) < share_needed {
                continue;
            }
            let distance = self.distance(&state.record.dc);
            if state.avoided_until <= now {
                candidates.add_usable(distance);
            }
            let Some(choice) = self.choose_connection(state, session, prepared, waited) else {
                continue;
            };
            let cost = self.estimated_us(name, state, &choice);
            candidates.add(cost, distance, state, choice);
        }
        let usable = self.choose_candidate(draw, candidates, waited).filter(|(_, choice)| {
            may_open || !matches!(choice, ConnectionChoice::Open | ConnectionChoice::Evict(_))
        });
        let Some((database, choice)) = usable else {
            // Another statement may be one of the share that goes to more databases, and what a cold database has
            // room for differs from one statement to the next.
            if share_needed == 0.0 && !self.has_cold_databases() {
                let policy = ConnectionPolicy::after(waited);
                let search =
                    FailedSearch { service, workspace, requirement, policy, regions, side };
                failures.searches.push(search);
            }
            return false;
        };
        let upstream = match choice {
            ConnectionChoice::Reuse(upstream) => upstream,
            ConnectionChoice::Channel(holder) => {
                let opened = self.open_channel(&database, workspace, &holder);
                let Some(channel) = opened else { return false };
                channel
            }
            ConnectionChoice::Open => self.open(&database, Purpose::Statements(workspace)),
            ConnectionChoice::Evict(other) => {
                self.close_connection(other);
                self.open(&database, Purpose::Statements(workspace))
            }
        };
        let connection = &mut self.pool.connections[upstream];
        connection.user = Some(User::Session(key));
        let is_started = connection.started;
        self.latencies.waits.record(waited);
        match is_started {
            true => self.start_on(key, upstream),
            false => {
                if let Some(current) = &mut self.sessions[key].current {
                    current.stage = Stage::Connecting(upstream);
                }
            }
        }
        true
    }

    /// Returns what the session's current statement requires; `None` where no database may serve it now.
    pub(super) fn requirement(&self, session: &Session) -> Option<Requirement> {
        let current = session.current.as_ref()?;
        let auth = session.authorization.as_ref()?;
        let service = self.services.get(&auth.route.service)?;
        let access = match session.transaction {
            Transaction::Begun { access } | Transaction::Pinned { access, .. } => access,
            _ => access_of(session, &current.statement),
        };
        let primary = self.may_use_primary(service).then_some(Requirement::Primary);
        let Freshness::Bounded { max_age, own_commits } = auth.route.freshness else {
            return primary;
        };
        if access == Access::Write {
            return primary;
        }
        let own = match session.commits.newest(&auth.route.service).filter(|_| own_commits) {
            // A commit of an earlier term: a position of the current term that covers it is known only
            // once the new primary has answered.
            Some(NewestCommit::At(position)) => match service.freshness.in_current_term(position) {
                Some(position) => Some(position),
                None => return primary,
            },
            Some(NewestCommit::After(_)) => return primary,
            None => None,
        };
        let Some(max_age) = max_age else { return Some(Requirement::AtLeast(own)) };
        match service.freshness.required_position(self.now, max_age) {
            Some(bound) => {
                Some(Requirement::AtLeast(Some(own.map_or(bound, |own| own.max(bound)))))
            }
            None => primary,
        }
    }

    pub(super) fn prepared_key_of(&mut self, key: CallerKey) -> Option<PreparedKey> {
        let session = &self.sessions[key];
        let Some(Statement::Execute { name, .. }) = session.current.as_ref().map(|c| &c.statement)
        else {
            return None;
        };
        session.prepared.get(name).map(|prepared| self.pool.prepared_key(prepared))
    }

    pub(super) fn database_meets(&self, state: &DatabaseState, requirement: Requirement) -> bool {
        let service = self.services.get(&state.record.service);
        let is_primary = service.is_some_and(|s| s.primary.as_ref() == Some(&state.record.name));
        match requirement {
            Requirement::Primary => is_primary && self.admits(state, Work::NeedsPrimary),
            Requirement::AtLeast(position) => {
                let lags = match (position, state.lag_backoff) {
                    (Some(position), Some(backoff)) => {
                        position > backoff.position && self.now < backoff.until
                    }
                    _ => false,
                };
                let usable = is_primary || !state.record.leaving;
                let suspended = is_primary && service.is_some_and(|s| s.suspension.is_some());
                let admitted = self.admits(state, Work::New);
                usable && admitted && !suspended && !lags && state.failing_since.is_none()
            }
        }
    }

    fn choose_connection(
        &self,
        state: &DatabaseState,
        session: &Session,
        prepared: Option<PreparedKey>,
        waited: DurationUs,
    ) -> Option<ConnectionChoice> {
        let auth = session.authorization.as_ref()?;
        let (workspace, variables) = (&auth.workspace, &session.variables);
        let holder = match self.path_to(state, &auth.regions) {
            Path::Own(limit) => {
                let begins = matches!(session.transaction, Transaction::Begun { .. });
                if begins && self.defers_begin(&state.record.name) {
                    return None;
                }
                return self
                    .choose_own_connection(state, workspace, variables, prepared, waited, limit);
            }
            Path::Through(holder) => holder,
        };
        if state.avoided_until > self.now {
            return None;
        }
        let free = self.links.to(&holder).and_then(|link| {
            self.pool.best_free(&state.record.name, Some(link), workspace, variables, prepared)
        });
        Some(free.map_or(ConnectionChoice::Channel(holder), ConnectionChoice::Reuse))
    }

    /// Whether the database has a slot that no request of this VM occupies.
    pub(super) fn has_free_slot(&self, state: &DatabaseState) -> bool {
        self.pool.running_count(&state.record.name) < state.record.slots.max(1) as usize
    }

    /// Whether a free connection may be prepared now, if it has to be. No slot is idle meanwhile, since a preparation
    /// occupies none; but no more connections are prepared at a time than statements can follow.
    fn may_prepare(
        &self,
        state: &DatabaseState,
        upstream: UpstreamKey,
        variables: &SessionVariables,
        prepared: Option<PreparedKey>,
    ) -> bool {
        self.pool.connections[upstream].setup_requests(variables, prepared) == 0
            || self.pool.preparing_count(&state.record.name) < state.record.slots.max(1) as usize
    }

    /// Whether a request may be sent on a connection of this VM's own that is prepared for it: others may have taken
    /// the slots of the database meanwhile.
    pub(super) fn has_slot_for(&self, upstream: UpstreamKey) -> bool {
        let Some(connection) = self.pool.connections.get(upstream) else { return true };
        let state = self.databases.get(&connection.database);
        connection.link.is_some() || state.is_none_or(|state| self.has_free_slot(state))
    }

    /// Chooses among this VM's own connections to a database, of which it may open `limit`. No more requests
    /// are sent at a time than the database has slots: it would refuse them, and a queue here is in order.
    pub(super) fn choose_own_connection(
        &self,
        state: &DatabaseState,
        workspace: &Option<WorkspaceName>,
        variables: &SessionVariables,
        prepared: Option<PreparedKey>,
        waited: DurationUs,
        limit: usize,
    ) -> Option<ConnectionChoice> {
        let name = &state.record.name;
        if !self.has_free_slot(state) {
            return None;
        }
        if self.is_cold_full(name) {
            return None;
        }
        if let Some(key) = self.pool.best_free(name, None, workspace, variables, prepared) {
            let has_room = self.has_cold_room(key, variables, prepared)
                && self.may_prepare(state, key, variables, prepared);
            return has_room.then_some(ConnectionChoice::Reuse(key));
        }
        if state.retry_at > self.now {
            return None;
        }
        let count = self.pool.count(name);
        let refused_at = state.limit_refusal.filter(|(_, at)| self.now.since(*at) < FULL_PERIOD);
        if count < limit && refused_at.is_none_or(|(accepted, _)| count < accepted) {
            return Some(ConnectionChoice::Open);
        }
        if waited < EVICT_AFTER && self.pool.is_soon_free(name, workspace) {
            return None;
        }
        self.pool.longest_idle(name).map(ConnectionChoice::Evict)
    }

    /// Returns the estimated time to the answer, in microseconds.
    fn estimated_us(
        &self,
        name: &DatabaseName,
        state: &DatabaseState,
        choice: &ConnectionChoice,
    ) -> f64 {
        let round_trip = ASSUMED_ROUND_TRIP_US[self.distance(&state.record.dc)];
        let assumed = round_trip + ASSUMED_EXECUTION_US;
        let weight =
            (-(self.now.since(state.response_measured_at).0 as f64) / RESPONSE_TIME_DECAY_US).exp();
        let answer = match state.avg_response_us {
            measured if measured > 0.0 => measured * weight + assumed * (1.0 - weight),
            _ => assumed,
        };
        let busy = self.pool.busy_count(name) as f64 / f64::from(state.record.slots.max(1));
        let open = match choice {
            ConnectionChoice::Reuse(_) | ConnectionChoice::Channel(_) => 0.0,
            ConnectionChoice::Open => CONNECT_COST_US + 2.0 * round_trip,
            ConnectionChoice::Evict(_) => CONNECT_COST_US * 1.5 + 2.0 * round_trip,
        };
        let service = self.services.get(&state.record.service);
        let is_primary = service.is_some_and(|s| s.primary.as_ref() == Some(name));
        let extra = if is_primary { PRIMARY_PENALTY_US } else { 0.0 };
        let cold = if self.is_limited(state) { COLD_PENALTY_US } else { 0.0 };
        answer + busy * ASSUMED_EXECUTION_US + open + extra + cold
    }

    /// Returns 0 for the same data centre, 1 for the same region and 2 for any other.
    pub(super) fn distance(&self, dc: &DcName) -> usize {
        if *dc == self.id.dc {
            return 0;
        }
        let region = self.id.regions.get(dc);
        if region.is_some() && region == self.id.regions.get(&self.id.dc) { 1 } else { 2 }
    }

    /// Starts a session's current statement on a connection that it now holds: prepares the connection, opens the
    /// transaction if there is one, and sends the statement, each once the step before it is confirmed.
    pub(super) fn start_on(&mut self, key: CallerKey, upstream: UpstreamKey) {
        if self.refuse_at_stop(key) {
            return self.free(upstream);
        }
        let session = &self.sessions[key];
        let requirement = self
            .requirement(session)
            .filter(|requirement| self.connection_meets(upstream, *requirement));
        let has_room = self.has_cold_room_for(key, upstream);
        let Some(requirement) = requirement.filter(|_| has_room) else {
            return self.requeue_and_free(key, upstream);
        };
        if self.awaits_preparation(key, upstream) {
            return;
        }
        if !self.has_slot_for(upstream) {
            return self.requeue_and_free(key, upstream);
        }
        let Transaction::Begun { access } = self.sessions[key].transaction else {
            return self.forward(key, upstream, requirement);
        };
        self.pool.connections[upstream].in_transaction = true;
        let after = min_position(requirement);
        self.send(upstream, PendingKind::Begin, UpstreamRequest::Begin { access, after });
        if let Some(current) = &mut self.sessions[key].current {
            current.stage = Stage::Beginning(upstream);
            current.tries += 1;
        }
    }

    /// Whether a connection's database meets the requirement, which may have changed while the connection
    /// was being opened.
    fn connection_meets(&self, upstream: UpstreamKey, requirement: Requirement) -> bool {
        let database = &self.pool.connections[upstream].database;
        self.databases.get(database).is_some_and(|state| self.database_meets(state, requirement))
    }

    /// Sends a session's current statement on the connection that its transaction holds.
    pub(super) fn forward_in_transaction(&mut self, key: CallerKey, upstream: UpstreamKey) {
        if self.refuse_at_stop(key) {
            return;
        }
        if self.is_pinned_to_old_primary(key, upstream) {
            self.roll_back(upstream);
            return self.fail(key, ErrorCode::Aborted, "the primary was replaced");
        }
        if !self.admits_next_statement(upstream) {
            self.counts.evacuation_aborts += 1;
            self.roll_back(upstream);
            let reason = "the database's data centre is being evacuated";
            return self.fail(key, ErrorCode::Aborted, reason);
        }
        if !self.has_cold_room_for(key, upstream) {
            return self.hold_in_transaction(key);
        }
        if self.awaits_preparation(key, upstream) {
            return;
        }
        // The transaction was opened with the required position.
        self.forward(key, upstream, Requirement::AtLeast(None));
    }

    /// Whether a session's transaction may write and is open at a database that is no longer the primary.
    fn is_pinned_to_old_primary(&self, key: CallerKey, upstream: UpstreamKey) -> bool {
        let session = &self.sessions[key];
        let writes =
            matches!(session.transaction, Transaction::Pinned { access: Access::Write, .. });
        let service =
            session.authorization.as_ref().and_then(|auth| self.services.get(&auth.route.service));
        let primary = service.and_then(|service| service.primary.as_ref());
        let database = &self.pool.connections[upstream].database;
        writes && primary.is_some_and(|primary| primary != database)
    }

    /// Sends a session's current statement on a connection that it holds and that is prepared for it.
    fn forward(&mut self, key: CallerKey, upstream: UpstreamKey, requirement: Requirement) {
        let session = &self.sessions[key];
        let pinned = matches!(session.transaction, Transaction::Pinned { .. });
        let prepared = self.prepared_key_of(key);
        let Some(current) = &self.sessions[key].current else { return };
        let statement = match (&current.statement, prepared) {
            (Statement::Plain { text, .. }, _) => ForwardedStatement::Plain(text.clone()),
            (Statement::Execute { arguments, .. }, Some(prepared)) => {
                ForwardedStatement::Execute { key: prepared, arguments: arguments.clone() }
            }
            _ => ForwardedStatement::Commit,
        };
        let id = current.id.clone();
        let request = UpstreamRequest::Forward { id, after: min_position(requirement), statement };
        self.send(upstream, PendingKind::Statement, request);
        self.note_sent(upstream, requirement);
        let session = &mut self.sessions[key];
        let wrote = pinned
            && session
                .current
                .as_ref()
                .is_some_and(|current| access_of(session, &current.statement) == Access::Write);
        session.wrote_in_transaction |= wrote;
        let service = session.authorization.as_ref().map(|auth| &auth.route.service);
        let term = service.and_then(|name| self.services.get(name)).map(|service| service.term);
        if let Some(current) = &mut session.current {
            current.sent_in_term = term.unwrap_or(Term(0));
            current.stage = Stage::Running(upstream);
            current.tries += 1;
        }
    }

    /// Queues a session's current statement again and frees the connection.
    pub(super) fn requeue_and_free(&mut self, key: CallerKey, upstream: UpstreamKey) {
        if let Some(current) = self.sessions.get_mut(key).and_then(|s| s.current.as_mut()) {
            current.stage = Stage::Waiting;
            self.waiting.push(Waiter::Session(key));
        }
        self.free(upstream);
    }
}

fn min_position(requirement: Requirement) -> Option<Position> {
    match requirement {
        Requirement::Primary => None,
        Requirement::AtLeast(position) => position,
    }
}
