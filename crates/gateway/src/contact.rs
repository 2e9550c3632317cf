//! What a VM does for its callers while it is cut off from the other VMs: operations that need a lease, as many as
//! its callers send and repeat.

use model::prelude::*;

/// Time without a lease for which operations still wait for it. A lease that ended because heartbeats were lost
/// returns with the next answered one: 300 ms and a round trip.
pub const SHORT_INTERRUPTION: DurationUs = DurationUs::from_ms(400);
/// Longest time between two calls of [`Contact::update`] of a running process; an older end of a lease means that
/// the process was paused, and its next heartbeat may be answered.
const UPDATE_INTERVAL_MAX: DurationUs = DurationUs::from_ms(150);
/// Time without a lease after which idle sessions are closed; chosen longer than any interruption that ends with
/// the next heartbeats, since callers have to connect again.
const CLOSE_AFTER: DurationUs = DurationUs::from_ms(1_000);
/// How long a change by a VM with a lease shows that most VMs are in contact: half of the 20 s after which silent
/// VMs are removed from the list.
const EVIDENCE_LIFETIME: DurationUs = DurationUs::from_ms(10_000);
/// Time between two idle sessions that are closed: five a second, which the VMs that their callers move to hardly
/// notice.
const CLOSE_INTERVAL: DurationUs = DurationUs::from_ms(200);

/// Whether this VM has a lease, and since when it has none.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    /// Since when there is no lease; `None` while there is one, and before the first.
    lost_at: Option<MonoTime>,
    /// Until when the first lease is expected; `None` once there was one.
    first_lease_by: Option<MonoTime>,
    /// When the last idle session was closed.
    closed_at: MonoTime,
}

impl Contact {
    /// Creates the state of a VM that starts and expects its first lease by `first_lease_by`.
    pub fn new(now: MonoTime, first_lease_by: MonoTime) -> Contact {
        Contact { lost_at: None, first_lease_by: Some(first_lease_by), closed_at: now }
    }

    /// Records whether there is a lease; `ended_at` is when the last one ended, if that is known.
    pub fn update(&mut self, now: MonoTime, has_lease: bool, ended_at: Option<MonoTime>) {
        if has_lease {
            self.lost_at = None;
            self.first_lease_by = None;
            return;
        }
        if self.first_lease_by.is_some_and(|by| now < by) || self.lost_at.is_some() {
            return;
        }
        let observed = MonoTime(now.0.saturating_sub(UPDATE_INTERVAL_MAX.0));
        self.lost_at = Some(ended_at.map_or(now, |ended| ended.max(observed).min(now)));
    }

    /// Whether operations that need a lease are to be refused at once.
    pub fn refuses(&self, now: MonoTime) -> bool {
        self.lost_at.is_some_and(|at| now.since(at) >= SHORT_INTERRUPTION)
    }

    /// Whether an idle session is to be closed now, so that its caller moves to a VM in contact. Not while it is
    /// unknown whether most VMs are: `others_acted_at` is when this VM last learned of a change in the store that
    /// only a VM with a lease makes. What it learns sooner than [`CLOSE_AFTER`] may be from before.
    pub fn closes_session(&mut self, now: MonoTime, others_acted_at: Option<MonoTime>) -> bool {
        let Some(lost_at) = self.lost_at else { return false };
        let others_in_contact = others_acted_at
            .is_some_and(|at| at >= lost_at + CLOSE_AFTER && now.since(at) < EVIDENCE_LIFETIME);
        let closes = others_in_contact && now.since(self.closed_at) >= CLOSE_INTERVAL;
        if closes {
            self.closed_at = now;
        }
        closes
    }
}
