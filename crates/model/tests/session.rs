//! Tests of session tokens.

use model::{
    key::FleetSecret,
    prelude::*,
    session::{SESSION_MAX_SLOTS, Session, SessionError, SlotDigest},
};

fn secret(text: &str) -> FleetSecret {
    FleetSecret::new(text).expect("long enough")
}

fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a name")
}

fn session(slots: usize) -> Session {
    let mut session = Session::default();
    for number in 0..slots {
        let slot = SlotDigest::new("quotes", &format!("s{number}"));
        session.record(slot, Position::new(Term(2), number as u64)).expect("room");
    }
    session
}

#[test]
fn open_returns_what_was_sealed() {
    for slots in [0, 1, 2, SESSION_MAX_SLOTS] {
        let secret = secret("sixteen bytes or more");
        let sealed = session(slots).seal(&secret, &workspace("calgary"));
        assert_eq!(Session::open(&sealed, &secret, &workspace("calgary")), Ok(session(slots)));
    }
}

#[test]
fn open_refuses_what_it_did_not_seal() {
    let ours = secret("sixteen bytes or more");
    let sealed = session(2).seal(&ours, &workspace("calgary"));
    let shortened = &sealed[..sealed.len() - 4];
    let other_fleet = secret("another fleet's secret");
    for (token, secret, name) in [
        (sealed.as_str(), &ours, "regina"),
        (sealed.as_str(), &other_fleet, "calgary"),
        (shortened, &ours, "calgary"),
        ("", &ours, "calgary"),
        ("not base64 !", &ours, "calgary"),
    ] {
        assert_eq!(
            Session::open(token, secret, &workspace(name)),
            Err(SessionError::Invalid),
            "{token}"
        );
    }
}

#[test]
fn record_keeps_the_highest_position() {
    let slot = SlotDigest::new("quotes", "s1");
    let mut session = Session::default();
    for (term, index, expected) in [(1, 5, (1, 5)), (1, 3, (1, 5)), (2, 1, (2, 1)), (1, 9, (2, 1))]
    {
        session.record(slot, Position::new(Term(term), index)).expect("room");
        assert_eq!(session.seen(slot), Position::new(Term(expected.0), expected.1));
    }
}

#[test]
fn record_refuses_one_slot_too_many() {
    let mut full = session(SESSION_MAX_SLOTS);
    let more = SlotDigest::new("quotes", "one-more");
    assert_eq!(full.record(more, Position::ZERO), Err(SessionError::TooManySlots));
}
