//! Moves portions slowly to where the tokens are spent.

use board::Board;
use model::prelude::*;

use crate::{
    lenders::{HOME_OWNERS, Ranking, owner},
    objects::{DcObject, Owner, PARTS},
    rates::Lent,
};

const DRIFT_INTERVAL: DurationUs = DurationUs::from_ms(5_000);

/// A portion that moves is at least this fraction of the data centre's.
const LEAST_MOVE: u32 = 32;

/// A home owner keeps at least this fraction of its even portion.
const LEAST_KEPT: u32 = 4;

/// Parts of a workspace to be given to another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Give {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The VM that gets them.
    pub to: Owner,
    /// How many.
    pub parts: u32,
}

/// What this VM has lent, and when it last looked at that.
#[derive(Debug, Default)]
pub struct Drift {
    lent: FxHashMap<(WorkspaceName, Owner), u64>,
    looked_at: Option<MonoTime>,
}

impl Drift {
    /// Adds tokens lent to others.
    pub fn note(&mut self, lent: Vec<Lent>) {
        for lent in lent {
            *self.lent.entry((lent.workspace, lent.to)).or_default() += lent.micro;
        }
    }

    /// What to give to VMs of the data centre: half of what they keep borrowing, and a little to home
    /// owners that own nothing. `look` says that owners or VMs may have changed.
    pub fn gives(
        &mut self,
        board: &Board,
        object: &DcObject,
        me: &Owner,
        look: bool,
        now: MonoTime,
    ) -> Vec<Give> {
        let mut gives = if look { to_newcomers(board, object, me) } else { Vec::new() };
        let since = *self.looked_at.get_or_insert(now);
        if now.since(since) < DRIFT_INTERVAL {
            return gives;
        }
        self.looked_at = Some(now);
        for ((workspace, to), micro) in std::mem::take(&mut self.lent) {
            let known = gives.iter().any(|give| give.workspace == workspace);
            let parts = drifting_parts(board, object, me, &workspace, micro, now.since(since));
            let listed =
                board.fleet.vms.iter().any(|vm| vm.dc == board.fleet.me.dc && owner(vm) == to);
            if let Some(parts) = parts.filter(|_| listed && !known) {
                gives.push(Give { workspace, to, parts });
            }
        }
        gives
    }
}

fn drifting_parts(
    board: &Board,
    object: &DcObject,
    me: &Owner,
    workspace: &WorkspaceName,
    micro: u64,
    span: DurationUs,
) -> Option<u32> {
    let key = board.catalog.workspace(workspace.as_str())?;
    let rate_per_s = board.catalog.workspaces[key].cfg.rate_per_s;
    // A rate per second times microseconds is in millionths of a token, like what was lent.
    let gained = u128::from(rate_per_s) * u128::from(span.0);
    let lent = (u128::from(micro) * u128::from(PARTS)).checked_div(gained)? as u64;
    let all = object.parts.get(workspace).copied().unwrap_or(0);
    let kept = all / HOME_OWNERS as u32 / LEAST_KEPT;
    let spare = object.portion(me, workspace).saturating_sub(kept);
    let parts = u64::from(spare).min(lent / 2) as u32;
    (parts >= all / LEAST_MOVE && parts > 0).then_some(parts)
}

/// The largest owner of a workspace gives a little to home owners that own nothing.
fn to_newcomers(board: &Board, object: &DcObject, me: &Owner) -> Vec<Give> {
    let ranking = Ranking::new(&board.fleet.vms, &board.fleet.me.dc);
    let mut gives = Vec::new();
    let Some(mine) = object.holding(me) else {
        return gives;
    };
    let listed: FxHashSet<Owner> = board.fleet.vms.iter().map(owner).collect();
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
        let given = (all / count.max(1) / LEAST_KEPT).min(parts / 2);
        if let Some(to) = newcomer.filter(|_| given > 0) {
            gives.push(Give { workspace: workspace.clone(), to: to.clone(), parts: given });
        }
    }
    gives
}
