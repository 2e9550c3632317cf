//! One VM's connections to one database.

use model::prelude::*;

use crate::{
    queue::{FairQueue, QueueFull, Ticket},
    usage::Usage,
};

const HOLD_TIME_SMOOTHING: u64 = 16;

/// What a request that asks for a connection gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle connection.
    Idle,
    /// The right to open one.
    New,
    /// A place in the queue.
    Queued(Ticket),
}

/// Why a request gets nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcquireError {
    /// This VM may have no connections to the database.
    #[error(
        "this VM has no share of the database's connections: send the request to another holder"
    )]
    NoShare,
    /// The queue is too long.
    #[error("too many requests wait for a connection: come back later")]
    QueueFull {
        /// When to come back.
        retry_after: DurationUs,
    },
}

/// What a connection that is given back becomes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// It goes to that request, of that workspace.
    Handed(Ticket, WorkspaceName),
    /// It stays open, unused.
    Idle,
    /// It must be closed: the share has become smaller.
    Close,
}

/// One VM's connections to one database: how many there are, and who waits for one.
#[derive(Debug, Default)]
pub struct ConnectionScheduler {
    limit: u32,
    in_use: u32,
    idle: u32,
    queue: FairQueue,
    usage: Usage,
    last_ticket: u64,
    mean_hold_us: u64,
}

impl ConnectionScheduler {
    /// Connections that are open or being opened.
    pub fn open_count(&self) -> u32 {
        self.in_use + self.idle
    }

    /// How many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Asks for a connection.
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

    /// Gives a sound connection back after a request of the workspace held it for a while.
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

    /// A connection that a request of the workspace used is closed, or could not be opened. Returns a
    /// request that may open another, and its workspace.
    pub fn release_closed(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
    ) -> Option<(Ticket, WorkspaceName)> {
        self.record_released(workspace);
        self.next_to_open(now)
    }

    /// Idle connections were closed.
    pub fn remove_idle(&mut self, count: u32) {
        self.idle -= count;
    }

    /// How many idle connections have to be closed for the limit's sake.
    pub fn surplus_idle(&self) -> u32 {
        self.open_count().saturating_sub(self.limit).min(self.idle)
    }

    /// Sets how many connections there may be.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// A waiting request that may open a connection now, and its workspace.
    pub fn next_to_open(&mut self, now: MonoTime) -> Option<(Ticket, WorkspaceName)> {
        if self.open_count() >= self.limit {
            return None;
        }
        let (ticket, workspace) = self.pop(now)?;
        self.record_acquired(&workspace);
        Some((ticket, workspace))
    }

    /// Forgets a request that no longer waits.
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
