//! Connections to databases: opening, sending, freeing and closing them, and noticing databases that
//! don't answer.

use model::prelude::*;
use slog::info;

use super::Engine;
use crate::{
    effect::{Effect, UpstreamKey},
    message::UpstreamRequest,
    pool::{Connection, PendingKind, PendingReply, Purpose, User},
};

/// Base of the delay before the next connection to a failing database; doubles with each failure.
const RETRY_MIN: DurationUs = DurationUs::from_ms(50);
/// Longest delay before the next connection to a failing database.
const RETRY_MAX: DurationUs = DurationUs::from_ms(800);
/// How long a free connection is kept open.
const IDLE_TIMEOUT: DurationUs = DurationUs::from_ms(20_000);
/// Time in which a database has to accept a connection.
const CONNECT_TIMEOUT: DurationUs = DurationUs::from_ms(800);
/// Time without an answer after which a database is suspected to have failed, provided that it sends
/// nothing on any other connection of this VM either.
const SILENCE_TIMEOUT: DurationUs = DurationUs::from_ms(500);

impl Engine {
    /// Opens a connection to a database.
    pub(super) fn open(&mut self, database: &DatabaseName, purpose: Purpose) -> UpstreamKey {
        let now = self.now;
        let state = &self.databases[database];
        let workspace = match &purpose {
            Purpose::Statements(workspace) => workspace.clone(),
            Purpose::Control { .. } => None,
        };
        let incarnation = state.record.incarnation;
        let connection = Connection::new(database.clone(), incarnation, purpose, now);
        let key = self.pool.insert(connection);
        self.counts.connections_opened += 1;
        let service = state.record.service.clone();
        self.effects.push(Effect::Connect(key, state.record.address));
        let database = database.clone();
        self.send(key, PendingKind::Start, UpstreamRequest::Start { service, workspace, database });
        key
    }

    /// Sends a request on a connection and records that a reply is pending.
    pub(super) fn send(&mut self, key: UpstreamKey, kind: PendingKind, request: UpstreamRequest) {
        let Some(connection) = self.pool.connections.get_mut(key) else { return };
        let reply = PendingReply::new(kind, self.now);
        match connection.link {
            None => {
                connection.pending.push_back(match kind {
                    PendingKind::Setup => reply.with_setup(request.clone()),
                    _ => reply,
                });
                self.record_request(key);
                self.effects.push(Effect::ToUpstream(key, request));
            }
            // A holder does not reply to these.
            Some(_) if kind == PendingKind::Setup => self.send_to_holder(key, request),
            Some(_) => {
                connection.pending.push_back(reply);
                self.send_to_holder(key, request);
            }
        }
    }

    /// Frees a connection from its user.
    pub(super) fn free(&mut self, upstream: UpstreamKey) {
        if let Some(connection) = self.pool.connections.get_mut(upstream) {
            connection.user = None;
            connection.in_transaction = false;
            connection.set_in_transaction = false;
            connection.idle_since = self.now;
        }
    }

    /// Rolls back the transaction on a connection and frees it. Where nothing may be sent any more, the connection
    /// is closed, upon which the database rolls back.
    pub(super) fn roll_back(&mut self, upstream: UpstreamKey) {
        let own = self.pool.connections.get(upstream).filter(|c| c.link.is_none());
        let is_full = own.is_some_and(|connection| self.is_cold_full(&connection.database));
        if is_full || !self.admits_next_statement(upstream) {
            return self.close_connection(upstream);
        }
        self.send(upstream, PendingKind::Setup, UpstreamRequest::Rollback);
        if let Some(connection) = self.pool.connections.get_mut(upstream) {
            // Some databases also undo settings that were made inside the transaction.
            connection.state_unknown |= connection.set_in_transaction;
        }
        self.free(upstream);
    }

    /// Closes a connection at once.
    pub(super) fn close_connection(&mut self, key: UpstreamKey) {
        if let Some(connection) = self.pool.remove(key) {
            self.release_path(key, &connection);
        }
    }

    /// Closes the socket, or the channel, of a connection that was removed from the pool.
    pub(super) fn release_path(&mut self, key: UpstreamKey, connection: &Connection) {
        match connection.link {
            None => self.effects.push(Effect::CloseUpstream(key)),
            Some(link) => self.close_channel_at_holder(link, key),
        }
    }

    /// Records a failure of a database that began at `since`, and delays the next connection to it.
    pub(super) fn note_failure(&mut self, database: &DatabaseName, since: MonoTime, reason: &str) {
        let now = self.now;
        let Some(state) = self.databases.get_mut(database) else { return };
        state.failures += 1;
        let pause = RETRY_MIN.0 << state.failures.min(5);
        state.retry_at = now + DurationUs(pause.min(RETRY_MAX.0));
        if state.failing_since.is_none() {
            state.failing_since = Some(since);
            info!(self.log, "database suspected"; "database" => %database,
                "service" => %state.record.service, "reason" => reason,
                "heard_ms" => state.last_heard.map(|at| now.since(at).as_ms()));
        }
    }

    /// Drops connections that were not accepted in time, or that don't answer the gateway's own requests,
    /// suspects databases that don't answer, and closes connections that have been idle for too long.
    ///
    /// Reads without an answer are repeated elsewhere. Any other statement keeps its connection until its time
    /// limit; the silence counts as one failure, so that it does not delay the queries that show when the
    /// database answers again.
    pub(super) fn expire_connections(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        let mut unprepared = Vec::new();
        let mut silent = Vec::new();
        let mut idle = Vec::new();
        for (key, connection) in &self.pool.connections {
            let front = connection.pending.front();
            let oldest = front.map(|pending| pending.sent_at);
            let prepares = front.is_some_and(|pending| pending.kind == PendingKind::Setup);
            if !connection.started && now.since(connection.opened_at) >= CONNECT_TIMEOUT {
                late.push(key);
            } else if connection.link.is_some() && oldest.is_some() {
                // `expire_links` judges the silence of a link as a whole.
            } else if let Some(sent_at) = oldest {
                let heard = self.databases.get(&connection.database).and_then(|s| s.last_heard);
                let unheard = heard.is_none_or(|heard| heard <= sent_at);
                let is_late = now.since(sent_at) >= SILENCE_TIMEOUT;
                if is_late && prepares && !unheard {
                    unprepared.push(key);
                } else if is_late && (prepares || connection.user.is_none()) {
                    late.push(key);
                } else if is_late && unheard && !connection.is_silent {
                    silent.push((key, connection.database.clone(), sent_at));
                }
            } else if connection.is_free() && now.since(connection.idle_since) >= IDLE_TIMEOUT {
                idle.push(key);
            }
        }
        for (key, database, sent_at) in silent {
            self.pool.connections[key].is_silent = true;
            self.note_failure(&database, sent_at, "no answer");
            match self.pool.connections[key].user {
                Some(User::Session(_)) => self.take_back_read(key),
                Some(User::Channel(channel)) => self.report_silence(channel),
                None => {}
            }
        }
        for key in late {
            self.lose_connection(key, "no answer in time");
        }
        for key in unprepared {
            self.fail_preparation(key, "no answer in time");
        }
        for key in idle {
            self.close_connection(key);
        }
    }
}
