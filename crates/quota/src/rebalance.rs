//! Moves portions gradually to the VMs that keep borrowing tokens.

use board::Board;
use model::prelude::*;

use crate::{
    lenders::{HOME_OWNERS, HomeRanking, instance_of},
    objects::{DcObject, TOTAL_PARTS, VmInstance},
    rate_limiter::LentTokens,
};

/// How often the lent tokens are compared with the rate.
const REBALANCE_INTERVAL: DurationUs = DurationUs::from_ms(5_000);

/// A transfer to a borrower moves at least the data centre's parts divided by this.
const MOVED_PARTS_DIVISOR: u32 = 32;

/// A home owner's even portion divided by this is what an owner keeps, and what a new home owner gets.
const KEPT_PARTS_DIVISOR: u32 = 4;

/// Parts of a workspace that are to move to another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PortionTransfer {
    /// The workspace whose parts move.
    pub workspace: WorkspaceName,
    /// The new owner.
    pub to: VmInstance,
    /// Number of parts.
    pub parts: u32,
}

/// Derives portion transfers from what this VM lends.
#[derive(Debug, Default)]
pub struct Rebalancer {
    /// Microtokens lent since `last_run_at`, by workspace and borrower.
    lent: FxHashMap<(WorkspaceName, VmInstance), u64>,
    last_run_at: Option<MonoTime>,
}

impl Rebalancer {
    /// Records tokens lent to other VMs.
    pub fn record_lent(&mut self, lent: Vec<LentTokens>) {
        for lent in lent {
            *self.lent.entry((lent.workspace, lent.to)).or_default() += lent.micro;
        }
    }

    /// Transfers to other VMs of the data centre: half of what each has borrowed from this VM, and, if
    /// owners or VMs may have changed since the last call, first portions for home owners that own
    /// nothing.
    pub fn transfers(
        &mut self,
        board: &Board,
        object: &DcObject,
        me: &VmInstance,
        owners_changed: bool,
        now: MonoTime,
    ) -> Vec<PortionTransfer> {
        let mut transfers =
            if owners_changed { transfers_to_new_homes(board, object, me) } else { Vec::new() };
        let since = *self.last_run_at.get_or_insert(now);
        if now.since(since) < REBALANCE_INTERVAL {
            return transfers;
        }
        self.last_run_at = Some(now);
        for ((workspace, to), micro) in std::mem::take(&mut self.lent) {
            let known = transfers.iter().any(|transfer| transfer.workspace == workspace);
            let parts = parts_for_borrower(board, object, me, &workspace, micro, now.since(since));
            let listed = board
                .fleet
                .vms
                .iter()
                .any(|vm| vm.dc == board.fleet.me.dc && instance_of(vm) == to);
            if let Some(parts) = parts.filter(|_| listed && !known) {
                transfers.push(PortionTransfer { workspace, to, parts });
            }
        }
        transfers
    }
}

/// Parts to move to a VM that has borrowed `micro` microtokens within `span`; `None` if they are too
/// few to move.
fn parts_for_borrower(
    board: &Board,
    object: &DcObject,
    me: &VmInstance,
    workspace: &WorkspaceName,
    micro: u64,
    span: DurationUs,
) -> Option<u32> {
    let key = board.catalog.workspace(workspace.as_str())?;
    let rate_per_s = board.catalog.workspaces[key].cfg.rate_per_s;
    // Tokens per second times microseconds are microtokens, like `micro`.
    let gained = u128::from(rate_per_s) * u128::from(span.0);
    let lent = (u128::from(micro) * u128::from(TOTAL_PARTS)).checked_div(gained)? as u64;
    let all = object.parts.get(workspace).copied().unwrap_or(0);
    let kept = all / HOME_OWNERS as u32 / KEPT_PARTS_DIVISOR;
    let spare = object.portion(me, workspace).saturating_sub(kept);
    let parts = u64::from(spare).min(lent / 2) as u32;
    (parts >= all / MOVED_PARTS_DIVISOR && parts > 0).then_some(parts)
}

/// First portions for home owners that own nothing, one at a time for each workspace of which this VM
/// is the largest owner.
fn transfers_to_new_homes(
    board: &Board,
    object: &DcObject,
    me: &VmInstance,
) -> Vec<PortionTransfer> {
    let ranking = HomeRanking::new(&board.fleet.vms, &board.fleet.me.dc);
    let mut transfers = Vec::new();
    let Some(mine) = object.holding(me) else {
        return transfers;
    };
    let listed: FxHashSet<VmInstance> = board.fleet.vms.iter().map(instance_of).collect();
    for (workspace, parts) in &mine.portions {
        let mut owners = object.owners(workspace);
        owners.retain(|(owner, _)| listed.contains(*owner));
        if owners.first().is_none_or(|(largest, _)| *largest != me) {
            continue;
        }
        let homes = ranking.home_owners(workspace, HOME_OWNERS);
        let count = homes.len() as u32;
        let newcomer = homes.into_iter().find(|home| owners.iter().all(|(owner, _)| owner != home));
        let all = object.parts.get(workspace).copied().unwrap_or(0);
        let given = (all / count.max(1) / KEPT_PARTS_DIVISOR).min(parts / 2);
        if let Some(to) = newcomer.filter(|_| given > 0) {
            transfers.push(PortionTransfer {
                workspace: workspace.clone(),
                to: to.clone(),
                parts: given,
            });
        }
    }
    transfers
}
