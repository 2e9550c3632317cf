//! A planned stop: what goes on until half of the grace period, and how everything is answered before the process ends.
//!
//! Until half of the grace period this VM serves as before, closes idle sessions, and is not ready. Once no callers are
//! accepted any more, each session is closed with its last answer. In the second half no transaction begins, and one that is
//! open is rolled back as soon as it has no statement in progress, unless its `COMMIT` was read already. A statement
//! is sent to a database only if its time limit ends before the process does; any other is refused at once, and what has no
//! answer at the end is answered by this VM.

use model::prelude::*;
use slog::info;

use super::{Engine, Waiter};
use crate::{
    effect::CallerKey,
    message::{ErrorCode, Statement, TransactionState},
    session::{Session, Stage, Transaction},
};

/// How long an idle session stays open once the VM is stopping: its next statement may be in transit.
pub(super) const STOP_IDLE_GRACE: DurationUs = DurationUs::from_ms(300);
/// Time before the end of the process from which on no `COMMIT` is sent any more: a database that takes longer for one
/// is suspected to have failed.
const COMMIT_RESERVE: DurationUs = DurationUs::from_ms(500);
/// Reason in answers and log records.
pub(super) const STOPPING: &str = "this VM is stopping";

impl Engine {
    /// Whether this VM was asked to stop, all its sessions have ended and no request of a peer is in progress.
    pub fn is_stopped(&self) -> bool {
        self.stopping_since.is_some() && self.sessions.is_empty() && self.channels.are_idle()
    }

    /// Begins to stop: this VM is no longer ready and closes idle sessions, while work in progress goes
    /// on.
    pub fn stop(&mut self, now: MonoTime) {
        self.now = now;
        if self.stopping_since.is_none() {
            info!(self.log, "stopping"; "sessions" => self.sessions.len());
            self.stopping_since = Some(now);
            self.fleet.set_stopping();
            self.follow_homes();
            self.announce_leaving();
            self.send_heartbeats();
        }
    }

    /// From now on closes each session as soon as its statements are answered. A caller that sends one statement after
    /// another is never idle.
    pub fn close_sessions_after_answers(&mut self, now: MonoTime) {
        self.now = now;
        self.closes_after_answers = true;
    }

    /// Begins the second half of a stop: transactions end, and each session is closed with its last answer. The process
    /// ends at `ends_at` at the latest.
    pub fn end_work(&mut self, now: MonoTime, ends_at: MonoTime) {
        self.close_sessions_after_answers(now);
        self.ends_at = Some(ends_at);
        info!(self.log, "ending transactions and sessions"; "sessions" => self.sessions.len(),
            "waiting" => self.waiting.len(), "left_ms" => ends_at.since(now).as_ms());
        let keys: Vec<CallerKey> = self.sessions.keys().collect();
        for key in keys {
            if !self.refuse_at_stop(key) {
                self.end_open_transaction(key);
            }
        }
        self.end_channel_transactions();
        self.place_waiting();
    }

    /// Answers what is still outstanding, because the process ends now.
    pub fn answer_outstanding(&mut self, now: MonoTime) {
        self.now = now;
        self.ends_at = Some(now);
        // An answer starts the session's next statement, which is then refused or ended, too.
        loop {
            let outstanding = self.sessions.iter().filter(|(_, session)| session.current.is_some());
            let outstanding: Vec<CallerKey> = outstanding.map(|(key, _)| key).collect();
            if outstanding.is_empty() {
                return;
            }
            for key in outstanding {
                if self.refuse_at_stop(key) {
                    continue;
                }
                if let Some(current) = &mut self.sessions[key].current {
                    info!(self.log, "no answer before the end of the stop"; "id" => &*current.id,
                        "stage" => ?current.stage);
                    current.timeout_at = now;
                }
            }
            self.expire_statements();
        }
    }

