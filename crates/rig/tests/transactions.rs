//! Transactions through separate processes.

use model::prelude::*;
use proto::caller::{ErrorKind, Outcome};
use rig::{Caller, Fleet, FleetSpec, Reply, wait::until};
use serde_json::{Value, json};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const SERVICE: &str = "/v1/quote-ledger-1";
const READ: &str = "quote-ledger-1/quote";
const WORKSPACES: [&str; 2] = ["calgary-dealer", "saskatoon-dealer"];
const PATIENCE: DurationUs = DurationUs::from_ms(20_000);

struct World {
    fleet: Fleet,
    callers: Vec<Caller>,
}

impl World {
    async fn start(spec: impl FnOnce(FleetSpec) -> FleetSpec) -> World {
        let spec = spec(FleetSpec::new(ANSWERS).expect("sound answers"));
        let fleet = Fleet::start(spec).await.expect("a fleet");
        let mut callers = Vec::new();
        for (n, workspace) in WORKSPACES.into_iter().enumerate() {
            let key = fleet.give_key(workspace, &format!("k{n}")).await.expect("a key");
            callers.push(Caller::new(key).with_timeout(PATIENCE));
        }
        World { fleet, callers }
    }

    /// Posts for a workspace's caller at a VM.
    async fn post(&mut self, caller: usize, vm: usize, path: &str, body: Value) -> Reply {
        let address = self.fleet.vms[vm].address();
        let path = format!("{SERVICE}/{path}");
        let reply = self.callers[caller].post(&address, &path, body.to_string(), None).await;
        reply.expect("an answer")
    }

    async fn begin(&mut self, caller: usize, vm: usize) -> String {
        let reply = self.post(caller, vm, "transactions", json!({"slot_key": "gym"})).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        reply.body["transaction"].as_str().expect("its name").to_owned()
    }

    async fn put(&mut self, caller: usize, vm: usize, transaction: &str, value: &str) -> Reply {
        let body = json!({"statement": "put", "params": [value, value]});
        self.post(caller, vm, &format!("transactions/{transaction}/draft-quote"), body).await
    }

    async fn end(&mut self, caller: usize, vm: usize, transaction: &str, how: &str) -> Reply {
        self.post(caller, vm, &format!("transactions/{transaction}/{how}"), Value::Null).await
    }

    /// What a fresh session reads.
    async fn get(&mut self, name: &str) -> Value {
        let address = self.fleet.vms[0].address();
        let mut caller = self.callers[0].clone();
        caller.session = None;
        let reply = caller.call(&address, READ, "gym", "get", &[json!(name)]).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
        reply.result().clone()
    }

    /// Waits until the databases hold no more open connections than that.
    async fn wait_for_connections(&self, most: u64) {
        let closed = async || {
            let mut open = 0;
            for database in &self.fleet.databases {
                let counts = self.fleet.counts(&database.process).await.ok()?;
                open += counts["open_connections"].as_u64()?;
            }
            (open <= most).then_some(())
        };
        until("connections closed", closed).await.expect("closed");
    }
}

fn ended(reply: &Reply) -> (ErrorKind, Outcome) {
    let error = reply.error().expect("an error");
    (error.kind, error.outcome)
}

const ENDED: (ErrorKind, Outcome) = (ErrorKind::TransactionEnded, Outcome::NotRun);

