//! The events and expectations of a quota trace, and the functions that apply and check them.

use config::{Configuration, DataCentre, Database, Service, Slot, Workspace};
use model::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use super::{
    check::{compare_with_oracle, excess_micro},
    network::MessageFaults,
    world::{Event, World},
};
use crate::trace::Line;

/// Describes a fleet: data centres with equally many VMs, one database in each, and workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetParams {
    /// Names of the data centres.
    pub dcs: Vec<DcName>,
    /// Number of VMs in each data centre, named `<dc>-1`, `<dc>-2`, ….
    pub vms_per_dc: usize,
    /// Workspaces with their rate limits.
    pub workspaces: Vec<WorkspaceParams>,
    /// Highest number of connections to each database.
    #[serde(default)]
    pub connection_limit: u32,
    /// Seed of the random numbers that decide which messages are affected by faults, and when requests
    /// arrive.
    #[serde(default)]
    pub seed: u64,
}

/// Describes a workspace and its rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceParams {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Rate limit, in tokens per second.
    pub rate_per_s: u32,
    /// Burst, in tokens.
    pub burst: u32,
}

/// Describes requests that arrive at random times, as a Poisson process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadParams {
    /// VMs at which the requests arrive, each at a random one.
    pub vms: Vec<VmName>,
    /// Workspace of the requests.
    pub workspace: WorkspaceName,
    /// Average number of requests per second.
    pub per_s: u32,
    /// Weight of each request, in tokens.
    pub weight: u32,
    /// Time during which requests arrive, in milliseconds.
    pub for_ms: u64,
}

/// An event of a trace, or an expectation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum QuotaTraceEvent {
    /// Starts the fleet. Must be the first event.
    Fleet(FleetParams),
    /// Schedules requests, beginning now.
    Load(LoadParams),
    /// Kills a VM.
    Kill {
        /// Name of the VM.
        vm: VmName,
    },
    /// Starts a VM under a new incarnation.
    Start {
        /// Name of the VM.
        vm: VmName,
        /// Data centre of the VM.
        dc: DcName,
    },
    /// Takes a VM off the platform's list, whether it runs or not.
    Unlist {
        /// Name of the VM.
        vm: VmName,
    },
    /// Pauses a VM; its events are queued.
    Pause {
        /// Name of the VM.
        vm: VmName,
    },
    /// Resumes a paused VM, which first handles the queued events.
    Wake {
        /// Name of the VM.
        vm: VmName,
    },
    /// Begins a planned stop of a VM.
    Stop {
        /// Name of the VM.
        vm: VmName,
    },
    /// Replaces the faults of the platform.
    Platform {
        /// Whether calls get no answer.
        #[serde(default)]
        down: bool,
        /// Number of further updates whose answers are lost.
        #[serde(default)]
        lose_answers: u64,
        /// Number of further updates that take effect only after their sender has given up.
        #[serde(default)]
        late_updates: u64,
        /// Age of the served list of VMs, in milliseconds.
        #[serde(default)]
        list_lag_ms: u64,
    },
    /// Replaces the faults of messages between VMs.
    Messages(MessageFaults),
    /// Replaces the cuts of the network.
    Cut {
        /// Data centres that are cut off from the others and the platform.
        #[serde(default)]
        dcs: Vec<DcName>,
        /// VMs that are cut off from everything.
        #[serde(default)]
        vms: Vec<VmName>,
    },
    /// Expects that the weight admitted so far never exceeds rate x time + burst, for any workspace and
    /// time window.
    ExpectWithinRate,
    /// Expects that some time window exceeds rate x time + burst by a limited amount. For traces that break
    /// an assumption on which the limit rests.
    ExpectExcess {
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Lowest excess, in tokens.
        at_least: u64,
        /// Highest excess, in tokens.
        at_most: u64,
    },
    /// Expects the weight admitted so far.
    ExpectAdmitted {
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Lowest weight, in tokens.
        at_least: u64,
        /// Highest weight, in tokens.
        at_most: u64,
    },
    /// Limits the requests refused so far that a single token bucket for the whole fleet would have
    /// admitted.
    ExpectWronglyRefused {
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Highest number, in parts per million of the requests that the single bucket admits.
        at_most_ppm: u64,
    },
    /// Expects the portion of a workspace's rate that a VM may use now.
    ExpectParts {
        /// Name of the VM.
        vm: VmName,
        /// Name of the workspace.
        workspace: WorkspaceName,
        /// Lowest portion, in millionths of the rate.
        at_least: u32,
        /// Highest portion, in millionths of the rate.
        at_most: u32,
    },
    /// Expects the connections that a VM may use now, summed over all databases.
    ExpectConnections {
        /// Name of the VM.
        vm: VmName,
        /// Expected number of connections.
        count: u32,
    },
    /// Expects that no database ever had more connections than its limit.
    ExpectWithinConnectionLimit,
}

