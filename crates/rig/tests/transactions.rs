//! Transactions that callers use through any VM: commit, rollback, and the loss of a caller, a key,
//! a holder or a response.

use model::prelude::*;
use proto::caller::{ErrorKind, Outcome};
use rig::{Caller, Fleet, FleetSpec, Reply, wait::wait_until};
use serde_json::{Value, json};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const SERVICE: &str = "/v1/quote-ledger-1";
const READ: &str = "quote-ledger-1/quote";
const WORKSPACES: [&str; 2] = ["calgary-dealer", "saskatoon-dealer"];
const REQUEST_TIMEOUT: DurationUs = DurationUs::from_ms(20_000);

/// A fleet and one caller for each of [`WORKSPACES`].
struct TestFleet {
    fleet: Fleet,
    callers: Vec<Caller>,
}

impl TestFleet {
    async fn start(spec: impl FnOnce(FleetSpec) -> FleetSpec) -> TestFleet {
        let spec = spec(FleetSpec::new(ANSWERS).expect("valid answers"));
        let fleet = Fleet::start(spec).await.expect("start the fleet");
        let mut callers = Vec::new();
        for (n, workspace) in WORKSPACES.into_iter().enumerate() {
            let key = fleet.issue_key(workspace, &format!("k{n}")).await.expect("issue a key");
            callers.push(Caller::new(key).with_timeout(REQUEST_TIMEOUT));
        }
        TestFleet { fleet, callers }
    }

    /// Posts as the caller at index `caller` through the VM at index `vm`.
    async fn post(&mut self, caller: usize, vm: usize, path: &str, body: Value) -> Reply {
        let address = self.fleet.vms[vm].address();
        let path = format!("{SERVICE}/{path}");
        let reply = self.callers[caller].post(&address, &path, body.to_string(), None).await;
        reply.expect("a response")
    }

    async fn begin(&mut self, caller: usize, vm: usize) -> String {
        let reply = self.post(caller, vm, "transactions", json!({"slot_key": "gym"})).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        reply.body["transaction"].as_str().expect("a transaction handle").to_owned()
    }

    async fn put(&mut self, caller: usize, vm: usize, transaction: &str, value: &str) -> Reply {
        let body = json!({"statement": "put", "params": [value, value]});
        self.post(caller, vm, &format!("transactions/{transaction}/draft-quote"), body).await
    }

    /// Commits or rolls back, as `how` says.
    async fn end_transaction(
        &mut self,
        caller: usize,
        vm: usize,
        transaction: &str,
        how: &str,
    ) -> Reply {
        self.post(caller, vm, &format!("transactions/{transaction}/{how}"), Value::Null).await
    }

    /// Reads a value in a new session.
    async fn get(&mut self, name: &str) -> Value {
        let address = self.fleet.vms[0].address();
        let mut caller = self.callers[0].clone();
        caller.session = None;
        let reply = caller.call(&address, READ, "gym", "get", &[json!(name)]).await;
        let reply = reply.expect("a response");
        assert_eq!(reply.status, 200, "{reply:?}");
        reply.result().clone()
    }

    /// Waits until the databases have at most `most` open connections in total.
    async fn wait_for_connections(&self, most: u64) {
        let closed = async || {
            let mut open = 0;
            for database in &self.fleet.databases {
                let counts = self.fleet.counts(&database.process).await.ok()?;
                open += counts["open_connections"].as_u64()?;
            }
            (open <= most).then_some(())
        };
        wait_until("connections closed", closed).await.expect("connections closed in time");
    }
}

fn error_of(reply: &Reply) -> (ErrorKind, Outcome) {
    let error = reply.error().expect("an error");
    (error.kind, error.outcome)
}

const TRANSACTION_ENDED: (ErrorKind, Outcome) = (ErrorKind::TransactionEnded, Outcome::NotRun);

