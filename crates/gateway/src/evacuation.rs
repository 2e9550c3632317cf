//! Evacuations: data centres whose databases get no more work, for maintenance or because they are about to fail.
//!
//! The load that this module answers is all the work of a data centre, which has to move at once when an
//! evacuation begins and must not return at once when it ends: the databases may be cold by then.

use std::collections::BTreeMap;

use model::{prelude::*, request::stable_hash};

/// Percentage of the bound during which work in progress may go on, counted from when this VM learned of the
/// evacuation. The rest is for the list to reach this VM: a watch that fell silent is noticed after up to 3 s of
/// the 5 s.
const GRACE_PERCENT: u64 = 30;
/// Time after the end of an evacuation in which the share of new work rises to all.
const RETURN_PERIOD: DurationUs = DurationUs::from_ms(5_000);
/// Share of new work right after the end of an evacuation.
const RETURN_MIN_SHARE: f64 = 0.1;
/// How long a service may be without a known primary before the coordinator asks its evacuated databases, too.
/// Those elsewhere answer sooner, and a database is promoted without asking the old primary only after
/// [`crate::failover::NO_PRIMARY_TIMEOUT`] or more.
pub const EVACUATED_QUERY_AFTER: DurationUs = DurationUs::from_ms(700);
/// The time to retry after, in refusals for lack of a database elsewhere. An evacuation has no known end.
pub const RETRY_AFTER: DurationUs = DurationUs::from_ms(1_000);

/// How long a process waits after its start for its first list before it sends anything. As long as a watch that
/// fell silent takes to be noticed; a VM that neither the store nor a peer tells by then is not in contact.
const FIRST_LIST_TIMEOUT: DurationUs = DurationUs::from_ms(3_000);

/// What may be sent to the databases of a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Everything.
    Open,
    /// An evacuation ended a short time ago: a share of the new work that other databases can serve, too, and
    /// everything else.
    Returning {
        /// The share, between 0 and 1.
        share: f64,
    },
    /// An evacuation began: work in progress, and what only a primary there can run until it is handed over.
    Draining,
    /// The grace period of an evacuation is over: only requests of failovers.
    Closed,
}

/// Kinds of requests to databases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A new operation, or a status query outside failovers.
    New,
    /// A new operation that only the primary can run.
    NeedsPrimary,
    /// The next statement of an open transaction.
    InProgress,
    /// A request of a failover.
    Failover,
}

impl Stage {
    /// Whether a request of this kind may be sent.
    pub fn admits(self, work: Work) -> bool {
        match (self, work) {
            (Stage::Open | Stage::Returning { .. }, _) | (_, Work::Failover) => true,
            (Stage::Draining, Work::NeedsPrimary | Work::InProgress) => true,
            (Stage::Draining, Work::New) | (Stage::Closed, _) => false,
        }
    }

    /// The share, between 0 and 1, of the new work that may go there although other databases can serve it.
    pub fn share(self) -> f64 {
        match self {
            Stage::Open => 1.0,
            Stage::Returning { share } => share,
            Stage::Draining | Stage::Closed => 0.0,
        }
    }
}

/// An evacuation that is in force.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    learned_at: MonoTime,
    grace_until: MonoTime,
    /// Whether [`Evacuations::take_closed`] has returned it.
    is_reported: bool,
}

/// The data centres that a new list added and removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Data centres whose evacuation began.
    pub begun: Vec<DcName>,
    /// Data centres whose evacuation ended.
    pub ended: Vec<DcName>,
}

/// The data centres that are being evacuated, as far as this VM knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Time from the confirmation of an evacuation until no request may arrive; `None` if the deployment has no
    /// evacuations, and then none has an effect.
    bound: Option<DurationUs>,
    started_at: MonoTime,
    /// Whether a list was received.
    has_list: bool,
    /// Version of the list in the store; zero before one was received.
    version: u64,
    in_force: BTreeMap<DcName, Evacuation>,
    /// When this VM learned of the end of each evacuation.
    ended_at: BTreeMap<DcName, MonoTime>,
}

impl Evacuations {
    /// No evacuations, in a deployment with this bound and a process that starts now.
    pub fn new(bound: Option<DurationUs>, now: MonoTime) -> Evacuations {
        Evacuations { bound, started_at: now, ..Evacuations::default() }
    }

