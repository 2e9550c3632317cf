//! Messages of callers: session start, authorization, admission by rate, and the statements that the
//! gateway answers itself (session variables, `PREPARE`, `BEGIN`, `ROLLBACK`).

use model::prelude::*;
use slog::info;

use super::{Engine, Waiter, refusals::no_contact_text};
use crate::{
    catalog::Route,
    effect::{CallerKey, Effect},
    message::{Access, CallerMessage, ErrorCode, Reply, Statement, TransactionState},
    queue,
    refusals::RefusalReason,
    regions::AllowedRegions,
    session::{
        CurrentStatement, PIPELINE_MAX, QueuedStatement, SESSION_ENTRIES_MAX, Session, Stage,
        Transaction,
    },
};

/// What a session may use according to the configuration in force.
#[derive(Clone, Debug)]
pub(crate) struct Authorization {
    pub(crate) route: Route,
    /// Workspace whose rate applies; `None` on routes that need no key.
    pub(crate) workspace: Option<WorkspaceName>,
    /// Regions in which the operation may run, by route and workspace.
    pub(crate) regions: AllowedRegions,
}

impl Engine {
    /// Opens a session for a caller that connected.
    pub fn caller_opened(&mut self, now: MonoTime) -> CallerKey {
        self.now = now;
        self.sessions.insert(Session::new(now))
    }

    /// Ends the session of a caller whose connection was closed.
    pub fn caller_closed(&mut self, now: MonoTime, key: CallerKey) {
        self.now = now;
        self.release_transaction(key);
        self.sessions.remove(key);
        self.place_waiting();
    }

    /// Handles messages of a caller that were read together. While this VM is stopping, what becomes of a statement
    /// depends on those that follow it, and the session is closed after the last one.
    pub fn caller_messages(
        &mut self,
        now: MonoTime,
        key: CallerKey,
        messages: impl IntoIterator<Item = CallerMessage>,
    ) {
        let mut messages = messages.into_iter().peekable();
        while let Some(message) = messages.next() {
            let is_followed = matches!(messages.peek(), Some(CallerMessage::Query { .. }));
            let waits = is_followed && self.closes_after_answers;
            if let Some(session) = self.sessions.get_mut(key) {
                session.awaits_more = waits && session.queued.len() + 1 < PIPELINE_MAX;
            }
            self.caller_message(now, key, message);
        }
    }

    /// Handles a message of a caller.
    pub fn caller_message(&mut self, now: MonoTime, key: CallerKey, message: CallerMessage) {
        self.now = now;
        let Some(session) = self.sessions.get_mut(key) else { return };
        session.last_active = now;
        match message {
            CallerMessage::Start { host, credential } => self.start(key, host, credential),
            CallerMessage::Query { id, statement } => {
                if !session.started || session.queued.len() >= PIPELINE_MAX {
                    return self.refuse_session(key, ErrorCode::Malformed, "unexpected statement");
                }
                session.queued.push_back(QueuedStatement { id, statement, arrived: now });
                if session.awaits_more {
                    return;
                }
                self.start_queued(key);
                self.place_waiting();
                self.refuse_out_of_contact();
                self.refuse_late_starts();
                let current = self.sessions.get(key).and_then(|session| session.current.as_ref());
                if current.is_some_and(|current| current.needs_token) {
                    self.borrow_tokens();
                }
            }
            CallerMessage::Terminate => self.close_session(key),
            CallerMessage::Oversized => {
                self.refuse_session(key, ErrorCode::TooBig, "the message is too large")
            }
            CallerMessage::Invalid => {
                self.refuse_session(key, ErrorCode::Malformed, "invalid message")
            }
        }
    }

    fn start(&mut self, key: CallerKey, host: Box<str>, credential: Option<Box<str>>) {
        let session = &mut self.sessions[key];
        if session.started || session.start_deferred {
            return self.refuse_session(
                key,
                ErrorCode::Malformed,
                "the session has already started",
            );
        }
        session.host = host;
        session.credential = credential;
        if self.catalog.generation == 0 {
            // Whether the route and the key exist is known once the configuration arrives.
            session.start_deferred = true;
            return;
        }
        self.answer_start(key);
    }

    /// Answers session starts that were deferred until the configuration arrived.
    pub(super) fn answer_deferred_starts(&mut self) {
        let deferred = self.sessions.iter().filter(|(_, session)| session.start_deferred);
        let deferred: Vec<CallerKey> = deferred.map(|(key, _)| key).collect();
        for key in deferred {
            self.sessions[key].start_deferred = false;
            self.answer_start(key);
        }
    }

