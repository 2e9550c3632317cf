//! Replies of databases: which answers are passed on to callers, which statements are tried again, and
//! what callers are told when a connection is lost.

use model::prelude::*;
use slog::{debug, info};

use super::{Engine, LagBackoff, Waiter, callers::access_of};
use crate::{
    catalog::Freshness,
    effect::{CallerKey, UpstreamKey},
    message::{Access, ErrorCode, Reply, Statement, TransactionState},
    pool::{PendingKind, PendingReply, Purpose, User},
    session::{Stage, Transaction, UnconfirmedAnswer},
};

/// Number of times that a statement is sent before its error is passed on to the caller.
pub(super) const TRIES_MAX: u32 = 6;
/// Delay before a statement that was refused, other than for lag, is sent again.
pub(super) const STATEMENT_RETRY_DELAY: DurationUs = DurationUs::from_ms(15);
/// First backoff from a replica that lagged behind, in microseconds. Doubles up to `LAG_BACKOFF_MAX_US`
/// while it stays behind.
const LAG_BACKOFF_MIN_US: u64 = 25_000;
/// Longest backoff from a replica that lagged behind, in microseconds.
const LAG_BACKOFF_MAX_US: u64 = 400_000;
/// Delay before the next connection to a database that refused one for another reason than their number.
const REFUSED_RETRY_DELAY: DurationUs = DurationUs::from_ms(60);
/// Weight of a new measurement in the moving average of response times.
const RESPONSE_TIME_WEIGHT: f64 = 0.2;

impl Engine {
    /// Handles a reply of a database.
    pub fn upstream_reply(&mut self, now: MonoTime, key: UpstreamKey, reply: Reply) {
        self.now = now;
        self.handle_reply(key, reply);
        self.place_waiting();
    }

    pub(super) fn handle_reply(&mut self, key: UpstreamKey, reply: Reply) {
        let Some(connection) = self.pool.connections.get(key) else { return };
        let database = connection.database.clone();
        let incarnation = connection.incarnation;
        self.mark_responsive(&database, incarnation);
        let connection = &mut self.pool.connections[key];
        connection.is_silent = false;
        let Some(front) = connection.pending.front_mut() else {
            return self.lose_connection(key, "unexpected reply");
        };
        match reply {
            Reply::Row(_) => front.rows.push(reply),
            Reply::Complete { .. } => front.outcome = Some(reply),
            Reply::Error { code, .. } if front.kind == PendingKind::Start => {
                self.handle_refused_connection(key, code);
            }
            Reply::Error { .. } => front.outcome = Some(reply),
            Reply::Ready { state, position } => {
                if let Some(done) = connection.pending.pop_front() {
                    self.finish_request(key, done, state, position);
                }
            }
        }
    }

    /// Handles the end of a connection to a database.
    pub fn upstream_closed(&mut self, now: MonoTime, key: UpstreamKey) {
        self.now = now;
        self.lose_connection(key, "closed by the database");
        self.place_waiting();
    }

    fn mark_responsive(&mut self, database: &DatabaseName, incarnation: u64) {
        let now = self.now;
        let Some(state) = self.databases.get_mut(database) else { return };
        if state.record.incarnation != incarnation {
            return;
        }
        state.last_heard = Some(now);
        state.failures = 0;
        state.retry_at = now;
        if let Some(since) = state.failing_since.take() {
            info!(self.log, "database answers again"; "database" => %database,
                "after_ms" => now.since(since).as_ms());
        }
    }

    /// Handles the refusal of a new connection: the statement it was meant for waits again.
    fn handle_refused_connection(&mut self, key: UpstreamKey, code: ErrorCode) {
        let database = self.pool.connections[key].database.clone();
        info!(self.log, "connection refused"; "database" => %database, "code" => %code,
            "own" => self.pool.count(&database));
        let others = self.pool.count(&database) - 1;
        if let Some(state) = self.databases.get_mut(&database) {
            match code {
                ErrorCode::TooMany => {
                    self.counts.connections_refused += 1;
                    state.limit_refusal = Some((others, self.now));
                }
                _ => state.retry_at = self.now + REFUSED_RETRY_DELAY,
            }
        }
        let user = self.pool.connections[key].user;
        self.close_connection(key);
        match user {
            Some(User::Session(session)) => self.requeue(session),
            Some(User::Channel(channel)) => self.requeue_channel(channel),
            None => {}
        }
    }