    /// Closes idle sessions while this VM is stopping.
    pub(super) fn close_idle_sessions(&mut self) {
        let Some(at) = self.stopping_since else { return };
        let now = self.now;
        let idle = self.sessions.iter().filter(|(_, session)| {
            session.is_idle() && now.since(at.max(session.last_active)) >= STOP_IDLE_GRACE
        });
        let idle: Vec<CallerKey> = idle.map(|(key, _)| key).collect();
        for key in idle {
            match self.sessions[key].start_deferred {
                true => self.refuse_session(key, ErrorCode::Busy, STOPPING),
                false => self.close_session(key),
            }
        }
    }

    /// Whether the second half of a stop has begun.
    pub(super) fn is_ending(&self) -> bool {
        self.ends_at.is_some()
    }

    /// Rolls back the session's open transaction if nothing of it is in progress and this VM is about to end, unless the
    /// caller has sent its `COMMIT`.
    pub(super) fn end_open_transaction(&mut self, key: CallerKey) {
        let Some(session) = self.sessions.get(key).filter(|_| self.is_ending()) else { return };
        if session.transaction.state() == TransactionState::Open
            && session.current.is_none()
            && !session.has_read_commit()
        {
            self.abandon_transaction(key, STOPPING);
        }
    }

    /// Refuses a session's current statement if it has not been sent and must not be any more, since its answer may
    /// come too late. A transaction that it is part of is rolled back. Returns whether it was refused.
    pub(super) fn refuse_at_stop(&mut self, key: CallerKey) -> bool {
        let Some(ends_at) = self.ends_at else { return false };
        let Some(session) = self.sessions.get(key) else { return false };
        if session.current.is_none() || self.may_be_sent(session, ends_at) {
            return false;
        }
        self.cancel_token(key);
        self.waiting.retain(|waiter| *waiter != Waiter::Session(key));
        let Some(session) = self.sessions.get_mut(key) else { return false };
        let Some(current) = &mut session.current else { return false };
        current.needs_token = false;
        let stage = std::mem::replace(&mut current.stage, Stage::Waiting);
        let begins = matches!(current.statement, Statement::Begin { .. });
        let transaction = session.transaction.clone();
        match (stage, &transaction) {
            // The connection goes on opening, and others can use it.
            (Stage::Connecting(upstream), _) => self.free(upstream),
            (Stage::Preparing(upstream) | Stage::Beginning(upstream), _) => {
                self.close_connection(upstream);
            }
            (_, Transaction::Pinned { upstream, .. }) => self.roll_back(*upstream),
            _ => {}
        }
        if begins {
            self.refuse_begin(key);
        } else if transaction.state() == TransactionState::Open {
            self.fail(key, ErrorCode::Aborted, STOPPING);
        } else {
            self.fail(key, ErrorCode::Busy, STOPPING);
        }
        true
    }

    /// Whether a session's current statement was sent already or may still be sent to a database.
    fn may_be_sent(&self, session: &Session, ends_at: MonoTime) -> bool {
        let Some(current) = &session.current else { return true };
        if let Stage::Running(_) | Stage::Unconfirmed = current.stage {
            return true;
        }
        match current.statement {
            Statement::Begin { .. } => false,
            Statement::Commit => self.now + COMMIT_RESERVE <= ends_at,
            _ if session.transaction.state() == TransactionState::Open => {
                session.has_read_commit() && current.timeout_at <= ends_at
            }
            _ => current.timeout_at <= ends_at,
        }
    }

    /// Refuses a session's `BEGIN` and what the caller has sent after it, which must not run outside of the transaction.
    fn refuse_begin(&mut self, key: CallerKey) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        let current = session.current.take().map(|current| current.id);
        let queued = std::mem::take(&mut session.queued).into_iter().map(|queued| queued.id);
        for id in current.into_iter().chain(queued) {
            self.answer_error(key, &id, ErrorCode::Busy, STOPPING);
        }
        self.start_queued(key);
    }

    /// Returns the transaction of a session whose caller is told now that it was rolled back. While this VM is about to
    /// end, the last answer leaves no transaction, so that the session can be closed.
    pub(super) fn after_rollback(&self, session: &Session) -> Transaction {
        match (self.is_ending(), session.queued.is_empty()) {
            (false, _) => Transaction::Failed { unreported: false },
            (true, false) => Transaction::Failed { unreported: true },
            (true, true) => Transaction::None,
        }
    }
}
