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

use crate::{
    peers::{LIVENESS_TIMEOUT, ServiceReport},
    promotions::{EndOutcome, PromotionIntent, RecordedPromotion, TokenOutcome},
    replicas::ReplicaRoster,
    witnesses::LEASE_DURATION,
};

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
/// Time after which positions are collected again while the databases that answered may lack an acknowledged commit:
/// one of them may have started again without its log.
const PROOF_RETRY_INTERVAL: DurationUs = DurationUs::from_ms(2_000);
/// How long a replica may take to receive everything in a planned change.
pub const CATCH_UP_TIMEOUT: DurationUs = DurationUs::from_ms(1_500);
/// A promotion request is given up this long after the update of the fencing token was sent. Its connection is reset
/// then, or at the end of the process if that comes first, and what it has not delivered by then is lost.
pub const PROMOTION_SEND_WINDOW: DurationUs = DurationUs::from_ms(400);
/// Time after [`PROMOTION_SEND_WINDOW`] by which a request has arrived, or never will: the longest way to the platform. Where
/// the process is suspended and resets nothing, its system gives the connection up; a request for which that could be
/// later than this is not written (`edge::one_shot`).
pub const PROMOTION_ARRIVAL_MARGIN: DurationUs = DurationUs::from_ms(200);
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

/// Time without any step of an attempt after which the process counts as having stood still: what it waited for meanwhile
/// had no time to arrive. Ticks are much shorter.
pub const STANDSTILL_MIN: DurationUs = DurationUs::from_ms(200);
/// Standstill after which other VMs may have taken an attempt over.
pub const STANDSTILL_MAX: DurationUs = LIVENESS_TIMEOUT;

/// Time from the update of the fencing token after which no promotion that was requested under it can take effect any
/// more: the request has arrived within [`PROMOTION_SEND_WINDOW`] and [`PROMOTION_ARRIVAL_MARGIN`] or never will, and
/// the platform carries it out within [`PROMOTION_TIMEOUT`].
pub const PROMOTION_EFFECT_MAX: DurationUs =
    DurationUs(PROMOTION_SEND_WINDOW.0 + PROMOTION_ARRIVAL_MARGIN.0 + PROMOTION_TIMEOUT.0);
