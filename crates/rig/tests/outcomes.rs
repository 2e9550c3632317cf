//! Reported outcomes of writes whose responses from the database are lost or late.

use model::prelude::*;
use proto::caller::{ErrorKind, Outcome};
use rig::{Caller, Fleet, FleetSpec, process::Process, wait::wait_until};
use serde_json::{Value, json};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const WRITE: &str = "quote-ledger-1/draft-quote";
const READ: &str = "quote-ledger-1/quote";
const WORKSPACE: &str = "calgary-dealer";
const REQUEST_TIMEOUT: DurationUs = DurationUs::from_ms(20_000);

async fn fleet() -> Fleet {
    Fleet::start(FleetSpec::new(ANSWERS).expect("valid answers")).await.expect("start the fleet")
}

async fn caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key"))
        .with_timeout(REQUEST_TIMEOUT)
}

/// Returns the process of the initial primary of the slot to which the slot key maps.
fn primary_of<'a>(fleet: &'a Fleet, slot_key: &str) -> &'a Process {
    let slot = model::request::stable_hash(slot_key) % 3;
    &fleet.databases[slot as usize].process
}

async fn list_length(caller: &mut Caller, address: &str, slot_key: &str) -> usize {
    let read = caller.call(address, READ, slot_key, "get", &[json!("orders")]).await;
    let read = read.expect("a response");
    assert_eq!(read.status, 200, "{read:?}");
    read.result().as_array().map_or(0, Vec::len)
}

#[tokio::test(flavor = "multi_thread")]
async fn write_with_lost_answer_is_confirmed_and_runs_once() {
    let fleet = fleet().await;
    let mut caller = caller(&fleet).await;
    let params = [json!("orders"), json!("rack")];
    for (round, key) in [Some("order-1"), None].into_iter().enumerate() {
        let faults = json!({"lose_answers": 1});
        fleet.set_faults(primary_of(&fleet, "gym"), &faults).await.expect("set faults");
        for vm in &fleet.vms {
            let reply =
                caller.call_idempotent(&vm.address(), WRITE, "gym", "append", &params, key).await;
            let reply = reply.expect("a response");
            assert_eq!(reply.status, 200, "{reply:?}");
            if key.is_none() {
                break;
            }
        }
        assert_eq!(list_length(&mut caller, &fleet.vms[1].address(), "gym").await, round + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn write_delayed_by_an_isolated_database_matches_its_reported_outcome() {
    let fleet = fleet().await;
    let mut caller = caller(&fleet).await.with_timeout(DurationUs::from_ms(1_500));
    let params = [json!("orders"), json!("rack")];
    let cut = primary_of(&fleet, "gym");
    let first = caller.call(&fleet.vms[0].address(), WRITE, "gym", "append", &params).await;
    assert_eq!(first.expect("a response").status, 200);
    fleet.set_faults(cut, &json!({"isolated": true})).await.expect("set faults");
    let isolated = caller.call(&fleet.vms[0].address(), WRITE, "gym", "append", &params).await;
    fleet.set_faults(cut, &json!({})).await.expect("set faults");
    let error = isolated.expect("a response").error().expect("an unconfirmed write is an error");
    let mut caller = caller.with_timeout(REQUEST_TIMEOUT);
    caller.session = None;
    // Once this write is acknowledged, the delayed one has been executed or cancelled.
    let written = async || {
        let reply = caller.call(&fleet.vms[1].address(), WRITE, "gym", "append", &params).await;
        reply.ok().filter(|reply| reply.status == 200)
    };
    let last =
        wait_until("a write acknowledged after the isolation", written).await.expect("a write");
    let found = list_length(&mut caller, &fleet.vms[2].address(), "gym").await;
    assert_eq!(last.result(), &json!(found));
    match error.outcome {
        Outcome::NotRun | Outcome::Failed => assert_eq!(found, 2, "{error:?}"),
        Outcome::Unknown => {
            assert!(found == 2 || found == 3, "{error:?}");
            assert!(error.retry_after_ms.is_some(), "{error:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn write_with_another_body_under_the_same_key_is_refused() {
    let fleet = fleet().await;
    let mut caller = caller(&fleet).await;
    let mut sent = Vec::new();
    for (vm, item) in [(0, "rack"), (1, "bench"), (2, "rack")] {
        let params = [json!("orders"), json!(item)];
        let address = fleet.vms[vm].address();
        let reply = caller
            .call_idempotent(&address, WRITE, "gym", "append", &params, Some("order-1"))
            .await;
        sent.push(reply.expect("a response"));
    }
    let error = sent[1].error().expect("a refusal");
    assert_eq!((error.kind, error.outcome), (ErrorKind::KeyReused, Outcome::NotRun), "{error:?}");
    assert_eq!((sent[0].status, sent[1].status, sent[2].status), (200, 409, 200));
    assert_eq!(list_length(&mut caller, &fleet.vms[0].address(), "gym").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_come_late_reach_nobody_else() {
    let fleet = fleet().await;
    let mut caller = caller(&fleet).await;
    let address = fleet.vms[0].address();
    for n in 0..4 {
        let params = [json!(format!("name-{n}")), json!(n)];
        let written = caller.call(&address, WRITE, "gym", "put", &params).await;
        assert_eq!(written.expect("a response").status, 200);
    }
    let slow = primary_of(&fleet, "gym");
    // Below the 400 ms in which a database has to answer a status query, so that it is not replaced meanwhile.
    fleet.set_faults(slow, &json!({"slow_ms": 250})).await.expect("set faults");
    let mut hasty = caller.clone().with_timeout(DurationUs::from_ms(100));
    for n in 0..4 {
        let name = [json!(format!("name-{n}"))];
        let reply = hasty.call(&address, READ, "gym", "get", &name).await.expect("a response");
        assert!(reply.error().is_some() || reply.result() == &json!(n), "{reply:?}");
    }
    fleet.set_faults(slow, &json!({})).await.expect("set faults");
    for n in [3, 0, 2, 1] {
        let name = [json!(format!("name-{n}"))];
        let reply = caller.call(&address, READ, "gym", "get", &name).await.expect("a response");
        assert_eq!((reply.status, reply.result()), (200, &Value::from(n)));
    }
}
