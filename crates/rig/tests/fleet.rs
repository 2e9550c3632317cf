//! Configuration distribution, API keys, peer messages and planned stops between processes.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use edge::{
    client::Client,
    peer::{PEER_PATH, PeerClient, PeerInstance},
};
use http::{HeaderName, HeaderValue, Method};
use model::{key::FleetSecret, prelude::*};
use proto::{
    gossip::Pull,
    peer::{PeerReply, PeerRequest},
};
use rig::{Caller, Fleet, FleetSpec, fleet::VmProcess, wait::wait_until};
use serde_json::{Value, json};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const WRITE: &str = "quote-ledger-1/annotate-quote";
const READ: &str = "quote-ledger-1/quote";
const WORKSPACE: &str = "calgary-dealer";
const FLEET_SECRET: &str = "a fleet secret for tests and demos";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const UNLIMITED_RATE_PER_S: u32 = 100_000_000;

fn spec() -> FleetSpec {
    let mut spec = FleetSpec::new(ANSWERS).expect("valid answers");
    for workspace in &mut spec.answers.workspaces {
        workspace.rate_per_s = UNLIMITED_RATE_PER_S;
        workspace.burst = UNLIMITED_RATE_PER_S;
    }
    spec
}

async fn start(spec: FleetSpec) -> Fleet {
    Fleet::start(spec).await.expect("start the fleet")
}

async fn counter(fleet: &Fleet, vm: &VmProcess, name: &str) -> u64 {
    let counters = fleet.query_ops(vm, "/counters").await.expect("counters");
    counters[name].as_u64().expect("a number")
}

