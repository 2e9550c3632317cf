//! Peers, leaders and the replacement of primaries.

use model::prelude::*;
use slog::{debug, info, warn};

use super::{Engine, ServiceState, StoppedFor};
use crate::{
    catalog::Role,
    effect::{CallerKey, Effect, UpstreamKey},
    message::{Reply, TransactionState, UpstreamRequest},
    peers::{
        AgedPosition, Demand, HEARTBEAT_PERIOD, Heartbeat, LEASE, PeerBody, PeerMessage,
        ServiceNote,
    },
    pool::{Awaited, ControlRequest, Outstanding, Purpose},
    rates::Grant as RateGrant,
    session::Transaction,
    takeover::{self, Attempt, Intent, OrderOutcome, Phase, StatusRow, Step, Verdict},
};

/// Attempt number of questions that belong to none.
const NO_ATTEMPT: u64 = 0;
/// How often the databases of a service without a known leader are asked.
const ASK_LEADER_EVERY: DurationUs = DurationUs::from_ms(300);
/// How often a newer state is fetched from peers.
const FETCH_EVERY: DurationUs = DurationUs::from_ms(200);
/// Peers that are asked for a connection at once.
const SHORT_ASKS: usize = 3;
/// A connection used more recently is not given up for a peer.
const GIVE_UP_IDLE: DurationUs = DurationUs::from_ms(60);
/// One heartbeat in so many says who leads each service, for VMs that have just started.
const LEADERS_EVERY: u64 = 8;
/// Services that a heartbeat tells of at most, so that it stays below a kilobyte.
const NOTES_MAX: usize = 16;
/// A leader that is known for less than this is said in every heartbeat.
const LEADER_NEWS: DurationUs = DurationUs::from_ms(2_000);
/// How long a stop holds if nothing is heard of its outcome. An attempt is over much sooner.
const STOP_FOR: DurationUs = DurationUs::from_ms(12_000);

/// What is to be done about a primary.
enum Change {
    /// It has to be asked whether it still serves.
    Probe(DatabaseName),
    /// It has to be replaced.
    Replace {
        /// Whether it still serves.
        planned: bool,
    },
}

impl Engine {
    /// A peer said something.
    pub fn peer_message(&mut self, now: MonoTime, message: PeerMessage) {
        self.now = now;
        let PeerMessage { from, incarnation, body } = message;
        match body {
            PeerBody::Heartbeat(heartbeat) => self.hear(from, incarnation, heartbeat),
            PeerBody::Short { database } => self.give_up_connection(&database),
            PeerBody::Borrow { workspace, tokens } => self.lend(&from, workspace, tokens),
            PeerBody::Lend { workspace, tokens, all } => {
                self.rates.borrow(now, &workspace, tokens, all);
            }
            PeerBody::Stop { service, term, planned } => {
                self.stop_using(&service, term, planned, &from)
            }
            PeerBody::Stopped { service, term } => {
                self.note_stopped(&service, term, from);
                self.run_attempts();
            }
            PeerBody::Decided { service, term, primary } => self.decided(&service, term, primary),
        }
        self.settle_parked();
        self.pump();
    }

    fn hear(&mut self, from: VmName, incarnation: Incarnation, heartbeat: Heartbeat) {
        let now = self.now;
        if !self.roster.hear(now, &from, incarnation, heartbeat.stamps) {
            return;
        }
        let said_at = heartbeat.stamps.echo.map(|echo| echo.stamp + echo.held);
        let Some(member) = self.roster.member_mut(&from) else { return };
        member.stopping = heartbeat.stopping;
        member.demands = heartbeat.demands;
        let address = member.address;
        for note in &heartbeat.services {
            self.learn(note, said_at);
        }
        if let Some(member) = self.roster.member_mut(&from) {
            member.notes = heartbeat.services;
        }
        if let Some(said_at) = said_at {
            self.rates.accept(now, said_at, &heartbeat.grants);
        }
        if self.roster.am_witness() && !self.roster.is_witness(&from) {
            let services = self.notes(heartbeat.wants_notes);
            self.send_heartbeat(&from, services, &[], false);
        }
        let newer = heartbeat.generation > self.catalog.generation
            || heartbeat.registry > self.registry_version
            || heartbeat.members > self.roster.version();
        if newer && now.since(self.fetched_at) >= FETCH_EVERY {
            self.fetched_at = now;
            self.effects.push(Effect::FetchFromPeer(address));
        }
    }