    /// Drops a connection that failed, and decides on the statement or transaction that held it.
    pub(super) fn lose_connection(&mut self, key: UpstreamKey, reason: &str) {
        let Some(connection) = self.pool.remove(key) else { return };
        self.release_path(key, &connection);
        let database = connection.database.clone();
        let quiet = connection.started && connection.pending.is_empty();
        if connection.link.is_some() {
            debug!(self.log, "channel lost"; "database" => %database, "reason" => reason);
        } else if !quiet {
            let since = connection.pending.front().map_or(self.now, |o| o.sent_at);
            self.note_failure(&database, since, reason);
        } else {
            debug!(self.log, "idle connection lost"; "database" => %database, "reason" => reason);
        }
        match connection.user {
            Some(User::Session(session)) => {
                self.settle_lost_statement(session, ErrorCode::InDoubt, reason);
            }
            Some(User::Channel(channel)) => self.settle_lost_channel(channel),
            None => {}
        }
    }

    /// Decides on a session whose connection was lost: a statement that can't have taken effect is tried
    /// again, any other fails with an error that says what is known.
    pub(super) fn settle_lost_statement(&mut self, key: CallerKey, code: ErrorCode, reason: &str) {
        let Some(session) = self.sessions.get(key) else { return };
        let pinned = matches!(session.transaction, Transaction::Pinned { .. });
        let Some(current) = &session.current else {
            if pinned {
                self.sessions[key].transaction = Transaction::Failed { unreported: true };
                info!(self.log, "transaction lost"; "reason" => reason);
            }
            return;
        };
        if let Stage::Preparing(_) = current.stage {
            return self.settle_unprepared(key, reason);
        }
        let sent = matches!(current.stage, Stage::Running(_));
        let in_time = self.now < current.timeout_at;
        let commits = current.statement == Statement::Commit;
        let writes = access_of(session, &current.statement) == Access::Write;
        match (sent, pinned) {
            (false, _) if in_time => self.requeue(key),
            (false, _) => self.fail(key, ErrorCode::Busy, reason),
            (true, true) if commits && session.wrote_in_transaction => {
                self.fail(key, ErrorCode::InDoubt, reason);
            }
            // The database rolls back when the connection closes.
            (true, true) => self.fail(key, ErrorCode::Aborted, reason),
            (true, false) if writes => self.fail(key, ErrorCode::InDoubt, reason),
            (true, false) if in_time => {
                self.counts.retries += 1;
                self.requeue(key);
            }
            (true, false) => {
                let code = if code == ErrorCode::InDoubt { ErrorCode::Aborted } else { code };
                self.fail(key, code, reason);
            }
        }
    }

    /// Takes a statement back from a connection without an answer, to run it elsewhere, if it can be
    /// repeated.
    pub(super) fn take_back_read(&mut self, key: UpstreamKey) {
        let Some(User::Session(caller)) = self.pool.connections[key].user else { return };
        if self.is_repeatable(caller) {
            self.lose_connection(key, "no answer");
        }
    }

    /// Whether a session's current statement was not sent yet, or only reads outside a transaction.
    fn is_repeatable(&self, caller: CallerKey) -> bool {
        let Some(session) = self.sessions.get(caller) else { return false };
        let Some(current) = &session.current else { return false };
        let reads = access_of(session, &current.statement) == Access::Read;
        match current.stage {
            Stage::Running(_) => reads && session.transaction == Transaction::None,
            Stage::Preparing(_) => !matches!(session.transaction, Transaction::Pinned { .. }),
            Stage::Connecting(_) | Stage::Beginning(_) => true,
            Stage::Waiting | Stage::Unconfirmed => false,
        }
    }

    /// Queues a session's current statement for an upstream again.
    pub(super) fn requeue(&mut self, key: CallerKey) {
        let Some(current) = self.sessions.get_mut(key).and_then(|s| s.current.as_mut()) else {
            return;
        };
        current.stage = Stage::Waiting;
        self.waiting.push(Waiter::Session(key));
    }

