//! Decisions of a single `PortionController` about the portions of its data centre.

use std::sync::Arc;

use board::{Board, Catalog, VmIdentity};
use config::{Configuration, DataCentre, Workspace};
use model::prelude::*;
use proto::platform::{UpdateResult, Version, VmRecord, VmState};
use quota::{
    bucket::MICRO,
    events::{ObjectKind, PortionEffect, PortionEvent},
    objects::{DcObject, SharesObject, TOTAL_PARTS, VmInstance},
    portions::PortionController,
    rate_limiter::LentTokens,
    workspace_limiter::LOAN_OUTSTANDING_MAX,
};
use serde_json::{Value, json};

fn at_ms(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn workspace() -> WorkspaceName {
    WorkspaceName::new("w").expect("a name")
}

fn instance(name: &str) -> VmInstance {
    VmInstance { vm: VmName::new(name).expect("a name"), incarnation: Incarnation(1) }
}

fn record(name: &str) -> VmRecord {
    VmRecord {
        vm: instance(name).vm,
        incarnation: Incarnation(1),
        dc: DcName::new("d").expect("a name"),
        peer_address: String::new(),
        state: VmState::Live,
    }
}

fn board(me: &str, listed: &[&str]) -> Board {
    let dc = DcName::new("d").expect("a name");
    let mut board = Board::new(VmIdentity {
        vm: instance(me).vm,
        incarnation: Incarnation(1),
        dc: dc.clone(),
        peer_address: String::new(),
    });
    board.adopt(Arc::new(Catalog::new(Configuration {
        generation: Generation(1),
        data_centres: vec![DataCentre { name: dc }],
        workspaces: vec![Workspace {
            name: workspace(),
            rate_per_s: 100,
            burst: 100,
            services: Vec::new(),
            objective_ppm: 999_000,
            time_zone: None,
        }],
        ..Configuration::empty()
    })));
    list(&mut board, listed);
    board
}

fn list(board: &mut Board, listed: &[&str]) {
    board.fleet.vms = listed.iter().map(|name| record(name)).collect::<Vec<_>>().into();
    board.update_placement();
}

/// The platform's list with these VMs, read at `read_at_ms`.
fn listed(names: &[&str], read_at_ms: u64) -> PortionEvent {
    let instances = names.iter().map(|name| instance(name)).collect();
    PortionEvent::ListRead { instances, read_at: at_ms(read_at_ms) }
}

fn object(owned: &[(&str, u32)]) -> Value {
    let mut object = DcObject::default();
    object.parts.insert(workspace(), TOTAL_PARTS);
    for (name, parts) in owned {
        object.holding_mut(&instance(name)).portions.insert(workspace(), *parts);
    }
    json!(object)
}

fn read(version: u64, value: Value) -> PortionEvent {
    PortionEvent::ObjectRead { object: ObjectKind::Dc, version: Version(version), value }
}

fn tick() -> PortionEvent {
    PortionEvent::Tick { open_connections: FxHashMap::default(), lent: Vec::new() }
}

fn updates(effects: &[PortionEffect]) -> Vec<(Version, DcObject)> {
    let update = |effect: &PortionEffect| match effect {
        PortionEffect::UpdateObject { object: ObjectKind::Dc, expected, value } => {
            Some((*expected, serde_json::from_value(value.clone()).expect("an object")))
        }
        _ => None,
    };
    effects.iter().filter_map(update).collect()
}

fn allocated_parts(controller: &PortionController) -> u32 {
    controller.allocation().parts.get(&workspace()).copied().unwrap_or(0)
}

#[test]
fn handle_reduces_the_allocation_before_the_object() {
    let board = board("b", &["a", "b"]);
    let mut controller = PortionController::new(instance("b"));
    controller.handle(&board, read(3, object(&[("a", 500_000), ("b", 500_000)])), at_ms(0));
    assert_eq!(allocated_parts(&controller), 500_000);
    controller.handle(&board, PortionEvent::Drained, at_ms(0));
    let mut lowered_at = None;
    let mut updated_at = None;
    for ms in (0..3_000).step_by(10) {
        let effects = controller.handle(&board, tick(), at_ms(ms));
        lowered_at = lowered_at.or((allocated_parts(&controller) == 0).then_some(ms));
        updated_at = updated_at.or((!updates(&effects).is_empty()).then_some(ms));
    }
    let (lowered_at, updated_at) = (lowered_at.expect("lowered"), updated_at.expect("updated"));
    assert!(updated_at - lowered_at > LOAN_OUTSTANDING_MAX.as_ms(), "{lowered_at} {updated_at}");
}

#[test]
fn handle_withholds_what_an_unanswered_update_gives_up() {
    let board = board("b", &["a", "b"]);
    let mut controller = PortionController::new(instance("b"));
    let before = object(&[("a", 500_000), ("b", 500_000)]);
    controller.handle(&board, read(3, before.clone()), at_ms(0));
    controller.handle(&board, tick(), at_ms(0));
    // Five seconds' worth of the whole rate was lent to `a`. Half of that would move to `a`, but `b`
    // keeps 62 500 parts.
    let lent = vec![LentTokens { workspace: workspace(), to: instance("a"), micro: 500 * MICRO }];
    let tick_with = PortionEvent::Tick { open_connections: FxHashMap::default(), lent };
    controller.handle(&board, tick_with, at_ms(5_000));
    assert_eq!(allocated_parts(&controller), 62_500);
    let effects = controller.handle(&board, tick(), at_ms(7_000));
    assert_eq!(updates(&effects).len(), 1);
    controller.handle(&board, PortionEvent::UpdateFailed(ObjectKind::Dc), at_ms(9_000));
    // The object still shows the old portion, but the update may yet take effect.
    for ms in [9_001, 9_100] {
        controller.handle(&board, read(3, before.clone()), at_ms(ms));
        controller.handle(&board, tick(), at_ms(ms));
        assert_eq!(allocated_parts(&controller), 62_500, "at {ms} ms");
    }
}

#[test]
fn handle_reclaims_only_on_a_list_after_the_delay() {
    let mut board = board("a", &["a", "b"]);
    let mut controller = PortionController::new(instance("a"));
    let shares: SharesObject =
        serde_json::from_value(json!({"workspaces": {"w": {"d": TOTAL_PARTS}}})).expect("shares");
    let shares = PortionEvent::ObjectRead {
        object: ObjectKind::Shares,
        version: Version(1),
        value: json!(shares),
    };
    controller.handle(&board, shares, at_ms(0));
    controller.handle(&board, listed(&["a", "b"], 0), at_ms(0));
    let both = object(&[("a", 500_000), ("b", 500_000)]);
    controller.handle(&board, read(3, both), at_ms(1));
    list(&mut board, &["a"]);
    for (ms, event, reclaims) in [
        (1_000, listed(&["a"], 1_000), false),
        (10_999, listed(&["a"], 10_999), false),
        // Time alone is not enough: the list may have become unreadable.
        (12_000, tick(), false),
        (12_100, listed(&["a"], 12_100), true),
    ] {
        let found = updates(&controller.handle(&board, event, at_ms(ms)));
        let takes = found.iter().any(|(_, object)| object.holding(&instance("b")).is_none());
        assert_eq!(takes, reclaims, "at {ms} ms");
        assert!(found.iter().all(|(expected, _)| *expected == Version(3)));
    }
}

#[test]
fn handle_ignores_older_versions_and_invalid_objects() {
    let board = board("b", &["a", "b"]);
    let mut controller = PortionController::new(instance("b"));
    for (version, parts, expected) in [
        (5, json!(object(&[("b", 300_000)])), 300_000),
        (4, json!(object(&[("b", 900_000)])), 300_000),
        (6, json!("nonsense"), 300_000),
        (7, json!(object(&[("a", 1)])), 0),
    ] {
        controller.handle(&board, read(version, parts), at_ms(1));
        assert_eq!(allocated_parts(&controller), expected, "version {version}");
    }
}

#[test]
fn handle_applies_its_own_update_only_once_done() {
    let board = board("a", &["a"]);
    for (answer, expected) in [
        (UpdateResult::Done { version: Version(4) }, TOTAL_PARTS),
        (UpdateResult::Conflict { version: Version(9) }, 0),
    ] {
        let mut controller = PortionController::new(instance("a"));
        controller.handle(&board, read(3, object(&[])), at_ms(1));
        let sent = updates(&controller.handle(&board, listed(&["a"], 1), at_ms(1)));
        // The object already has the data centre's parts, so `shares` is not needed to assign them.
        let sent = if sent.is_empty() {
            updates(&controller.handle(&board, tick(), at_ms(2)))
        } else {
            sent
        };
        assert!(sent.len() <= 1);
        assert_eq!(allocated_parts(&controller), 0);
        let event =
            PortionEvent::UpdateAnswered { object: ObjectKind::Dc, updated: answer.clone() };
        controller.handle(&board, event, at_ms(10));
        assert_eq!(allocated_parts(&controller), expected, "{answer:?}");
    }
}