#[tokio::test(flavor = "multi_thread")]
async fn transactions_commit_once_from_any_vm_and_do_not_mix() {
    let mut world = World::start(|spec| spec).await;
    let ours = world.begin(0, 0).await;
    let theirs = world.begin(1, 1).await;
    assert_eq!(world.put(0, 1, &ours, "ours").await.status, 200);
    assert_eq!(world.put(1, 2, &theirs, "theirs").await.status, 200);
    assert_eq!(world.get("ours").await, Value::Null, "nothing is seen before the commit");

    // Another workspace reaches a transaction neither by its name nor by a forged one.
    for name in [ours.as_str(), "AAAA", ""] {
        let reply = world.put(1, 0, name, "stolen").await;
        assert_eq!(reply.status, 404, "{reply:?}");
        assert_eq!(world.end(1, 0, name, "commit").await.status, 404);
    }

    assert_eq!(world.end(1, 0, &theirs, "rollback").await.status, 200);
    for vm in [2, 0, 1] {
        let reply = world.end(0, vm, &ours, "commit").await;
        assert_eq!(reply.status, 200, "a repeated commit finds the first: {reply:?}");
    }
    assert_eq!(world.get("ours").await, json!("ours"));
    assert_eq!(world.get("theirs").await, Value::Null);
    assert_eq!(world.get("stolen").await, Value::Null);
    assert_eq!(ended(&world.put(1, 0, &theirs, "late").await), ENDED);
    assert_eq!(ended(&world.end(1, 0, &theirs, "commit").await), ENDED);
    assert_eq!(world.get("late").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_whose_caller_is_gone_is_rolled_back() {
    let mut world = World::start(|spec| spec.with_daemon_arg("transaction-idle-ms", 300)).await;
    let transaction = world.begin(0, 0).await;
    assert_eq!(world.put(0, 0, &transaction, "abandoned").await.status, 200);
    world.wait_for_connections(0).await;
    assert_eq!(ended(&world.end(0, 1, &transaction, "commit").await), ENDED);
    assert_eq!(world.get("abandoned").await, Value::Null);
    // The next transaction on this holder starts clean.
    let next = world.begin(1, 0).await;
    assert_eq!(world.end(1, 0, &next, "commit").await.status, 200);
    assert_eq!(world.get("abandoned").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_of_a_withdrawn_key_is_rolled_back() {
    let spec = |spec: FleetSpec| {
        spec.with_daemon_arg("transaction-idle-ms", 600_000)
            .with_daemon_arg("transaction-limit-ms", 600_000)
    };
    let mut world = World::start(spec).await;
    let transaction = world.begin(0, 0).await;
    assert_eq!(world.put(0, 0, &transaction, "withdrawn").await.status, 200);
    world.fleet.ctl(&["key", "withdraw", "k0"]).expect("withdrawn");
    world.wait_for_connections(0).await;
    let generation = world.fleet.generation().await.expect("a generation");
    world.fleet.wait_for_generation(generation).await.expect("in force everywhere");
    assert_eq!(world.end(0, 0, &transaction, "commit").await.status, 401);
    world.callers.swap(0, 1);
    assert_eq!(world.get("withdrawn").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_whose_holder_is_killed_is_rolled_back() {
    let mut world = World::start(|spec| spec.with_vms_per_dc(2)).await;
    let transaction = world.begin(0, 0).await;
    assert_eq!(world.put(0, 0, &transaction, "orphaned").await.status, 200);
    let name = model::transaction::TransactionHandle::open(
        &transaction,
        &model::key::FleetSecret::new("a fleet secret for tests and demos").expect("long enough"),
        &WorkspaceName::new(WORKSPACES[0]).expect("a name"),
    );
    let holder = name.expect("its own name").vm;
    let at = world.fleet.vms.iter().position(|vm| vm.vm == holder).expect("a VM of the fleet");
    world.fleet.vms[at].process.kill().expect("killed");
    world.fleet.vms.remove(at);
    let reply = world.end(0, 0, &transaction, "commit").await;
    assert_eq!(ended(&reply), ENDED, "{reply:?}");
    assert_eq!(world.get("orphaned").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_whose_answer_is_lost_is_found() {
    let mut world = World::start(|spec| spec).await;
    let transaction = world.begin(0, 0).await;
    assert_eq!(world.put(0, 0, &transaction, "kept").await.status, 200);
    for database in &world.fleet.databases {
        let faults = json!({"lose_answers": 1});
        world.fleet.set_faults(&database.process, &faults).await.expect("faults");
    }
    let reply = world.end(0, 1, &transaction, "commit").await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(world.get("kept").await, json!("kept"));
}