    /// Ends a session's current statement with an error, and with it the transaction that it was part of.
    pub(super) fn fail(&mut self, key: CallerKey, code: ErrorCode, reason: &str) {
        let Some(session) = self.sessions.get(key) else { return };
        let failed = self.after_rollback(session);
        let session = &mut self.sessions[key];
        let Some(current) = session.current.take() else { return };
        let ends = current.statement == Statement::Commit;
        session.transaction = match &session.transaction {
            Transaction::None => Transaction::None,
            _ if ends => Transaction::None,
            _ => failed,
        };
        session.last_active = self.now;
        let took = self.now.since(current.arrived);
        self.latencies.errors.record(took);
        info!(self.log, "statement failed"; "id" => &*current.id, "tries" => current.tries,
            "waited_ms" => took.as_ms(), "holder" => current.holder.as_ref().map(VmName::as_str));
        self.answer_error(key, &current.id, code, reason);
        self.start_queued(key);
    }

    fn finish_request(
        &mut self,
        key: UpstreamKey,
        done: PendingReply,
        state: TransactionState,
        position: Option<Position>,
    ) {
        self.record_service_time(key, &done);
        if let (Some(User::Channel(channel)), PendingKind::Begin | PendingKind::Statement) =
            (self.pool.connections[key].user, done.kind)
        {
            return self.finish_channel_request(channel, key, done, state, position);
        }
        match done.kind {
            PendingKind::Start => self.finish_start(key),
            PendingKind::Setup => self.finish_setup(key, done, state),
            PendingKind::Begin => self.finish_begin(key, done, position),
            PendingKind::Statement => self.finish_statement(key, done, state, position),
            PendingKind::Control => self.finish_control_request(key, done),
        }
    }

    pub(super) fn finish_start(&mut self, key: UpstreamKey) {
        let now = self.now;
        let connection = &mut self.pool.connections[key];
        connection.started = true;
        connection.idle_since = now;
        let user = connection.user;
        if let Purpose::Control { .. } = self.pool.connections[key].purpose {
            return self.send_control_request(key);
        }
        let session = match user {
            Some(User::Session(session)) => session,
            Some(User::Channel(channel)) => return self.start_channel_on(channel, key),
            None => return,
        };
        match self.sessions.get(session).and_then(|session| session.current.as_ref()) {
            Some(current) if current.stage == Stage::Connecting(key) => self.start_on(session, key),
            _ => self.free(key),
        }
    }

    fn finish_begin(&mut self, key: UpstreamKey, done: PendingReply, position: Option<Position>) {
        let Some(User::Session(caller)) = self.pool.connections[key].user else { return };
        let Some(session) = self.sessions.get_mut(caller) else { return };
        if let Some(Reply::Error { code, text }) = done.outcome {
            let text = text.clone();
            return self.settle_refusal(caller, key, code, &text, position);
        }
        if let Transaction::Begun { access } = session.transaction {
            session.transaction = Transaction::Pinned { access, upstream: key };
        }
        self.forward_in_transaction(caller, key);
    }

    fn finish_statement(
        &mut self,
        key: UpstreamKey,
        done: PendingReply,
        state: TransactionState,
        position: Option<Position>,
    ) {
        let now = self.now;
        let connection = &self.pool.connections[key];
        let database = connection.database.clone();
        let Some(User::Session(caller)) = connection.user else { return };
        self.measure_round_trip(key, now.since(done.sent_at));
        if let Some(state) = self.databases.get_mut(&database) {
            let took = now.since(done.sent_at).0 as f64;
            let before = if state.avg_response_us > 0.0 { state.avg_response_us } else { took };
            state.avg_response_us =
                before * (1.0 - RESPONSE_TIME_WEIGHT) + took * RESPONSE_TIME_WEIGHT;
            state.response_measured_at = now;
        }
        match done.outcome {
            Some(Reply::Complete { receipt: Some(receipt) }) => {
                if let Some(state) = self.databases.get_mut(&database) {
                    state.lag_backoff = None;
                }
                let mut rows = done.rows;
                rows.push(Reply::Complete { receipt: Some(receipt) });
                self.settle_success(caller, key, rows, done.sent_at, state, position);
            }
            Some(Reply::Error { code, text }) => {
                self.settle_error(caller, key, code, &text, state, position);
            }
            _ => self.lose_connection(key, "answer without a receipt"),
        }
    }

