//! Replay protection refuses peer messages that were received before or are too old.

use edge::replay::{ReplayGuard, SENDERS_MAX, WINDOW};
use model::prelude::*;

fn vm(number: usize) -> VmName {
    VmName::new(format!("v{number}")).expect("a name")
}

fn check(messages: &[(u64, u64, bool)]) {
    let mut guard = ReplayGuard::default();
    for (at, (incarnation, sequence, expected)) in messages.iter().enumerate() {
        let accepted = guard.accept(&vm(1), Incarnation(*incarnation), *sequence);
        assert_eq!(accepted, *expected, "message {at} of {messages:?}");
    }
}

#[test]
fn accept_takes_each_number_once() {
    check(&[(1, 1, true), (1, 1, false), (1, 2, true), (1, 1, false), (1, 2, false)]);
    check(&[(1, 5, true), (1, 3, true), (1, 4, true), (1, 3, false), (1, 5, false)]);
    check(&[(1, 0, false)]);
}

#[test]
fn accept_refuses_numbers_behind_the_window() {
    check(&[(1, WINDOW + 1, true), (1, 1, false), (1, 2, true), (1, 2, false)]);
    check(&[(1, 7, true), (1, 7 + 3 * WINDOW, true), (1, 7, false), (1, 8 + 2 * WINDOW, true)]);
    check(&[(1, 1, true), (1, u64::MAX, true), (1, u64::MAX, false), (1, 1, false)]);
}

#[test]
fn accept_separates_incarnations() {
    check(&[(1, 1, true), (2, 1, true), (1, 1, false), (2, 1, false)]);
}

#[test]
fn accept_evicts_the_sender_silent_longest() {
    let mut guard = ReplayGuard::default();
    assert!(guard.accept(&vm(0), Incarnation(1), 1));
    for number in 1..SENDERS_MAX {
        assert!(guard.accept(&vm(number), Incarnation(1), 1));
    }
    assert!(guard.accept(&vm(0), Incarnation(1), 2), "the sender is known");
    assert!(guard.accept(&vm(SENDERS_MAX), Incarnation(1), 1));
    assert!(!guard.accept(&vm(0), Incarnation(1), 1), "the sender is still remembered");
    assert!(guard.accept(&vm(1), Incarnation(1), 1), "the sender was evicted");
}
