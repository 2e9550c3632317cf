//! One VM's connections to one database.

use model::prelude::*;

use crate::{
    queue::{FairQueue, QueueFull, Ticket},
    usage::Usage,
};

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
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// It goes to that request, of that workspace.
    Handed(Ticket, WorkspaceName),
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
    usage: Usage,
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
        self.usage.note_ask(workspace, quantum, now);
        let free = self.limit.saturating_sub(self.in_use);
        let at_once =
            !self.queue.holds(workspace) && self.usage.may_take(workspace, free, self.limit, now);
        if at_once && self.idle > 0 {
            self.idle -= 1;
            self.note_taken(workspace);
            return Ok(Taken::Idle);
        }
        if at_once && self.open() < self.limit {
            self.note_taken(workspace);
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

    /// Gives a sound connection back after a request of the workspace held it for a while.
    pub fn give_back(
        &mut self,
        workspace: &WorkspaceName,
        held: DurationUs,
        now: MonoTime,
    ) -> Next {
        self.note_hold(held);
        let above_limit = self.open() > self.limit;
        self.note_freed(workspace);
        if above_limit {
            return Next::Close;
        }
        if let Some((ticket, next)) = self.pop(now) {
            self.note_taken(&next);
            return Next::Handed(ticket, next);
        }
        self.idle += 1;
        Next::Idle
    }

    /// A connection that a request of the workspace used is closed, or could not be opened. Returns a
    /// request that may open another, and its workspace.
    pub fn close_used(
        &mut self,
        workspace: &WorkspaceName,
        now: MonoTime,
    ) -> Option<(Ticket, WorkspaceName)> {
        self.note_freed(workspace);
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

    /// A waiting request that may open a connection now, and its workspace.
    pub fn open_for_next(&mut self, now: MonoTime) -> Option<(Ticket, WorkspaceName)> {
        if self.open() >= self.limit {
            return None;
        }
        let (ticket, workspace) = self.pop(now)?;
        self.note_taken(&workspace);
        Some((ticket, workspace))
    }

    /// Forgets a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    fn pop(&mut self, now: MonoTime) -> Option<(Ticket, WorkspaceName)> {
        let free = self.limit.saturating_sub(self.in_use);
        let (usage, limit) = (&self.usage, self.limit);
        self.queue.pop(|workspace| usage.may_take(workspace, free, limit, now), now)
    }

    fn note_taken(&mut self, workspace: &WorkspaceName) {
        self.in_use += 1;
        self.usage.note_taken(workspace);
    }

    fn note_freed(&mut self, workspace: &WorkspaceName) {
        self.in_use -= 1;
        self.usage.note_freed(workspace);
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
