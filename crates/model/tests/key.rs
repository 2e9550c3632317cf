//! Tests of the fleet's secret and its rotation.

use model::key::{FleetSecret, FleetSecretError};

const OLD: &str = "the old secret of the fleet";
const NEW: &str = "the new secret of the fleet";

#[test]
fn fleet_secret_verifies_what_the_other_side_signs_during_a_rotation() {
    let both = |first: &str, second: &str| format!("{first}\n{second}\n");
    for (signs, verifies, expected) in [
        (OLD.to_owned(), both(OLD, NEW), true),
        (both(OLD, NEW), OLD.to_owned(), true),
        (both(OLD, NEW), both(NEW, OLD), true),
        (both(NEW, OLD), both(OLD, NEW), true),
        (both(NEW, OLD), NEW.to_owned(), true),
        (both(NEW, OLD), OLD.to_owned(), false),
        (OLD.to_owned(), NEW.to_owned(), false),
    ] {
        let code = FleetSecret::new(&signs).expect("sound").mac(&[b"message"]);
        let receiver = FleetSecret::new(&verifies).expect("sound");
        assert_eq!(receiver.verify(&[b"message"], &code), expected, "{signs} by {verifies}");
        let cut = &code[..16];
        assert_eq!(receiver.verify_truncated(&[b"message"], cut), expected, "{signs}, truncated");
        assert!(!receiver.verify_truncated(&[b"message"], &code[..15]), "too short");
        assert!(!receiver.verify(&[b"massage"], &code), "another message");
    }
}

#[test]
fn fleet_secret_refuses_what_is_unusable() {
    for (text, expected) in [
        ("", FleetSecretError::TooShort),
        ("short", FleetSecretError::TooShort),
        ("the old secret of the fleet\nshort", FleetSecretError::TooShort),
        (
            "the first secret here\nthe second secret here\nthe third secret here",
            FleetSecretError::TooMany,
        ),
    ] {
        assert_eq!(FleetSecret::new(text).expect_err(text), expected);
    }
}
