//! Requests that wait, in weighted deficit round robin over their workspaces.

use std::collections::VecDeque;

use model::prelude::*;

/// Requests of one workspace that may wait.
pub const WORKSPACE_QUEUE_MAX: usize = 256;
/// Requests of all workspaces that may wait.
pub const QUEUE_MAX: usize = 2_048;

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The queue takes no more requests of the workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many requests of the workspace wait already: come back later")]
pub struct QueueFull;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    ticket: Ticket,
    deadline: MonoTime,
}

/// The requests of one workspace.
#[derive(Debug)]
struct Flow {
    workspace: WorkspaceName,
    /// Requests that it may have served in each round.
    quantum: u32,
    deficit: u32,
    entries: VecDeque<Entry>,
}

/// What was taken from a flow.
struct FlowPop {
    ticket: Option<Ticket>,
    /// Entries that left the flow, the ticket's among them.
    dropped: usize,
}

impl Flow {
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

/// Requests that wait. Each round serves of every waiting workspace as many as its quantum says.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Workspaces with waiting requests; the first is being served.
    flows: VecDeque<Flow>,
    len: usize,
}

impl FairQueue {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many requests are served before a new one of the workspace, at most.
    pub fn ahead_of(&self, workspace: &WorkspaceName, quantum: u32) -> usize {
        let own = self.flow(workspace).map_or(0, |flow| flow.entries.len());
        let rounds = own / quantum.max(1) as usize + 1;
        let others = self.flows.iter().filter(|flow| flow.workspace != *workspace);
        let ahead = others.map(|flow| flow.entries.len().min(rounds * flow.quantum as usize));
        own + ahead.sum::<usize>()
    }

    /// Adds a request.
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

    /// Takes the request that is served next, of a workspace that may be served now. Those whose time
    /// has run out are passed over.
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

    /// Forgets a request that no longer waits.
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
