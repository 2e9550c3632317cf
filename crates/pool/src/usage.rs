//! How many connections each workspace uses, and how many are kept free for it.

use model::prelude::*;

/// How long after its last request connections are kept free for a workspace.
const ACTIVE_WINDOW: DurationUs = DurationUs::from_ms(1_000);

/// A workspace's use of the connections.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUsage {
    in_use: u32,
    /// The most in use at once, of late.
    peak: u32,
    quantum: u32,
    requested_at: MonoTime,
}

impl WorkspaceUsage {
    fn is_active(&self, now: MonoTime) -> bool {
        self.in_use > 0 || now.since(self.requested_at) < ACTIVE_WINDOW
    }
}

/// Each workspace's use of the connections.
///
/// A workspace that was active lately is guaranteed as many connections as it used at once and one
/// more, but no more than its share by quantum. Others may not take what is kept free for that, so a
/// flood of one workspace leaves the next request of another a connection.
#[derive(Debug, Default)]
pub struct Usage {
    by_workspace: FxHashMap<WorkspaceName, WorkspaceUsage>,
}

impl Usage {
    /// A workspace asks for a connection.
    pub fn record_request(&mut self, workspace: &WorkspaceName, quantum: u32, now: MonoTime) {
        if let Some(used) = self.by_workspace.get_mut(workspace) {
            used.quantum = quantum.max(1);
            used.requested_at = now;
            return;
        }
        self.by_workspace.retain(|_, used| used.is_active(now));
        let used =
            WorkspaceUsage { in_use: 0, peak: 0, quantum: quantum.max(1), requested_at: now };
        self.by_workspace.insert(workspace.clone(), used);
    }

    /// A workspace has got a connection.
    pub fn record_acquired(&mut self, workspace: &WorkspaceName) {
        if let Some(used) = self.by_workspace.get_mut(workspace) {
            used.in_use += 1;
            used.peak = used.peak.max(used.in_use);
        }
    }

    /// A workspace has given a connection back.
    pub fn record_released(&mut self, workspace: &WorkspaceName) {
        if let Some(used) = self.by_workspace.get_mut(workspace) {
            used.in_use = used.in_use.saturating_sub(1);
        }
    }

    /// Whether a workspace may take one of `free` connections out of `limit`.
    pub fn may_acquire(
        &self,
        workspace: &WorkspaceName,
        free: u32,
        limit: u32,
        now: MonoTime,
    ) -> bool {
        let active = || self.by_workspace.iter().filter(|(_, used)| used.is_active(now));
        let quanta: u32 = active().map(|(_, used)| used.quantum).sum();
        let guaranteed = |used: &WorkspaceUsage| {
            let fair_share = (limit * used.quantum / quanta.max(1)).max(1);
            fair_share.min(used.peak + 1)
        };
        let own = self.by_workspace.get(workspace);
        if own.is_none_or(|used| used.in_use < guaranteed(used)) {
            return free > 0;
        }
        let others = active().filter(|(name, _)| *name != workspace);
        let reserved = others.map(|(_, used)| guaranteed(used).saturating_sub(used.in_use));
        free > reserved.sum()
    }
}
