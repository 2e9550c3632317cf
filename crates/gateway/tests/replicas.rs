//! Rosters: which answers prove that no acknowledged commit is missing.

use gateway::replicas::ReplicaRoster;
use model::prelude::*;
use quickcheck::quickcheck;

fn name(index: u8) -> DatabaseName {
    DatabaseName::new(format!("db-{index}")).expect("a valid name")
}

fn roster(members: u8) -> ReplicaRoster {
    let mut roster = ReplicaRoster::default();
    (0..members).for_each(|index| roster.add(&name(index)));
    roster
}

quickcheck! {
    /// Whichever two databases have a commit, one of them has answered.
    fn is_proof_covers_any_two_copies(members: u8, answered: Vec<u8>, copies: (u8, u8)) -> bool {
        let members = members % 9 + 2;
        let (a, b) = (copies.0 % members, copies.1 % members);
        let has_answered = |database: &DatabaseName| answered.iter().any(|index| name(*index) == *database);
        a == b
            || !roster(members).is_proof(has_answered)
            || has_answered(&name(a))
            || has_answered(&name(b))
    }
}

#[test]
fn is_proof_needs_all_but_one() {
    let check = |answered: &[u8], expected: bool| {
        let is_proof =
            roster(3).is_proof(|name_| answered.iter().any(|index| name(*index) == *name_));
        assert_eq!(is_proof, expected, "{answered:?}");
    };
    check(&[], false);
    check(&[2], false);
    check(&[1, 2], true);
    check(&[0, 1, 2], true);
}

#[test]
fn is_proof_does_not_wait_for_what_was_given_up() {
    let mut roster = roster(3);
    roster.lost.insert(name(1));
    assert!(roster.is_proof(|database| *database == name(2)));
}
