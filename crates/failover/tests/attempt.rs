//! Whom an attempt may promote.

use failover::attempt::{Grant, PromotionAttempt};
use model::prelude::*;
use quickcheck::{QuickCheck, TestResult};

/// Grants are (term, index, avoid), in the members' order.
fn attempt(grants: &[(u64, u64, bool)]) -> PromotionAttempt {
    let mut attempt = PromotionAttempt::new(Term(9), Vec::new(), MonoTime(0));
    for (order, &(term, index, avoid)) in grants.iter().enumerate() {
        attempt.add(Grant {
            database: DatabaseName::new(format!("d{order}")).expect("a name"),
            order,
            position: Position::new(Term(term), index),
            avoid,
        });
    }
    attempt
}

fn check(grants: &[(u64, u64, bool)], majority: usize, expected: Option<&str>) {
    let attempt = attempt(grants);
    let chosen = attempt.choose(majority).map(DatabaseName::as_str);
    assert_eq!(chosen, expected, "{grants:?} with a majority of {majority}");
}

#[test]
fn choose_prefers_the_highest_position() {
    check(&[(1, 5, false), (1, 7, false), (1, 6, false)], 2, Some("d1"));
    check(&[(1, 5, false), (1, 7, false)], 2, Some("d1"));
    check(&[(1, 9, false), (2, 6, false)], 2, Some("d1"));
}

#[test]
fn choose_prefers_the_first_member_among_equals() {
    check(&[(0, 0, false), (0, 0, false), (0, 0, false)], 2, Some("d0"));
}

#[test]
fn choose_avoids_a_member_where_another_covers_a_majority() {
    check(&[(1, 9, true), (1, 7, false), (1, 6, false)], 2, Some("d1"));
    check(&[(1, 9, true), (1, 7, false)], 2, Some("d0"));
    check(&[(1, 9, true), (1, 9, false)], 2, Some("d1"));
}

#[test]
fn choose_waits_for_a_majority() {
    check(&[(1, 9, false)], 2, None);
    check(&[], 2, None);
}

#[test]
fn choose_keeps_what_a_majority_holds() {
    fn holds(positions: Vec<(u8, bool)>, of: u8) -> TestResult {
        let members = usize::from(of % 3) * 2 + 3;
        if positions.len() < members {
            return TestResult::discard();
        }
        let held: Vec<u64> = positions[..members].iter().map(|p| u64::from(p.0)).collect();
        let majority = members / 2 + 1;
        let mut sorted = held.clone();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        // Each majority of the members may be what was fenced; take the first.
        let fenced: Vec<_> =
            positions[..majority].iter().map(|&(p, avoid)| (1, u64::from(p), avoid)).collect();
        let attempt = attempt(&fenced);
        let chosen = attempt.choose(majority).and_then(|name| name.as_str()[1..].parse().ok());
        let at = |order: usize| held[order];
        TestResult::from_bool(chosen.is_some_and(|order| at(order) >= sorted[majority - 1]))
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, 11))
        .quickcheck(holds as fn(_, _) -> _);
}