/// Waits until a read through the VM returns the status.
async fn wait_for_status(caller: &mut Caller, vm: &VmProcess, status: u16) {
    let answered = async || {
        let params = [json!("x")];
        let reply = caller.call(&vm.address(), READ, "a", "get", &params).await.ok()?;
        (reply.status == status).then_some(())
    };
    wait_until(&format!("status {status} from {}", vm.vm), answered)
        .await
        .expect("before the timeout");
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_reaches_a_vm_that_is_cut_off_from_the_platform() {
    let fleet = start(spec()).await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let mut callers: Vec<Caller> = fleet.vms.iter().map(|_| Caller::new(&key)).collect();
    for (caller, vm) in callers.iter_mut().zip(&fleet.vms) {
        wait_for_status(caller, vm, 200).await;
    }
    let cut_off = json!({"cut_off": [fleet.vms[2].vm.as_str()]});
    fleet.set_faults(&fleet.platform, &cut_off).await.expect("set faults");
    fleet.ctl(&["key", "withdraw", "k1"]).expect("withdraw the key");
    for (caller, vm) in callers.iter_mut().zip(&fleet.vms) {
        wait_for_status(caller, vm, 401).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_stays_while_every_vm_is_replaced_and_the_platform_is_down() {
    let mut fleet = start(spec()).await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    fleet.ctl(&["key", "withdraw", "k1"]).expect("withdraw the key");
    let generation = fleet.generation().await.expect("a generation");
    fleet.wait_for_generation(generation).await.expect("configuration in use");
    fleet.set_faults(&fleet.platform, &json!({"down": true})).await.expect("set faults");
    for _ in 0..fleet.vms.len() {
        let mut old = fleet.vms.remove(0);
        old.process.kill().expect("process exit");
        fleet.start_vm(old.vm.clone(), old.dc.clone()).await.expect("start a VM");
        fleet.wait_for_generation(generation).await.expect("configuration in use");
    }
    for vm in &fleet.vms {
        wait_for_status(&mut Caller::new(&key), vm, 401).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn watchers_that_are_killed_or_frozen_are_replaced() {
    let mut fleet = start(spec().with_vms_per_dc(3)).await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let dc = fleet.vms[0].dc.clone();
    let watch = async || {
        let mut watchers = Vec::new();
        for (at, vm) in fleet.vms.iter().enumerate().filter(|(_, vm)| vm.dc == dc) {
            let state = fleet.query_ops(vm, "/state").await?;
            watchers.extend((state["watches_platform"] == true).then_some(at));
        }
        (watchers.len() == 2).then_some(watchers)
    };
    let watchers = wait_until("two watchers", watch).await.expect("before the timeout");
    fleet.vms[watchers[0]].process.freeze().expect("send a signal");
    fleet.vms[watchers[1]].process.kill().expect("process exit");
    fleet.ctl(&["key", "withdraw", "k1"]).expect("withdraw the key");
    let generation = fleet.generation().await.expect("a generation");
    let frozen = fleet.vms.remove(watchers[0].max(watchers[1]));
    let other = fleet.vms.remove(watchers[0].min(watchers[1]));
    fleet.wait_for_generation(generation).await.expect("configuration in use on running VMs");
    for vm in &fleet.vms {
        wait_for_status(&mut Caller::new(&key), vm, 401).await;
    }
    for vm in [frozen, other] {
        // The killed one doesn't answer; the thawed one must catch up.
        if vm.process.thaw().is_ok() && fleet.query_ops(&vm, "/health").await.is_some() {
            wait_for_status(&mut Caller::new(&key), &vm, 401).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_cut_off_from_everything_stops_trusting_keys() {
    let mut spec = spec().with_relays();
    spec.answers.cut_off_trust_s = 2;
    let fleet = start(spec).await;
    let mut caller = Caller::new(fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key"));
    let vm = &fleet.vms[2];
    wait_for_status(&mut caller, vm, 200).await;
    let cut_off = json!({"cut_off": [vm.vm.as_str()]});
    fleet.set_faults(&fleet.platform, &cut_off).await.expect("set faults");
    for other in &fleet.vms[..2] {
        fleet.set_partitioned(vm.dc.as_str(), other.dc.as_str(), true);
    }
    wait_for_status(&mut caller, vm, 503).await;
    fleet.ctl(&["key", "withdraw", "k1"]).expect("withdraw the key");
    wait_for_status(&mut caller.clone(), &fleet.vms[0], 401).await;
    for other in &fleet.vms[..2] {
        fleet.set_partitioned(vm.dc.as_str(), other.dc.as_str(), false);
    }
    // The withdrawal arrives from the other data centres; the platform is still cut off.
    wait_for_status(&mut caller, vm, 401).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_found_in_no_message_log_line_or_object() {
    let fleet = start(spec().with_relays()).await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let secret = key.rsplit('.').next().expect("a secret").to_owned();
    let mut caller = Caller::new(&key);
    for vm in &fleet.vms {
        for site in ["a", "b", "c", "d"] {
            let params = [json!("quote"), json!("canary")];
            let reply = caller.call(&vm.address(), WRITE, site, "put", &params).await;
            assert_eq!(reply.expect("a response").status, 200);
            let reply = caller.call(&vm.address(), READ, site, "get", &params[..1]).await;
            assert_eq!(reply.expect("a response").status, 200);
        }
    }
    let mut wrong = Caller::new(key.replace("k1", "k2"));
    wait_for_status(&mut wrong, &fleet.vms[0], 401).await;
    let passed: Vec<_> = fleet.relays.iter().filter(|r| r.has_recorded("canary")).collect();
    assert!(passed.iter().any(|r| r.dc.is_empty()), "the databases' relays record requests");
    assert!(passed.iter().any(|r| !r.dc.is_empty()), "the VMs' relays record requests");
    for relay in &fleet.relays {
        assert!(!relay.has_recorded(&secret), "the key passed a relay to `{}`", relay.dc);
    }
    let logs = fleet.logs().expect("logs");
    assert!(logs.contains("configuration in force"), "the logs are collected");
    assert!(!logs.contains(&secret), "the key is in a log");
    let objects = fleet.objects().await.expect("objects").to_string();
    assert!(objects.contains("k1"), "the key's name is in the objects");
    assert!(!objects.contains(&secret), "the key is in an object");
    let shown = fleet.query_ops(&fleet.vms[0], "/state").await.expect("state").to_string();
    assert!(!shown.contains(&secret), "the key is in the state");
}

fn instance_of(vm: &VmProcess) -> PeerInstance {
    PeerInstance { vm: vm.vm.clone(), incarnation: vm.incarnation }
}

fn pull_request() -> PeerRequest {
    PeerRequest::Pull(Pull { have: Generation(0), list: true, dc_object: None })
}

fn peer_client(secret: &str) -> PeerClient {
    let me = PeerInstance {
        vm: VmName::new("stranger").expect("valid name"),
        incarnation: Incarnation(7),
    };
    PeerClient::new(Client::new("stranger"), FleetSecret::new(secret).expect("long enough"), me)
}

/// Posts a body with the given headers to a peer listener and returns the status.
async fn post_raw(address: &str, headers: &[(HeaderName, HeaderValue)], body: Vec<u8>) -> u16 {
    let client = Client::new("stranger");
    let reply =
        client.send(address, Method::POST, PEER_PATH, headers, body.into(), REQUEST_TIMEOUT).await;
    reply.expect("a response").status.as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_message_that_is_not_genuine_is_refused() {
    let fleet = start(spec()).await;
    let (vm, other) = (&fleet.vms[0], &fleet.vms[1]);
    let address = vm.process.address("peer");
    let signer = peer_client(FLEET_SECRET);
    let genuine = signer.call(&instance_of(vm), &address, &pull_request(), REQUEST_TIMEOUT).await;
    assert!(matches!(genuine, Ok(PeerReply::Pulled(_))), "{genuine:?}");

    let before = counter(&fleet, vm, "peer_refused").await;
    let wrong = peer_client("another secret altogether");
    assert!(
        wrong.call(&instance_of(vm), &address, &pull_request(), REQUEST_TIMEOUT).await.is_err()
    );
    assert!(
        signer.call(&instance_of(other), &address, &pull_request(), REQUEST_TIMEOUT).await.is_err()
    );
    let past = PeerInstance { incarnation: Incarnation(0), ..instance_of(vm) };
    assert!(signer.call(&past, &address, &pull_request(), REQUEST_TIMEOUT).await.is_err());
    assert_eq!(post_raw(&address, &[], b"anything".to_vec()).await, 401);
    assert_eq!(post_raw(&address, &[], vec![0; 2 << 20]).await, 413);

    let body = edge::peer::encode(&pull_request());
    let headers = signer.sign(&instance_of(vm), &body);
    assert_eq!(post_raw(&address, &headers, body.to_vec()).await, 200);
    assert_eq!(post_raw(&address, &headers, body.to_vec()).await, 401, "replayed message");
    let headers = signer.sign(&instance_of(vm), b"nonsense");
    assert_eq!(post_raw(&address, &headers, b"nonsense".to_vec()).await, 400);
    let headers = signer.sign(&instance_of(vm), &body);
    assert_eq!(post_raw(&address, &headers, b"changed".to_vec()).await, 401);
    assert_eq!(counter(&fleet, vm, "peer_refused").await, before + 8);
}

/// Outcomes of one caller's requests.
#[derive(Default)]
struct LoadResult {
    /// Number of requests with status 200.
    answered: u64,
    /// Description of each other request.
    failed: Vec<String>,
}

/// Sends requests one at a time, round robin over the ready VMs, until `end` is set.
async fn send_load(
    mut caller: Caller,
    ready: Arc<Mutex<Vec<String>>>,
    end: Arc<AtomicBool>,
    number: usize,
) -> LoadResult {
    let mut result = LoadResult::default();
    while !end.load(Ordering::Relaxed) {
        let round = result.answered as usize + number;
        let address = {
            let ready = ready.lock().expect("lock not poisoned");
            ready[round % ready.len()].clone()
        };
        let (route, statement) =
            if round.is_multiple_of(2) { (WRITE, "put") } else { (READ, "get") };
        let params = [json!("quote"), json!(round)];
        let params = if statement == "get" { &params[..1] } else { &params[..] };
        let site = format!("site-{number}");
        match caller.call(&address, route, &site, statement, params).await {
            Ok(reply) if reply.status == 200 => result.answered += 1,
            Ok(reply) => result.failed.push(format!("{address}: {} {}", reply.status, reply.body)),
            Err(error) => result.failed.push(format!("{address}: {error}")),
        }
    }
    result
}

/// Returns the caller addresses of the VMs whose `/ready` responds with 200, as a load balancer
/// does.
async fn ready_addresses(fleet: &Fleet) -> Vec<String> {
    let client = Client::new("balancer");
    let mut ready = Vec::new();
    for vm in &fleet.vms {
        let ops = vm.process.address("ops");
        let reply =
            client.send(&ops, Method::GET, "/ready", &[], Default::default(), REQUEST_TIMEOUT);
        if reply.await.is_ok_and(|reply| reply.status == 200) {
            ready.push(vm.address());
        }
    }
    ready
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_and_start_under_load_cut_no_request() {
    const CALLERS: usize = 12;
    let spec = spec()
        .with_vms_per_dc(2)
        .with_database_arg("execute-ms", 30)
        .with_daemon_arg("stop-notice-ms", 3_000);
    let mut fleet = start(spec).await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let ready = Arc::new(Mutex::new(ready_addresses(&fleet).await));
    let end = Arc::new(AtomicBool::new(false));
    let send_load = |number| send_load(Caller::new(&key), ready.clone(), end.clone(), number);
    let loads: Vec<_> = (0..CALLERS).map(|number| tokio::spawn(send_load(number))).collect();

    for _ in 0..2 {
        let mut stopped = fleet.vms.remove(0);
        stopped.process.terminate().expect("send a signal");
        let gone = async || {
            let now_ready = ready_addresses(&fleet).await;
            (!now_ready.contains(&stopped.address())).then_some(now_ready)
        };
        let now_ready = wait_until("the VM is not ready", gone).await.expect("before the timeout");
        *ready.lock().expect("lock not poisoned") = now_ready;
        assert_eq!(stopped.process.wait().expect("process exit"), Some(0));
        fleet.deregister_vm(&stopped.vm).await.expect("deregister the VM");
        fleet.start_vm(stopped.vm, stopped.dc).await.expect("start a VM");
        fleet.wait_until_ready().await.expect("fleet ready");
        *ready.lock().expect("lock not poisoned") = ready_addresses(&fleet).await;
    }
    end.store(true, Ordering::Relaxed);
    let mut answered = 0;
    for load in loads {
        let result = load.await.expect("load task");
        assert!(result.failed.is_empty(), "{} failed: {:?}", result.failed.len(), result.failed);
        answered += result.answered;
    }
    assert!(answered > CALLERS as u64, "only {answered} requests were answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_a_slow_request_and_closes_kept_connections() {
    let spec = spec().with_database_arg("execute-ms", 1_500).with_daemon_arg("stop-notice-ms", 200);
    let mut fleet = start(spec).await;
    let mut caller = Caller::new(fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key"));
    let mut idle = caller.clone();
    let vm = fleet.vms.remove(0);
    let address = vm.address();
    wait_for_status(&mut idle, &vm, 200).await;
    let before = counter(&fleet, &vm, "requests").await;
    let slow = tokio::spawn(async move {
        let params = [json!("quote"), json!(1)];
        caller.call(&address, WRITE, "a", "put", &params).await
    });
    let taken = async || (counter(&fleet, &vm, "requests").await > before).then_some(());
    wait_until("the VM counts the slow request", taken).await.expect("before the timeout");
    vm.process.terminate().expect("send a signal");
    assert_eq!(slow.await.expect("request task").expect("a response").status, 200);
    let mut vm = vm;
    assert_eq!(vm.process.wait().expect("process exit"), Some(0));
    let _: Value = fleet.objects().await.expect("objects");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_lets_an_open_transaction_commit() {
    const SERVICE: &str = "/v1/quote-ledger-1";
    let spec = spec().with_vms_per_dc(2).with_daemon_arg("stop-notice-ms", 200);
    let mut fleet = start(spec).await;
    let mut caller = Caller::new(fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key"));
    let entry = fleet.vms[0].address();
    let body = json!({"slot_key": "gym"}).to_string();
    let begun = caller.post(&entry, &format!("{SERVICE}/transactions"), body, None).await;
    let begun = begun.expect("a response");
    let transaction = begun.body["transaction"].as_str().expect("a transaction handle").to_owned();

    let mut holder = None;
    for (at, vm) in fleet.vms.iter().enumerate() {
        holder = holder.or((counter(&fleet, vm, "transactions_begun").await > 0).then_some(at));
    }
    let mut holder = fleet.vms.remove(holder.expect("the VM that holds the transaction"));
    holder.process.terminate().expect("send a signal");
    let leaving = async || {
        let mut known = 0;
        for vm in &fleet.vms {
            let state = fleet.query_ops(vm, "/state").await?;
            known += usize::from(state["leaving"].as_array()?.len() == 1);
        }
        (known == fleet.vms.len()).then_some(())
    };
    wait_until("every VM knows that the holder is leaving", leaving)
        .await
        .expect("before the timeout");

    let entry = fleet.vms[0].address();
    let path = format!("{SERVICE}/transactions/{transaction}");
    let body = json!({"statement": "put", "params": ["quote", "kept"]}).to_string();
    let reply = caller.post(&entry, &format!("{path}/draft-quote"), body, None).await;
    assert_eq!(reply.expect("a response").status, 200);
    let reply = caller.post(&entry, &format!("{path}/commit"), "null", None).await;
    assert_eq!(reply.expect("a response").status, 200);
    assert_eq!(holder.process.wait().expect("process exit"), Some(0));
}