    fn answer_start(&mut self, key: CallerKey) {
        if let Err(code) = self.authorize(&self.sessions[key]) {
            return self.refuse_session(key, code, "unknown host or key");
        }
        self.sessions[key].started = true;
        self.reply(key, Reply::Ready { state: TransactionState::Idle, position: None });
    }

    /// Sends an error and closes the session.
    pub(super) fn refuse_session(&mut self, key: CallerKey, code: ErrorCode, text: &str) {
        let session = &self.sessions[key];
        info!(self.log, "session refused"; "host" => &*session.host, "code" => %code,
            "reason" => text, "generation" => self.catalog.generation);
        self.reply(key, Reply::Error { code, text: text.into() });
        self.close_session(key);
    }

    /// Returns what the session may use, or the error where its route or key is not in the configuration.
    pub(super) fn authorize(&self, session: &Session) -> Result<Authorization, ErrorCode> {
        let route = self.catalog.routes.get(&session.host).ok_or(ErrorCode::NoDatabase)?;
        if route.open {
            let regions = route.regions.clone();
            return Ok(Authorization { route: route.clone(), workspace: None, regions });
        }
        let key = session.credential.as_ref().ok_or(ErrorCode::NoAuth)?;
        let workspace = self.catalog.keys.get(key).ok_or(ErrorCode::NoAuth)?;
        let workspace = self.catalog.workspaces.get(*workspace).ok_or(ErrorCode::NoAuth)?;
        let regions = route.regions.intersection(&workspace.regions);
        let workspace = Some(workspace.name.clone());
        Ok(Authorization { route: route.clone(), workspace, regions })
    }

    /// Starts the session's queued statements one by one, until one is not answered at once.
    pub(super) fn start_queued(&mut self, key: CallerKey) {
        while let Some(session) = self.sessions.get_mut(key) {
            if session.current.is_some() {
                return;
            }
            self.end_open_transaction(key);
            let Some(session) = self.sessions.get_mut(key) else { return };
            let Some(next) = session.queued.pop_front() else {
                if session.is_idle() && self.closes_after_answers {
                    self.close_session(key);
                }
                return;
            };
            self.begin_statement(key, next);
        }
    }

    fn begin_statement(&mut self, key: CallerKey, queued: QueuedStatement) {
        let session = &self.sessions[key];
        let state = session.transaction.state();
        let Some(statement) = queued.statement else {
            return self.answer_error(key, &queued.id, ErrorCode::Malformed, "unknown statement");
        };
        if state == TransactionState::Failed {
            return self.answer_in_failed_transaction(key, &queued.id, &statement);
        }
        let auth = match self.authorize(session) {
            Ok(auth) => auth,
            Err(ErrorCode::NoDatabase) if state == TransactionState::Open => {
                match session.authorization.clone() {
                    Some(auth) => auth,
                    None => {
                        return self.refuse_unauthorized(key, &queued.id, ErrorCode::NoDatabase);
                    }
                }
            }
            Err(code) => return self.refuse_unauthorized(key, &queued.id, code),
        };
        match statement {
            Statement::Begin { .. } if state == TransactionState::Open => self.answer_error(
                key,
                &queued.id,
                ErrorCode::Malformed,
                "a transaction is already open",
            ),
            Statement::Commit | Statement::Rollback if state == TransactionState::Idle => {
                self.answer_error(key, &queued.id, ErrorCode::Malformed, "no transaction is open")
            }
            Statement::Rollback => {
                self.release_transaction(key);
                self.sessions[key].transaction = Transaction::None;
                self.answer_locally(key);
            }
            Statement::Set { name, value } => {
                let session = &mut self.sessions[key];
                if session.variables.len() >= SESSION_ENTRIES_MAX {
                    return self.answer_error(
                        key,
                        &queued.id,
                        ErrorCode::TooBig,
                        "too many session variables",
                    );
                }
                session.variables.insert(name, value);
                self.answer_locally(key);
            }
            Statement::Prepare { name, statement } => {
                let session = &mut self.sessions[key];
                if session.prepared.len() >= SESSION_ENTRIES_MAX {
                    let text = "too many prepared statements";
                    return self.answer_error(key, &queued.id, ErrorCode::TooBig, text);
                }
                session.prepared.insert(name, statement);
                self.answer_locally(key);
            }
            Statement::Deallocate { name } => {
                self.sessions[key].prepared.remove(&name);
                self.answer_locally(key);
            }
            Statement::Execute { ref name, .. } if !session.prepared.contains_key(name) => {
                let text = "no prepared statement of that name";
                self.answer_error(key, &queued.id, ErrorCode::NoSuchStatement, text);
            }
            Statement::Begin { .. }
            | Statement::Commit
            | Statement::Plain { .. }
            | Statement::Execute { .. } => {
                let starts_operation = state == TransactionState::Idle;
                if starts_operation {
                    if !self.admit(key, &queued.id, &auth) {
                        return;
                    }
                    self.sessions[key].authorization = Some(auth);
                }
                self.enqueue(key, queued.id, statement, queued.arrived, starts_operation);
            }
        }
    }