    /// Whether a list may be in force that has not reached this VM yet, because its process has just started.
    pub fn is_unknown(&self, now: MonoTime) -> bool {
        let is_starting = now.since(self.started_at) < FIRST_LIST_TIMEOUT;
        self.bound.is_some() && !self.has_list && is_starting
    }

    /// Replaces the list, unless it is older than the present one. Returns what it changed.
    ///
    /// Evacuations in the first list that this process knows have no grace period: they may have begun long ago,
    /// and nothing of this process is in progress there.
    pub fn replace(
        &mut self,
        now: MonoTime,
        version: u64,
        dcs: impl IntoIterator<Item = DcName>,
    ) -> Change {
        if version < self.version {
            return Change::default();
        }
        let is_first = !std::mem::replace(&mut self.has_list, true);
        self.version = version;
        let Some(bound) = self.bound else { return Change::default() };
        let grace = DurationUs(if is_first { 0 } else { bound.0 * GRACE_PERCENT / 100 });
        let mut before = std::mem::take(&mut self.in_force);
        let mut change = Change::default();
        for dc in dcs {
            let known = before.remove(&dc).or_else(|| self.in_force.get(&dc).copied());
            if known.is_none() {
                change.begun.push(dc.clone());
                self.ended_at.remove(&dc);
            }
            let new = Evacuation { learned_at: now, grace_until: now + grace, is_reported: false };
            self.in_force.insert(dc, known.unwrap_or(new));
        }
        for dc in before.into_keys() {
            self.ended_at.insert(dc.clone(), now);
            change.ended.push(dc);
        }
        change
    }

    /// Version of the list in use.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the data centre is being evacuated.
    pub fn contains(&self, dc: &DcName) -> bool {
        self.in_force.contains_key(dc)
    }

    /// Whether all data centres are being evacuated, and there is at least one.
    pub fn contains_all<'a>(&self, dcs: impl IntoIterator<Item = &'a DcName>) -> bool {
        let mut dcs = dcs.into_iter().peekable();
        dcs.peek().is_some() && dcs.all(|dc| self.contains(dc))
    }

    /// Whether no evacuation is in force.
    pub fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }

    /// The data centres that are being evacuated, and when this VM learned of it.
    pub fn iter(&self) -> impl Iterator<Item = (&DcName, MonoTime)> {
        self.in_force.iter().map(|(dc, evacuation)| (dc, evacuation.learned_at))
    }

    /// What may be sent to the databases of a data centre.
    pub fn stage(&self, now: MonoTime, dc: &DcName) -> Stage {
        if self.is_unknown(now) {
            return Stage::Closed;
        }
        if let Some(evacuation) = self.in_force.get(dc) {
            return match now < evacuation.grace_until {
                true => Stage::Draining,
                false => Stage::Closed,
            };
        }
        let Some(ended_at) = self.ended_at.get(dc) else { return Stage::Open };
        let passed = now.since(*ended_at).0 as f64 / RETURN_PERIOD.0 as f64;
        match passed < 1.0 {
            true => {
                Stage::Returning { share: RETURN_MIN_SHARE + (1.0 - RETURN_MIN_SHARE) * passed }
            }
            false => Stage::Open,
        }
    }

    /// Whether an evacuation of some data centre ended so recently that work returns gradually.
    pub fn is_returning(&self, now: MonoTime) -> bool {
        self.ended_at.values().any(|at| now.since(*at) < RETURN_PERIOD)
    }

    /// Returns the data centres whose grace period has ended since the last call.
    pub fn take_closed(&mut self, now: MonoTime) -> Vec<DcName> {
        let mut closed = Vec::new();
        for (dc, evacuation) in &mut self.in_force {
            if now >= evacuation.grace_until
                && !std::mem::replace(&mut evacuation.is_reported, true)
            {
                closed.push(dc.clone());
            }
        }
        closed
    }
}

/// Returns the share from which a statement may go to a data centre to which work returns. It follows from the
/// statement, so that waiting for longer does not draw again.
pub fn share_needed(id: &str, arrived: MonoTime) -> f64 {
    stable_hash(&format!("{id}/{}", arrived.0)) as f64 / u64::MAX as f64
}
