//! Single attempts to replace a primary, step by step.

use gateway::{
    failover::{FailoverAttempt, Phase, StatusRow, Step},
    promotions::RecordedPromotion,
    replicas::ReplicaRoster,
};
use model::prelude::*;

const BEGIN: MonoTime = MonoTime(1_000_000_000);

fn after(ms: u64) -> MonoTime {
    BEGIN + DurationUs::from_ms(ms)
}

fn name(index: usize) -> DatabaseName {
    DatabaseName::new(format!("db-{index}")).expect("a valid name")
}

fn row(is_primary: bool, term: u64, index: u64) -> StatusRow {
    StatusRow { is_primary, term: Term(term), received: Position::new(Term(1), index) }
}

/// An attempt for the second term, in which each of the databases is a candidate.
fn attempt(databases: usize) -> FailoverAttempt {
    let service = ServiceName::new("ledger").expect("a valid name");
    FailoverAttempt::new(1, service, Term(2), BEGIN)
        .with_known_term(Term(1))
        .with_candidates((0..databases).map(name).collect())
}

fn recorded(database: usize) -> RecordedPromotion {
    let database = Some(name(database));
    RecordedPromotion { term: Term(2), database, token: 7, ended: false }
}

/// A promotion that another VM has recorded does not replace the confirmations that an attempt lacks.
#[test]
fn try_again_still_waits_for_confirmations() {
    let mut attempt = attempt(2);
    attempt.note_recorded(BEGIN, &recorded(0));
    let step = attempt.step(after(6_000), false);
    assert!(matches!(step, Step::GiveUp(_)), "{step:?}");
    attempt.try_again(after(6_000));
    assert_eq!(attempt.phase, Phase::AwaitingSuspension);
    assert_eq!(attempt.step(after(6_020), false), Step::Wait);
}

/// Rows from before a standstill are discarded, and all VMs confirm again.
#[test]
fn note_standstill_starts_over() {
    let mut attempt = attempt(2);
    attempt.step(after(10), true);
    attempt.note_status(after(20), &name(0), row(false, 1, 5));
    attempt.note_standstill(after(2_200), DurationUs::from_ms(2_180));
    assert_eq!(attempt.phase, Phase::AwaitingSuspension);
    assert!(attempt.suspended.is_empty() && attempt.statuses.is_empty());
}

/// Time in which the process stood still does not count as time that databases had to answer.
#[test]
fn note_standstill_extends_the_collection() {
    let mut attempt = attempt(2);
    attempt.step(after(10), true);
    attempt.note_status(after(20), &name(0), row(false, 1, 5));
    attempt.note_standstill(after(720), DurationUs::from_ms(700));
    let step = attempt.step(after(730), true);
    assert_eq!(step, Step::QueryStatus(vec![name(1)]));
    attempt.note_status(after(740), &name(1), row(false, 1, 6));
    assert_eq!(attempt.step(after(750), true), Step::RaiseToken);
}

/// The recorded database of the term is preferred to one that is as advanced, and a better one needs a later term.
#[test]
fn step_promotes_no_second_database_in_a_term() {
    for (received, expected) in [(5, Term(2)), (6, Term(3))] {
        let mut attempt = attempt(2);
        attempt.note_recorded(BEGIN, &recorded(1));
        attempt.step(after(10), true);
        attempt.note_status(after(20), &name(0), row(false, 1, received));
        attempt.note_status(after(20), &name(1), row(false, 1, 5));
        let step = attempt.step(after(30), true);
        let is_raising = step == Step::RaiseToken;
        assert_eq!((attempt.term, is_raising), (expected, expected == Term(2)), "{received}");
    }
}

/// The old primary serves, but the database whose promotion was recorded is silent, and may have commits that are at no
/// other replica.
#[test]
fn step_promotes_nothing_behind_the_old_primary_with_synchronous_commits() {
    let mut attempt = attempt(3).with_synchronous(true);
    let mut roster = ReplicaRoster::default();
    (0..3).for_each(|index| roster.add(&name(index)));
    attempt.roster = Some(roster);
    attempt.note_recorded(BEGIN, &recorded(1));
    for ms in (10..5_000).step_by(20) {
        let step = attempt.step(after(ms), true);
        assert!(!matches!(step, Step::RaiseToken | Step::EndPromotion), "{ms} ms: {step:?}");
        if let Step::QueryStatus(queried) = step {
            for database in queried.iter().filter(|database| **database != name(1)) {
                let is_primary = *database == name(0);
                let received = if is_primary { 6 } else { 5 };
                attempt.note_status(after(ms), database, row(is_primary, 1, received));
            }
        }
    }
}

/// A replica without a log has lost what it had, if it was a member before, and has nothing to lose if it just joined.
#[test]
fn step_counts_an_empty_replica_only_if_it_just_joined() {
    for joined in [false, true] {
        let mut attempt = attempt(3).with_synchronous(true);
        let mut roster = ReplicaRoster::default();
        (0..3).for_each(|index| roster.add(&name(index)));
        attempt.roster = Some(roster);
        attempt.newcomers.extend(joined.then(|| name(2)));
        attempt.step(after(10), true);
        attempt.note_status(after(20), &name(1), row(false, 1, 5));
        let empty = StatusRow { received: Position::ZERO, ..row(false, 1, 0) };
        attempt.note_status(after(20), &name(2), empty);
        let step = attempt.step(after(30), true);
        assert_eq!(step == Step::RaiseToken, joined, "{step:?}");
    }
}