/// Time between two collections while an attempt waits until its term can be given up.
const END_QUERY_INTERVAL: DurationUs = DurationUs::from_ms(200);

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
    /// The store is asked to record that the term was given up.
    Ending {
        /// When that was requested.
        since: MonoTime,
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
    /// The promotion request was answered or timed out, or another VM may have sent one, and the database is not known
    /// to be primary yet.
    Confirming {
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
    /// Record that the term was given up.
    EndPromotion,
    /// Wait: databases that don't answer may hold a commit that no other has.
    AwaitProof(Vec<DatabaseName>),
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
    /// The newest term that was known when the attempt began.
    pub known_term: Term,
    /// Whether the change is planned: the old primary still serves, and is about to be withdrawn.
    pub planned: bool,
    /// Whether a commit is acknowledged only once a replica has received it. Then a database is promoted only if it
    /// provably has every acknowledged commit, and replication is paused while that is found out.
    pub synchronous: bool,
    /// The databases that may hold an acknowledged commit; `None` while that is not known. Only used where commits are
    /// synchronous.
    pub roster: Option<ReplicaRoster>,
    /// Members of the roster that have lost nothing if their log is empty.
    pub newcomers: BTreeSet<DatabaseName>,
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
    /// Whether a promotion request may have been sent, by this VM or another one. From then on, only a new primary
    /// ends the attempt.
    pub promotion_requested: bool,
    /// The database whose promotion for this term may have been requested. No other is promoted for the term.
    pub requested: Option<DatabaseName>,
    /// Until when a requested promotion is waited for before it is requested again.
    pub request_until: MonoTime,
    /// The token of this attempt's last record, where no promotion can take effect under it.
    pub void_token: Option<u64>,
    /// Whether the attempt goes on with a term that lost VMs or earlier runs prepared. Only a new primary, or the record
    /// that the term was given up, ends what they began.
    pub takes_over: bool,
    /// Earliest time at which giving up the term may be recorded, as far as is known.
    pub end_after: MonoTime,
    /// Whether the token was to be raised, and the outcome is not known.
    pub may_be_recorded: bool,
    /// Whether the confirmations are outdated, so that all VMs have to confirm again before a promotion is requested.
    is_outdated: bool,
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
            roster: None,
            newcomers: BTreeSet::new(),
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
            requested: None,
            request_until: now,
            void_token: None,
            takes_over: false,
            end_after: now,
            may_be_recorded: false,
            known_term: Term(0),
            is_outdated: false,
        }
    }

    /// Sets the newest term that is known.
    pub fn with_known_term(self, known_term: Term) -> FailoverAttempt {
        FailoverAttempt { known_term, ..self }
    }

    /// Sets the primary to replace; `planned` says whether it is still serving.
    pub fn with_old_primary(
        self,
        old_primary: Option<DatabaseName>,
        planned: bool,
    ) -> FailoverAttempt {
        FailoverAttempt { old_primary, planned, ..self }
    }

    /// Sets whether the attempt goes on with a term that lost VMs or earlier runs prepared.
    pub fn with_takeover(self, takes_over: bool) -> FailoverAttempt {
        FailoverAttempt { takes_over, ..self }
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
            return self.restart_in(now, row.term.next());
        }
        self.statuses.insert(database.clone(), row);
    }

    /// Starts over with a later term, for which all VMs have to confirm again.
    fn restart_in(&mut self, now: MonoTime, term: Term) {
        self.term = term;
        self.requested = None;
        self.void_token = None;
        self.excluded.clear();
        self.restart_suspension(now);
    }

    /// Starts over: all VMs have to confirm again. A planned change whose old primary may have been demoted goes on as
    /// an unplanned one.
    fn restart_suspension(&mut self, now: MonoTime) {
        self.planned &=
            matches!(self.phase, Phase::AwaitingSuspension | Phase::CollectingStatus { .. });
        self.is_outdated = false;
        self.started = now;
        self.suspended.clear();
        self.majority_suspended_at = None;
        self.suspend_sent_at = None;
        self.statuses.clear();
        self.status_queried_at.clear();
        self.phase = Phase::AwaitingSuspension;
    }

    /// Takes into account that this VM stood still for `span`: databases had no time to answer meanwhile, and after a long
    /// standstill, another VM may have completed the failover.
    pub fn note_standstill(&mut self, now: MonoTime, span: DurationUs) {
        if span >= STANDSTILL_MAX {
            self.discard_confirmations(now);
        } else if let Phase::CollectingStatus { since } = &mut self.phase
            && span >= STANDSTILL_MIN
        {
            *since = now.min(*since + span);
        }
    }

    /// Has all VMs confirm again before a promotion is requested. One that was requested is waited for first.
    pub fn discard_confirmations(&mut self, now: MonoTime) {
        match self.phase {
            Phase::Promoting { .. } | Phase::Confirming { .. } => self.is_outdated = true,
            _ => self.restart_suspension(now),
        }
    }

    /// Takes a promotion into account that another VM, or an earlier run, recorded for the service. It may take effect
    /// at any time, so this attempt promotes the same database, or prepares a later term.
    pub fn note_recorded(&mut self, now: MonoTime, recorded: &RecordedPromotion) {
        let is_own = self.requested.is_some() && self.requested == recorded.database
            || self.void_token == Some(recorded.token);
        let is_over = recorded.ended || recorded.term < self.term;
        if is_over || (recorded.term == self.term && is_own) {
            return;
        }
        self.promotion_requested = true;
        match &recorded.database {
            Some(_) if recorded.term > self.term => self.restart_in(now, recorded.term),
            Some(_) => {}
            None => return self.restart_in(now, recorded.term.next()),
        }
        self.requested.clone_from(&recorded.database);
    }

    /// Returns the action due at `now`; `all_confirmed` says whether all VMs have confirmed that
    /// they suspended use of the old primary.
    pub fn step(&mut self, now: MonoTime, all_confirmed: bool) -> Step {
        match self.phase.clone() {
            Phase::AwaitingSuspension => self.step_awaiting_suspension(now, all_confirmed),
            Phase::CollectingStatus { since } => self.step_collecting_status(now, since),
            Phase::Demoting { since, candidate } => self.step_demoting(now, since, candidate),
            Phase::RaisingToken { since, .. } | Phase::Ending { since }
                if now.since(since) >= PLATFORM_CALL_TIMEOUT =>
            {
                self.restart_collection(now)
            }
            Phase::Promoting { since, candidate } if now.since(since) >= PLATFORM_CALL_TIMEOUT => {
                // The request may have been carried out without an answer.
                self.await_primary(now, candidate);
                Step::Wait
            }
            Phase::RaisingToken { .. } | Phase::Ending { .. } | Phase::Promoting { .. } => {
                Step::Wait
            }
            Phase::Confirming { candidate } => self.step_confirming(now, candidate),
        }
    }

    /// Waits until a database whose promotion this VM may have requested is known to be primary.
    fn await_primary(&mut self, now: MonoTime, candidate: DatabaseName) {
        self.requested = Some(candidate.clone());
        self.void_token = None;
        self.request_until = now + PROMOTION_TIMEOUT;
        self.phase = Phase::Confirming { candidate };
    }

    fn step_awaiting_suspension(&mut self, now: MonoTime, all_confirmed: bool) -> Step {
        if self.all_suspended(now, all_confirmed) {
            if let Some(candidate) = self.requested.clone().filter(|_| now < self.request_until) {
                return self.step_confirming(now, candidate);
            }
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
        if let Some(step) = self.step_found_primary(now, since) {
            return step;
        }
        let is_eligible = |name: &&DatabaseName| !self.excluded.contains(*name);
        let eligible: Vec<DatabaseName> =
            self.candidates.iter().filter(is_eligible).cloned().collect();
        if eligible.is_empty() {
            return Step::GiveUp("no database can be promoted");
        }
        if self.planned {
            return self.step_catching_up(now, since);
        }
        if let Some(step) = self.step_awaiting_positions(now, since, &eligible) {
            return step;
        }
        if now < self.token_retry_at {
            return Step::Wait;
        }
        let newest = self.statuses.values().map(|row| row.term).max().unwrap_or_default();
        if newest >= self.term {
            self.restart_in(now, newest.next());
            return Step::Wait;
        }
        let row_of = |name: &DatabaseName| self.statuses.get(name).filter(|row| !row.is_primary);
        let best = eligible
            .iter()
            .filter_map(|name| row_of(name).map(|row| (row.received, name)))
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
            Some(candidate) if self.must_not_promote(&candidate) => {
                self.restart_in(now, self.term.next());
                Step::Wait
            }
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

    /// Announces a database that has become primary for the term. Where another one serves, ends the attempt or gives the
    /// term up. `None` if neither is so.
    fn step_found_primary(&mut self, now: MonoTime, since: MonoTime) -> Option<Step> {
        let mut primaries =
            self.statuses.iter().filter(|(name, row)| row.is_primary && self.may_serve(name));
        let leads = |(name, row): &(&DatabaseName, &StatusRow)| {
            row.term >= self.term || self.is_outcome(name, row)
        };
        if let Some((primary, row)) = primaries.clone().find(leads) {
            return Some(Step::Announce(primary.clone(), row.term));
        }
        if self.planned || primaries.next().is_none() {
            return None;
        }
        if !self.promotion_requested && !self.takes_over {
            return Some(Step::GiveUp("another database is already the primary"));
        }
        self.step_giving_up_term(now, since)
    }

    /// Whether a database that calls itself primary may serve. The old primary may only after a crash and with
    /// synchronous commits, before another database provably has them.
    fn may_serve(&self, name: &DatabaseName) -> bool {
        self.old_primary.as_ref() != Some(name) || (self.synchronous && !self.planned)
    }

    /// Waits for the positions that decide which database is promoted; `None` once they are known.
    fn step_awaiting_positions(
        &mut self,
        now: MonoTime,
        since: MonoTime,
        eligible: &[DatabaseName],
    ) -> Option<Step> {
        let span = now.since(since);
        if !self.synchronous {
            let mut asked = eligible.iter().chain(&self.observed);
            let all_answered = asked.all(|name| self.statuses.contains_key(name));
            return (!all_answered && span < STATUS_TIMEOUT).then(|| self.query_status(now));
        }
        if self.has_proof(eligible) {
            return None;
        }
        if span < PROOF_RETRY_INTERVAL {
            return Some(self.query_status(now));
        }
        let roster = self.roster.clone().unwrap_or_default();
        let unanswered = roster.unanswered(|name| self.has_answered(name));
        self.excluded.clear();
        self.restart_collection(now);
        Some(Step::AwaitProof(unanswered))
    }

    /// Whether the answers contain every acknowledged synchronous commit, and one of `eligible` has all of them.
    fn has_proof(&self, eligible: &[DatabaseName]) -> bool {
        let is_proof = |roster: &ReplicaRoster| roster.is_proof(|name| self.has_answered(name));
        let most_received = self.statuses.values().map(|row| row.received).max();
        let has_all = |name: &DatabaseName| {
            let row = self.statuses.get(name).filter(|row| !row.is_primary);
            row.is_some_and(|row| Some(row.received) >= most_received)
        };
        self.roster.as_ref().is_some_and(is_proof) && eligible.iter().any(has_all)
    }

    /// Gives the term up while the primary of an earlier one serves: once no promotion can take effect any more, and
    /// the database that may have been promoted is known not to be primary. `None` where that can't be known.
    fn step_giving_up_term(&mut self, now: MonoTime, since: MonoTime) -> Option<Step> {
        let has_answered = |name: &DatabaseName| self.statuses.contains_key(name);
        let is_known = match &self.requested {
            Some(requested) => has_answered(requested),
            None => !self.promotion_requested || self.candidates.iter().all(has_answered),
        };
        if !is_known {
            return (now.since(since) < STATUS_TIMEOUT).then(|| self.query_status(now));
        }
        if since >= self.end_after {
            self.phase = Phase::Ending { since: now };
            return Some(Step::EndPromotion);
        }
        let is_due = now >= self.end_after || now.since(since) >= END_QUERY_INTERVAL;
        Some(if is_due { self.restart_collection(now) } else { Step::Wait })
    }

    /// Records the outcome of recording that the term was given up, unless that is done.
    pub fn promotion_not_ended(&mut self, now: MonoTime, outcome: EndOutcome) {
        if !matches!(self.phase, Phase::Ending { .. }) {
            return;
        }
        match outcome {
            EndOutcome::NotBefore(moment) => self.end_after = moment,
            EndOutcome::Recorded(recorded) => {
                self.restart_suspension(now);
                return self.note_recorded(now, &recorded);
            }
            EndOutcome::Conflict | EndOutcome::NoAnswer | EndOutcome::Ended => {
                self.end_after = now + TOKEN_RETRY_DELAY;
            }
        }
        self.restart_collection(now);
    }

    /// Whether another database may have been promoted for the term.
    fn must_not_promote(&self, candidate: &DatabaseName) -> bool {
        self.requested.as_ref().is_some_and(|requested| requested != candidate)
    }

    /// Whether a primary is the outcome of the last promotion that may have been requested, if an earlier one did not
    /// take effect: then it begins an earlier term than the one that was prepared.
    fn is_outcome(&self, name: &DatabaseName, row: &StatusRow) -> bool {
        let is_requested = match &self.requested {
            Some(requested) => requested == name,
            None => self.promotion_requested,
        };
        is_requested && self.known_term > Term(0) && row.term > self.known_term
    }

    /// Whether a database's answer shows what it holds of acknowledged commits. One without a log, where others have
    /// one, has started again without it, unless it has just joined.
    fn has_answered(&self, name: &DatabaseName) -> bool {
        let all_empty = self.statuses.values().all(|row| row.received == Position::ZERO);
        let received = self.statuses.get(name).map(|row| row.received);
        let may_be_empty = all_empty || self.newcomers.contains(name);
        received.is_some_and(|received| received > Position::ZERO || may_be_empty)
    }

    /// Adds databases that were listed meanwhile; of synchronous commits, they may be the only ones that have some.
    pub fn add_candidates(&mut self, listed: Vec<DatabaseName>) {
        for name in listed {
            if !self.candidates.contains(&name) && !self.observed.contains(&name) {
                self.candidates.push(name);
            }
        }
    }

    /// Compares candidates by preference; the preferred one is less. One whose promotion may have been requested comes
    /// first.
    fn preference(&self, a: &DatabaseName, b: &DatabaseName) -> std::cmp::Ordering {
        let rank = |name: &DatabaseName| {
            let is_requested = self.requested.as_ref() == Some(name);
            (!is_requested, self.candidates.iter().position(|candidate| candidate == name))
        };
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
            if self.must_not_promote(&candidate) {
                self.restart_in(now, self.term.next());
                return Step::Wait;
            }
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

    fn step_confirming(&mut self, now: MonoTime, candidate: DatabaseName) -> Step {
        self.phase = Phase::Confirming { candidate: candidate.clone() };
        if let Some(row) = self.statuses.get(&candidate)
            && row.is_primary
            && (row.term >= self.term || self.is_outcome(&candidate, row))
        {
            return Step::Announce(candidate, row.term);
        }
        if now > self.request_until {
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

    /// Discards all answers and queries the candidates again, once all VMs have confirmed.
    pub fn restart_collection(&mut self, now: MonoTime) -> Step {
        if self.is_outdated {
            self.restart_suspension(now);
            return Step::Wait;
        }
        self.statuses.clear();
        self.status_queried_at.clear();
        self.phase = Phase::CollectingStatus { since: now };
        self.query_status(now)
    }

    /// Goes on after a pause, also with databases that were not running: from the collection, or from the confirmations
    /// where VMs have not confirmed.
    pub fn try_again(&mut self, now: MonoTime) {
        self.excluded.clear();
        self.token_retry_at = now + TOKEN_RETRY_DELAY;
        match self.phase {
            Phase::AwaitingSuspension => self.restart_suspension(now),
            _ => drop(self.restart_collection(now)),
        }
    }

    fn query_status(&mut self, now: MonoTime) -> Step {
        let old = self.old_primary.iter().filter(|old| {
            (self.planned || self.synchronous)
                && !(self.spares_old_primary && self.statuses.contains_key(*old))
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

    /// Records the outcome of raising the fencing token for `intent`. Returns the database to promote and the token.
    pub fn token_raised(
        &mut self,
        now: MonoTime,
        intent: &PromotionIntent,
        outcome: TokenOutcome,
    ) -> Option<(DatabaseName, u64)> {
        let is_current = intent.term == self.term
            && matches!(&self.phase, Phase::RaisingToken { candidate, .. } if *candidate == intent.database);
        match outcome {
            TokenOutcome::Raised(token) if is_current => {
                let candidate = intent.database.clone();
                self.promotion_requested = true;
                self.void_token = Some(token);
                self.statuses.remove(&candidate);
                self.phase = Phase::Promoting { since: now, candidate: candidate.clone() };
                return Some((candidate, token));
            }
            // The attempt has started over meanwhile, so no request is sent under the token.
            TokenOutcome::Raised(token) if intent.term == self.term => {
                self.void_token = Some(token)
            }
            _ if !is_current => {}
            TokenOutcome::Raised(_) => {}
            TokenOutcome::Recorded(recorded) => {
                self.restart_suspension(now);
                self.note_recorded(now, &recorded);
                self.request_until = now + PROMOTION_TIMEOUT;
            }
            TokenOutcome::Conflict => {
                self.token_retry_at = now + TOKEN_RETRY_DELAY;
                self.restart_suspension(now);
            }
            TokenOutcome::NoAnswer => {
                self.may_be_recorded = true;
                self.token_retry_at = now + TOKEN_RETRY_DELAY;
                self.restart_collection(now);
            }
        }
        None
    }

    /// Records the outcome of the promotion request.
    pub fn promotion_answered(&mut self, now: MonoTime, outcome: PromotionOutcome) {
        let Phase::Promoting { candidate, .. } = self.phase.clone() else { return };
        match outcome {
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {
                self.await_primary(now, candidate);
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
