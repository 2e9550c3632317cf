//! What callers say, and the statements that the gateway answers itself.

use model::prelude::*;
use slog::info;

use super::Engine;
use crate::{
    catalog::Route,
    effect::{CallerKey, Effect},
    message::{Access, CallerMessage, ErrorCode, Reply, Statement, TransactionState},
    queue,
    session::{
        CurrentStatement, PIPELINE_MAX, QueuedStatement, SESSION_ENTRIES_MAX, Session, Stage,
        Transaction,
    },
};

/// What a session may use, as the configuration in force says.
#[derive(Clone, Debug)]
pub(crate) struct Authorization {
    pub(crate) route: Route,
    pub(crate) workspace: Option<WorkspaceName>,
}

impl Engine {
    /// A caller connected.
    pub fn caller_opened(&mut self, now: MonoTime) -> CallerKey {
        self.now = now;
        self.sessions.insert(Session::new(now))
    }

    /// A caller's connection ended.
    pub fn caller_closed(&mut self, now: MonoTime, key: CallerKey) {
        self.now = now;
        self.release_transaction(key);
        self.sessions.remove(key);
        self.place_waiting();
    }

    /// A caller said something.
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
                self.start_queued(key);
                self.place_waiting();
                let current = self.sessions.get(key).and_then(|session| session.current.as_ref());
                if current.is_some_and(|current| current.needs_token) {
                    self.borrow_tokens();
                }
            }
            CallerMessage::Terminate => self.close_session(key),
            CallerMessage::Oversized => {
                self.refuse_session(key, ErrorCode::TooBig, "the message is too long")
            }
            CallerMessage::Invalid => {
                self.refuse_session(key, ErrorCode::Malformed, "not a message of the protocol")
            }
        }
    }

    fn start(&mut self, key: CallerKey, host: Box<str>, credential: Option<Box<str>>) {
        let session = &mut self.sessions[key];
        if session.started || session.start_deferred {
            return self.refuse_session(key, ErrorCode::Malformed, "the session has started");
        }
        session.host = host;
        session.credential = credential;
        if self.catalog.generation == 0 {
            // Nothing is known yet: the configuration decides, in a moment.
            session.start_deferred = true;
            return;
        }
        self.answer_start(key);
    }

    /// Answers callers that came before the configuration did.
    pub(super) fn answer_held_starts(&mut self) {
        let held = self.sessions.iter().filter(|(_, session)| session.start_deferred);
        let held: Vec<CallerKey> = held.map(|(key, _)| key).collect();
        for key in held {
            self.sessions[key].start_deferred = false;
            self.answer_start(key);
        }
    }

    fn answer_start(&mut self, key: CallerKey) {
        if let Err(code) = self.authorize(&self.sessions[key]) {
            return self.refuse_session(key, code, "check the host and the key");
        }
        self.sessions[key].started = true;
        self.reply(key, Reply::Ready { state: TransactionState::Idle, position: None });
    }

    /// Answers with an error and ends the session.
    fn refuse_session(&mut self, key: CallerKey, code: ErrorCode, text: &str) {
        let session = &self.sessions[key];
        info!(self.log, "session refused"; "host" => &*session.host, "code" => %code,
            "reason" => text, "generation" => self.catalog.generation);
        self.reply(key, Reply::Error { code, text: text.into() });
        self.close_session(key);
    }

    /// What the session may use, or why it may not.
    pub(super) fn authorize(&self, session: &Session) -> Result<Authorization, ErrorCode> {
        let route = self.catalog.routes.get(&session.host).ok_or(ErrorCode::NoDatabase)?;
        if route.open {
            return Ok(Authorization { route: route.clone(), workspace: None });
        }
        let key = session.credential.as_ref().ok_or(ErrorCode::NoAuth)?;
        let workspace = self.catalog.keys.get(key).ok_or(ErrorCode::NoAuth)?;
        let workspace = self.catalog.workspaces.get(*workspace).ok_or(ErrorCode::NoAuth)?;
        Ok(Authorization { route: route.clone(), workspace: Some(workspace.name.clone()) })
    }

    /// Takes up the session's next statements until one has to wait.
    pub(super) fn start_queued(&mut self, key: CallerKey) {
        while let Some(session) = self.sessions.get_mut(key) {
            if session.current.is_some() {
                return;
            }
            let Some(next) = session.queued.pop_front() else { return };
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
        let grant = match self.authorize(session) {
            Ok(grant) => grant,
            Err(ErrorCode::NoDatabase) if state == TransactionState::Open => {
                match session.authorization.clone() {
                    Some(grant) => grant,
                    None => {
                        return self.refuse_unauthorized(key, &queued.id, ErrorCode::NoDatabase);
                    }
                }
            }
            Err(code) => return self.refuse_unauthorized(key, &queued.id, code),
        };
        match statement {
            Statement::Begin { .. } if state == TransactionState::Open => {
                self.answer_error(key, &queued.id, ErrorCode::Malformed, "a transaction is open")
            }
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
                        "too many values",
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
                let text = "prepare it first";
                self.answer_error(key, &queued.id, ErrorCode::NoSuchStatement, text);
            }
            Statement::Begin { .. }
            | Statement::Commit
            | Statement::Plain { .. }
            | Statement::Execute { .. } => {
                let begins = state == TransactionState::Idle;
                if begins {
                    if !self.admit(key, &queued.id, &grant) {
                        return;
                    }
                    self.sessions[key].authorization = Some(grant);
                }
                self.enqueue(key, queued.id, statement, queued.arrived, begins);
            }
        }
    }

    /// Counts an operation against the workspace's rate; refuses it where it would wait too long for
    /// its turn.
    fn admit(&mut self, key: CallerKey, id: &str, grant: &Authorization) -> bool {
        let Some(workspace) = &grant.workspace else { return true };
        let patience = queue::max_rate_wait(&grant.route);
        let Err(wait) = self.rates.enqueue(self.now, workspace, patience) else { return true };
        self.counts.rate_limited += 1;
        info!(self.log, "refused"; "id" => id, "code" => "TooMany", "reason" => "past its rate",
            "workspace" => %workspace, "retry_ms" => wait.as_ms());
        let text = format!("{workspace} is past its rate; retry after {} ms", wait.as_ms());
        self.answer_error(key, id, ErrorCode::TooMany, &text);
        false
    }

    /// The operation's token has come. Returns whether the statement is answered with that.
    pub(super) fn rate_token_acquired(&mut self, key: CallerKey) -> bool {
        let session = &mut self.sessions[key];
        let Some(current) = &mut session.current else { return true };
        current.needs_token = false;
        if let Some(grant) = &session.authorization {
            current.refuse_at = self.now + queue::max_queue_wait(&grant.route);
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
        let session = &mut self.sessions[key];
        let Some(grant) = &session.authorization else { return };
        let timeout = grant.route.statement_timeout;
        let patience = match needs_token {
            true => queue::max_rate_wait(&grant.route),
            false => queue::max_queue_wait(&grant.route),
        };
        session.current = Some(CurrentStatement {
            id,
            statement,
            arrived,
            refuse_at: arrived + patience,
            timeout_at: arrived + timeout,
            stage: Stage::Waiting,
            tries: 0,
            sent_in_term: Term(0),
            retry_at: self.now,
            unconfirmed: None,
            needs_token,
        });
        match session.transaction {
            Transaction::Pinned { upstream, .. } => self.forward_in_transaction(key, upstream),
            _ => self.waiting.push(key),
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
                self.sessions[key].transaction = Transaction::Failed { unreported: false };
                self.answer_error(key, id, ErrorCode::Aborted, "the transaction was rolled back");
            }
            _ => {
                let text = "the transaction failed: end it";
                self.answer_error(key, id, ErrorCode::Malformed, text);
            }
        }
    }

    /// Refuses a statement whose key or route is gone, and ends the transaction that it is in.
    fn refuse_unauthorized(&mut self, key: CallerKey, id: &str, code: ErrorCode) {
        if self.sessions[key].transaction.state() == TransactionState::Open {
            self.release_transaction(key);
            self.sessions[key].transaction = Transaction::Failed { unreported: false };
        }
        self.answer_error(key, id, code, "the key or the route is gone");
    }

    /// Answers a statement that no upstream has to see.
    fn answer_locally(&mut self, key: CallerKey) {
        self.reply(key, Reply::Complete { receipt: None });
        self.send_ready(key, None);
    }

    /// Answers with an error; the session goes on.
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

    /// Gives the connection of the session's transaction back, rolled back. What is in progress for
    /// the session is dropped.
    pub(super) fn release_transaction(&mut self, key: CallerKey) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let current = session.current.take();
        let untaken = current.as_ref().is_some_and(|current| current.needs_token);
        let workspace = session.authorization.as_ref().and_then(|grant| grant.workspace.clone());
        if let Some(workspace) = workspace.filter(|_| untaken) {
            self.rates.cancel(&workspace);
        }
        let transaction = std::mem::replace(&mut session.transaction, Transaction::None);
        let in_progress = current.as_ref().and_then(|current| current.stage.upstream());
        if let Some(upstream) = in_progress {
            // Its answer can't be told from that of the next statement's holder: end the connection.
            self.close_connection(upstream);
        } else if let Transaction::Pinned { upstream, .. } = transaction {
            self.roll_back(upstream);
        }
        self.waiting.retain(|waiting| *waiting != key);
        self.unconfirmed.retain(|parked| *parked != key);
    }

    /// Ends a transaction that the caller has not ended; the caller hears of it with its next
    /// statement.
    pub(super) fn abandon_transaction(&mut self, key: CallerKey, reason: &str) {
        info!(self.log, "transaction rolled back"; "host" => &*self.sessions[key].host,
            "reason" => reason,
            "idle_ms" => self.now.since(self.sessions[key].last_active).as_ms());
        self.release_transaction(key);
        self.sessions[key].transaction = Transaction::Failed { unreported: true };
    }

    /// Ends transactions that have rested for longer than the configuration allows.
    pub(super) fn expire_transactions(&mut self) {
        let Some(limit) = self.catalog.transaction_idle_timeout else { return };
        let now = self.now;
        let resting = self.sessions.iter().filter(|(_, session)| {
            matches!(session.transaction, Transaction::Pinned { .. })
                && session.current.is_none()
                && now.since(session.last_active) >= limit
        });
        let resting: Vec<CallerKey> = resting.map(|(key, _)| key).collect();
        for key in resting {
            self.abandon_transaction(key, "it rested too long");
        }
    }
}

/// Whether a statement writes, as far as the session knows.
pub(super) fn access_of(session: &Session, statement: &Statement) -> Access {
    match statement {
        Statement::Plain { access, .. } => *access,
        Statement::Execute { name, .. } => {
            session.prepared.get(name).map_or(Access::Write, |prepared| prepared.access)
        }
        _ => Access::Read,
    }
}
