//! Failover between processes: a primary is killed, frozen or isolated while the platform is down,
//! or leaves the configuration.

use config::Configuration;
use edge::{client::Client, platform::PlatformClient};
use model::prelude::DurationUs;
use proto::platform::UpdateResult;
use rig::{Caller, Fault, Fleet, FleetSpec};
use serde_json::{Value, json};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const WRITE: &str = "quote-ledger-1/annotate-quote";
const READ: &str = "quote-ledger-1/quote";
const BOUNDED_STALENESS_READ: &str = "quote-ledger-1/delivery-board";
const WORKSPACE: &str = "calgary-dealer";
const LIST: &str = "orders";
const WRITES_BEFORE: u64 = 10;
const WRITES_AFTER: u64 = 10;
const MAX_ATTEMPTS: usize = 200;

/// Appends a number to the list. Retries with the same idempotency key until it is acknowledged.
async fn append(fleet: &Fleet, caller: &mut Caller, key: &str, number: u64) {
    let params = [json!(LIST), json!(number)];
    let id = format!("order-{number}");
    let mut last = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        let vm = &fleet.vms[(number as usize + attempt) % fleet.vms.len()];
        let reply =
            caller.call_idempotent(&vm.address(), WRITE, key, "append", &params, Some(&id)).await;
        match reply {
            Ok(reply) if reply.status == 200 => return,
            other => last = format!("{other:?}"),
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("write {number} was never acknowledged, last response: {last}");
}

async fn read_list(fleet: &Fleet, caller: &mut Caller, key: &str) -> Vec<Value> {
    for attempt in 0..MAX_ATTEMPTS {
        let vm = &fleet.vms[attempt % fleet.vms.len()];
        let reply = caller.call(&vm.address(), READ, key, "get", &[json!(LIST)]).await;
        if let Some(reply) = reply.ok().filter(|reply| reply.status == 200) {
            return reply.result().as_array().cloned().unwrap_or_default();
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("reading the list failed {MAX_ATTEMPTS} times");
}

/// Injects the fault into the primary and checks that a newer term's primary takes over and that
/// each acknowledged write is stored exactly once.
async fn check_failover(fault: Fault) {
    let spec = FleetSpec::new(ANSWERS).expect("valid answers").with_rates_unlimited();
    let mut fleet = Fleet::start(spec).await.expect("start the fleet");
    let api_key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let mut caller = Caller::new(api_key).with_timeout(DurationUs::from_ms(1_000));
    let key = fleet.first_slot_key().expect("a slot key");
    fleet.set_faults(&fleet.platform, &json!({"down": true})).await.expect("set faults");
    for number in 0..WRITES_BEFORE {
        append(&fleet, &mut caller, &key, number).await;
    }
    let (term, old) = fleet.first_primary().await.expect("a primary");

    fleet.inject_fault(fault, &old).await.expect("inject the fault");
    append(&fleet, &mut caller, &key, WRITES_BEFORE).await;
    let (newer, _) = fleet.wait_for_other_primary(&old).await.expect("a new primary");
    assert!(newer > term, "term {newer} after term {term}");
    for number in WRITES_BEFORE + 1..WRITES_BEFORE + WRITES_AFTER {
        append(&fleet, &mut caller, &key, number).await;
    }
    fleet.end_fault(fault, &old).await.expect("end the fault");
    if fault != Fault::Killed {
        fleet.wait_until_healed().await.expect("members in step");
    }

    let mut found = read_list(&fleet, &mut caller, &key).await;
    found.sort_by_key(Value::as_u64);
    let expected: Vec<Value> = (0..WRITES_BEFORE + WRITES_AFTER).map(|n| json!(n)).collect();
    assert_eq!(found, expected, "each acknowledged write is stored once");
}

/// Marks a database as leaving in the configuration and waits until every VM uses that
/// configuration.
async fn mark_database_leaving(fleet: &Fleet, name: &str) {
    let platform = PlatformClient::new(Client::new("test"), fleet.platform.address("listen"));
    let object = platform.get("configuration").await.expect("the configuration");
    let mut cfg: Configuration = serde_json::from_value(object.value).expect("valid configuration");
    cfg.generation.0 += 1;
    cfg.change_id += 1;
    let databases = cfg.services.iter_mut().flat_map(|s| &mut s.databases);
    databases.filter(|d| d.name.as_str() == name).for_each(|d| d.leaving = true);
    let generation = cfg.generation.0;
    let value = serde_json::to_value(cfg).expect("valid JSON");
    let updated =
        platform.update("configuration", object.version, value).await.expect("a response");
    assert!(matches!(updated, UpdateResult::Done { .. }), "{updated:?}");
    fleet.wait_for_generation(generation).await.expect("configuration in use");
}

/// Returns how many requests the database has executed, and how many it has refused because of its role.
async fn request_counts(fleet: &Fleet, name: &str) -> (u64, u64) {
    let database = fleet.databases.iter().find(|d| d.name.as_str() == name).expect("a database");
    let counts = fleet.counts(&database.process).await.expect("counts");
    let count = |field: &str| counts[field].as_u64().expect("a number");
    (count("executed"), count("refused_requests"))
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_leaves_gets_no_new_work_and_loses_nothing() {
    let spec = FleetSpec::new(ANSWERS).expect("valid answers").with_rates_unlimited();
    let fleet = Fleet::start(spec).await.expect("start the fleet");
    let api_key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let mut caller = Caller::new(api_key).with_timeout(DurationUs::from_ms(1_000));
    let key = fleet.first_slot_key().expect("a slot key");
    for number in 0..WRITES_BEFORE {
        append(&fleet, &mut caller, &key, number).await;
    }
    let (_, old) = fleet.first_primary().await.expect("a primary");
    mark_database_leaving(&fleet, &old).await;
    fleet.wait_for_other_primary(&old).await.expect("a new primary");
    append(&fleet, &mut caller, &key, WRITES_BEFORE).await;
    let (executed, refused) = request_counts(&fleet, &old).await;
    for number in WRITES_BEFORE + 1..WRITES_BEFORE + WRITES_AFTER {
        append(&fleet, &mut caller, &key, number).await;
        read_list(&fleet, &mut caller, &key).await;
        for vm in &fleet.vms {
            let aged = caller
                .call(&vm.address(), BOUNDED_STALENESS_READ, &key, "get", &[json!(LIST)])
                .await;
            assert_eq!(aged.expect("a response").status, 200);
        }
    }
    let (executed_since, refused_since) = request_counts(&fleet, &old).await;
    assert_eq!(executed_since, executed, "no statement for the leaving database");
    // A VM that has not heard of the new primary learns of it from the first refusal.
    let refused = refused_since - refused;
    assert!(refused <= fleet.vms.len() as u64, "{refused} requests refused");
    let found = read_list(&fleet, &mut caller, &key).await;
    let expected: Vec<Value> = (0..WRITES_BEFORE + WRITES_AFTER).map(|n| json!(n)).collect();
    assert_eq!(found, expected, "each acknowledged write is stored once, in order");
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_killed_is_replaced() {
    check_failover(Fault::Killed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_frozen_is_replaced_and_follows_when_thawed() {
    check_failover(Fault::Frozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn primary_isolated_is_replaced_and_follows_when_the_cut_ends() {
    check_failover(Fault::Isolated).await;
}
