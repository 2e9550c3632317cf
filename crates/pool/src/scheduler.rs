//! Schedules one VM's connections to one database.

use model::prelude::*;

use crate::{
    queue::{FairQueue, QueueFull, Ticket},
    usage::Usage,
};

/// A new hold time counts 1/16 in the moving average.
const HOLD_TIME_SMOOTHING: u64 = 16;

/// What a request that acquires a connection gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// It may use an idle connection.
    Idle,
    /// It may open a new connection.
    New,
    /// It waits in the queue under this ticket.
    Queued(Ticket),
}

/// Reason why a request can't acquire a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcquireError {
    /// This VM may not have connections to the database.
    #[error(
        "this VM has no share of the database's connections: send the request to another holder"
    )]
    NoShare,
    /// The queue is full, or the request would wait beyond its deadline.
    #[error("too many requests are waiting for a connection: try again later")]
    QueueFull {
        /// Expected wait, after which to retry.
        retry_after: DurationUs,
    },
}

/// What becomes of a released connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// It is handed to the waiting request with this ticket, of this workspace.
    Handed(Ticket, WorkspaceName),
    /// It stays open and idle.
    Idle,
    /// It must be closed because the limit was lowered.
    Close,
}

/// Counts one VM's connections to one database and decides which request gets the next one.
#[derive(Debug, Default)]
pub struct ConnectionScheduler {
    /// Maximum number of connections.
    limit: u32,
    in_use: u32,
    idle: u32,
    queue: FairQueue,
    usage: Usage,
    last_ticket: u64,
    /// Moving average of the time that a request holds a connection, in microseconds.
    mean_hold_us: u64,
}

impl ConnectionScheduler {
    /// Number of connections that are open or being opened.
    pub fn open_count(&self) -> u32 {
        self.in_use + self.idle
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Requests a connection for a request of the workspace. `quantum` is the workspace's weight.
    /// Fails at once if the expected wait ends after `deadline`.
    pub fn acquire(
        &mut self,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<Acquired, AcquireError> {
        if self.limit == 0 {
            return Err(AcquireError::NoShare);
        }
        self.usage.record_request(workspace, quantum, now);
        let free = self.limit.saturating_sub(self.in_use);
        let grant_now = !self.queue.has_waiting(workspace)
            && self.usage.may_acquire(workspace, free, self.limit, now);
        if grant_now && self.idle > 0 {
            self.idle -= 1;
            self.record_acquired(workspace);
            return Ok(Acquired::Idle);
        }
        if grant_now && self.open_count() < self.limit {
            self.record_acquired(workspace);
            return Ok(Acquired::New);
        }
        let wait = self.expected_wait(workspace, quantum);
        if wait > deadline.since(now) {
            return Err(AcquireError::QueueFull { retry_after: wait });
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        match self.queue.push(ticket, workspace, quantum, deadline) {
            Ok(()) => Ok(Acquired::Queued(ticket)),
            Err(QueueFull) => Err(AcquireError::QueueFull { retry_after: wait }),
        }
    }

    /// Releases a connection that is still usable, after a request of the workspace held it for
    /// `held`.
    pub fn release(
        &mut self,
        workspace: &WorkspaceName,
        held: DurationUs,
        now: MonoTime,
    ) -> Released {
        self.record_hold_time(held);
        let above_limit = self.open_count() > self.limit;
        self.record_released(workspace);
        if above_limit {
            return Released::Close;
        }
        if let Some((ticket, next)) = self.pop(now) {
            self.record_acquired(&next);
            return Released::Handed(ticket, next);
        }
        self.idle += 1;
        Released::Idle
    }

    /// Records that a connection used by the workspace was closed or could not be opened. Returns
    /// the ticket and workspace of a waiting request that may open another one.
    pub fn release_closed(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
    ) -> Option<(Ticket, WorkspaceName)> {
        self.record_released(workspace);
        self.next_to_open(now)
    }

    /// Records that `count` idle connections were closed.
    pub fn remove_idle(&mut self, count: u32) {
        self.idle -= count;
    }

    /// Number of idle connections to close so that the limit is kept.
    pub fn surplus_idle(&self) -> u32 {
        self.open_count().saturating_sub(self.limit).min(self.idle)
    }

    /// Sets the maximum number of connections.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the ticket and workspace of a waiting request that may open a connection now. The
    /// connection counts as in use from then on.
    pub fn next_to_open(&mut self, now: MonoTime) -> Option<(Ticket, WorkspaceName)> {
        if self.open_count() >= self.limit {
            return None;
        }
        let (ticket, workspace) = self.pop(now)?;
        self.record_acquired(&workspace);
        Some((ticket, workspace))
    }

    /// Removes a request that no longer waits from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    fn pop(&mut self, now: MonoTime) -> Option<(Ticket, WorkspaceName)> {
        let free = self.limit.saturating_sub(self.in_use);
        let (usage, limit) = (&self.usage, self.limit);
        self.queue.pop(|workspace| usage.may_acquire(workspace, free, limit, now), now)
    }

    fn record_acquired(&mut self, workspace: &WorkspaceName) {
        self.in_use += 1;
        self.usage.record_acquired(workspace);
    }

    fn record_released(&mut self, workspace: &WorkspaceName) {
        self.in_use -= 1;
        self.usage.record_released(workspace);
    }

    fn expected_wait(&self, workspace: &WorkspaceName, quantum: u32) -> DurationUs {
        let ahead = self.queue.ahead_of(workspace, quantum) as u64;
        DurationUs((ahead + 1) * self.mean_hold_us / u64::from(self.limit.max(1)))
    }

    fn record_hold_time(&mut self, held: DurationUs) {
        let sum = self.mean_hold_us * (HOLD_TIME_SMOOTHING - 1) + held.0;
        self.mean_hold_us = sum / HOLD_TIME_SMOOTHING;
    }
}
