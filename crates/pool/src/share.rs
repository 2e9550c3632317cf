//! One VM's connections to one database.

use model::prelude::*;

use crate::queue::{FairQueue, QueueFull, Ticket};

const HOLD_TIME_SMOOTHING: u64 = 16;

/// What a request that asks for a connection gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// An idle connection.
    Idle,
    /// The right to open one.
    Open,
    /// A place in the queue.
    Waits(Ticket),
}

/// Why a request gets nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It goes to that request.
    Handed(Ticket),
    /// It stays open, unused.
    Idle,
    /// It must be closed: the share has become smaller.
    Close,
}

/// One VM's connections to one database: how many there are, and who waits for one.
#[derive(Debug, Default)]
pub struct Share {
    limit: u32,
    in_use: u32,
    idle: u32,
    queue: FairQueue,
    last_ticket: u64,
    hold_us: u64,
}

impl Share {
    /// Connections that are open or being opened.
    pub fn open(&self) -> u32 {
        self.in_use + self.idle
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Asks for a connection.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<Taken, Refused> {
        if self.limit == 0 {
            return Err(Refused::NoShare);
        }
        if self.queue.is_empty() && self.idle > 0 {
            self.idle -= 1;
            self.in_use += 1;
            return Ok(Taken::Idle);
        }
        if self.queue.is_empty() && self.open() < self.limit {
            self.in_use += 1;
            return Ok(Taken::Open);
        }
        let wait = self.expected_wait(workspace, quantum);
        if wait > deadline.since(now) {
            return Err(Refused::QueueFull { retry_after: wait });
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        match self.queue.push(ticket, workspace, quantum, deadline) {
            Ok(()) => Ok(Taken::Waits(ticket)),
            Err(QueueFull) => Err(Refused::QueueFull { retry_after: wait }),
        }
    }

    /// Gives a sound connection back after it was held for a while.
    pub fn give_back(&mut self, held: DurationUs, now: MonoTime) -> Next {
        self.note_hold(held);
        if self.open() > self.limit {
            self.in_use -= 1;
            return Next::Close;
        }
        if let Some(ticket) = self.queue.pop(now) {
            return Next::Handed(ticket);
        }
        self.in_use -= 1;
        self.idle += 1;
        Next::Idle
    }

    /// A connection in use is closed, or could not be opened. Returns a request that may open another.
    pub fn close_used(&mut self, now: MonoTime) -> Option<Ticket> {
        self.in_use -= 1;
        self.open_for_next(now)
    }

    /// Idle connections were closed.
    pub fn close_idle(&mut self, count: u32) {
        self.idle -= count;
    }

    /// How many idle connections have to be closed for the limit's sake.
    pub fn surplus_idle(&self) -> u32 {
        self.open().saturating_sub(self.limit).min(self.idle)
    }

    /// Sets how many connections there may be.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// A waiting request that may open a connection now.
    pub fn open_for_next(&mut self, now: MonoTime) -> Option<Ticket> {
        if self.open() >= self.limit {
            return None;
        }
        let ticket = self.queue.pop(now)?;
        self.in_use += 1;
        Some(ticket)
    }

    /// Forgets a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    fn expected_wait(&self, workspace: &WorkspaceName, quantum: u32) -> DurationUs {
        let ahead = self.queue.ahead_of(workspace, quantum) as u64;
        DurationUs((ahead + 1) * self.hold_us / u64::from(self.limit.max(1)))
    }

    fn note_hold(&mut self, held: DurationUs) {
        let sum = self.hold_us * (HOLD_TIME_SMOOTHING - 1) + held.0;
        self.hold_us = sum / HOLD_TIME_SMOOTHING;
    }
}
