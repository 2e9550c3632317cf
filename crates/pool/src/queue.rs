//! Queue of waiting requests: weighted deficit round robin over their workspaces.

use std::collections::VecDeque;

use model::prelude::*;

/// Maximum number of waiting requests of one workspace.
pub const WORKSPACE_QUEUE_MAX: usize = 256;
/// Maximum number of waiting requests of all workspaces.
pub const QUEUE_MAX: usize = 2_048;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The queue accepts no more requests of the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many requests of the workspace are waiting: try again later")]
pub struct QueueFull;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    ticket: Ticket,
    deadline: MonoTime,
}

/// The waiting requests of one workspace.
#[derive(Debug)]
struct Flow {
    workspace: WorkspaceName,
    /// Requests that may be served per round: the weight of the workspace.
    quantum: u32,
    /// Requests that may still be served in the current round.
    deficit: u32,
    entries: VecDeque<Entry>,
}

/// Result of taking a request from a flow.
struct FlowPop {
    ticket: Option<Ticket>,
    /// Number of entries removed from the flow: the returned one and those past their deadline.
    dropped: usize,
}

impl Flow {
    /// Takes the first request whose deadline has not passed.
    fn next(&mut self, now: MonoTime) -> FlowPop {
        if self.deficit == 0 {
            self.deficit = self.quantum;
        }
        let mut dropped = 0;
        while let Some(entry) = self.entries.pop_front() {
            dropped += 1;
            if entry.deadline > now {
                self.deficit -= 1;
                return FlowPop { ticket: Some(entry.ticket), dropped };
            }
        }
        FlowPop { ticket: None, dropped }
    }
}

/// Queue of waiting requests. In each round, every waiting workspace is served up to its quantum.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Workspaces with waiting requests; the first one is being served.
    flows: VecDeque<Flow>,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Upper bound on the number of requests served before a new one of the workspace.
    pub fn ahead_of(&self, workspace: &WorkspaceName, quantum: u32) -> usize {
        let own = self.flow(workspace).map_or(0, |flow| flow.entries.len());
        let rounds = own / quantum.max(1) as usize + 1;
        let others = self.flows.iter().filter(|flow| flow.workspace != *workspace);
        let ahead = others.map(|flow| flow.entries.len().min(rounds * flow.quantum as usize));
        own + ahead.sum::<usize>()
    }

    /// Adds a request that waits until `deadline`. Fails if the queue is full for the workspace or
    /// as a whole.
    pub fn push(
        &mut self,
        ticket: Ticket,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<(), QueueFull> {
        let own = self.flow(workspace).map_or(0, |flow| flow.entries.len());
        if own >= WORKSPACE_QUEUE_MAX || self.len >= QUEUE_MAX {
            return Err(QueueFull);
        }
        let entry = Entry { ticket, deadline };
        self.len += 1;
        match self.flows.iter_mut().find(|flow| flow.workspace == *workspace) {
            Some(flow) => flow.entries.push_back(entry),
            None => self.flows.push_back(Flow {
                workspace: workspace.clone(),
                quantum: quantum.max(1),
                deficit: 0,
                entries: VecDeque::from([entry]),
            }),
        }
        Ok(())
    }

    /// Whether a request of the workspace waits.
    pub fn has_waiting(&self, workspace: &WorkspaceName) -> bool {
        self.flow(workspace).is_some()
    }

    /// Removes the next request of a workspace that `may_serve` accepts and returns it with its
    /// workspace. Requests past their deadline are dropped.
    pub fn pop(
        &mut self,
        may_serve: impl Fn(&WorkspaceName) -> bool,
        now: MonoTime,
    ) -> Option<(Ticket, WorkspaceName)> {
        let mut passed_over = 0;
        while passed_over < self.flows.len() {
            let flow = self.flows.front_mut()?;
            if !may_serve(&flow.workspace) {
                passed_over += 1;
                self.flows.rotate_left(1);
                continue;
            }
            let popped = flow.next(now);
            let workspace = flow.workspace.clone();
            self.len -= popped.dropped;
            if flow.entries.is_empty() {
                self.flows.pop_front();
            } else if flow.deficit == 0 {
                self.flows.rotate_left(1);
            }
            if let Some(ticket) = popped.ticket {
                return Some((ticket, workspace));
            }
        }
        None
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) {
        for flow in &mut self.flows {
            let before = flow.entries.len();
            flow.entries.retain(|entry| entry.ticket != ticket);
            self.len -= before - flow.entries.len();
        }
        self.flows.retain(|flow| !flow.entries.is_empty());
    }

    fn flow(&self, workspace: &WorkspaceName) -> Option<&Flow> {
        self.flows.iter().find(|flow| flow.workspace == *workspace)
    }
}
