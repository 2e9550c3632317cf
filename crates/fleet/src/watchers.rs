//! Which VMs of a data centre watch the platform: only a few, so that calls to the platform don't grow
//! with the fleet.

use board::{Board, VmRecords};
use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

/// Number of VMs of a data centre that watch the platform.
pub const WATCHERS: usize = 2;

/// Number of VMs of a data centre that check on the watchers and stand in for them.
pub const RESERVE_WATCHERS: usize = 2;

/// Time since the platform's last known answer after which a reserve watches the platform itself.
pub const RESERVE_WATCHES_AFTER: DurationUs = DurationUs::from_ms(2_500);

/// How a VM learns what the platform knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Watches the platform.
    Watcher,
    /// Exchanges digests with the watchers, and watches the platform itself if none of them reaches it.
    Reserve,
    /// Learns only from other VMs.
    Follower,
}

/// The live VMs of this VM's data centre in the order in which they become watchers, recomputed only
/// when the members change.
#[derive(Clone, Debug, Default)]
pub struct WatcherRanking {
    /// The members that `order` was computed for.
    members: VmRecords,
    /// Indices into `members`, best-ranked first.
    order: Vec<usize>,
}

impl WatcherRanking {
    /// Brings the ranking up to date with the board's members.
    pub fn update(&mut self, board: &Board) {
        let members = &board.fleet.vms;
        if self.members.is_same(members) {
            return;
        }
        let is_eligible = |vm: &VmRecord| vm.dc == board.fleet.me.dc && vm.state == VmState::Live;
        let eligible = members.iter().enumerate().filter(|(_, vm)| is_eligible(vm));
        let mut ranked: Vec<(u64, usize)> =
            eligible.map(|(at, vm)| (stable_hash(&format!("watcher {}", vm.vm)), at)).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        self.order = ranked.into_iter().map(|(_, at)| at).collect();
        self.members = members.clone();
    }

    /// The ranked VMs that are not suspect, best-ranked first.
    pub fn answering<'a>(&'a self, board: &'a Board) -> impl Iterator<Item = &'a VmRecord> {
        let fleet = &board.fleet;
        let ranked = self.order.iter().map(|&at| &self.members[at]);
        ranked.filter(|vm| vm.vm == fleet.me.vm || !fleet.suspects.contains_key(&vm.vm))
    }

    /// This VM's role.
    pub fn role(&self, board: &Board) -> WatchRole {
        let mut first = self.answering(board).take(WATCHERS + RESERVE_WATCHERS);
        match first.position(|vm| vm.vm == board.fleet.me.vm) {
            Some(rank) if rank < WATCHERS => WatchRole::Watcher,
            Some(_) => WatchRole::Reserve,
            None => WatchRole::Follower,
        }
    }
}
