//! The events of a trace.

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

/// A fleet of even data centres before one database in each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetParams {
    /// Data centres.
    pub dcs: Vec<DcName>,
    /// VMs in each, named `<dc>-1` and on.
    pub vms_per_dc: usize,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceParams>,
    /// Connections that each database takes.
    #[serde(default)]
    pub connection_limit: u32,
    /// Decides which messages later faults hit, and when requests arrive.
    #[serde(default)]
    pub seed: u64,
}

/// A workspace of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceParams {
    /// Its name.
    pub name: WorkspaceName,
    /// Its rate.
    pub rate_per_s: u32,
    /// Its burst.
    pub burst: u32,
}

/// Requests at random times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadParams {
    /// Where they arrive: each at one of these.
    pub vms: Vec<VmName>,
    /// Whose they are.
    pub workspace: WorkspaceName,
    /// Requests per second, on average.
    pub per_s: u32,
    /// Weight of each.
    pub weight: u32,
    /// For how long they arrive.
    pub for_ms: u64,
}

/// What happens, or what must have happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum QuotaTraceEvent {
    /// Must come first.
    Fleet(FleetParams),
    /// Requests arrive.
    Load(LoadParams),
    /// A VM dies.
    Kill {
        /// The VM.
        vm: VmName,
    },
    /// A VM is started again, as another run.
    Start {
        /// The VM.
        vm: VmName,
        /// Its data centre.
        dc: DcName,
    },
    /// A VM is taken off the list, whether it runs or not.
    Unlist {
        /// The VM.
        vm: VmName,
    },
    /// A VM is paused.
    Pause {
        /// The VM.
        vm: VmName,
    },
    /// A paused VM goes on.
    Wake {
        /// The VM.
        vm: VmName,
    },
    /// A planned stop of a VM begins.
    Stop {
        /// The VM.
        vm: VmName,
    },
    /// Faults of the platform from now on.
    Platform {
        /// Whether calls get no answer.
        #[serde(default)]
        down: bool,
        /// Updates whose answers are lost.
        #[serde(default)]
        lose_answers: u64,
        /// Updates that take effect after their sender has given up.
        #[serde(default)]
        late_updates: u64,
        /// Age of the list, in milliseconds.
        #[serde(default)]
        list_lag_ms: u64,
    },
    /// Faults of messages from now on.
    Messages(MessageFaults),
    /// These are cut off from now on, and nobody else.
    Cut {
        /// Data centres, cut off from the others and the platform.
        #[serde(default)]
        dcs: Vec<DcName>,
        /// VMs, cut off from everything.
        #[serde(default)]
        vms: Vec<VmName>,
    },
    /// No window of a workspace so far passes rate x time + burst.
    ExpectWithinRate,
    /// Some window passes it, by at most this: a known fault of the assumptions.
    ExpectExcess {
        /// The workspace.
        workspace: WorkspaceName,
        /// Least excess, in tokens.
        at_least: u64,
        /// Most excess, in tokens.
        at_most: u64,
    },
    /// Weight admitted so far.
    ExpectAdmitted {
        /// The workspace.
        workspace: WorkspaceName,
        /// Least weight.
        at_least: u64,
        /// Most weight.
        at_most: u64,
    },
    /// Requests refused so far that one bucket for all would have admitted.
    ExpectWronglyRefused {
        /// The workspace.
        workspace: WorkspaceName,
        /// Most of them, in parts per million.
        at_most_ppm: u64,
    },
    /// Parts that a VM may use now.
    ExpectParts {
        /// The VM.
        vm: VmName,
        /// The workspace.
        workspace: WorkspaceName,
        /// Least parts.
        at_least: u32,
        /// Most parts.
        at_most: u32,
    },
    /// Connections that a VM may use now, to the database of its data centre.
    ExpectConnections {
        /// The VM.
        vm: VmName,
        /// How many.
        count: u32,
    },
    /// No database ever had more connections than its limit.
    ExpectWithinConnectionLimit,
}

/// Something that a trace states did not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at_ms} ms: {what}")]
pub struct FailedExpectation {
    /// Virtual time.
    pub at_ms: u64,
    /// What was found instead.
    pub what: String,
}

/// Replays a trace, and returns everything in it that did not hold.
pub fn replay(lines: &[Line<QuotaTraceEvent>]) -> Vec<FailedExpectation> {
    let Some(QuotaTraceEvent::Fleet(fleet)) = lines.first().map(|line| &line.event) else {
        return vec![FailedExpectation {
            at_ms: 0,
            what: "the first line must be a fleet".to_owned(),
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

/// A running fleet.
pub fn start_fleet(fleet: &FleetParams) -> World {
    let mut world = World::new(configuration(fleet), fleet.seed);
    for dc in &fleet.dcs {
        for number in 1..=fleet.vms_per_dc {
            let name = VmName::new(format!("{dc}-{number}")).expect("names of a fleet are names");
            world.start(&name, dc);
        }
    }
    world
}

/// Lets requests arrive at random times.
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
    let name = |text: String| DatabaseName::new(text).expect("names of a fleet are names");
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
        QuotaTraceEvent::Fleet(_) => return Err("a fleet must be the first line".to_owned()),
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
            let instance = world.instance(vm).ok_or("no such VM")?;
            let parts = &world.vms[&instance].portions.allocation().parts;
            let parts = parts.get(workspace).copied().unwrap_or(0);
            expect_between("parts", parts.into(), (*at_least).into(), (*at_most).into())
        }
        QuotaTraceEvent::ExpectConnections { vm, count } => {
            let instance = world.instance(vm).ok_or("no such VM")?;
            let connections = world.vms[&instance].portions.allocation().connections.values().sum();
            expect_between("connections", u32::into(connections), (*count).into(), (*count).into())
        }
        QuotaTraceEvent::ExpectWithinConnectionLimit => within_connection_limit(world),
        _ => Ok(()),
    }
}

/// Whether no window of any workspace passes rate x time + burst.
pub fn within_rate(world: &World) -> Result<(), String> {
    for workspace in &world.cfg.workspaces {
        let excess = excess(world, &workspace.name);
        if excess > 0 {
            return Err(format!(
                "{} is {excess} millionths of a token past its rate",
                workspace.name
            ));
        }
    }
    Ok(())
}

/// Whether no database ever had more connections than its limit.
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
