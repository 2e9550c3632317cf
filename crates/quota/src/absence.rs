//! Tracks which owners, the VM instances that own portions or connections, are missing from the
//! platform's list of VMs, and for how long.

use model::prelude::*;

use crate::objects::VmInstance;

/// How long an instance must be missing from the list before what it owns is reclaimed.
pub const RECLAIM_AFTER: DurationUs = DurationUs::from_ms(10_000);
/// The same for an instance that this VM has never seen on the list: the list may just be late.
pub const RECLAIM_UNSEEN_AFTER: DurationUs = DurationUs::from_ms(120_000);

/// Since when an instance has been missing.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: MonoTime,
    /// Whether this VM has seen the instance on the list before.
    was_listed: bool,
}

/// The owners that are missing from the platform's list of VMs.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    /// Instances on the newest list.
    listed: FxHashSet<VmInstance>,
    absent: FxHashMap<VmInstance, Absence>,
    /// When the newest list was read from the platform.
    listed_at: Option<MonoTime>,
}

impl AbsenceTracker {
    /// Records the list as read from the platform at `now`. Returns whether the list or the number of
    /// reclaimable owners has changed.
    pub fn record_list(
        &mut self,
        listed: FxHashSet<VmInstance>,
        owners: impl Iterator<Item = VmInstance>,
        now: MonoTime,
    ) -> bool {
        let before = self.reclaimable().count();
        let changed = listed != self.listed;
        for gone in self.listed.difference(&listed) {
            self.absent.entry(gone.clone()).or_insert(Absence { since: now, was_listed: true });
        }
        for owner in owners.filter(|owner| !listed.contains(owner)) {
            self.absent.entry(owner).or_insert(Absence { since: now, was_listed: false });
        }
        self.absent.retain(|owner, _| !listed.contains(owner));
        self.listed = listed;
        self.listed_at = Some(now);
        changed || self.reclaimable().count() != before
    }

    /// Forgets the instances for which `owns` is false.
    pub fn retain_owners(&mut self, owns: impl Fn(&VmInstance) -> bool) {
        self.absent.retain(|owner, _| owns(owner));
    }

    /// Owners whose portions and connections may be reclaimed, as of the newest list. Time without a
    /// new list does not count: the list may just be unreadable.
    pub fn reclaimable(&self) -> impl Iterator<Item = &VmInstance> {
        let now = self.listed_at;
        self.absent.iter().filter_map(move |(owner, absence)| {
            let limit = if absence.was_listed { RECLAIM_AFTER } else { RECLAIM_UNSEEN_AFTER };
            (now?.since(absence.since) >= limit).then_some(owner)
        })
    }
}
