//! Tests of the parsing of names and keys.

use model::{key::PresentedKey, prelude::*};

#[test]
fn name_accepts_only_plain_text() {
    let long = "a".repeat(64);
    for (text, expected) in [
        ("calgary-dealer", true),
        ("a", true),
        ("7up", true),
        ("", false),
        ("-a", false),
        ("Calgary", false),
        ("a b", false),
        ("a/b", false),
        (&long[..63], true),
        (&long, false),
    ] {
        assert_eq!(WorkspaceName::new(text).is_ok(), expected, "{text}");
    }
}

#[test]
fn key_parses_what_it_reveals() {
    let key = PresentedKey::random(KeyName::new("k1").expect("a name"));
    let parsed = PresentedKey::parse(&key.reveal()).expect("its own text");
    assert!(parsed.hash().matches(&key.hash()));
    assert!(!format!("{key:?}").contains(key.reveal().rsplit('.').next().expect("a secret")));
}

#[test]
fn key_refuses_malformed_text() {
    for text in
        ["", "jp.", "jp.k1", "jp.k1.short", "xx.k1.0123456789abcdef", "jp.K 1.0123456789abcdef"]
    {
        assert!(PresentedKey::parse(text).is_err(), "{text}");
    }
}
