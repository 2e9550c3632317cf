//! Rules by which a slot grants terms and changes its role.

use model::prelude::*;
use proto::database::DatabaseError;
use standin::database::{KnownPrimary, SlotData};

fn name(text: &str) -> DatabaseName {
    DatabaseName::new(text).expect("a name")
}

fn primary(text: &str) -> KnownPrimary {
    KnownPrimary { name: name(text), admin_address: None }
}

fn taken(term: u64) -> Result<(), DatabaseError> {
    Err(DatabaseError::TermTaken { term: Term(term) })
}

#[test]
fn fence_grants_a_term_to_one_proposer() {
    let mut slot = SlotData::new();
    for (term, proposer, expected) in [
        (2, "v1", Ok(())),
        (2, "v1", Ok(())),
        (2, "v2", taken(2)),
        (1, "v1", taken(2)),
        (3, "v2", Ok(())),
        (2, "v1", taken(3)),
    ] {
        assert_eq!(slot.fence(Term(term), proposer), expected, "{proposer} proposes term {term}");
    }
}

#[test]
fn promote_needs_the_grant_of_the_term() {
    let mut slot = SlotData::new();
    slot.fence(Term(2), "v1").expect("a grant");
    for (term, proposer, expected) in [
        (2, "v2", taken(2)),
        (1, "v1", taken(2)),
        (3, "v1", taken(2)),
        (2, "v1", Ok(())),
        (2, "v1", Ok(())),
    ] {
        assert_eq!(slot.promote(&name("d1"), Term(term), proposer), expected);
    }
    assert_eq!(slot.position(), Position::new(Term(2), 1), "one entry in the new term");
}

#[test]
fn check_held_refuses_a_replaced_term() {
    let mut slot = SlotData::new();
    slot.fence(Term(1), "v1").expect("a grant");
    slot.promote(&name("d1"), Term(1), "v1").expect("promoted");
    let first = Position::new(Term(1), 1);
    assert_eq!(slot.check_held(first, Term(1)), Ok(true));
    assert_eq!(slot.check_held(Position::new(Term(1), 2), Term(1)), Ok(false));
    slot.fence(Term(2), "v2").expect("a grant");
    assert_eq!(slot.check_held(first, Term(1)), Err(DatabaseError::StaleTerm { term: Term(2) }));
    assert_eq!(slot.check_primary(Term(1)), Err(DatabaseError::StaleTerm { term: Term(2) }));
}

#[test]
fn follow_never_goes_back_a_term() {
    let mut slot = SlotData::new();
    slot.follow(Term(3), primary("d2")).expect("a replica");
    assert_eq!(
        slot.follow(Term(2), primary("d3")),
        Err(DatabaseError::StaleTerm { term: Term(3) })
    );
    assert_eq!(slot.primary, Some(primary("d2")));
}