    /// Takes what a peer knows of a service.
    fn learn(&mut self, note: &ServiceNote, said_at: Option<MonoTime>) {
        let now = self.now;
        let service =
            self.services.entry(note.service.clone()).or_insert_with(|| ServiceState::new(now));
        if note.term > service.term && note.primary.is_some() {
            self.begin_term(&note.service, note.term, note.primary.clone(), "a peer said so");
        }
        let Some(service) = self.services.get_mut(&note.service) else { return };
        if note.term == service.term && service.primary.is_none() && note.primary.is_some() {
            service.primary = note.primary.clone();
        }
        if let (Some(AgedPosition { position, age }), Some(said_at)) = (note.position, said_at)
            && position.term == service.term
            && said_at.0 > age.0
        {
            service.freshness.observe(said_at - age, position);
        }
        if let Some(term) = note.stopped_for
            && term > service.term
            && service.stopped.as_ref().is_none_or(|stopped| stopped.term < term)
        {
            let by = self.id.vm.clone();
            service.stopped = Some(StoppedFor { term, by, since: now, confirmed: true });
        }
    }

    /// Says to every member what this VM knows.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        self.heartbeat_at = now + HEARTBEAT_PERIOD;
        self.heartbeats += 1;
        let nearest = self.roster.nearest_witness(now, |dc| self.distance(dc)).cloned();
        let demands = self.rates.demands(now);
        self.grant_to_self(&demands);
        let witnesses: Vec<VmName> = self
            .roster
            .members()
            .filter(|(vm, _)| self.roster.is_witness(vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        let (all, news) = (self.notes(true), self.notes(false));
        let am_witness = self.roster.am_witness();
        for vm in witnesses {
            let wants_notes = nearest.as_ref() == Some(&vm);
            let services = if am_witness || wants_notes { &all } else { &news };
            self.send_heartbeat(&vm, services.clone(), &demands, wants_notes);
        }
    }

    fn send_heartbeat(
        &mut self,
        to: &VmName,
        services: Vec<ServiceNote>,
        demands: &[Demand],
        wants_notes: bool,
    ) {
        let now = self.now;
        let Some(address) = self.roster.member_mut(to).map(|member| member.address) else { return };
        let mut stamps = self.roster.stamps_for(now, to);
        // A run that has just begun may have promised something in the run before.
        if !self.intents_known && now.since(self.started_at) < LEASE {
            stamps.echo = None;
        }
        let grants = self.grants_for(to);
        let demands = demands
            .iter()
            .filter(|demand| self.roster.home_of(now, &demand.workspace) == *to)
            .cloned()
            .collect();
        let heartbeat = Heartbeat {
            stamps,
            generation: self.catalog.generation,
            registry: self.registry_version,
            services,
            demands,
            grants,
            members: self.roster.version(),
            wants_notes,
            stopping: self.stop_asked_at.is_some(),
        };
        self.tell(address, PeerBody::Heartbeat(heartbeat));
    }

    /// What this VM knows of the services, as far as it fits: what matters most goes first, the rest,
    /// if wanted, takes turns.
    fn notes(&self, all: bool) -> Vec<ServiceNote> {
        let now = self.now;
        let say_leaders = self.heartbeats.is_multiple_of(LEADERS_EVERY);
        let mut notes: Vec<(bool, ServiceNote)> = Vec::new();
        for (name, service) in &self.services {
            let mut note = self.note(name, service);
            let is_news = now.since(service.term_since) < LEADER_NEWS;
            note.primary = note.primary.filter(|_| say_leaders || is_news);
            notes.push((is_news || note.stopped_for.is_some() || note.failing.is_some(), note));
        }
        notes.retain(|(urgent, _)| all || *urgent);
        if notes.len() > NOTES_MAX {
            let turn = self.heartbeats as usize * NOTES_MAX % notes.len();
            notes.rotate_left(turn);
            notes.sort_by_key(|(urgent, _)| !urgent);
            notes.truncate(NOTES_MAX);
        }
        notes.into_iter().map(|(_, note)| note).collect()
    }

    /// Asks some peers for a connection to a database that refused one for their number.
    pub(super) fn ask_for_connection(&mut self, database: &DatabaseName) {
        let addresses: Vec<_> = self.roster.members().map(|(_, member)| member.address).collect();
        if addresses.is_empty() {
            return;
        }
        // Others are asked each time.
        let first = self.now.0 as usize % addresses.len();
        for step in 0..SHORT_ASKS.min(addresses.len()) {
            let database = database.clone();
            let address = addresses[(first + step) % addresses.len()];
            self.tell(address, PeerBody::Short { database });
        }
    }

    /// Closes the connection to the database that has been idle longest.
    fn give_up_connection(&mut self, database: &DatabaseName) {
        let Some(key) = self.pool.longest_idle(database) else { return };
        let idle = self.now.since(self.pool.connections[key].idle_since);
        if idle >= GIVE_UP_IDLE {
            debug!(self.log, "connection given up"; "database" => %database,
                "idle_ms" => idle.as_ms());
            self.close_connection(key);
        }
    }

    /// Asks the homes of workspaces whose operations wait for tokens.
    pub(super) fn borrow_tokens(&mut self) {
        let now = self.now;
        let mut short: Vec<WorkspaceName> = Vec::new();
        for key in &self.waiting {
            let Some(session) = self.sessions.get(*key) else { continue };
            let waits = session.current.as_ref().is_some_and(|current| current.needs_token);
            let workspace = session.granted.as_ref().and_then(|grant| grant.workspace.as_ref());
            if let Some(workspace) = workspace.filter(|_| waits)
                && !short.contains(workspace)
            {
                short.push(workspace.clone());
            }
        }
        for workspace in short {
            let Some(tokens) = self.rates.to_borrow(now, &workspace) else { continue };
            let home = self.roster.home_of(now, &workspace);
            if home == self.id.vm {
                let lent =
                    if self.has_lease() { self.rates.lend(now, &workspace, tokens) } else { 0 };
                self.rates.borrow(now, &workspace, lent, lent >= tokens);
            } else if let Some(address) = self.roster.member_mut(&home).map(|m| m.address) {
                self.tell(address, PeerBody::Borrow { workspace, tokens });
            }
        }
    }

    fn lend(&mut self, to: &VmName, workspace: WorkspaceName, asked: u32) {
        if !self.has_lease() {
            return;
        }
        let tokens = self.rates.lend(self.now, &workspace, asked);
        if let Some(address) = self.roster.member_mut(to).map(|member| member.address) {
            let all = tokens >= asked;
            self.tell(address, PeerBody::Lend { workspace, tokens, all });
        }
    }

    fn tell(&mut self, address: std::net::SocketAddr, body: PeerBody) {
        let from = self.id.vm.clone();
        let incarnation = self.id.incarnation;
        self.effects.push(Effect::ToPeer(address, PeerMessage { from, incarnation, body }));
    }

    fn tell_all(&mut self, body: PeerBody) {
        let addresses: Vec<_> = self.roster.members().map(|(_, member)| member.address).collect();
        for address in addresses {
            self.tell(address, body.clone());
        }
    }

    fn note(&self, name: &ServiceName, service: &ServiceState) -> ServiceNote {
        let now = self.now;
        let primary = service.primary.as_ref().and_then(|name| self.databases.get(name));
        let latest = service.freshness.latest();
        ServiceNote {
            service: name.clone(),
            term: service.term,
            primary: service.primary.clone(),
            stopped_for: service.stopped.as_ref().map(|stopped| stopped.term),
            failing: primary.and_then(|p| p.failing_since).map(|since| now.since(since)),
            answered: primary.and_then(|p| p.last_heard).map(|at| now.since(at)),
            position: latest
                .map(|bound| AgedPosition { position: bound.position, age: now.since(bound.at) }),
        }
    }

    fn grant_to_self(&mut self, demands: &[Demand]) {
        let me = self.id.vm.clone();
        let grants = self.grants(&me, demands);
        self.rates.accept(self.now, self.now, &grants);
    }

    fn grants_for(&mut self, vm: &VmName) -> Vec<RateGrant> {
        let demands = self.roster.member_mut(vm).map(|m| m.demands.clone()).unwrap_or_default();
        self.grants(vm, &demands)
    }

    /// As the home of workspaces: what a VM gets of their rates.
    fn grants(&mut self, vm: &VmName, demands: &[Demand]) -> Vec<RateGrant> {
        if !self.has_lease() {
            return Vec::new();
        }
        let now = self.now;
        let workspaces: Vec<WorkspaceName> = self.rates.workspaces().cloned().collect();
        let mut homes = Vec::new();
        for workspace in workspaces {
            if self.roster.home_of(now, &workspace) == self.id.vm {
                homes.push(workspace);
            }
        }
        let own = self.rates.demands(now);
        let of = |demands: &[Demand], workspace: &WorkspaceName| {
            let demand = demands.iter().find(|demand| demand.workspace == *workspace);
            demand.map_or(0.0, |demand| f64::from(demand.per_s))
        };
        let mut grants = Vec::new();
        for workspace in homes {
            let asked = of(demands, &workspace);
            if asked == 0.0 {
                continue;
            }
            let others = self.roster.members().filter(|(vm, _)| self.roster.is_live(now, vm));
            let all: f64 = of(&own, &workspace)
                + others.map(|(_, member)| of(&member.demands, &workspace)).sum::<f64>();
            grants.extend(self.rates.hand_out(now, &workspace, vm, asked, all));
        }
        grants
    }

    /// Finds out who leads services whose leader is not known.
    pub(super) fn learn_leaders(&mut self) {
        let now = self.now;
        for service in self.services.values_mut() {
            match service.primary {
                Some(_) => service.leaderless_since = None,
                None => drop(service.leaderless_since.get_or_insert(now)),
            }
        }
        let unknown: Vec<ServiceName> = self
            .services
            .iter()
            .filter(|(_, service)| service.primary.is_none())
            .filter(|(_, s)| s.asked_leader.is_none_or(|at| now.since(at) >= ASK_LEADER_EVERY))
            .map(|(name, _)| name.clone())
            .collect();
        for service in unknown {
            if let Some(state) = self.services.get_mut(&service) {
                state.asked_leader = Some(now);
            }
            let claimants: Vec<DatabaseName> = self
                .databases
                .iter()
                .filter(|(_, state)| {
                    state.record.service == service && state.record.role == Role::Primary
                })
                .map(|(name, _)| name.clone())
                .collect();
            for database in claimants {
                self.ask(&database, NO_ATTEMPT, ControlRequest::Status);
            }
        }
        self.probe_failing();
    }

    /// Asks databases that failed whether they are back.
    fn probe_failing(&mut self) {
        let now = self.now;
        let due: Vec<DatabaseName> = self
            .databases
            .iter()
            .filter(|(_, state)| state.failing_since.is_some() && state.retry_at <= now)
            .filter(|(name, _)| !self.pool.is_opening(name))
            .map(|(name, _)| name.clone())
            .collect();
        for database in due {
            self.ask(&database, NO_ATTEMPT, ControlRequest::Status);
        }
    }

    /// Puts a question or an order to a database, on a connection of its own.
    fn ask(&mut self, database: &DatabaseName, attempt: u64, request: ControlRequest) {
        if self.databases.contains_key(database) {
            self.open(database, Purpose::Control { attempt, request });
        }
    }

    /// A connection for a question or an order was accepted.
    pub(super) fn send_control(&mut self, key: UpstreamKey) {
        let Purpose::Control { request, .. } = self.pool.connections[key].purpose else { return };
        let request = match request {
            ControlRequest::Status => UpstreamRequest::Status,
            ControlRequest::Pause(term) => UpstreamRequest::Pause(term),
            ControlRequest::Resume => UpstreamRequest::Resume,
            ControlRequest::Demote(term) => UpstreamRequest::Demote(term),
        };
        self.send(key, Awaited::Control, request);
    }

    /// A database answered a question or an order.
    pub(super) fn finish_control(&mut self, key: UpstreamKey, done: Outstanding) {
        let connection = &self.pool.connections[key];
        let database = connection.database.clone();
        let Purpose::Control { attempt, .. } = connection.purpose else { return };
        self.close_connection(key);
        let row = done.rows.iter().find_map(|row| match row {
            Reply::Row(text) => (self.id.decode_status)(text),
            _ => None,
        });
        let Some(row) = row else {
            info!(self.log, "status not given"; "database" => %database,
                "outcome" => ?done.outcome);
            return;
        };
        self.note_status(&database, row);
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.id == attempt) {
            attempt.note_row(&database, row);
            self.run_attempts();
        }
    }

