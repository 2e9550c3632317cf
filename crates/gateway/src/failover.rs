//! Replacing a primary: when, by whom, and in which steps.
//!
//! The steps of one attempt: every VM is told to stop using the primary; once all have, or leases have
//! lapsed, the replicas are asked what they received; the one that received most is ordered to lead,
//! under a token raised right before; once it leads, all are told. A planned change also waits until a
//! replica has received everything, and demotes the old primary first.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

use crate::peers::{LEASE_DURATION, ServiceReport};

/// How long a primary must have been silent or broken for one VM before it is replaced.
///
/// Shorter than any retry budget of callers, longer than a restart of a connection.
pub const FAILURE_THRESHOLD: DurationUs = DurationUs::from_ms(500);
/// A primary that answered some VM within this time is not replaced for silence.
pub const RECENT_ANSWER_WINDOW: DurationUs = DurationUs::from_ms(600);
/// How long a service may be without a known leader before one is appointed: a claimant answers a
/// question for its status much sooner.
pub const NO_PRIMARY_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// The same where no leader was known since this VM started: databases may still be starting, and the
/// first to enter themselves need not be those that hold most.
pub const NO_PRIMARY_TIMEOUT_FIRST_START: DurationUs = DurationUs::from_ms(8_000);
/// The same where the fleet has run before: only this VM is new.
pub const NO_PRIMARY_TIMEOUT_RESTART: DurationUs = DurationUs::from_ms(3_000);
/// How long statements in progress may hold up a planned change.
pub const PLANNED_SUSPEND_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// How long a database is waited for when it is asked for its position.
pub const STATUS_TIMEOUT: DurationUs = DurationUs::from_ms(400);
/// How long all replicas are waited for where commits were acknowledged on the word of one of them.
pub const SYNCHRONOUS_STATUS_TIMEOUT: DurationUs = DurationUs::from_ms(4_000);
/// How long a replica may take to receive everything in a planned change.
pub const CATCH_UP_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// The order leaves within this time after the token's update was sent, or not at all.
pub const PROMOTION_SEND_WINDOW: DurationUs = DurationUs::from_ms(400);
/// How long an answer to the token's update or to the order is waited for.
pub const PLATFORM_CALL_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// How long a database may take to lead after the order.
pub const PROMOTION_TIMEOUT: DurationUs = DurationUs::from_ms(3_000);
/// Time between two questions to a database in an attempt.
pub const STATUS_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(60);
/// Time between two requests to stop to a VM that has not answered.
pub const SUSPEND_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(120);
/// Time between two tries to raise the token: the store may be away, and each call costs.
pub const TOKEN_RETRY_DELAY: DurationUs = DurationUs::from_ms(300);
/// How long after an attempt that failed the next one may begin.
pub const ATTEMPT_RETRY_DELAY: DurationUs = DurationUs::from_ms(700);

/// What a database says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusRow {
    /// Whether it takes writes.
    pub is_primary: bool,
    /// Its term.
    pub term: Term,
    /// What it has received.
    pub received: Position,
}

/// How far an attempt has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// VMs are told to stop.
    AwaitingSuspension,
    /// Databases are asked what they received.
    CollectingStatus {
        /// When that began.
        since: MonoTime,
    },
    /// The old primary is told to follow.
    Demoting {
        /// When it was told.
        since: MonoTime,
        /// Who is to lead.
        candidate: DatabaseName,
    },
    /// The token is being raised.
    RaisingToken {
        /// When the update was asked for.
        since: MonoTime,
        /// Who is to lead.
        candidate: DatabaseName,
    },
    /// The order is under way.
    Promoting {
        /// When it was given.
        since: MonoTime,
        /// Who is to lead.
        candidate: DatabaseName,
    },
    /// The order was given; the database does not lead yet.
    Confirming {
        /// When the order was answered.
        since: MonoTime,
        /// Who is to lead.
        candidate: DatabaseName,
    },
}

/// What an attempt does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Ask these databases for their status.
    QueryStatus(Vec<DatabaseName>),
    /// Tell the old primary to follow.
    Demote(DatabaseName),
    /// Raise the token.
    RaiseToken,
    /// Give up; the old primary may be used again.
    GiveUp(&'static str),
    /// The database leads: tell everyone.
    Announce(DatabaseName, Term),
}

