//! Which VMs of a data centre watch the platform, so that its calls don't grow with the fleet.

use board::Board;
use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

/// VMs of a data centre that watch the platform.
pub const WATCHERS: usize = 2;

/// VMs that look after the watchers and stand in for them.
pub const RESERVES: usize = 2;

/// Age of the platform's last sign at which a reserve watches for itself.
pub const RESERVE_AFTER: DurationUs = DurationUs::from_ms(2_500);

/// What a VM does about the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Watches the platform.
    Watcher,
    /// Asks the watchers each second, and watches the platform itself if it hears of no contact.
    Reserve,
    /// Learns from other VMs.
    Follower,
}

/// The VMs of this VM's data centre that are live and answer, best-ranked first.
pub fn ranked(board: &Board) -> Vec<&VmRecord> {
    let fleet = &board.fleet;
    let eligible = |vm: &&VmRecord| {
        let answers = vm.vm == fleet.me.vm || !fleet.suspects.contains_key(&vm.vm);
        vm.dc == fleet.me.dc && vm.state == VmState::Live && answers
    };
    let mut ranked: Vec<(u64, &VmRecord)> = fleet
        .vms
        .iter()
        .filter(eligible)
        .map(|vm| (stable_hash(&format!("watcher {}", vm.vm)), vm))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.vm.cmp(&b.1.vm)));
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

/// What this VM has to do, given the ranked VMs of its data centre.
pub fn role(board: &Board, ranked: &[&VmRecord]) -> Role {
    let rank = ranked.iter().position(|vm| vm.vm == board.fleet.me.vm);
    match rank {
        Some(rank) if rank < WATCHERS => Role::Watcher,
        Some(rank) if rank < WATCHERS + RESERVES => Role::Reserve,
        _ => Role::Follower,
    }
}