    fn note_status(&mut self, database: &DatabaseName, row: StatusRow) {
        let Some(state) = self.databases.get_mut(database) else { return };
        state.applied = state.applied.max(Some(row.received));
        let service = state.record.service.clone();
        let Some(known) = self.services.get(&service) else { return };
        let stopped = known.stopped.as_ref().is_some_and(|stopped| row.term < stopped.term);
        if !row.is_primary || row.term < known.term || stopped {
            return;
        }
        if row.term > known.term {
            self.begin_term(&service, row.term, Some(database.clone()), "its status says so");
        } else if known.primary.is_none() {
            info!(self.log, "leader known"; "service" => %service, "database" => %database,
                "term" => row.term.0);
            if let Some(known) = self.services.get_mut(&service) {
                known.primary = Some(database.clone());
            }
        }
    }

    fn begin_term(
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
            "stopped_ms" => service.stopped.as_ref().map(|s| now.since(s.since).as_ms()));
        service.term = term;
        service.term_since = now;
        service.primary = primary;
        service.freshness.begin_term(term);
        if service.stopped.as_ref().is_some_and(|stopped| stopped.term <= term) {
            service.stopped = None;
        }
        self.abort_on_old_primary(name);
    }

    /// Rolls back transactions that may write at a database that no longer leads.
    fn abort_on_old_primary(&mut self, service: &ServiceName) {
        let primary = self.services.get(service).and_then(|s| s.primary.clone());
        let stranded: Vec<CallerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                let Transaction::Pinned { access, upstream } = session.transaction else {
                    return false;
                };
                let connection = self.pool.connections.get(upstream);
                session.current.is_none()
                    && access == crate::message::Access::Write
                    && session.granted.as_ref().is_some_and(|g| g.route.service == *service)
                    && connection.is_some_and(|c| Some(&c.database) != primary.as_ref())
            })
            .map(|(key, _)| key)
            .collect();
        for key in stranded {
            self.abandon_transaction(key, "its primary was replaced");
        }
    }

    /// A VM prepares a new term: the primary is not used until it is decided.
    fn stop_using(&mut self, name: &ServiceName, term: Term, planned: bool, by: &VmName) {
        let now = self.now;
        let Some(service) = self.services.get_mut(name) else {
            // Nothing of the service is used here.
            return self.confirm_stop(name, term, by);
        };
        if term <= service.term {
            let primary = service.primary.clone();
            let known = service.term;
            let address = self.roster.members().find(|(vm, _)| *vm == by).map(|(_, m)| m.address);
            if let Some(address) = address {
                let service = name.clone();
                self.tell(address, PeerBody::Decided { service, term: known, primary });
            }
            return;
        }
        match &service.stopped {
            Some(stopped) if stopped.term >= term && stopped.confirmed => {}
            Some(stopped) if stopped.term >= term => return,
            _ => {
                info!(self.log, "primary stopped"; "service" => %name, "term" => term.0,
                    "planned" => planned, "by" => %by);
                let confirmed = !planned;
                let by = by.clone();
                service.stopped = Some(StoppedFor { term, by, since: now, confirmed });
            }
        }
        self.confirm_stops();
        let confirmed = self.services[name].stopped.as_ref().is_some_and(|s| s.confirmed);
        if confirmed {
            self.confirm_stop(name, term, by);
        }
    }

    /// Confirms planned stops once nothing is in progress at the primary any more.
    fn confirm_stops(&mut self) {
        let now = self.now;
        let mut confirmed = Vec::new();
        let mut overdue = Vec::new();
        for (name, service) in &self.services {
            let Some(stopped) = service.stopped.as_ref().filter(|s| !s.confirmed) else { continue };
            let Some(primary) = &service.primary else {
                confirmed.push(name.clone());
                continue;
            };
            let busy = self.pool.connections.values().any(|connection| {
                connection.database == *primary
                    && connection.is_for_statements()
                    && !connection.is_free()
                    && connection.started
            });
            if !busy {
                confirmed.push(name.clone());
            } else if now.since(stopped.since) >= takeover::PLANNED_STOP_WITHIN {
                overdue.push((name.clone(), primary.clone()));
            }
        }
        for (_, primary) in &overdue {
            self.end_transactions_at(primary);
        }
        confirmed.extend(overdue.into_iter().map(|(name, _)| name));
        for name in confirmed {
            let Some(service) = self.services.get_mut(&name) else { continue };
            let Some(stopped) = &mut service.stopped else { continue };
            stopped.confirmed = true;
            let (term, by) = (stopped.term, stopped.by.clone());
            self.confirm_stop(&name, term, &by);
        }
    }

    fn end_transactions_at(&mut self, database: &DatabaseName) {
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
            self.abandon_transaction(key, "its primary is handed over");
        }
    }

    /// A VM has stopped using the primary for an attempt of this VM.
    fn note_stopped(&mut self, service: &ServiceName, term: Term, vm: VmName) {
        let needed = self.roster.promises_needed(self.now);
        let is_witness = self.roster.is_witness(&vm);
        for attempt in &mut self.attempts {
            if attempt.service == *service && attempt.term == term {
                attempt.note_stopped(self.now, vm.clone(), is_witness, needed);
            }
        }
    }

    fn confirm_stop(&mut self, service: &ServiceName, term: Term, by: &VmName) {
        if *by == self.id.vm {
            return self.note_stopped(service, term, self.id.vm.clone());
        }
        let address = self.roster.members().find(|(vm, _)| *vm == by).map(|(_, m)| m.address);
        if let Some(address) = address {
            self.tell(address, PeerBody::Stopped { service: service.clone(), term });
        }
    }

    fn decided(&mut self, name: &ServiceName, term: Term, primary: Option<DatabaseName>) {
        if primary.is_some() {
            self.begin_term(name, term, primary, "the change was announced");
            return;
        }
        let Some(service) = self.services.get_mut(name) else { return };
        if service.stopped.as_ref().is_some_and(|stopped| stopped.term == term) {
            info!(self.log, "primary in use again"; "service" => %name, "term" => service.term.0);
            service.stopped = None;
        }
    }

    /// Begins attempts for services whose primary is lost or leaving, if that is this VM's duty.
    pub(super) fn consider_attempts(&mut self) {
        self.confirm_stops();
        self.drop_old_stops();
        if !self.has_lease() || self.roster.first_live(self.now) != Some(&self.id.vm) {
            return;
        }
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in services {
            let busy = self.attempts.iter().any(|attempt| attempt.service == name);
            let resting = self.services[&name].rest_until > self.now;
            if busy || resting {
                continue;
            }
            match self.change_due(&name) {
                Some(Change::Replace { planned }) => self.begin_attempt(&name, planned),
                Some(Change::Probe(database)) if !self.pool.is_opening(&database) => {
                    self.ask(&database, NO_ATTEMPT, ControlRequest::Status);
                }
                Some(Change::Probe(_)) | None => {}
            }
        }
    }

    /// What is to be done about the service's primary.
    fn change_due(&self, name: &ServiceName) -> Option<Change> {
        let service = &self.services[name];
        let members = || self.databases.values().filter(|state| state.record.service == *name);
        let could_lead = members().any(|state| {
            !state.record.leaving && Some(&state.record.name) != service.primary.as_ref()
        });
        if !could_lead {
            return None;
        }
        let Some(primary) = service.primary.as_ref().and_then(|name| self.databases.get(name))
        else {
            let lasted = service.leaderless_since.map(|since| self.now.since(since));
            let overdue = lasted.is_some_and(|span| span >= takeover::LEADERLESS_FOR);
            return overdue.then_some(Change::Replace { planned: false });
        };
        let own = self.note(name, service);
        let now = self.now;
        let notes = self
            .roster
            .members()
            .filter(|(vm, _)| self.roster.is_live(now, vm))
            .flat_map(|(_, member)| &member.notes)
            .filter(|note| note.service == *name && note.term == service.term);
        match takeover::judge(std::iter::once(&own).chain(notes)) {
            Verdict::Lost if own.failing.is_some() => Some(Change::Replace { planned: false }),
            // This VM sees for itself before it acts.
            Verdict::Lost => Some(Change::Probe(primary.record.name.clone())),
            _ if primary.record.leaving => Some(Change::Replace { planned: true }),
            Verdict::Serving | Verdict::Unknown => None,
        }
    }

    fn begin_attempt(&mut self, name: &ServiceName, planned: bool) {
        let now = self.now;
        let service = &self.services[name];
        let stopped_term = service.stopped.as_ref().map_or(Term(0), |stopped| stopped.term);
        let term = service.term.next().max(stopped_term);
        let old_primary = service.primary.clone();
        let mut candidates: Vec<&super::DatabaseState> = self
            .databases
            .values()
            .filter(|state| state.record.service == *name && !state.record.leaving)
            .filter(|state| Some(&state.record.name) != old_primary.as_ref())
            .collect();
        let old_dc = old_primary
            .as_ref()
            .and_then(|name| self.databases.get(name))
            .map(|state| state.record.dc.clone());
        candidates.sort_by_key(|state| {
            (state.failing_since.is_some(), Some(&state.record.dc) != old_dc.as_ref())
        });
        let candidates = candidates.into_iter().map(|state| state.record.name.clone()).collect();
        let id = self.next_attempt;
        self.next_attempt += 1;
        self.counts.takeovers += 1;
        warn!(self.log, "replacing the primary"; "attempt" => id, "service" => %name,
            "term" => term.0, "planned" => planned, "old" => ?old_primary,
            "candidates" => ?candidates);
        let limits = self.catalog.services.get(name);
        let synchronous = limits.is_some_and(|limits| limits.synchronous);
        self.attempts.push(Attempt::new(
            id,
            name.clone(),
            term,
            planned,
            synchronous,
            old_primary,
            candidates,
            now,
        ));
        self.effects.push(Effect::PrepareToken { attempt: id });
        let me = self.id.vm.clone();
        self.stop_using(name, term, planned, &me);
        self.run_attempts();
    }

    /// Carries attempts on.
    pub(super) fn run_attempts(&mut self) {
        let now = self.now;
        let members = self.roster.len();
        let ids: Vec<u64> = self.attempts.iter().map(|attempt| attempt.id).collect();
        for id in ids {
            let Some(index) = self.attempts.iter().position(|attempt| attempt.id == id) else {
                continue;
            };
            self.repeat_stop(index);
            let attempt = &mut self.attempts[index];
            let service = attempt.service.clone();
            let term = attempt.term;
            if self.services.get(&service).is_some_and(|state| state.term >= term) {
                self.attempts.remove(index);
                continue;
            }
            match attempt.step(now, members) {
                Step::Wait => {}
                Step::Ask(databases) => {
                    let request = match attempt.pauses() {
                        true => ControlRequest::Pause(term),
                        false => ControlRequest::Status,
                    };
                    for database in databases {
                        self.ask(&database, id, request);
                    }
                }
                Step::Demote(database) => self.ask(&database, id, ControlRequest::Demote(term)),
                Step::RaiseToken => {
                    info!(self.log, "raising the token"; "attempt" => id, "service" => %service,
                        "rows" => ?attempt.rows, "stopped" => attempt.stopped.len());
                    let intent = Intent { service, term };
                    self.effects.push(Effect::RaiseToken { attempt: id, intent });
                }
                Step::GiveUp(reason) => self.give_up(index, reason),
                Step::Announce(database, term) => {
                    self.attempts.remove(index);
                    info!(self.log, "primary replaced"; "attempt" => id, "service" => %service,
                        "database" => %database, "term" => term.0);
                    self.begin_term(&service, term, Some(database.clone()), "this VM replaced it");
                    let primary = Some(database);
                    self.tell_all(PeerBody::Decided { service, term, primary });
                    self.send_heartbeats();
                }
            }
        }
    }

    fn repeat_stop(&mut self, index: usize) {
        let now = self.now;
        let attempt = &mut self.attempts[index];
        let due = attempt.stop_sent.is_none_or(|at| now.since(at) >= takeover::STOP_AGAIN_AFTER);
        if attempt.phase != Phase::Stopping || !due {
            return;
        }
        attempt.stop_sent = Some(now);
        let (service, term, planned) = (attempt.service.clone(), attempt.term, attempt.planned);
        let stopped = attempt.stopped.clone();
        let addresses: Vec<_> = self
            .roster
            .members()
            .filter(|(vm, _)| !stopped.contains(*vm))
            .map(|(_, member)| member.address)
            .collect();
        for address in addresses {
            let service = service.clone();
            self.tell(address, PeerBody::Stop { service, term, planned });
        }
    }

    fn give_up(&mut self, index: usize, reason: &str) {
        let attempt = &self.attempts[index];
        if attempt.ordered {
            // A new leader may come of the order: nobody may use the old primary.
            let now = self.now;
            self.attempts[index].restart_survey(now);
            return;
        }
        let attempt = self.attempts.remove(index);
        warn!(self.log, "primary not replaced"; "attempt" => attempt.id,
            "service" => %attempt.service, "reason" => reason, "rows" => ?attempt.rows,
            "stopped" => attempt.stopped.len());
        if attempt.synchronous {
            for database in attempt.candidates.clone() {
                self.ask(&database, NO_ATTEMPT, ControlRequest::Resume);
            }
        }
        if let Some(service) = self.services.get_mut(&attempt.service) {
            service.rest_until = self.now + takeover::REST_AFTER_FAILURE;
        }
        self.decided(&attempt.service, attempt.term, None);
        let (service, term) = (attempt.service, attempt.term);
        self.tell_all(PeerBody::Decided { service, term, primary: None });
    }

    /// Ends stops whose outcome was never heard.
    fn drop_old_stops(&mut self) {
        let now = self.now;
        for (name, service) in &mut self.services {
            let is_old = service.stopped.as_ref().is_some_and(|s| now.since(s.since) >= STOP_FOR);
            if is_old {
                warn!(self.log, "stop ended without an outcome"; "service" => %name,
                    "term" => service.term.0);
                service.stopped = None;
                // Whoever leads now has to be found out anew.
                service.primary = None;
                service.asked_leader = None;
            }
        }
    }

    /// Takes the promotions that were ordered before this run began: one may still take effect.
    pub fn set_intents(&mut self, now: MonoTime, intents: Vec<Intent>) {
        self.now = now;
        self.intents_known = true;
        for Intent { service: name, term } in intents {
            let by = self.id.vm.clone();
            let service =
                self.services.entry(name.clone()).or_insert_with(|| ServiceState::new(now));
            if term > service.term && service.stopped.is_none() {
                info!(self.log, "promotion may be under way"; "service" => %name, "term" => term.0);
                service.stopped = Some(StoppedFor { term, by, since: now, confirmed: true });
            }
        }
    }

    /// The store answered the update of the token.
    pub fn token_raised(
        &mut self,
        now: MonoTime,
        attempt: u64,
        token: Option<u64>,
        sent: MonoTime,
    ) {
        self.now = now;
        let Some(found) = self.attempts.iter_mut().find(|a| a.id == attempt) else { return };
        let service = found.service.clone();
        info!(self.log, "token"; "attempt" => attempt, "token" => ?token,
            "age_ms" => now.since(sent).as_ms());
        if let (Some(database), Some(token)) = (found.token_raised(now, token), token) {
            let not_after = sent + takeover::ORDER_WITHIN;
            self.effects.push(Effect::Promote { attempt, service, database, token, not_after });
        }
        self.run_attempts();
    }

    /// The platform answered an order.
    pub fn order_answered(&mut self, now: MonoTime, attempt: u64, outcome: OrderOutcome) {
        self.now = now;
        info!(self.log, "order answered"; "attempt" => attempt, "outcome" => ?outcome);
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.id == attempt) {
            attempt.order_answered(now, outcome);
        }
        self.run_attempts();
    }
}