    /// Handles the success of a session's current statement. The answer to a write, or to a read of the
    /// latest state, is held back unless the database is surely still the primary.
    fn settle_success(
        &mut self,
        key: CallerKey,
        upstream: UpstreamKey,
        rows: Vec<Reply>,
        sent_at: MonoTime,
        state: TransactionState,
        position: Option<Position>,
    ) {
        let database = self.pool.connections[upstream].database.clone();
        let session = &mut self.sessions[key];
        let Some(current) = &session.current else { return };
        let Some(auth) = session.authorization.clone() else { return };
        let sent_in_term = current.sent_in_term;
        let commits = current.statement == Statement::Commit;
        let pinned = matches!(session.transaction, Transaction::Pinned { .. });
        let writes = if commits {
            session.wrote_in_transaction
        } else {
            !pinned && access_of(session, &current.statement) == Access::Write
        };
        if commits {
            session.transaction = Transaction::None;
        }
        if state == TransactionState::Idle {
            self.free(upstream);
        }
        let service_name = auth.route.service.clone();
        let Some(service) = self.services.get_mut(&service_name) else { return };
        let is_primary = service.primary.as_ref() == Some(&database);
        let term = service.term;
        if let Some(position) = position
            && position.term > service.term
        {
            // A new term has begun elsewhere: query the databases again.
            service.primary_queried_at = None;
        }
        let latest = auth.route.freshness == Freshness::Latest;
        let service = self.services.get(&service_name);
        // An answer counts only in the term in which its statement was sent: an old primary may answer
        // late, and the same database may be primary again in a later term.
        let is_confirmed = service
            .is_some_and(|s| is_primary && sent_in_term == term && self.can_confirm_answers(s));
        if let (true, Some(position), Some(service)) =
            (is_confirmed, position, self.services.get_mut(&service_name))
        {
            service.freshness.observe(sent_at, position);
        }
        if !is_primary {
            self.counts.replica_reads += u64::from(!writes);
        }
        let ends_operation = commits || !pinned;
        let needs_confirmation = writes || (latest && ends_operation);
        if needs_confirmation && !is_confirmed {
            let (service, term) = (service_name, sent_in_term);
            let answer = UnconfirmedAnswer { service, database, term, rows, position, writes };
            if let Some(current) = &mut self.sessions[key].current {
                debug!(self.log, "answer held back until its term is confirmed";
                    "id" => &*current.id, "term" => term.0);
                current.stage = Stage::Unconfirmed;
                current.unconfirmed = Some(answer);
                self.unconfirmed.push(key);
            }
            return self.settle_unconfirmed();
        }
        self.deliver(key, rows, position, writes.then_some(service_name));
    }

    /// Passes a successful answer on to the caller.
    fn deliver(
        &mut self,
        key: CallerKey,
        rows: Vec<Reply>,
        position: Option<Position>,
        wrote_at: Option<ServiceName>,
    ) {
        let now = self.now;
        let session = &mut self.sessions[key];
        if let Some(current) = session.current.take() {
            let took = now.since(current.arrived);
            match wrote_at.is_some() || current.statement == Statement::Commit {
                true => self.latencies.writes.record(took),
                false => self.latencies.reads.record(took),
            }
            if current.needed_preparation {
                self.latencies.prepared.record(took);
            }
        }
        session.last_active = now;
        if let Some(service) = wrote_at {
            session.commits.note(service, position, &self.catalog);
        }
        self.counts.answered += 1;
        for row in rows {
            self.reply(key, row);
        }
        self.send_ready(key, position);
        self.start_queued(key);
    }

