//! Failover and planned change of a service's primary: when it is due, and the steps of one
//! attempt.
//!
//! The steps of a [`FailoverAttempt`]: all VMs are asked to suspend use of the primary; once they
//! have, or their leases have expired, the replicas are asked for the position they have received;
//! the most advanced replica is promoted under a fencing token that is raised right before; once it
//! is primary, all VMs are told. A planned change also waits until a replica has received
//! everything, and demotes the old primary before the promotion.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

use crate::{peers::ServiceReport, witnesses::LEASE_DURATION};

/// How long a VM must have had no usable answer from a primary before the primary is replaced.
///
/// Shorter than the retry budget of any caller, longer than reconnecting takes.
pub const FAILURE_THRESHOLD: DurationUs = DurationUs::from_ms(500);
/// A primary that answered any VM this recently is not replaced for being unresponsive.
pub const RECENT_ANSWER_WINDOW: DurationUs = DurationUs::from_ms(600);
/// How long a service may be without a known primary before one is promoted. A database that is
/// primary answers a status query much sooner.
pub const NO_PRIMARY_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// Like [`NO_PRIMARY_TIMEOUT`], when no primary has been known since this VM started and the fleet
/// starts for the first time: databases may still be starting, and those that register first are
/// not necessarily the most advanced.
pub const NO_PRIMARY_TIMEOUT_FIRST_START: DurationUs = DurationUs::from_ms(8_000);
/// Like [`NO_PRIMARY_TIMEOUT_FIRST_START`], when the fleet has run before and only this VM is new.
pub const NO_PRIMARY_TIMEOUT_RESTART: DurationUs = DurationUs::from_ms(3_000);
/// How long transactions and statements in progress may delay a planned change.
pub const PLANNED_SUSPEND_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// How long to wait for a database to report its position.
pub const STATUS_TIMEOUT: DurationUs = DurationUs::from_ms(400);
/// How long to wait for all replicas to report their position when commits are synchronous: any one
/// of them may be the only replica that holds an acknowledged commit.
pub const SYNCHRONOUS_STATUS_TIMEOUT: DurationUs = DurationUs::from_ms(4_000);
/// How long a replica may take to receive everything in a planned change.
pub const CATCH_UP_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// A promotion request is sent within this time after the update of the fencing token was sent, or
/// not at all.
pub const PROMOTION_SEND_WINDOW: DurationUs = DurationUs::from_ms(400);
/// How long to wait for the answer to a token update or a promotion request.
pub const PLATFORM_CALL_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// How long a database may take to become primary after the promotion request was answered.
pub const PROMOTION_TIMEOUT: DurationUs = DurationUs::from_ms(3_000);
/// Minimum time between two status queries to a database in one attempt.
pub const STATUS_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(60);
/// Minimum time between two suspension requests to VMs that have not confirmed.
pub const SUSPEND_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(120);
/// Minimum time between two attempts to raise the token: the store may be down, and calls to it
/// are costly.
pub const TOKEN_RETRY_DELAY: DurationUs = DurationUs::from_ms(300);
/// Minimum time between a failed attempt and the next one for the same service.
pub const ATTEMPT_RETRY_DELAY: DurationUs = DurationUs::from_ms(700);

/// A database's answer to a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusRow {
    /// Whether it is in the role of the primary.
    pub is_primary: bool,
    /// The newest term that it knows.
    pub term: Term,
    /// The end of the log that it has received.
    pub received: Position,
}

/// The phase of a [`FailoverAttempt`].
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// All VMs are asked to suspend use of the primary.
    AwaitingSuspension,
    /// The candidates are asked for their positions.
    CollectingStatus {
        /// When the phase began.
        since: MonoTime,
    },
    /// The old primary is told to become a replica; only in a planned change.
    Demoting {
        /// When the request was sent.
        since: MonoTime,
        /// The database to promote.
        candidate: DatabaseName,
    },
    /// The fencing token is being raised.
    RaisingToken {
        /// When the update was requested.
        since: MonoTime,
        /// The database to promote.
        candidate: DatabaseName,
    },
    /// The promotion request is in progress.
    Promoting {
        /// When the request was issued.
        since: MonoTime,
        /// The database to promote.
        candidate: DatabaseName,
    },
    /// The promotion request was answered or timed out, and the database is not known to be primary
    /// yet.
    Confirming {
        /// When the request was answered or timed out.
        since: MonoTime,
        /// The database to promote.
        candidate: DatabaseName,
    },
}