/// One attempt to replace a primary.
#[derive(Clone, Debug)]
pub struct FailoverAttempt {
    /// Names it.
    pub id: u64,
    /// The service.
    pub service: ServiceName,
    /// The term that it prepares.
    pub term: Term,
    /// Whether the old primary still serves.
    pub planned: bool,
    /// Whether a commit is acknowledged only once a replica has received it: the replica that received
    /// most holds all that was acknowledged, if none of them receives any more.
    pub synchronous: bool,
    /// The primary that is replaced.
    pub old_primary: Option<DatabaseName>,
    /// When it began.
    pub started: MonoTime,
    /// How far it has come.
    pub phase: Phase,
    /// VMs that have stopped.
    pub suspended: BTreeSet<VmName>,
    /// Since when a majority of the witnesses has stopped.
    pub majority_suspended_at: Option<MonoTime>,
    /// When the stop was last asked for.
    pub suspend_sent_at: Option<MonoTime>,
    /// Databases that could lead, in order of preference.
    pub candidates: Vec<DatabaseName>,
    /// What they said.
    pub statuses: BTreeMap<DatabaseName, StatusRow>,
    /// When each was last asked.
    pub status_asked_at: BTreeMap<DatabaseName, MonoTime>,
    /// Candidates that can't lead.
    pub excluded: BTreeSet<DatabaseName>,
    /// The token is not raised before this moment.
    pub token_retry_at: MonoTime,
    /// Whether an order may have left: from then on only a new leader ends the attempt.
    pub promotion_requested: bool,
}

impl FailoverAttempt {
    /// An attempt that begins now, after a primary that is not known or no longer serves.
    pub fn new(id: u64, service: ServiceName, term: Term, now: MonoTime) -> FailoverAttempt {
        FailoverAttempt {
            id,
            service,
            term,
            planned: false,
            synchronous: false,
            old_primary: None,
            started: now,
            phase: Phase::AwaitingSuspension,
            suspended: BTreeSet::new(),
            majority_suspended_at: None,
            suspend_sent_at: None,
            candidates: Vec::new(),
            statuses: BTreeMap::new(),
            status_asked_at: BTreeMap::new(),
            excluded: BTreeSet::new(),
            token_retry_at: now,
            promotion_requested: false,
        }
    }

    /// Names the primary that is replaced; `planned` where it still serves.
    pub fn with_old_primary(
        self,
        old_primary: Option<DatabaseName>,
        planned: bool,
    ) -> FailoverAttempt {
        FailoverAttempt { old_primary, planned, ..self }
    }

    /// Names those that could lead, in order of preference.
    pub fn with_candidates(self, candidates: Vec<DatabaseName>) -> FailoverAttempt {
        FailoverAttempt { candidates, ..self }
    }

    /// Says whether commits are acknowledged only once a replica has received them.
    pub fn with_synchronous(self, synchronous: bool) -> FailoverAttempt {
        FailoverAttempt { synchronous, ..self }
    }

    /// Whether all VMs that could use the primary have stopped, or their leases have lapsed. `all_said_so`
    /// is whether every VM has confirmed it.
    pub fn all_suspended(&self, now: MonoTime, all_confirmed: bool) -> bool {
        all_confirmed
            || self.majority_suspended_at.is_some_and(|at| now.since(at) >= LEASE_DURATION)
    }

    /// Notes whether a majority of the witnesses has stopped. Another set of witnesses has to stop anew.
    pub fn note_majority(&mut self, now: MonoTime, has_suspended: bool) {
        self.majority_suspended_at =
            has_suspended.then(|| self.majority_suspended_at.unwrap_or(now));
    }

    /// Whether databases are told to receive nothing more when they are asked.
    pub fn pauses_replication(&self) -> bool {
        self.synchronous && !self.planned && matches!(self.phase, Phase::CollectingStatus { .. })
    }

    /// Notes what a database said. A term that has begun already can't be prepared: the VMs are told to
    /// stop for the next one.
    pub fn note_status(&mut self, now: MonoTime, database: &DatabaseName, row: StatusRow) {
        if row.term >= self.term && !row.is_primary && !self.promotion_requested {
            let (old_primary, planned) = (self.old_primary.take(), self.planned);
            let candidates = std::mem::take(&mut self.candidates);
            *self = FailoverAttempt::new(self.id, self.service.clone(), row.term.next(), now)
                .with_old_primary(old_primary, planned)
                .with_candidates(candidates)
                .with_synchronous(self.synchronous);
            return;
        }
        self.statuses.insert(database.clone(), row);
    }

