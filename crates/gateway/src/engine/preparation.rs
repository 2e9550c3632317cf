//! Preparation of connections: before a statement is sent, the database has confirmed the session's variables and the
//! prepared statement on its connection.
//!
//! A statement whose preparation fails has not been sent, so it is tried again over another connection, or refused
//! as not run. Within a transaction it ends the transaction, since the connection can't be replaced.
//! A channel to a holder needs no confirmation: the holder keeps the channel's variables, which arrive in order, and
//! prepares its own connection before it sends a request.

use slog::info;

use super::{
    Engine,
    replies::{STATEMENT_RETRY_DELAY, TRIES_MAX},
};
use crate::{
    effect::{CallerKey, UpstreamKey},
    message::{
        ErrorCode, PreparedKey, PreparedStatement, Reply, Statement, TransactionState,
        UpstreamRequest,
    },
    pool::{PendingKind, PendingReply, User},
    session::{Stage, Transaction},
};

impl Engine {
    /// Sends what a connection lacks for a session's current statement. Returns whether the statement has to wait for
    /// the database to confirm it.
    pub(super) fn awaits_preparation(&mut self, key: CallerKey, upstream: UpstreamKey) -> bool {
        let prepared = self.prepared_statement_of(key);
        let variables = &self.sessions[key].variables;
        let requests = self.pool.connections[upstream].preparation(variables, prepared.as_ref());
        if !self.send_preparation(upstream, requests) {
            return false;
        }
        if let Some(current) = &mut self.sessions[key].current {
            current.stage = Stage::Preparing(upstream);
            current.needed_preparation = true;
        }
        true
    }

    fn prepared_statement_of(
        &mut self,
        key: CallerKey,
    ) -> Option<(PreparedKey, PreparedStatement)> {
        let session = &self.sessions[key];
        let Some(Statement::Execute { name, .. }) = session.current.as_ref().map(|c| &c.statement)
        else {
            return None;
        };
        let prepared = session.prepared.get(name)?.clone();
        Some((self.pool.prepared_key(&prepared), prepared))
    }

    /// Sends the requests of [`crate::pool::Connection::preparation`]. Returns whether the database has to confirm
    /// them.
    pub(super) fn send_preparation(
        &mut self,
        upstream: UpstreamKey,
        requests: Vec<UpstreamRequest>,
    ) -> bool {
        if requests.is_empty() {
            return false;
        }
        let connection = &mut self.pool.connections[upstream];
        connection.set_in_transaction |= connection.in_transaction;
        let is_channel = connection.link.is_some();
        for request in requests {
            if is_channel {
                self.pool.connections[upstream].confirm(request.clone());
            }
            self.send(upstream, PendingKind::Setup, request);
        }
        !is_channel
    }

    /// Handles the database's answer to a request of a preparation. After the last one, what it was for goes on.
    pub(super) fn finish_setup(
        &mut self,
        upstream: UpstreamKey,
        done: PendingReply,
        state: TransactionState,
    ) {
        let connection = &mut self.pool.connections[upstream];
        let expected = match connection.in_transaction {
            true => TransactionState::Open,
            false => TransactionState::Idle,
        };
        match (done.outcome, done.setup) {
            (Some(Reply::Complete { .. }), Some(request)) if state == expected => {
                connection.confirm(request);
            }
            (outcome, _) => {
                info!(self.log, "connection setup failed"; "database" => %connection.database,
                    "answer" => ?outcome, "state" => ?state);
                return self.fail_preparation(upstream, "the connection could not be prepared");
            }
        }
        if !connection.pending.is_empty() {
            return;
        }
        match connection.user {
            Some(User::Session(caller)) => self.continue_prepared(caller, upstream),
            Some(User::Channel(channel)) => self.start_channel_on(channel, upstream),
            None => {}
        }
    }

    /// Goes on with a session's statement on the connection that is now prepared, if it may still be sent there.
    fn continue_prepared(&mut self, key: CallerKey, upstream: UpstreamKey) {
        let Some(session) = self.sessions.get(key) else { return };
        if session.current.as_ref().is_none_or(|c| c.stage != Stage::Preparing(upstream)) {
            return;
        }
        match session.transaction {
            Transaction::Pinned { .. } => {
                if !self.resume_in_transaction(key, upstream) {
                    self.hold_in_transaction(key);
                }
            }
            _ => self.start_on(key, upstream),
        }
    }

    /// Closes a connection whose preparation failed: what is set on it is unknown.
    pub(super) fn fail_preparation(&mut self, upstream: UpstreamKey, reason: &str) {
        let Some(connection) = self.pool.connections.get(upstream) else { return };
        let user = connection.user;
        self.close_connection(upstream);
        match user {
            Some(User::Session(caller)) => self.settle_unprepared(caller, reason),
            Some(User::Channel(channel)) => self.settle_unprepared_channel(channel, reason),
            None => {}
        }
    }

    /// Decides on a session's statement that was not sent because its connection could not be prepared.
    pub(super) fn settle_unprepared(&mut self, key: CallerKey, reason: &str) {
        let retry_at = self.now + STATEMENT_RETRY_DELAY;
        let Some(session) = self.sessions.get_mut(key) else { return };
        let Some(current) = &mut session.current else { return };
        if let Transaction::Pinned { .. } = session.transaction {
            return self.fail(key, ErrorCode::Aborted, reason);
        }
        current.failed_preparations += 1;
        if current.failed_preparations >= TRIES_MAX || retry_at >= current.refuse_at {
            return self.fail(key, ErrorCode::Busy, reason);
        }
        current.retry_at = retry_at;
        self.counts.preparation_retries += 1;
        self.requeue(key);
    }
}