/// The next action of a [`FailoverAttempt`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is due.
    Wait,
    /// Query the status of these databases.
    QueryStatus(Vec<DatabaseName>),
    /// Tell this database, the old primary, to become a replica.
    Demote(DatabaseName),
    /// Raise the fencing token.
    RaiseToken,
    /// End the attempt for this reason; the old primary may be used again.
    GiveUp(&'static str),
    /// The database is primary in this term: tell all VMs.
    Announce(DatabaseName, Term),
}

/// One attempt to replace the primary of a service.
#[derive(Clone, Debug)]
pub struct FailoverAttempt {
    /// Number of the attempt, unique within one run of the VM.
    pub id: u64,
    /// The service whose primary is replaced.
    pub service: ServiceName,
    /// The term that begins with the promotion.
    pub term: Term,
    /// Whether the change is planned: the old primary still serves, and is about to be withdrawn.
    pub planned: bool,
    /// Whether a commit is acknowledged only once a replica has received it. Then the most advanced
    /// replica holds every acknowledged commit, provided that replication is paused everywhere.
    pub synchronous: bool,
    /// The primary to replace; `None` where none is known.
    pub old_primary: Option<DatabaseName>,
    /// When the attempt began.
    pub started: MonoTime,
    /// The current phase.
    pub phase: Phase,
    /// VMs that have confirmed that they no longer use the old primary.
    pub suspended: BTreeSet<VmName>,
    /// Since when a majority of the witnesses has confirmed; `None` until one has.
    pub majority_suspended_at: Option<MonoTime>,
    /// When VMs were last asked to suspend use of the primary.
    pub suspend_sent_at: Option<MonoTime>,
    /// Databases that may be promoted, in order of preference.
    pub candidates: Vec<DatabaseName>,
    /// Whether the old primary gets as few requests as possible: it is asked for its status once, which is enough
    /// after all VMs have suspended it, instead of until a replica has caught up.
    pub spares_old_primary: bool,
    /// Databases that are asked for what they have received, but must not be promoted. None is promoted that
    /// has received less than one of them.
    pub observed: Vec<DatabaseName>,
    /// The last answer of each database since the last restart of the collection.
    pub statuses: BTreeMap<DatabaseName, StatusRow>,
    /// When the status of each database was last queried.
    pub status_queried_at: BTreeMap<DatabaseName, MonoTime>,
    /// Candidates that the platform reported as not running.
    pub excluded: BTreeSet<DatabaseName>,
    /// The token is not raised before this time.
    pub token_retry_at: MonoTime,
    /// Whether a promotion request may have been sent. From then on, only a new primary ends the
    /// attempt.
    pub promotion_requested: bool,
}