    /// What to do at `now`, given whether all VMs have confirmed that they stopped.
    pub fn step(&mut self, now: MonoTime, all_confirmed: bool) -> Step {
        match self.phase.clone() {
            Phase::AwaitingSuspension => self.step_awaiting_suspension(now, all_confirmed),
            Phase::CollectingStatus { since } => self.step_collecting_status(now, since),
            Phase::Demoting { since, candidate } => self.step_demoting(now, since, candidate),
            Phase::RaisingToken { since, .. } if now.since(since) >= PLATFORM_CALL_TIMEOUT => {
                self.restart_collection(now)
            }
            Phase::Promoting { since, candidate } if now.since(since) >= PLATFORM_CALL_TIMEOUT => {
                // The order may have been carried out without an answer.
                self.phase = Phase::Confirming { since: now, candidate };
                Step::Wait
            }
            Phase::RaisingToken { .. } | Phase::Promoting { .. } => Step::Wait,
            Phase::Confirming { since, candidate } => self.step_confirming(now, since, candidate),
        }
    }

    fn step_awaiting_suspension(&mut self, now: MonoTime, all_confirmed: bool) -> Step {
        if self.all_suspended(now, all_confirmed) {
            self.phase = Phase::CollectingStatus { since: now };
            return self.query_status(now);
        }
        let bound = if self.planned {
            PLANNED_SUSPEND_TIMEOUT.0 + LEASE_DURATION.0
        } else {
            4 * LEASE_DURATION.0
        };
        if now.since(self.started).0 > bound {
            return Step::GiveUp("no majority of VMs has stopped");
        }
        Step::Wait
    }

    fn step_collecting_status(&mut self, now: MonoTime, since: MonoTime) -> Step {
        let mut leaders = self
            .statuses
            .iter()
            .filter(|(name, row)| row.is_primary && self.old_primary.as_ref() != Some(*name));
        if let Some((leader, row)) = leaders.clone().find(|(_, row)| row.term >= self.term) {
            return Step::Announce(leader.clone(), row.term);
        }
        if !self.promotion_requested && !self.planned && leaders.next().is_some() {
            return Step::GiveUp("a database leads that was not known to");
        }
        let eligible: Vec<&DatabaseName> =
            self.candidates.iter().filter(|name| !self.excluded.contains(*name)).collect();
        if eligible.is_empty() {
            return Step::GiveUp("no database can lead");
        }
        if self.planned {
            return self.step_catching_up(now, since);
        }
        let all_answered = eligible.iter().all(|name| self.statuses.contains_key(*name));
        let within = if self.synchronous { SYNCHRONOUS_STATUS_TIMEOUT } else { STATUS_TIMEOUT };
        if !all_answered && now.since(since) < within {
            return self.query_status(now);
        }
        if now < self.token_retry_at {
            return Step::Wait;
        }
        let best = eligible
            .iter()
            .filter_map(|name| self.statuses.get(*name).map(|row| (row.received, *name)))
            .max_by(|a, b| a.0.cmp(&b.0).then_with(|| self.preference(b.1, a.1)));
        match best.map(|(_, name)| name.clone()) {
            Some(candidate) => {
                self.phase = Phase::RaisingToken { since: now, candidate };
                Step::RaiseToken
            }
            None if now.since(since).0 > 2 * STATUS_TIMEOUT.0 => Step::GiveUp("no replica answers"),
            None => self.query_status(now),
        }
    }

    /// Earlier candidates are preferred.
    fn preference(&self, a: &DatabaseName, b: &DatabaseName) -> std::cmp::Ordering {
        let place = |name| self.candidates.iter().position(|c| c == name);
        place(a).cmp(&place(b))
    }

    fn step_catching_up(&mut self, now: MonoTime, since: MonoTime) -> Step {
        let Some(old) = self.old_primary.clone() else {
            return Step::GiveUp("the primary is not known");
        };
        let all = self.statuses.get(&old).map(|row| row.received);
        let caught_up = all.and_then(|all| {
            self.candidates
                .iter()
                .find(|name| self.statuses.get(*name).is_some_and(|row| row.received >= all))
        });
        if let Some(candidate) = caught_up.cloned() {
            self.phase = Phase::Demoting { since: now, candidate };
            return Step::Demote(old);
        }
        if now.since(since) > CATCH_UP_TIMEOUT {
            return Step::GiveUp("no replica has received everything");
        }
        self.query_status(now)
    }

