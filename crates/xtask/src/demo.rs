//! The demo: starts a small fleet of each example and sends it a write, reads and requests
//! with invalid keys.

use eyre::WrapErr;
use rig::{Caller, Fleet, FleetSpec, Reply};
use serde_json::json;

/// An example's answers file, with the workspace and the routes that the demo uses.
struct Example {
    title: &'static str,
    answers: &'static str,
    workspace: &'static str,
    write: &'static str,
    read: &'static str,
}

const EXAMPLES: [Example; 2] = [
    Example {
        title: "Fire Alarm Engineer Dispatch Database Pool",
        answers: "examples/dispatch.toml",
        workspace: "helsinki-alarm",
        write: "dispatch-db-1/report-fault",
        read: "dispatch-db-1/job-list",
    },
    Example {
        title: "Showroom Quote Service Annex",
        answers: "examples/quoting.toml",
        workspace: "calgary-dealer",
        write: "quote-ledger-1/draft-quote",
        read: "quote-ledger-1/delivery-board",
    },
];

/// Reads that the demo sends to the VMs in turn.
const LOAD_REQUESTS: usize = 200;

/// Runs the demo of every example and prints each step's reply.
pub async fn run() -> eyre::Result<()> {
    for example in &EXAMPLES {
        run_example(example).await?;
    }
    Ok(())
}

async fn run_example(example: &Example) -> eyre::Result<()> {
    let answers = std::fs::read_to_string(example.answers).wrap_err_with(|| {
        format!("{}: run the demo from the root of the repository", example.answers)
    })?;
    let fleet = Fleet::start(FleetSpec::new(&answers)?).await?;
    let vms = &fleet.vms;
    println!(
        "\n{}\n  {} VMs, {} databases, 1 platform",
        example.title,
        vms.len(),
        fleet.databases.len()
    );
    println!("  {:<34} {:<14} {:>6}  answer", "step", "VM", "status");

    let mut caller = Caller::new(fleet.issue_key(example.workspace, "demo").await?);
    let (first, second) = (&vms[0], &vms[1]);
    let step = |what: &str, vm: &rig::fleet::VmProcess, reply: &Reply| {
        let answer = match reply.error() {
            Some(error) => format!("{:?}: {}", error.outcome, error.message),
            None => reply.result().to_string(),
        };
        println!("  {what:<34} {:<14} {:>6}  {answer}", vm.vm.as_str(), reply.status);
    };
    let params = [json!("fault-17"), json!("line 3 open")];
    let reply = caller.call(&first.address(), example.write, "site-4", "append", &params).await?;
    step("write", first, &reply);
    let reply = caller.call(&first.address(), example.read, "site-4", "get", &params[..1]).await?;
    step("read", first, &reply);
    let reply = caller.call(&second.address(), example.read, "site-4", "get", &params[..1]).await?;
    step("read after roaming to another VM", second, &reply);
    let mut stranger = Caller::new("jp.nobody.0123456789abcdef01234567");
    let reply =
        stranger.call(&first.address(), example.read, "site-4", "get", &params[..1]).await?;
    step("read with an unknown key", first, &reply);

    send_reads(&fleet, example, &mut caller).await?;
    fleet.ctl(&["key", "withdraw", "demo"])?;
    fleet.wait_for_generation(fleet.generation().await?).await?;
    let reply = caller.call(&first.address(), example.read, "site-4", "get", &params[..1]).await?;
    step("read after the key was withdrawn", first, &reply);
    Ok(())
}

async fn send_reads(fleet: &Fleet, example: &Example, caller: &mut Caller) -> eyre::Result<()> {
    let (mut answered, mut refused) = (0, 0);
    for number in 0..LOAD_REQUESTS {
        let vm = &fleet.vms[number % fleet.vms.len()];
        let site = format!("site-{}", number % 7);
        let params = [json!("fault-17")];
        let reply = caller.call(&vm.address(), example.read, &site, "get", &params).await?;
        match reply.status {
            200 => answered += 1,
            _ => refused += 1,
        }
    }
    let mut replica_reads = 0;
    for vm in &fleet.vms {
        let counters = fleet.query_ops(vm, "/counters").await.unwrap_or_default();
        replica_reads += counters["replica_reads"].as_u64().unwrap_or(0);
    }
    println!(
        "  {LOAD_REQUESTS} reads: {answered} answered, {refused} refused; {replica_reads} reads served by replicas"
    );
    Ok(())
}