/// An expectation of a trace that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at_ms} ms: {what}")]
pub struct FailedExpectation {
    /// Virtual time of the expectation, in milliseconds.
    pub at_ms: u64,
    /// What was expected and found.
    pub what: String,
}

/// Replays a trace, and returns all expectations that did not hold.
pub fn replay(lines: &[Line<QuotaTraceEvent>]) -> Vec<FailedExpectation> {
    let Some(QuotaTraceEvent::Fleet(fleet)) = lines.first().map(|line| &line.event) else {
        return vec![FailedExpectation {
            at_ms: 0,
            what: "the first event must be `fleet`".to_owned(),
        }];
    };
    let mut world = start_fleet(fleet);
    let mut rng = StdRng::seed_from_u64(fleet.seed);
    let mut unmet = Vec::new();
    for line in &lines[1..] {
        world.run_until(line.at());
        if let Err(what) = apply(&mut world, &line.event, &mut rng) {
            unmet.push(FailedExpectation { at_ms: line.at_ms, what });
        }
    }
    unmet
}

/// Starts a simulated fleet.
pub fn start_fleet(fleet: &FleetParams) -> World {
    let mut world = World::new(configuration(fleet), fleet.seed);
    for dc in &fleet.dcs {
        for number in 1..=fleet.vms_per_dc {
            let name = VmName::new(format!("{dc}-{number}")).expect("a valid name");
            world.start(&name, dc);
        }
    }
    world
}

/// Schedules requests at random times, beginning now.
pub fn schedule_load(world: &mut World, load: &LoadParams, rng: &mut StdRng) {
    let mut at_us: u64 = 0;
    while at_us < load.for_ms * 1_000 && load.per_s > 0 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_us += (-uniform.ln() * 1e6 / f64::from(load.per_s)) as u64;
        let vm = load.vms[rng.random_range(0..load.vms.len())].clone();
        let event = Event::Request(vm, load.workspace.clone(), load.weight);
        world.schedule(DurationUs(at_us), event);
    }
}

fn configuration(fleet: &FleetParams) -> Configuration {
    let name = |text: String| DatabaseName::new(text).expect("a valid name");
    let databases = fleet.dcs.iter().map(|dc| Database {
        name: name(format!("db-{dc}")),
        dc: dc.clone(),
        address: String::new(),
        admin_address: String::new(),
        connection_limit: fleet.connection_limit,
        leaving: false,
    });
    let databases: Vec<Database> = databases.collect();
    let service = ServiceName::new("service").expect("a constant");
    let slot = Slot {
        name: SlotName::new("slot").expect("a constant"),
        members: databases.iter().map(|d| d.name.clone()).collect(),
    };
    let workspaces = fleet.workspaces.iter().map(|w| Workspace {
        name: w.name.clone(),
        rate_per_s: w.rate_per_s,
        burst: w.burst,
        services: vec![service.clone()],
        objective_ppm: 999_000,
        time_zone: None,
    });
    Configuration {
        generation: Generation(1),
        data_centres: fleet.dcs.iter().map(|dc| DataCentre { name: dc.clone() }).collect(),
        holders_per_database: 2,
        workspaces: workspaces.collect(),
        services: vec![Service { name: service, databases, slots: vec![slot], routes: Vec::new() }],
        ..Configuration::empty()
    }
}

