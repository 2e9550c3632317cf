//! The book of open transactions, in virtual time.

use std::collections::BTreeSet;

use model::{prelude::*, session::SlotDigest};
use proto::caller::ErrorKind;
use quickcheck::{Gen, QuickCheck};
use route::transaction::{TransactionInfo, TransactionLimits, TransactionTable};

const LIMITS: TransactionLimits = TransactionLimits {
    idle_timeout: DurationUs::from_ms(100),
    total_timeout: DurationUs::from_ms(1_000),
};
const SLOT: SlotDigest = SlotDigest(7);
const ID: TransactionId = TransactionId(1);

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a name")
}

fn transaction(workspace_name: &str, key: &str) -> TransactionInfo {
    TransactionInfo {
        workspace: workspace(workspace_name),
        key: KeyName::new(key).expect("a name"),
        slot: SLOT,
        database: DatabaseName::new("d").expect("a name"),
        term: Term(1),
    }
}

fn table() -> TransactionTable {
    let mut table = TransactionTable::new(LIMITS);
    table.begin(ID, transaction("calgary", "k1"), at(0));
    table
}

fn all(_: &KeyName, _: &WorkspaceName) -> bool {
    true
}

#[test]
fn start_step_checks_workspace_slot_and_idle_time() {
    for (id, name, slot, ms, expected) in [
        (ID, "calgary", SLOT, 0, None),
        (TransactionId(2), "calgary", SLOT, 0, Some(ErrorKind::TransactionEnded)),
        (ID, "regina", SLOT, 0, Some(ErrorKind::TransactionEnded)),
        (ID, "calgary", SlotDigest(8), 0, Some(ErrorKind::BadRequest)),
        (ID, "calgary", SLOT, 99, None),
        (ID, "calgary", SLOT, 100, Some(ErrorKind::TransactionEnded)),
    ] {
        let result = table().start_step(id, &workspace(name), slot, at(ms));
        assert_eq!(result.err().map(|e| e.kind), expected, "{id:?} {name} {slot:?} at {ms} ms");
    }
}

#[test]
fn start_step_rejects_a_concurrent_step() {
    let mut table = table();
    let start = |table: &mut TransactionTable| {
        table.start_step(ID, &workspace("calgary"), SLOT, at(10)).err().map(|e| e.kind)
    };
    assert_eq!(start(&mut table), None);
    assert_eq!(start(&mut table), Some(ErrorKind::BadRequest));
    assert!(table.finish_step(ID, true, at(20)));
    assert_eq!(start(&mut table), None);
    assert!(!table.finish_step(ID, false, at(20)), "its connection is to be closed");
    assert_eq!(start(&mut table), Some(ErrorKind::TransactionEnded));
}

#[test]
fn sweep_removes_expired_transactions() {
    for (ms, key_works, expected) in
        [(99, true, false), (100, true, true), (0, false, true), (99, false, true)]
    {
        let mut table = table();
        let expired = table.sweep(|_, _| key_works, at(ms));
        assert_eq!(expired == [ID], expected, "at {ms} ms, key works: {key_works}");
        assert_eq!(table.is_empty(), expected);
    }
}

#[test]
fn sweep_aborts_a_running_step() {
    let mut table = table();
    table.start_step(ID, &workspace("calgary"), SLOT, at(10)).expect("it is open");
    assert!(table.sweep(all, at(900)).is_empty(), "a running step is not idle");
    assert!(table.sweep(|_, _| false, at(900)).is_empty(), "its connection is in use");
    assert!(!table.finish_step(ID, true, at(901)), "its connection is to be closed");
    assert!(table.is_empty());
}

#[test]
fn sweep_ends_every_transaction_within_its_limits() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut table = TransactionTable::new(LIMITS);
        let mut begun: Vec<(TransactionId, MonoTime)> = Vec::new();
        let mut expired = BTreeSet::new();
        let mut now = at(0);
        for (number, (what, ms)) in steps.into_iter().enumerate() {
            now = now + DurationUs::from_ms(u64::from(ms));
            expired.extend(table.sweep(all, now));
            match (what % 3, begun.get(usize::from(what) % begun.len().max(1))) {
                (0, _) | (_, None) => {
                    let id = TransactionId(number as u64);
                    table.begin(id, transaction("calgary", "k1"), now);
                    begun.push((id, now));
                }
                (1, Some((id, _))) => {
                    let started = table.start_step(*id, &workspace("calgary"), SLOT, now);
                    if started.is_ok() && expired.contains(id) {
                        return false;
                    }
                }
                (_, Some((id, _))) => {
                    table.finish_step(*id, true, now);
                }
            }
        }
        let late = now + LIMITS.total_timeout;
        expired.extend(table.sweep(all, late));
        // What has a step running ends with it.
        begun.iter().all(|(id, _)| expired.contains(id) || !table.finish_step(*id, true, late))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
