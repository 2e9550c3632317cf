//! Time limits of statements.

use slog::info;

use super::{Engine, Waiter};
use crate::{
    effect::{CallerKey, UpstreamKey},
    message::ErrorCode,
    refusals::RefusalReason,
    session::{Stage, Transaction},
};

impl Engine {
    /// Ends statements that have waited for an upstream, or for its answer, for too long.
    pub(super) fn expire_statements(&mut self) {
        let now = self.now;
        let keys: Vec<CallerKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.current.as_ref().is_some_and(|c| c.is_overdue(now)))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            let Some(current) = &self.sessions[key].current else { continue };
            match current.stage {
                Stage::Waiting | Stage::Connecting(_) => self.time_out_waiting(key),
                Stage::Preparing(upstream)
                | Stage::Beginning(upstream)
                | Stage::Running(upstream) => self.time_out_running(key, upstream),
                Stage::Unconfirmed => {
                    self.fail(key, ErrorCode::InDoubt, "the answer was not confirmed in time")
                }
            }
        }
    }

    fn time_out_waiting(&mut self, key: CallerKey) {
        let Some(current) = &mut self.sessions[key].current else { return };
        let needs_token = current.needs_token;
        if let Stage::Connecting(upstream) = current.stage {
            current.stage = Stage::Waiting;
            // The connection goes on opening, and other statements can use it.
            self.free(upstream);
        }
        self.waiting.retain(|waiting| *waiting != Waiter::Session(key));
        if needs_token {
            let has_lease = self.has_lease();
            if let Some(auth) = &self.sessions[key].authorization
                && let Some(workspace) = &auth.workspace
            {
                match has_lease {
                    true => self.rates.expire(self.now, workspace, auth.route.priority),
                    false => self.rates.cancel(workspace, auth.route.priority),
                }
            }
            if !has_lease {
                self.count_refusal(key, RefusalReason::NoContact);
                return self.fail(key, ErrorCode::Busy, "not in contact with the other VMs");
            }
            self.counts.rate_limited += 1;
            self.count_refusal(key, RefusalReason::Rate);
            return self.fail(key, ErrorCode::TooMany, "rate exceeded: no token in time");
        }
        if let Transaction::Pinned { upstream, .. } = self.sessions[key].transaction {
            self.roll_back(upstream);
            return self.fail(key, ErrorCode::Aborted, "the database had no room in time");
        }
        self.fail(key, ErrorCode::Busy, "no upstream had room in time");
    }

    fn time_out_running(&mut self, key: CallerKey, upstream: UpstreamKey) {
        let database = self.pool.connections.get(upstream).map(|c| c.database.clone());
        info!(self.log, "statement timed out"; "database" => ?database);
        self.close_connection(upstream);
        self.settle_lost_statement(
            key,
            ErrorCode::Timeout,
            "no answer within the statement timeout",
        );
    }
}