fn apply(world: &mut World, line: &QuotaTraceEvent, rng: &mut StdRng) -> Result<(), String> {
    match line {
        QuotaTraceEvent::Fleet(_) => return Err("`fleet` must be the first event".to_owned()),
        QuotaTraceEvent::Load(load) => schedule_load(world, load, rng),
        QuotaTraceEvent::Kill { vm } => world.kill(vm),
        QuotaTraceEvent::Start { vm, dc } => {
            world.start(vm, dc);
        }
        QuotaTraceEvent::Unlist { vm } => world.unlist(vm),
        QuotaTraceEvent::Pause { vm } => world.pause(vm),
        QuotaTraceEvent::Wake { vm } => world.wake(vm),
        QuotaTraceEvent::Stop { vm } => world.stop(vm),
        QuotaTraceEvent::Platform { down, lose_answers, late_updates, list_lag_ms } => {
            let faults = &mut world.platform.faults;
            faults.down = *down;
            faults.lose_answers = *lose_answers;
            faults.late_updates = *late_updates;
            faults.list_lag = DurationUs::from_ms(*list_lag_ms);
        }
        QuotaTraceEvent::Messages(faults) => world.network.faults = *faults,
        QuotaTraceEvent::Cut { dcs, vms } => {
            world.network.cut_dcs = dcs.iter().cloned().collect();
            world.network.cut_vms = vms.iter().cloned().collect();
        }
        expectation => return expect(world, expectation),
    }
    Ok(())
}

fn expect(world: &World, line: &QuotaTraceEvent) -> Result<(), String> {
    match line {
        QuotaTraceEvent::ExpectWithinRate => within_rate(world),
        QuotaTraceEvent::ExpectExcess { workspace, at_least, at_most } => {
            let excess = excess(world, workspace) / 1_000_000;
            expect_between("excess", excess, *at_least, *at_most)
        }
        QuotaTraceEvent::ExpectAdmitted { workspace, at_least, at_most } => {
            let arrivals = world.arrivals.get(workspace).map_or(&[][..], Vec::as_slice);
            let admitted = arrivals.iter().filter(|a| a.admitted);
            let weight = admitted.map(|a| u64::from(a.weight)).sum();
            expect_between("weight admitted", weight, *at_least, *at_most)
        }
        QuotaTraceEvent::ExpectWronglyRefused { workspace, at_most_ppm } => {
            let (rate, burst) = limits(world, workspace);
            let arrivals = world.arrivals.get(workspace).map_or(&[][..], Vec::as_slice);
            let comparison = compare_with_oracle(arrivals, rate, burst, MonoTime(0));
            expect_between("wrongly refused ppm", comparison.wrongly_refused_ppm(), 0, *at_most_ppm)
        }
        QuotaTraceEvent::ExpectParts { vm, workspace, at_least, at_most } => {
            let instance = world.instance(vm).ok_or("the VM is not running")?;
            let parts = &world.vms[&instance].portions.allocation().parts;
            let parts = parts.get(workspace).copied().unwrap_or(0);
            expect_between("parts", parts.into(), (*at_least).into(), (*at_most).into())
        }
        QuotaTraceEvent::ExpectConnections { vm, count } => {
            let instance = world.instance(vm).ok_or("the VM is not running")?;
            let connections = world.vms[&instance].portions.allocation().connections.values().sum();
            expect_between("connections", u32::into(connections), (*count).into(), (*count).into())
        }
        QuotaTraceEvent::ExpectWithinConnectionLimit => within_connection_limit(world),
        _ => Ok(()),
    }
}

/// Checks that the admitted weight never exceeds rate x time + burst, for any workspace and time
/// window.
pub fn within_rate(world: &World) -> Result<(), String> {
    for workspace in &world.cfg.workspaces {
        let excess = excess(world, &workspace.name);
        if excess > 0 {
            return Err(format!("{} exceeds its rate by {excess} microtokens", workspace.name));
        }
    }
    Ok(())
}

/// Checks that no database ever had more connections than its limit.
pub fn within_connection_limit(world: &World) -> Result<(), String> {
    for database in world.cfg.services.iter().flat_map(|s| &s.databases) {
        let most = world.most_connections.get(&database.name).copied().unwrap_or(0);
        expect_between("connections", most.into(), 0, database.connection_limit.into())?;
    }
    Ok(())
}

fn excess(world: &World, workspace: &WorkspaceName) -> u64 {
    let (rate, burst) = limits(world, workspace);
    world.arrivals.get(workspace).map_or(0, |arrivals| excess_micro(arrivals, rate, burst))
}

fn limits(world: &World, workspace: &WorkspaceName) -> (u32, u32) {
    let cfg = world.cfg.workspaces.iter().find(|w| w.name == *workspace);
    cfg.map_or((0, 0), |w| (w.rate_per_s, w.burst))
}

fn expect_between(what: &str, found: u64, at_least: u64, at_most: u64) -> Result<(), String> {
    if (at_least..=at_most).contains(&found) {
        return Ok(());
    }
    Err(format!("{what}: {found}, expected {at_least} to {at_most}"))
}