impl FailoverAttempt {
    /// An attempt that begins now, for an unplanned change with no known old primary.
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
            spares_old_primary: false,
            observed: Vec::new(),
            statuses: BTreeMap::new(),
            status_queried_at: BTreeMap::new(),
            excluded: BTreeSet::new(),
            token_retry_at: now,
            promotion_requested: false,
        }
    }

    /// Sets the primary to replace; `planned` says whether it is still serving.
    pub fn with_old_primary(
        self,
        old_primary: Option<DatabaseName>,
        planned: bool,
    ) -> FailoverAttempt {
        FailoverAttempt { old_primary, planned, ..self }
    }

    /// Sets the databases that may be promoted, in order of preference.
    pub fn with_candidates(self, candidates: Vec<DatabaseName>) -> FailoverAttempt {
        FailoverAttempt { candidates, ..self }
    }

    /// Sets whether the old primary gets as few requests as possible.
    pub fn with_spared_old_primary(self, spares_old_primary: bool) -> FailoverAttempt {
        FailoverAttempt { spares_old_primary, ..self }
    }

    /// Sets the databases whose positions are needed although they must not be promoted.
    pub fn with_observed(self, observed: Vec<DatabaseName>) -> FailoverAttempt {
        FailoverAttempt { observed, ..self }
    }

    /// Sets whether a commit is acknowledged only once a replica has received it.
    pub fn with_synchronous(self, synchronous: bool) -> FailoverAttempt {
        FailoverAttempt { synchronous, ..self }
    }

    /// Whether no VM can use the old primary any more: either `all_confirmed` says that every VM
    /// has confirmed, or a majority of the witnesses confirmed so long ago that all leases have
    /// expired.
    pub fn all_suspended(&self, now: MonoTime, all_confirmed: bool) -> bool {
        all_confirmed
            || self.majority_suspended_at.is_some_and(|at| now.since(at) >= LEASE_DURATION)
    }

    /// Records whether a majority of the current witnesses has confirmed. If a change of the
    /// witness set ends the majority, the lease duration is counted anew once there is one again.
    pub fn note_majority(&mut self, now: MonoTime, is_majority: bool) {
        self.majority_suspended_at = is_majority.then(|| self.majority_suspended_at.unwrap_or(now));
    }

    /// Whether databases are told to pause replication when their status is queried.
    pub fn pauses_replication(&self) -> bool {
        self.synchronous && !self.planned && matches!(self.phase, Phase::CollectingStatus { .. })
    }

    /// Records the answer of a database. If the term to prepare has already begun, the attempt
    /// starts over with the next term, so all VMs have to confirm again.
    pub fn note_status(&mut self, now: MonoTime, database: &DatabaseName, row: StatusRow) {
        if row.term >= self.term && !row.is_primary && !self.promotion_requested {
            let (old_primary, planned) = (self.old_primary.take(), self.planned);
            let candidates = std::mem::take(&mut self.candidates);
            let observed = std::mem::take(&mut self.observed);
            *self = FailoverAttempt::new(self.id, self.service.clone(), row.term.next(), now)
                .with_old_primary(old_primary, planned)
                .with_candidates(candidates)
                .with_spared_old_primary(self.spares_old_primary)
                .with_observed(observed)
                .with_synchronous(self.synchronous);
            return;
        }
        self.statuses.insert(database.clone(), row);
    }

    /// Returns the action due at `now`; `all_confirmed` says whether all VMs have confirmed that
    /// they suspended use of the old primary.
    pub fn step(&mut self, now: MonoTime, all_confirmed: bool) -> Step {
        match self.phase.clone() {
            Phase::AwaitingSuspension => self.step_awaiting_suspension(now, all_confirmed),
            Phase::CollectingStatus { since } => self.step_collecting_status(now, since),
            Phase::Demoting { since, candidate } => self.step_demoting(now, since, candidate),
            Phase::RaisingToken { since, .. } if now.since(since) >= PLATFORM_CALL_TIMEOUT => {
                self.restart_collection(now)
            }
            Phase::Promoting { since, candidate } if now.since(since) >= PLATFORM_CALL_TIMEOUT => {
                // The request may have been carried out without an answer.
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
            return Step::GiveUp("no majority of the witnesses has suspended use of the primary");
        }
        Step::Wait
    }

    fn step_collecting_status(&mut self, now: MonoTime, since: MonoTime) -> Step {
        let mut primaries = self
            .statuses
            .iter()
            .filter(|(name, row)| row.is_primary && self.old_primary.as_ref() != Some(*name));
        if let Some((primary, row)) = primaries.clone().find(|(_, row)| row.term >= self.term) {
            return Step::Announce(primary.clone(), row.term);
        }
        if !self.promotion_requested && !self.planned && primaries.next().is_some() {
            return Step::GiveUp("another database is already the primary");
        }
        let eligible: Vec<&DatabaseName> =
            self.candidates.iter().filter(|name| !self.excluded.contains(*name)).collect();
        if eligible.is_empty() {
            return Step::GiveUp("no database can be promoted");
        }
        if self.planned {
            return self.step_catching_up(now, since);
        }
        let mut asked = eligible.iter().copied().chain(&self.observed);
        let all_answered = asked.all(|name| self.statuses.contains_key(name));
        let timeout = if self.synchronous { SYNCHRONOUS_STATUS_TIMEOUT } else { STATUS_TIMEOUT };
        if !all_answered && now.since(since) < timeout {
            return self.query_status(now);
        }
        if now < self.token_retry_at {
            return Step::Wait;
        }
        let best = eligible
            .iter()
            .filter_map(|name| self.statuses.get(*name).map(|row| (row.received, *name)))
            .max_by(|a, b| a.0.cmp(&b.0).then_with(|| self.preference(b.1, a.1)));
        let received = |name| self.statuses.get(name).map(|row| row.received);
        let most_observed = self.observed.iter().filter_map(received).max();
        if best.is_some_and(|(received, _)| most_observed > Some(received)) {
            if !self.promotion_requested {
                return Step::GiveUp("a database that must not be promoted has received more");
            }
            self.statuses.clear();
            return self.query_status(now);
        }
        match best.map(|(_, name)| name.clone()) {
            Some(candidate) => {
                self.phase = Phase::RaisingToken { since: now, candidate };
                Step::RaiseToken
            }
            None if now.since(since).0 > 2 * STATUS_TIMEOUT.0 => {
                Step::GiveUp("no replica answers status queries")
            }
            None => self.query_status(now),
        }
    }

    /// Compares candidates by preference; the preferred one is less.
    fn preference(&self, a: &DatabaseName, b: &DatabaseName) -> std::cmp::Ordering {
        let rank = |name| self.candidates.iter().position(|c| c == name);
        rank(a).cmp(&rank(b))
    }

    fn step_catching_up(&mut self, now: MonoTime, since: MonoTime) -> Step {
        let Some(old) = self.old_primary.clone() else {
            return Step::GiveUp("the old primary is not known");
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
            // It may have been demoted without an answer, so using it again is not safe.
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
            .status_queried_at
            .get(&candidate)
            .is_none_or(|at| now.since(*at) >= STATUS_RETRY_INTERVAL);
        if !due {
            return Step::Wait;
        }
        self.status_queried_at.insert(candidate.clone(), now);
        Step::QueryStatus(vec![candidate])
    }

    /// Takes databases from the candidates, which must no longer be promoted; their positions still count. A
    /// promotion that may have been requested goes on, since it may take effect.
    pub fn withdraw(&mut self, now: MonoTime, withdrawn: &[DatabaseName]) {
        if self.promotion_requested {
            return;
        }
        self.candidates.retain(|name| !withdrawn.contains(name));
        self.observed.extend_from_slice(withdrawn);
        match &self.phase {
            Phase::Demoting { candidate, .. } | Phase::RaisingToken { candidate, .. }
                if withdrawn.contains(candidate) =>
            {
                self.restart_collection(now);
            }
            _ => {}
        }
    }

    /// Discards all answers and queries the candidates again.
    pub fn restart_collection(&mut self, now: MonoTime) -> Step {
        self.statuses.clear();
        self.status_queried_at.clear();
        self.phase = Phase::CollectingStatus { since: now };
        self.query_status(now)
    }

    fn query_status(&mut self, now: MonoTime) -> Step {
        let old = self.old_primary.iter().filter(|old| {
            self.planned && !(self.spares_old_primary && self.statuses.contains_key(*old))
        });
        let due: Vec<DatabaseName> = self
            .candidates
            .iter()
            .chain(old)
            .chain(self.observed.iter().filter(|_| !self.planned))
            .filter(|name| !self.excluded.contains(*name))
            .filter(|name| {
                self.status_queried_at
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
            self.status_queried_at.insert(name.clone(), now);
        }
        Step::QueryStatus(due)
    }

    /// Records the outcome of raising the fencing token: the new token, or `None` if it was not
    /// raised. Returns the database to promote under the token.
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

    /// Records the outcome of the promotion request.
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

/// A promotion that was requested, or may be: recorded with the fencing token before the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionIntent {
    /// The service whose primary changes.
    pub service: ServiceName,
    /// The term that begins with the promotion.
    pub term: Term,
}

/// The outcome of a promotion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The platform accepted the request.
    Accepted,
    /// The platform refused: the database is not running.
    NotRunning,
    /// The request was not sent, or was refused without effect.
    NotSent,
    /// The request may have been carried out.
    Unknown,
}

/// The condition of a primary according to all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryHealth {
    /// The primary answered some VM recently.
    Serving,
    /// The primary fails for at least one VM and answers none.
    Lost,
    /// No VM has used the primary recently.
    Unknown,
}

/// Assesses a primary from the reports of all VMs that were heard of, one report for each VM.
pub fn assess_primary<'a>(reports: impl Iterator<Item = &'a ServiceReport>) -> PrimaryHealth {
    let mut failing = 0;
    for report in reports {
        if report.answered.is_some_and(|ago| ago < RECENT_ANSWER_WINDOW) {
            return PrimaryHealth::Serving;
        }
        failing += usize::from(report.failing.is_some_and(|span| span >= FAILURE_THRESHOLD));
    }
    if failing > 0 { PrimaryHealth::Lost } else { PrimaryHealth::Unknown }
}