#[tokio::test(flavor = "multi_thread")]
async fn transactions_commit_once_from_any_vm_and_do_not_mix() {
    let mut test = TestFleet::start(|spec| spec).await;
    let ours = test.begin(0, 0).await;
    let theirs = test.begin(1, 1).await;
    assert_eq!(test.put(0, 1, &ours, "ours").await.status, 200);
    assert_eq!(test.put(1, 2, &theirs, "theirs").await.status, 200);
    assert_eq!(test.get("ours").await, Value::Null, "uncommitted write is not visible");

    // Another workspace can't use the transaction, neither by its handle nor by a forged one.
    for name in [ours.as_str(), "AAAA", ""] {
        let reply = test.put(1, 0, name, "stolen").await;
        assert_eq!(reply.status, 404, "{reply:?}");
        assert_eq!(test.end_transaction(1, 0, name, "commit").await.status, 404);
    }

    assert_eq!(test.end_transaction(1, 0, &theirs, "rollback").await.status, 200);
    for vm in [2, 0, 1] {
        let reply = test.end_transaction(0, vm, &ours, "commit").await;
        assert_eq!(
            reply.status, 200,
            "a repeated commit returns the first one's result: {reply:?}"
        );
    }
    assert_eq!(test.get("ours").await, json!("ours"));
    assert_eq!(test.get("theirs").await, Value::Null);
    assert_eq!(test.get("stolen").await, Value::Null);
    assert_eq!(error_of(&test.put(1, 0, &theirs, "late").await), TRANSACTION_ENDED);
    assert_eq!(error_of(&test.end_transaction(1, 0, &theirs, "commit").await), TRANSACTION_ENDED);
    assert_eq!(test.get("late").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_whose_caller_is_gone_is_rolled_back() {
    let mut test = TestFleet::start(|spec| spec.with_daemon_arg("transaction-idle-ms", 300)).await;
    let transaction = test.begin(0, 0).await;
    assert_eq!(test.put(0, 0, &transaction, "abandoned").await.status, 200);
    test.wait_for_connections(0).await;
    assert_eq!(
        error_of(&test.end_transaction(0, 1, &transaction, "commit").await),
        TRANSACTION_ENDED
    );
    assert_eq!(test.get("abandoned").await, Value::Null);
    // The next transaction on this holder doesn't include the abandoned write.
    let next = test.begin(1, 0).await;
    assert_eq!(test.end_transaction(1, 0, &next, "commit").await.status, 200);
    assert_eq!(test.get("abandoned").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_of_a_withdrawn_key_is_rolled_back() {
    let spec = |spec: FleetSpec| {
        spec.with_daemon_arg("transaction-idle-ms", 600_000)
            .with_daemon_arg("transaction-limit-ms", 600_000)
    };
    let mut test = TestFleet::start(spec).await;
    let transaction = test.begin(0, 0).await;
    assert_eq!(test.put(0, 0, &transaction, "withdrawn").await.status, 200);
    test.fleet.ctl(&["key", "withdraw", "k0"]).expect("withdraw the key");
    test.wait_for_connections(0).await;
    let generation = test.fleet.generation().await.expect("a generation");
    test.fleet.wait_for_generation(generation).await.expect("configuration in use everywhere");
    assert_eq!(test.end_transaction(0, 0, &transaction, "commit").await.status, 401);
    test.callers.swap(0, 1);
    assert_eq!(test.get("withdrawn").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_whose_holder_is_killed_is_rolled_back() {
    let mut test = TestFleet::start(|spec| spec.with_vms_per_dc(2)).await;
    let transaction = test.begin(0, 0).await;
    assert_eq!(test.put(0, 0, &transaction, "orphaned").await.status, 200);
    let name = model::transaction::TransactionHandle::open(
        &transaction,
        &model::key::FleetSecret::new("a fleet secret for tests and demos").expect("long enough"),
        &WorkspaceName::new(WORKSPACES[0]).expect("valid name"),
    );
    let holder = name.expect("a valid handle").vm;
    let at = test.fleet.vms.iter().position(|vm| vm.vm == holder).expect("a VM of the fleet");
    test.fleet.vms[at].process.kill().expect("kill the process");
    test.fleet.vms.remove(at);
    let reply = test.end_transaction(0, 0, &transaction, "commit").await;
    assert_eq!(error_of(&reply), TRANSACTION_ENDED, "{reply:?}");
    assert_eq!(test.get("orphaned").await, Value::Null);
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_with_lost_answer_is_confirmed() {
    let mut test = TestFleet::start(|spec| spec).await;
    let transaction = test.begin(0, 0).await;
    assert_eq!(test.put(0, 0, &transaction, "kept").await.status, 200);
    for database in &test.fleet.databases {
        let faults = json!({"lose_answers": 1});
        test.fleet.set_faults(&database.process, &faults).await.expect("set faults");
    }
    let reply = test.end_transaction(0, 1, &transaction, "commit").await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(test.get("kept").await, json!("kept"));
}
