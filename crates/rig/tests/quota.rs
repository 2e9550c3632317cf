//! Rate limits and connection limits that several daemons share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

use edge::client::SendError;
use proto::caller::{ErrorKind, Outcome};
use rig::{Caller, Fleet, FleetSpec, wait::wait_until};
use serde_json::json;
use tokio::task::JoinSet;

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const READ: &str = "quote-ledger-1/quote";
const WRITE: &str = "quote-ledger-1/annotate-quote";
const WORKSPACE: &str = "saskatoon-dealer";
/// So low that the callers ask for more also on a busy machine.
const RATE_PER_S: u32 = 60;
const BURST: u32 = 120;
const CONNECTION_LIMIT: u32 = 6;
const CALLERS_PER_VM: usize = 3;

#[derive(Default)]
struct LoadCounts {
    /// Requests that were admitted or may have been.
    admitted: AtomicU64,
    rate_limited: AtomicU64,
    stop: AtomicBool,
}

/// Sends requests one at a time until `counts.stop` is set or the VM is gone.
async fn send_until_stopped(key: String, address: String, number: usize, counts: Arc<LoadCounts>) {
    let mut caller = Caller::new(key);
    while !counts.stop.load(Ordering::Relaxed) {
        let (route, statement) = if number == 0 { (WRITE, "put") } else { (READ, "get") };
        let params = [json!("quote"), json!(1)];
        let slot_key = format!("site-{number}");
        let params = if number == 0 { &params[..] } else { &params[..1] };
        let reply = caller.call(&address, route, &slot_key, statement, params).await;
        let reply = match reply {
            Ok(reply) => reply,
            // The VM was killed or stopped.
            Err(SendError::NotSent { .. }) => return,
            Err(_) => {
                counts.admitted.fetch_add(1, Ordering::Relaxed);
                continue;
            }
        };
        match reply.error() {
            Some(error) if error.kind == ErrorKind::RateLimited => {
                assert_eq!(error.outcome, Outcome::NotRun);
                assert!(
                    error.retry_after_ms.is_some(),
                    "a rate-limited response says when to retry"
                );
                counts.rate_limited.fetch_add(1, Ordering::Relaxed);
            }
            Some(error) if error.outcome == Outcome::NotRun => {}
            _ => {
                counts.admitted.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rate_and_connection_limits_hold_while_vms_are_killed_and_replaced() {
    let mut spec = FleetSpec::new(ANSWERS).expect("valid answers").with_vms_per_dc(2);
    for database in spec.answers.services.iter_mut().flat_map(|s| &mut s.databases) {
        database.connection_limit = CONNECTION_LIMIT;
    }
    for workspace in &mut spec.answers.workspaces {
        workspace.rate_per_s = RATE_PER_S;
        workspace.burst = BURST;
    }
    let mut fleet = Fleet::start(spec).await.expect("start the fleet");
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let counts = Arc::new(LoadCounts::default());
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for vm in &fleet.vms {
        for number in 0..CALLERS_PER_VM {
            callers.spawn(send_until_stopped(key.clone(), vm.address(), number, counts.clone()));
        }
    }
    let reached = |count: u64| {
        let counts = counts.clone();
        wait_until("requests admitted", async move || {
            (counts.admitted.load(Ordering::Relaxed) >= count).then_some(())
        })
    };
    reached(u64::from(BURST / 2)).await.expect("requests admitted in time");

    // One VM is killed, deregistered and replaced by a new incarnation.
    let (vm, dc) = (fleet.vms[1].vm.clone(), fleet.vms[1].dc.clone());
    fleet.vms[1].process.kill().expect("kill the process");
    fleet.vms.remove(1);
    fleet.deregister_vm(&vm).await.expect("deregister the VM");
    let at = fleet.start_vm(vm, dc).await.expect("start a VM");
    let replacement = &fleet.vms[at];
    wait_until("the new incarnation owns connections and portions", async || {
        let state = fleet.query_ops(replacement, "/state").await?;
        let connections = state["connections"].as_object()?;
        let connected = connections.values().all(|count| count.as_u64() > Some(0));
        (connected && !connections.is_empty() && !state["portions"].as_object()?.is_empty())
            .then_some(())
    })
    .await
    .expect("portions");
    for number in 0..CALLERS_PER_VM {
        callers.spawn(send_until_stopped(
            key.clone(),
            replacement.address(),
            number,
            counts.clone(),
        ));
    }
    // Another VM gets a planned stop.
    let last = fleet.vms.len() - 2;
    fleet.vms[last].process.terminate().expect("send a signal");
    fleet.vms[last].process.wait().expect("process exit");

    let before = counts.admitted.load(Ordering::Relaxed);
    reached(before + u64::from(BURST)).await.expect("requests admitted in time");
    counts.stop.store(true, Ordering::Relaxed);
    while let Some(done) = callers.join_next().await {
        done.expect("caller task");
    }
    // Rounded up to the next second.
    let seconds = started.elapsed().as_secs() + 1;
    let admitted = counts.admitted.load(Ordering::Relaxed);
    let allowed = u64::from(RATE_PER_S) * seconds + u64::from(BURST);
    assert!(admitted <= allowed, "{admitted} admitted in {seconds} s, {allowed} allowed");
    let rate_limited = counts.rate_limited.load(Ordering::Relaxed);
    assert!(rate_limited > 0, "no request of {admitted} in {seconds} s was refused for the rate");
    for database in &fleet.databases {
        let counts = fleet.counts(&database.process).await.expect("counts");
        assert_eq!(counts["refused_connections"], json!(0), "{}", database.name);
        let most = counts["most_connections"].as_u64();
        assert!(most <= Some(CONNECTION_LIMIT.into()), "{}: {most:?}", database.name);
    }
}
