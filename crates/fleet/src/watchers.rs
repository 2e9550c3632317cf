//! Which VMs of a data centre watch the platform, so that its calls don't grow with the fleet.

use board::{Board, VmRecords};
use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

/// VMs of a data centre that watch the platform.
pub const WATCHERS: usize = 2;

/// VMs that look after the watchers and stand in for them.
pub const RESERVE_WATCHERS: usize = 2;

/// Age of the platform's last sign at which a reserve watches for itself.
pub const RESERVE_WATCHES_AFTER: DurationUs = DurationUs::from_ms(2_500);

/// What a VM does about the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Watches the platform.
    Watcher,
    /// Asks the watchers each second, and watches the platform itself if it hears of no contact.
    Reserve,
    /// Learns from other VMs.
    Follower,
}

/// The live VMs of this VM's data centre in the order in which they watch, worked out once for a list
/// of members.
#[derive(Clone, Debug, Default)]
pub struct WatcherRanking {
    members: VmRecords,
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

    /// The ranked VMs that answer, best-ranked first.
    pub fn answering<'a>(&'a self, board: &'a Board) -> impl Iterator<Item = &'a VmRecord> {
        let fleet = &board.fleet;
        let ranked = self.order.iter().map(|&at| &self.members[at]);
        ranked.filter(|vm| vm.vm == fleet.me.vm || !fleet.suspects.contains_key(&vm.vm))
    }

    /// What this VM has to do.
    pub fn role(&self, board: &Board) -> WatchRole {
        let mut first = self.answering(board).take(WATCHERS + RESERVE_WATCHERS);
        match first.position(|vm| vm.vm == board.fleet.me.vm) {
            Some(rank) if rank < WATCHERS => WatchRole::Watcher,
            Some(_) => WatchRole::Reserve,
            None => WatchRole::Follower,
        }
    }
}