    fn step_demoting(&mut self, now: MonoTime, since: MonoTime, candidate: DatabaseName) -> Step {
        let old = self.old_primary.as_ref().and_then(|old| self.statuses.get(old));
        if old.is_some_and(|row| !row.is_primary) {
            self.phase = Phase::RaisingToken { since: now, candidate };
            return Step::RaiseToken;
        }
        if now.since(since) > STATUS_TIMEOUT {
            // It may have been demoted without an answer, so it can't simply be used again.
            self.planned = false;
            return self.restart_collection(now);
        }
        Step::Wait
    }

    fn step_confirming(&mut self, now: MonoTime, since: MonoTime, candidate: DatabaseName) -> Step {
        if let Some(row) = self.statuses.get(&candidate)
            && row.is_primary
            && row.term >= self.term
        {
            return Step::Announce(candidate, row.term);
        }
        if now.since(since) > PROMOTION_TIMEOUT {
            return self.restart_collection(now);
        }
        let due = self
            .status_asked_at
            .get(&candidate)
            .is_none_or(|at| now.since(*at) >= STATUS_RETRY_INTERVAL);
        if !due {
            return Step::Wait;
        }
        self.status_asked_at.insert(candidate.clone(), now);
        Step::QueryStatus(vec![candidate])
    }

    /// Begins the survey again with nothing known.
    pub fn restart_collection(&mut self, now: MonoTime) -> Step {
        self.statuses.clear();
        self.status_asked_at.clear();
        self.phase = Phase::CollectingStatus { since: now };
        self.query_status(now)
    }

    fn query_status(&mut self, now: MonoTime) -> Step {
        let old = self.old_primary.iter().filter(|_| self.planned);
        let due: Vec<DatabaseName> = self
            .candidates
            .iter()
            .chain(old)
            .filter(|name| !self.excluded.contains(*name))
            .filter(|name| {
                self.status_asked_at
                    .get(*name)
                    .is_none_or(|at| now.since(*at) >= STATUS_RETRY_INTERVAL)
            })
            .filter(|name| self.planned || !self.statuses.contains_key(*name))
            .cloned()
            .collect();
        if due.is_empty() {
            return Step::Wait;
        }
        for name in &due {
            self.status_asked_at.insert(name.clone(), now);
        }
        Step::QueryStatus(due)
    }

    /// The token was raised, or not.
    pub fn token_raised(&mut self, now: MonoTime, token: Option<u64>) -> Option<DatabaseName> {
        let Phase::RaisingToken { candidate, .. } = self.phase.clone() else { return None };
        if token.is_none() {
            self.token_retry_at = now + TOKEN_RETRY_DELAY;
            self.restart_collection(now);
            return None;
        }
        self.promotion_requested = true;
        self.statuses.remove(&candidate);
        self.phase = Phase::Promoting { since: now, candidate: candidate.clone() };
        Some(candidate)
    }

    /// The order was answered.
    pub fn promotion_answered(&mut self, now: MonoTime, outcome: PromotionOutcome) {
        let Phase::Promoting { candidate, .. } = self.phase.clone() else { return };
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {
                self.phase = Phase::Confirming { since: now, candidate };
            }
            PromotionOutcome::NotRunning => {
                self.excluded.insert(candidate);
                self.restart_collection(now);
            }
            PromotionOutcome::NotSent => {
                self.restart_collection(now);
            }
        }
    }
}

/// A promotion that is ordered, or may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionIntent {
    /// The service.
    pub service: ServiceName,
    /// The term that begins.
    pub term: Term,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// It was accepted.
    Accepted,
    /// The database is not running.
    NotRunning,
    /// It did not leave, or was refused without effect.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

/// What the VMs together say of a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryHealth {
    /// It serves.
    Serving,
    /// It answers nobody any more.
    Lost,
    /// Nobody has tried lately.
    Unknown,
}

/// Judges a primary by what the VMs met. `notes` holds one note for each VM that was heard of.
pub fn assess_primary<'a>(notes: impl Iterator<Item = &'a ServiceReport>) -> PrimaryHealth {
    let mut failing = 0;
    for note in notes {
        if note.answered.is_some_and(|ago| ago < RECENT_ANSWER_WINDOW) {
            return PrimaryHealth::Serving;
        }
        failing += usize::from(note.failing.is_some_and(|span| span >= FAILURE_THRESHOLD));
    }
    if failing > 0 { PrimaryHealth::Lost } else { PrimaryHealth::Unknown }
}
