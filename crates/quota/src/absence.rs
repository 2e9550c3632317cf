//! Which owners have gone from the platform's list, and for how long.

use model::prelude::*;

use crate::objects::VmInstance;

/// How long a run must be gone from the list before what it owned is taken back.
pub const RECLAIM_AFTER: DurationUs = DurationUs::from_ms(10_000);
/// The same for a run that this VM has never seen on the list: the list may just be late.
pub const RECLAIM_UNSEEN_AFTER: DurationUs = DurationUs::from_ms(120_000);

#[derive(Clone, Copy, Debug)]
struct Absence {
    since: MonoTime,
    was_listed: bool,
}

/// Owners that are missing from the list.
#[derive(Debug, Default)]
pub struct AbsenceTracker {
    listed: FxHashSet<VmInstance>,
    absent: FxHashMap<VmInstance, Absence>,
    listed_at: Option<MonoTime>,
}

impl AbsenceTracker {
    /// The list was read. Says whether it has changed, or other owners can be taken back than before.
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

    /// Forgets runs that own nothing any more.
    pub fn retain_owners(&mut self, owns: impl Fn(&VmInstance) -> bool) {
        self.absent.retain(|owner, _| owns(owner));
    }

    /// Owners that have been gone long enough.
    pub fn reclaimable(&self) -> impl Iterator<Item = &VmInstance> {
        let now = self.listed_at;
        self.absent.iter().filter_map(move |(owner, absence)| {
            let limit = if absence.was_listed { RECLAIM_AFTER } else { RECLAIM_UNSEEN_AFTER };
            (now?.since(absence.since) >= limit).then_some(owner)
        })
    }
}