    /// Returns how long an operation may wait for a token. Without a lease this VM was just started or is cut
    /// off, and whether the rate has tokens left is not known: the operation waits as long as for an upstream.
    fn max_rate_wait(&self, route: &Route) -> DurationUs {
        match self.has_lease() {
            true => queue::max_rate_wait(route),
            false => queue::max_queue_wait(route),
        }
    }

    /// Queues an operation for a token of its workspace's rate. Refuses it, and returns `false`, where it
    /// would wait too long.
    fn admit(&mut self, key: CallerKey, id: &str, auth: &Authorization) -> bool {
        let Some(workspace) = &auth.workspace else { return true };
        let max_wait = self.max_rate_wait(&auth.route);
        let priority = auth.route.priority;
        let wait = match self.rates.enqueue(self.now, workspace, priority, max_wait) {
            Ok(queued) => {
                self.make_room(queued, workspace, priority);
                return true;
            }
            Err(wait) => wait,
        };
        if self.contact.refuses(self.now) && !self.has_lease() {
            self.counts.refusals.record(RefusalReason::NoContact, priority);
            self.answer_error(key, id, ErrorCode::Busy, &no_contact_text());
            return false;
        }
        self.counts.rate_limited += 1;
        self.counts.refusals.record(RefusalReason::Rate, priority);
        info!(self.log, "refused"; "id" => id, "code" => "TooMany", "reason" => "rate exceeded",
            "workspace" => %workspace, "priority" => priority, "retry_ms" => wait.as_ms());
        let text =
            format!("workspace {workspace} exceeded its rate; retry after {} ms", wait.as_ms());
        self.answer_error(key, id, ErrorCode::TooMany, &text);
        false
    }

    /// Lets a session's operation go on with the token that it has got. Returns whether that already
    /// answered the statement, as with `BEGIN`.
    pub(super) fn rate_token_acquired(&mut self, key: CallerKey) -> bool {
        let session = &mut self.sessions[key];
        let Some(current) = &mut session.current else { return true };
        current.needs_token = false;
        if let Some(auth) = &session.authorization {
            current.refuse_at = self.now + queue::max_queue_wait(&auth.route);
        }
        let Statement::Begin { access } = current.statement else { return false };
        session.current = None;
        session.transaction = Transaction::Begun { access };
        session.wrote_in_transaction = false;
        self.answer_locally(key);
        self.start_queued(key);
        true
    }

    fn enqueue(
        &mut self,
        key: CallerKey,
        id: Box<str>,
        statement: Statement,
        arrived: MonoTime,
        needs_token: bool,
    ) {
        let Some(auth) = &self.sessions[key].authorization else { return };
        let timeout = auth.route.statement_timeout;
        let max_wait = match needs_token {
            true => self.max_rate_wait(&auth.route),
            false => queue::max_queue_wait(&auth.route),
        };
        let session = &mut self.sessions[key];
        session.current = Some(CurrentStatement {
            id,
            statement,
            arrived,
            refuse_at: arrived + max_wait,
            timeout_at: arrived + timeout,
            stage: Stage::Waiting,
            tries: 0,
            needed_preparation: false,
            failed_preparations: 0,
            holder: None,
            sent_in_term: Term(0),
            retry_at: self.now,
            unconfirmed: None,
            needs_token,
            held_back: false,
        });
        match session.transaction {
            Transaction::Pinned { upstream, .. } => self.forward_in_transaction(key, upstream),
            _ => self.waiting.push(Waiter::Session(key)),
        }
    }

    fn answer_in_failed_transaction(&mut self, key: CallerKey, id: &str, statement: &Statement) {
        let unreported =
            matches!(self.sessions[key].transaction, Transaction::Failed { unreported: true });
        match statement {
            Statement::Rollback => {
                self.sessions[key].transaction = Transaction::None;
                self.answer_locally(key);
            }
            Statement::Commit => {
                self.sessions[key].transaction = Transaction::None;
                self.answer_error(key, id, ErrorCode::Aborted, "the transaction was rolled back");
            }
            _ if unreported => {
                self.sessions[key].transaction = self.after_rollback(&self.sessions[key]);
                self.answer_error(key, id, ErrorCode::Aborted, "the transaction was rolled back");
            }
            _ => {
                let text = "the transaction has failed; end it with COMMIT or ROLLBACK";
                self.answer_error(key, id, ErrorCode::Malformed, text);
            }
        }
    }