    /// Passes on the answers that were held back and are now confirmed, and drops those whose primary was
    /// replaced. The others stay held back.
    pub(super) fn settle_unconfirmed(&mut self) {
        let held_back = std::mem::take(&mut self.unconfirmed);
        for key in held_back {
            let Some(current) = self.sessions.get(key).and_then(|s| s.current.as_ref()) else {
                continue;
            };
            let Some(answer) = &current.unconfirmed else { continue };
            let Some(service) = self.services.get(&answer.service) else { continue };
            let is_primary = service.primary.as_ref() == Some(&answer.database);
            if service.term > answer.term || (service.primary.is_some() && !is_primary) {
                info!(self.log, "answer of an earlier term dropped"; "id" => &*current.id,
                    "term" => answer.term.0, "now" => service.term.0);
                let reason = "the primary was replaced before its answer was confirmed";
                if answer.writes {
                    self.fail(key, ErrorCode::InDoubt, reason);
                } else if current.statement == Statement::Commit {
                    // The transaction has ended and its statements are not kept, so it can't be repeated.
                    self.fail(key, ErrorCode::Aborted, reason);
                } else {
                    if let Some(current) = &mut self.sessions[key].current {
                        current.unconfirmed = None;
                    }
                    self.requeue(key);
                }
            } else if self.can_confirm_answers(service) {
                let current = self.sessions[key].current.as_mut();
                if let Some(answer) = current.and_then(|current| current.unconfirmed.take()) {
                    let wrote_at = answer.writes.then_some(answer.service);
                    self.deliver(key, answer.rows, answer.position, wrote_at);
                }
            } else {
                self.unconfirmed.push(key);
            }
        }
    }

    fn settle_error(
        &mut self,
        key: CallerKey,
        upstream: UpstreamKey,
        code: ErrorCode,
        text: &str,
        state: TransactionState,
        position: Option<Position>,
    ) {
        let session = &self.sessions[key];
        let pinned = matches!(session.transaction, Transaction::Pinned { .. });
        if !pinned && state == TransactionState::Idle {
            return self.settle_refusal(key, upstream, code, text, position);
        }
        if code == ErrorCode::Busy
            && state == TransactionState::Open
            && !self.is_ending()
            && session
                .current
                .as_ref()
                .is_some_and(|c| self.now + STATEMENT_RETRY_DELAY < c.refuse_at)
        {
            // Nothing ran and the transaction is intact: send the statement again at once.
            self.counts.retries += 1;
            return self.forward_in_transaction(key, upstream);
        }
        if code == ErrorCode::ReadOnly {
            self.clear_deposed_primary(upstream);
        }
        self.roll_back(upstream);
        self.fail(key, code, text);
    }

    /// Handles an error for a statement after which no transaction is open at the database. The statement
    /// is tried again where that is safe.
    fn settle_refusal(
        &mut self,
        key: CallerKey,
        upstream: UpstreamKey,
        code: ErrorCode,
        text: &str,
        position: Option<Position>,
    ) {
        let now = self.now;
        self.free(upstream);
        let database = self.pool.connections[upstream].database.clone();
        if let Some(state) = self.databases.get_mut(&database)
            && code == ErrorCode::Lagging
        {
            let position = position.unwrap_or(Position::ZERO);
            let span = state
                .lag_backoff
                .map_or(LAG_BACKOFF_MIN_US, |backoff| backoff.span.0 * 2)
                .min(LAG_BACKOFF_MAX_US);
            let until = now + DurationUs(span);
            state.lag_backoff = Some(LagBackoff { position, until, span: DurationUs(span) });
        }
        if code == ErrorCode::ReadOnly {
            self.clear_deposed_primary(upstream);
        }
        if code == ErrorCode::NoSuchStatement {
            self.pool.connections[upstream].state_unknown = true;
        }
        let session = &mut self.sessions[key];
        let single_read = session.current.as_ref().is_some_and(|current| {
            session.transaction == Transaction::None
                && access_of(session, &current.statement) == Access::Read
        });
        let Some(current) = &mut session.current else { return };
        let repeatable = code.did_not_run() || (code == ErrorCode::Failed && single_read);
        if repeatable
            && current.tries < TRIES_MAX
            && now + STATEMENT_RETRY_DELAY < current.refuse_at
        {
            current.stage = Stage::Waiting;
            if code != ErrorCode::Lagging {
                current.retry_at = now + STATEMENT_RETRY_DELAY;
            }
            self.counts.retries += 1;
            self.waiting.push(Waiter::Session(key));
            return;
        }
        self.fail(key, code, text);
    }

    /// Forgets a database as primary after it refused a write as read-only.
    fn clear_deposed_primary(&mut self, upstream: UpstreamKey) {
        let database = self.pool.connections[upstream].database.clone();
        for (name, service) in &mut self.services {
            if service.primary.as_ref() == Some(&database) {
                info!(self.log, "database is no longer primary"; "service" => %name,
                    "database" => %database, "term" => service.term.0);
                service.primary = None;
                service.primary_queried_at = None;
            }
        }
    }
}
