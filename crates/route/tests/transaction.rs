//! The book of open transactions, in virtual time.

use std::collections::BTreeSet;

use model::{prelude::*, session::SlotDigest};
use proto::caller::ErrorKind;
use quickcheck::{Gen, QuickCheck};
use route::transaction::{Limits, Owner, Transactions};

const LIMITS: Limits = Limits { idle: DurationUs::from_ms(100), total: DurationUs::from_ms(1_000) };
const SLOT: SlotDigest = SlotDigest(7);
const ID: TransactionId = TransactionId(1);

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a name")
}

fn owner(workspace_name: &str, key: &str) -> Owner {
    Owner {
        workspace: workspace(workspace_name),
        key: KeyName::new(key).expect("a name"),
        slot: SLOT,
        database: DatabaseName::new("d").expect("a name"),
        term: Term(1),
    }
}

fn book() -> Transactions {
    let mut book = Transactions::new(LIMITS);
    book.begin(ID, owner("calgary", "k1"), at(0));
    book
}

fn all(_: &KeyName, _: &WorkspaceName) -> bool {
    true
}

#[test]
fn start_step_lets_only_its_own_through() {
    for (id, name, slot, ms, expected) in [
        (ID, "calgary", SLOT, 0, None),
        (TransactionId(2), "calgary", SLOT, 0, Some(ErrorKind::TransactionEnded)),
        (ID, "regina", SLOT, 0, Some(ErrorKind::TransactionEnded)),
        (ID, "calgary", SlotDigest(8), 0, Some(ErrorKind::BadRequest)),
        (ID, "calgary", SLOT, 99, None),
        (ID, "calgary", SLOT, 100, Some(ErrorKind::TransactionEnded)),
    ] {
        let result = book().start_step(id, &workspace(name), slot, at(ms));
        assert_eq!(result.err().map(|e| e.kind), expected, "{id:?} {name} {slot:?} at {ms} ms");
    }
}

#[test]
fn start_step_refuses_a_second_one_meanwhile() {
    let mut book = book();
    let start = |book: &mut Transactions| {
        book.start_step(ID, &workspace("calgary"), SLOT, at(10)).err().map(|e| e.kind)
    };
    assert_eq!(start(&mut book), None);
    assert_eq!(start(&mut book), Some(ErrorKind::BadRequest));
    assert!(book.finish_step(ID, true, at(20)));
    assert_eq!(start(&mut book), None);
    assert!(!book.finish_step(ID, false, at(20)), "its connection is to be closed");
    assert_eq!(start(&mut book), Some(ErrorKind::TransactionEnded));
}

#[test]
fn sweep_takes_what_is_over() {
    for (ms, key_works, expected) in
        [(99, true, false), (100, true, true), (0, false, true), (99, false, true)]
    {
        let mut book = book();
        let over = book.sweep(|_, _| key_works, at(ms));
        assert_eq!(over == [ID], expected, "at {ms} ms, key works: {key_works}");
        assert_eq!(book.is_empty(), expected);
    }
}

#[test]
fn sweep_dooms_a_running_step() {
    let mut book = book();
    book.start_step(ID, &workspace("calgary"), SLOT, at(10)).expect("it is open");
    assert!(book.sweep(all, at(900)).is_empty(), "a running step is not idle");
    assert!(book.sweep(|_, _| false, at(900)).is_empty(), "its connection is in use");
    assert!(!book.finish_step(ID, true, at(901)), "its connection is to be closed");
    assert!(book.is_empty());
}

#[test]
fn sweep_ends_every_transaction_within_its_limits() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut book = Transactions::new(LIMITS);
        let mut begun: Vec<(TransactionId, MonoTime)> = Vec::new();
        let mut over = BTreeSet::new();
        let mut now = at(0);
        for (number, (what, ms)) in steps.into_iter().enumerate() {
            now = now + DurationUs::from_ms(u64::from(ms));
            over.extend(book.sweep(all, now));
            match (what % 3, begun.get(usize::from(what) % begun.len().max(1))) {
                (0, _) | (_, None) => {
                    let id = TransactionId(number as u64);
                    book.begin(id, owner("calgary", "k1"), now);
                    begun.push((id, now));
                }
                (1, Some((id, _))) => {
                    let started = book.start_step(*id, &workspace("calgary"), SLOT, now);
                    if started.is_ok() && over.contains(id) {
                        return false;
                    }
                }
                (_, Some((id, _))) => {
                    book.finish_step(*id, true, now);
                }
            }
        }
        let late = now + LIMITS.total;
        over.extend(book.sweep(all, late));
        // What has a step running ends with it.
        begun.iter().all(|(id, _)| over.contains(id) || !book.finish_step(*id, true, late))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