    /// Refuses a statement whose key or route was removed, and rolls back the transaction that it is in.
    fn refuse_unauthorized(&mut self, key: CallerKey, id: &str, code: ErrorCode) {
        if self.sessions[key].transaction.state() == TransactionState::Open {
            self.release_transaction(key);
            self.sessions[key].transaction = Transaction::Failed { unreported: false };
        }
        self.answer_error(key, id, code, "the key or the route was removed from the configuration");
    }

    /// Reports success for a statement that is not sent to any upstream.
    fn answer_locally(&mut self, key: CallerKey) {
        self.reply(key, Reply::Complete { receipt: None });
        self.send_ready(key, None);
    }

    /// Answers a statement with an error; the session stays open.
    pub(super) fn answer_error(&mut self, key: CallerKey, id: &str, code: ErrorCode, text: &str) {
        match code.did_not_run() || code == ErrorCode::Aborted {
            true => self.counts.refused += 1,
            false => self.counts.failed += 1,
        }
        let session = &self.sessions[key];
        info!(self.log, "answered with an error"; "id" => id, "code" => %code, "reason" => text,
            "host" => &*session.host, "state" => ?session.transaction.state(),
            "generation" => self.catalog.generation);
        self.reply(key, Reply::Error { code, text: text.into() });
        self.send_ready(key, None);
    }

    pub(super) fn send_ready(&mut self, key: CallerKey, position: Option<Position>) {
        let state = self.sessions[key].transaction.state();
        self.reply(key, Reply::Ready { state, position });
    }

    pub(super) fn reply(&mut self, key: CallerKey, reply: Reply) {
        self.effects.push(Effect::ToCaller(key, reply));
    }

    /// Drops the session's current statement and its transaction. The transaction is rolled back and its
    /// connection freed, or closed if a statement is in progress on it.
    pub(super) fn release_transaction(&mut self, key: CallerKey) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let current = session.current.take();
        let awaits_token = current.as_ref().is_some_and(|current| current.needs_token);
        if let Some(auth) = session.authorization.as_ref().filter(|_| awaits_token)
            && let Some(workspace) = &auth.workspace
        {
            self.rates.cancel(workspace, auth.route.priority);
        }
        let transaction = std::mem::replace(&mut session.transaction, Transaction::None);
        let in_progress = current.as_ref().and_then(|current| current.stage.upstream());
        if let Some(upstream) = in_progress {
            // A late answer could be taken for that of the connection's next holder.
            self.close_connection(upstream);
        } else if let Transaction::Pinned { upstream, .. } = transaction {
            self.roll_back(upstream);
        }
        self.waiting.retain(|waiting| *waiting != Waiter::Session(key));
        self.unconfirmed.retain(|waiting| *waiting != key);
    }

    /// Rolls back a transaction that the caller has not ended. The caller gets the error with its next
    /// statement.
    pub(super) fn abandon_transaction(&mut self, key: CallerKey, reason: &str) {
        info!(self.log, "transaction rolled back"; "host" => &*self.sessions[key].host,
            "reason" => reason,
            "idle_ms" => self.now.since(self.sessions[key].last_active).as_ms());
        self.release_transaction(key);
        self.sessions[key].transaction = Transaction::Failed { unreported: true };
    }

    /// Rolls back transactions that have been idle for longer than the configuration allows.
    pub(super) fn expire_transactions(&mut self) {
        let Some(limit) = self.catalog.transaction_idle_timeout else { return };
        let now = self.now;
        let idle = self.sessions.iter().filter(|(_, session)| {
            matches!(session.transaction, Transaction::Pinned { .. })
                && session.current.is_none()
                && now.since(session.last_active) >= limit
        });
        let idle: Vec<CallerKey> = idle.map(|(key, _)| key).collect();
        for key in idle {
            self.abandon_transaction(key, "idle timeout");
        }
    }
}

/// Returns whether a statement writes; one whose prepared statement is not known counts as a write.
pub(super) fn access_of(session: &Session, statement: &Statement) -> Access {
    match statement {
        Statement::Plain { access, .. } => *access,
        Statement::Execute { name, .. } => {
            session.prepared.get(name).map_or(Access::Write, |prepared| prepared.access)
        }
        _ => Access::Read,
    }
}
