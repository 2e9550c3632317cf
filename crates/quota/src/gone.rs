//! Which owners have gone from the platform's list, and for how long.

use model::prelude::*;

use crate::objects::Owner;

/// How long a run must be gone from the list before what it owned is taken back.
pub const RECLAIM_AFTER: DurationUs = DurationUs::from_ms(10_000);
/// The same for a run that this VM has never seen on the list: the list may just be late.
pub const RECLAIM_UNSEEN_AFTER: DurationUs = DurationUs::from_ms(120_000);

#[derive(Clone, Copy, Debug)]
struct Absence {
    since: MonoTime,
    seen: bool,
}

/// Owners that are missing from the list.
#[derive(Debug, Default)]
pub struct GoneWatch {
    listed: FxHashSet<Owner>,
    absent: FxHashMap<Owner, Absence>,
    listed_at: Option<MonoTime>,
}

impl GoneWatch {
    /// The list was read. Says whether it has changed, or other owners can be taken back than before.
    pub fn note_list(
        &mut self,
        listed: FxHashSet<Owner>,
        owners: impl Iterator<Item = Owner>,
        now: MonoTime,
    ) -> bool {
        let before = self.reclaimable().count();
        let changed = listed != self.listed;
        for gone in self.listed.difference(&listed) {
            self.absent.entry(gone.clone()).or_insert(Absence { since: now, seen: true });
        }
        for owner in owners.filter(|owner| !listed.contains(owner)) {
            self.absent.entry(owner).or_insert(Absence { since: now, seen: false });
        }
        self.absent.retain(|owner, _| !listed.contains(owner));
        self.listed = listed;
        self.listed_at = Some(now);
        changed || self.reclaimable().count() != before
    }

    /// Forgets runs that own nothing any more.
    pub fn forget(&mut self, owns: impl Fn(&Owner) -> bool) {
        self.absent.retain(|owner, _| owns(owner));
    }

    /// Owners that have been gone long enough.
    pub fn reclaimable(&self) -> impl Iterator<Item = &Owner> {
        let now = self.listed_at;
        self.absent.iter().filter_map(move |(owner, absence)| {
            let limit = if absence.seen { RECLAIM_AFTER } else { RECLAIM_UNSEEN_AFTER };
            (now?.since(absence.since) >= limit).then_some(owner)
        })
    }
}
