//! Primaries that fail, with real processes and the platform down.

use model::prelude::DurationUs;
use rig::{Caller, Fault, Fleet, FleetSpec};
use serde_json::{Value, json};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const WRITE: &str = "quote-ledger-1/annotate-quote";
const READ: &str = "quote-ledger-1/quote";
const WORKSPACE: &str = "calgary-dealer";
const LIST: &str = "orders";
const WRITES_BEFORE: u64 = 10;
const WRITES_AFTER: u64 = 10;
const TRIES_MAX: usize = 200;

/// Appends a number to the list, again and again under the same idempotency key, until it is
/// acknowledged.
async fn append(fleet: &Fleet, caller: &mut Caller, key: &str, number: u64) {
    let params = [json!(LIST), json!(number)];
    let id = format!("order-{number}");
    let mut last = String::new();
    for attempt in 0..TRIES_MAX {
        let vm = &fleet.vms[(number as usize + attempt) % fleet.vms.len()];
        let reply = caller.call_once(&vm.address(), WRITE, key, "append", &params, Some(&id)).await;
        match reply {
            Ok(reply) if reply.status == 200 => return,
            other => last = format!("{other:?}"),
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("write {number} was never acknowledged; the last answer was {last}");
}

async fn list(fleet: &Fleet, caller: &mut Caller, key: &str) -> Vec<Value> {
    for attempt in 0..TRIES_MAX {
        let vm = &fleet.vms[attempt % fleet.vms.len()];
        let reply = caller.call(&vm.address(), READ, key, "get", &[json!(LIST)]).await;
        if let Some(reply) = reply.ok().filter(|reply| reply.status == 200) {
            return reply.result().as_array().cloned().unwrap_or_default();
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("the list could not be read");
}

async fn check(fault: Fault) {
    let spec = FleetSpec::new(ANSWERS).expect("sound answers").with_rates_unlimited();
    let mut fleet = Fleet::start(spec).await.expect("a fleet");
    let api_key = fleet.give_key(WORKSPACE, "k1").await.expect("a key");
    let mut caller = Caller::new(api_key).with_timeout(DurationUs::from_ms(1_000));
    let key = fleet.first_slot_key().expect("a slot key");
    fleet.set_faults(&fleet.platform, &json!({"down": true})).await.expect("the platform down");
    for number in 0..WRITES_BEFORE {
        append(&fleet, &mut caller, &key, number).await;
    }
    let (term, old) = fleet.first_primary().await.expect("a primary");

    fleet.inflict(fault, &old).await.expect("the fault");
    append(&fleet, &mut caller, &key, WRITES_BEFORE).await;
    let (newer, _) = fleet.wait_for_other_primary(&old).await.expect("another primary");
    assert!(newer > term, "{newer} follows {term}");
    for number in WRITES_BEFORE + 1..WRITES_BEFORE + WRITES_AFTER {
        append(&fleet, &mut caller, &key, number).await;
    }
    fleet.end(fault, &old).await.expect("the end of the fault");
    if fault != Fault::Killed {
        fleet.wait_until_healed().await.expect("every member follows");
    }

    let mut found = list(&fleet, &mut caller, &key).await;
    found.sort_by_key(Value::as_u64);
    let expected: Vec<Value> = (0..WRITES_BEFORE + WRITES_AFTER).map(|n| json!(n)).collect();
    assert_eq!(found, expected, "every acknowledged write is there once");
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_killed_is_replaced() {
    check(Fault::Killed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_frozen_is_replaced_and_follows_when_it_goes_on() {
    check(Fault::Frozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_isolated_is_replaced_and_follows_when_the_cut_ends() {
    check(Fault::Isolated).await;
}
