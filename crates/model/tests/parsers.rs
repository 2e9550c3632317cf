//! Property tests of the parsers of untrusted input: they never panic, and reject damaged or foreign
//! tokens.

use model::{
    key::{FleetSecret, PresentedKey},
    prelude::*,
    session::{Session, SlotDigest},
    transaction::TransactionHandle,
};
use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 41;
const TESTS: u64 = 3_000;

fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED)).tests(TESTS).quickcheck(property);
}

fn secret() -> FleetSecret {
    FleetSecret::new("a fleet secret for tests").expect("long enough")
}

fn workspace() -> WorkspaceName {
    WorkspaceName::new("calgary").expect("a name")
}

/// Replaces one character of the text by one that tokens use, which may be the same.
fn damaged(text: &str, at: usize, by: u8) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_. =";
    let mut bytes = text.as_bytes().to_vec();
    let at = at % bytes.len();
    bytes[at] = ALPHABET[usize::from(by) % ALPHABET.len()];
    String::from_utf8(bytes).expect("the alphabet is ASCII")
}

fn token() -> String {
    let mut session = Session::default();
    for number in 1..=3 {
        let slot = SlotDigest::new("quotes", &format!("s{number}"));
        session.record(slot, Position::new(Term(number), 7 * number)).expect("room");
    }
    session.seal(&secret(), &workspace())
}

#[test]
fn session_refuses_any_text() {
    check((|text| Session::open(&text, &secret(), &workspace()).is_err()) as fn(String) -> bool);
}

#[test]
fn session_refuses_a_damaged_token() {
    fn run(at: usize, by: u8) -> bool {
        let (token, damaged) = (token(), damaged(&token(), at, by));
        Session::open(&damaged, &secret(), &workspace()).is_err() || damaged == token
    }
    check(run as fn(usize, u8) -> bool);
}

#[test]
fn session_refuses_a_shortened_token() {
    let token = token();
    for length in 0..token.len() {
        assert!(Session::open(&token[..length], &secret(), &workspace()).is_err(), "{length}");
    }
}

fn transaction() -> TransactionHandle {
    TransactionHandle {
        vm: VmName::new("north-1").expect("a name"),
        incarnation: Incarnation(7),
        id: TransactionId(99),
        slot: SlotDigest::new("quotes", "s1"),
    }
}

#[test]
fn transaction_refuses_any_text() {
    fn run(text: String) -> bool {
        TransactionHandle::open(&text, &secret(), &workspace()).is_err()
    }
    check(run as fn(String) -> bool);
}

#[test]
fn transaction_refuses_a_damaged_name() {
    fn run(at: usize, by: u8) -> bool {
        let name = transaction().seal(&secret(), &workspace());
        let damaged = damaged(&name, at, by);
        TransactionHandle::open(&damaged, &secret(), &workspace()).is_err() || damaged == name
    }
    check(run as fn(usize, u8) -> bool);
}

#[test]
fn key_parse_keeps_the_text() {
    fn run(name: String, rest: String) -> bool {
        let texts = [name.clone(), format!("jp.{name}.{rest}"), format!("jp.{rest}")];
        texts.iter().all(|text| {
            PresentedKey::parse(text).is_ok_and(|k| k.reveal() == *text)
                || PresentedKey::parse(text).is_err()
        })
    }
    check(run as fn(String, String) -> bool);
}

#[test]
fn key_hash_differs_for_a_damaged_key() {
    fn run(at: usize, by: u8) -> bool {
        let name = KeyName::new("k1").expect("a name");
        let key = PresentedKey::random(name);
        let text = key.reveal();
        let damaged = damaged(&text, at, by);
        let same = PresentedKey::parse(&damaged).is_ok_and(|k| k.hash().matches(&key.hash()));
        same == (damaged == text)
    }
    check(run as fn(usize, u8) -> bool);
}

#[test]
fn name_new_keeps_the_text() {
    fn run(text: String) -> bool {
        WorkspaceName::new(&text).map_or(true, |name| name.as_str() == text && text.len() <= 63)
    }
    check(run as fn(String) -> bool);
}
