//! What members' answers say of confirmation, freshness and the primary.

use std::sync::Arc;

use board::{Board, Catalog, SlotKey, VmIdentity};
use config::{Configuration, DataCentre, Database, Service, Slot};
use failover::observe::{Observation, learn_primary, observe};
use model::prelude::*;
use proto::database::{Role, SlotStatus, Status};

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn board() -> Board {
    let database = |text: &str| Database {
        name: name(text),
        dc: name("dc"),
        address: text.to_owned(),
        admin_address: text.to_owned(),
        connection_limit: 1,
        leaving: false,
    };
    let databases: Vec<Database> = ["d1", "d2", "d3"].map(database).into();
    let slot =
        Slot { name: name("a"), members: databases.iter().map(|d| d.name.clone()).collect() };
    let cfg = Configuration {
        generation: Generation(1),
        data_centres: vec![DataCentre { name: name("dc") }],
        services: vec![Service {
            name: name("ledger"),
            databases,
            slots: vec![slot],
            routes: Vec::new(),
        }],
        ..Configuration::empty()
    };
    let me = VmIdentity {
        vm: name("v1"),
        incarnation: Incarnation(1),
        dc: name("dc"),
        peer_address: String::new(),
    };
    let mut board = Board::new(me);
    board.adopt(Arc::new(Catalog::new(cfg)));
    board
}

/// An answer: who, when asked in milliseconds, the part, the granted term, the log's end.
type Answer = (&'static str, u64, Role, u64, (u64, u64));

const PRIMARY: Role = Role::Primary;
const REPLICA: Role = Role::Replica;

fn after(answers: &[Answer]) -> Board {
    let mut board = board();
    for &(database, at_ms, role, term, (log_term, index)) in answers {
        let slot = SlotStatus {
            service: name("ledger"),
            slot: name("a"),
            role,
            term: Term(term),
            primary: None,
            position: Position::new(Term(log_term), index),
            primary_in_service_ms: None,
            open_transactions: 0,
        };
        let status = Some(Status { database: name(database), slots: vec![slot] });
        let asked_at = MonoTime(at_ms * 1_000);
        let observation = Observation { database: name(database), asked_at, status };
        observe(&mut board, &observation, asked_at);
    }
    board
}

fn check_fresh(answers: &[Answer], expected: [Option<u64>; 3]) {
    let board = after(answers);
    let found: Vec<Option<u64>> = board.slots[SlotKey::from(0)]
        .members
        .iter()
        .map(|m| m.fresh_at.map(|at| at.0 / 1_000))
        .collect();
    assert_eq!(found, expected, "{answers:?}");
}

#[test]
fn observe_dates_members_by_confirmed_bounds() {
    // One answer bounds nothing: the two others may hold more.
    check_fresh(&[("d1", 10, PRIMARY, 1, (1, 5))], [None, None, None]);
    // Two answers bound it by the higher.
    check_fresh(
        &[("d1", 10, PRIMARY, 1, (1, 5)), ("d2", 20, REPLICA, 1, (1, 4))],
        [Some(10), None, None],
    );
    // Two answers bound it at the later moment too, and three by the second highest.
    check_fresh(
        &[
            ("d1", 10, PRIMARY, 1, (1, 5)),
            ("d2", 20, REPLICA, 1, (1, 4)),
            ("d3", 30, REPLICA, 1, (1, 3)),
        ],
        [Some(20), Some(20), None],
    );
    // A replica that has caught up with an earlier bound is as fresh as that bound.
    check_fresh(
        &[
            ("d1", 10, PRIMARY, 1, (1, 5)),
            ("d2", 20, REPLICA, 1, (1, 4)),
            ("d1", 110, PRIMARY, 1, (1, 9)),
            ("d2", 120, REPLICA, 1, (1, 6)),
        ],
        [Some(110), Some(10), None],
    );
}

#[test]
fn observe_never_dates_a_divergent_tail() {
    // d1 was the primary of term 1 and has a tail that nobody else has.
    check_fresh(
        &[
            ("d1", 10, PRIMARY, 1, (1, 50)),
            ("d2", 20, REPLICA, 2, (1, 40)),
            ("d3", 30, PRIMARY, 2, (2, 41)),
            ("d1", 40, REPLICA, 2, (1, 50)),
        ],
        [None, None, Some(30)],
    );
}

#[test]
fn observe_does_not_confirm_an_old_term() {
    let board = after(&[
        ("d1", 10, REPLICA, 2, (1, 50)),
        ("d2", 20, PRIMARY, 2, (2, 41)),
        ("d3", 30, REPLICA, 2, (1, 40)),
    ]);
    assert_eq!(board.slots[SlotKey::from(0)].confirmed, Position::ZERO);
}

fn check_verified(answers: &[Answer], expected: Option<u64>) {
    let board = after(answers);
    let found = board.slots[SlotKey::from(0)].primary_verified_at.map(|at| at.0 / 1_000);
    assert_eq!(found, expected, "{answers:?}");
}

#[test]
fn observe_verifies_a_primary_by_a_majority() {
    check_verified(&[("d1", 10, PRIMARY, 1, (1, 5))], None);
    check_verified(&[("d1", 10, PRIMARY, 1, (1, 5)), ("d2", 20, REPLICA, 1, (1, 5))], Some(10));
    // The isolated primary answers on, but a majority has granted a later term.
    check_verified(
        &[
            ("d1", 10, PRIMARY, 1, (1, 5)),
            ("d2", 20, REPLICA, 1, (1, 5)),
            ("d2", 120, REPLICA, 2, (1, 5)),
            ("d3", 130, REPLICA, 2, (1, 5)),
            ("d1", 210, PRIMARY, 1, (1, 9)),
        ],
        Some(10),
    );
}

#[test]
fn learn_primary_clears_the_verification_of_the_old_primary() {
    let mut board = after(&[("d1", 10, PRIMARY, 1, (1, 5)), ("d2", 20, REPLICA, 1, (1, 5))]);
    learn_primary(&mut board, 0.into(), Term(2), None);
    assert_eq!(board.slots[SlotKey::from(0)].primary_verified_at, None);
}
