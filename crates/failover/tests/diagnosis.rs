//! What is wrong with a slot.

use std::sync::Arc;

use board::{Board, Catalog, SlotKey, VmIdentity};
use config::{Configuration, answers::generate};
use failover::{
    diagnosis::{Diagnosis, PrimaryFault, diagnose},
    timeouts::Timeouts,
};
use model::prelude::*;
use proto::database::Role;

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const TERM: Term = Term(1);

/// What a member last said, in milliseconds of virtual time.
struct Seen {
    asked_at_ms: u64,
    primary_in_service_at_ms: u64,
}

fn seen(asked_at_ms: u64, primary_in_service_at_ms: u64) -> Seen {
    Seen { asked_at_ms, primary_in_service_at_ms }
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

/// A slot whose first member is primary.
fn board(members: [Seen; 3]) -> Board {
    let cfg = generate(ANSWERS, &Configuration::empty(), 1).expect("sound answers");
    let mut board = Board::new(VmIdentity {
        vm: VmName::new("sask-yxe-1").expect("a name"),
        incarnation: Incarnation(1),
        dc: DcName::new("sask-yxe").expect("a name"),
        peer_address: String::new(),
    });
    board.adopt(Arc::new(Catalog::new(cfg)));
    let slot = &mut board.slots[SlotKey::from(0)];
    let primary = slot.members[0].database;
    for (number, (member, seen)) in slot.members.iter_mut().zip(members).enumerate() {
        member.role = if number == 0 { Role::Primary } else { Role::Replica };
        member.term = TERM;
        member.follows = Some(primary);
        member.asked_at = Some(at(seen.asked_at_ms));
        member.primary_in_service_at = Some(at(seen.primary_in_service_at_ms));
    }
    board
}

fn check(members: [Seen; 3], since_ms: u64, now_ms: u64, expected: Option<PrimaryFault>) {
    let board = board(members);
    let timeouts = Timeouts::new(DurationUs::from_ms(100));
    let diagnosis = diagnose(&board, SlotKey::from(0), at(since_ms), &timeouts, at(now_ms));
    let fault = match diagnosis {
        Diagnosis::Faulty { fault, .. } => Some(fault),
        _ => None,
    };
    assert_eq!(fault, expected, "since {since_ms} ms, at {now_ms} ms: {diagnosis:?}");
}

#[test]
fn diagnose_ignores_answers_from_before_a_promotion() {
    check([seen(990, 990), seen(1_010, 0), seen(1_010, 0)], 1_000, 1_050, None);
}

#[test]
fn diagnose_finds_unreachable_and_isolated_primaries() {
    check(
        [seen(990, 990), seen(2_000, 0), seen(2_000, 0)],
        1_000,
        2_050,
        Some(PrimaryFault::Unreachable),
    );
    check([seen(990, 990), seen(2_000, 1_900), seen(2_000, 0)], 1_000, 2_050, None);
    check(
        [seen(2_000, 0), seen(2_000, 0), seen(2_000, 0)],
        1_000,
        2_050,
        Some(PrimaryFault::Isolated),
    );
    check([seen(2_000, 0), seen(2_000, 1_900), seen(990, 0)], 1_000, 2_050, None);
}
