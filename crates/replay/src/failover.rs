//! Traces of primaries that fail, replayed against the promotion controllers of several VMs.

pub mod database;
pub mod history;
pub mod network;
pub mod vm;
pub mod world;

use config::{Configuration, DataCentre, Database, Service, Slot};
use model::prelude::*;
use serde::Deserialize;

use crate::trace::Line;
use world::World;

/// A line of a trace. Nodes are named `d1`, `d2`, … for databases and `v1`, `v2`, … for VMs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// Starts the nodes, each kind spread over three data centres. Comes first.
    Start {
        /// VMs.
        vms: usize,
        /// Databases, all members of one slot.
        databases: usize,
        /// Seed of the network's delays and of the controllers' random numbers.
        seed: u64,
    },
    /// A node is gone for good.
    Kill {
        /// The node.
        node: String,
    },
    /// A node is stopped; what is sent to it waits.
    Freeze {
        /// The node.
        node: String,
    },
    /// A stopped node goes on.
    Thaw {
        /// The node.
        node: String,
    },
    /// Nothing passes between a node and the others named.
    Cut {
        /// The node.
        node: String,
        /// The others.
        from: Vec<String>,
    },
    /// Nothing passes between the nodes of this side and all others.
    Partition {
        /// One side.
        side: Vec<String>,
    },
    /// Messages take up to this long, and overtake each other.
    Slow {
        /// The time, in milliseconds.
        ms: u64,
    },
    /// Everything passes again, and fast.
    Heal {},
    /// A database's log is copied from its primary only after this time.
    Lag {
        /// The database.
        node: String,
        /// The time, in milliseconds.
        ms: u64,
    },
    /// The database is marked as leaving.
    Leave {
        /// The database.
        node: String,
    },
    /// A transaction is opened on the database.
    OpenTransaction {
        /// The database.
        node: String,
    },
    /// The transactions that are open on the database end.
    EndTransactions {
        /// The database.
        node: String,
    },
    /// The next VM that calls a database so is killed when the call has left.
    KillNextCaller {
        /// `fence`, `promote` or `follow`.
        action: String,
    },
    /// The next database that is promoted is killed before its answer leaves.
    KillNextPromoted {},
    /// The slot's primary is the one named, or any that is not among those.
    ExpectPrimary {
        /// It must be this one.
        #[serde(default)]
        database: Option<String>,
        /// It must be none of these.
        #[serde(default)]
        not: Vec<String>,
    },
    /// The highest term in which a primary was made.
    ExpectTerm {
        /// The term.
        term: u64,
    },
    /// A write was acknowledged in the time before.
    ExpectService {
        /// The time, in milliseconds.
        within_ms: u64,
    },
    /// No write was acknowledged in the time before.
    ExpectNoService {
        /// The time, in milliseconds.
        for_ms: u64,
    },
    /// A VM takes a member's data for no older than this.
    ExpectFresh {
        /// The VM.
        vm: String,
        /// The member.
        database: String,
        /// The age, in milliseconds.
        max_age_ms: u64,
    },
    /// A VM does not take a member's data for younger than this.
    ExpectStale {
        /// The VM.
        vm: String,
        /// The member.
        database: String,
        /// The age, in milliseconds.
        age_ms: u64,
    },
}

/// Replays a trace; an error says which expectation failed, or which rule was broken.
pub fn replay(lines: &[Line<Event>]) -> Result<World, String> {
    let Some(Line { event: Event::Start { vms, databases, seed }, .. }) = lines.first() else {
        return Err("the trace does not begin with `start`".to_owned());
    };
    let mut world = World::new(*vms, *databases, *seed);
    for line in &lines[1..] {
        world.run_until(line.at());
        apply(&mut world, &line.event).map_err(|e| format!("at {} ms: {e}", line.at_ms))?;
        world.history.check().map_err(|e| format!("by {} ms: {e}", line.at_ms))?;
    }
    Ok(world)
}

/// Applies one event, or checks one expectation.
pub fn apply(world: &mut World, event: &Event) -> Result<(), String> {
    match event {
        Event::Start { .. } => return Err("`start` comes once".to_owned()),
        Event::Kill { node } => world.kill(node),
        Event::Freeze { node } => world.freeze(node),
        Event::Thaw { node } => world.thaw(node),
        Event::Cut { node, from } => from.iter().for_each(|other| world.network.cut(node, other)),
        Event::Partition { side } => world.partition(side),
        Event::Slow { ms } => world.network.slow_down(DurationUs::from_ms(*ms)),
        Event::Heal {} => world.network.heal(),
        Event::Lag { node, ms } => world.set_lag(node, DurationUs::from_ms(*ms)),
        Event::Leave { node } => world.leave(node),
        Event::OpenTransaction { node } => world.open_transaction(node),
        Event::EndTransactions { node } => world.end_transactions(node),
        Event::KillNextCaller { action } => world.kill_next_caller = Some(action.clone()),
        Event::KillNextPromoted {} => world.kill_next_promoted = true,
        expectation => return expect(world, expectation),
    }
    Ok(())
}

fn expect(world: &World, event: &Event) -> Result<(), String> {
    let now = world.now;
    let recent =
        |ms: u64| world.history.last_acknowledged().is_some_and(|at| now.since(at).as_ms() < ms);
    let (holds, found) = match event {
        Event::ExpectPrimary { database, not } => {
            let primary = world.history.primary().map(|(_, name)| name.to_owned());
            let named = database.is_none() || *database == primary;
            let allowed = primary.as_ref().is_some_and(|name| !not.contains(name));
            (named && allowed, format!("primary {primary:?}"))
        }
        Event::ExpectTerm { term } => {
            let found = world.history.primary().map_or(0, |(term, _)| term.0);
            (found == *term, format!("term {found}"))
        }
        Event::ExpectService { within_ms } => {
            (recent(*within_ms), format!("last write {:?}", world.history.last_acknowledged()))
        }
        Event::ExpectNoService { for_ms } => {
            (!recent(*for_ms), format!("last write {:?}", world.history.last_acknowledged()))
        }
        Event::ExpectFresh { vm, database, max_age_ms } => {
            let age = world.member_age(vm, database);
            (age.is_some_and(|age| age.as_ms() <= *max_age_ms), format!("age {age:?}"))
        }
        Event::ExpectStale { vm, database, age_ms } => {
            let age = world.member_age(vm, database);
            (age.is_none_or(|age| age.as_ms() >= *age_ms), format!("age {age:?}"))
        }
        _ => return Err("not an expectation".to_owned()),
    };
    if holds { Ok(()) } else { Err(format!("{event:?} does not hold: {found}")) }
}

/// The service and slot of every trace.
pub fn slot_names() -> (ServiceName, SlotName) {
    (name(ServiceName::new("ledger")), name(SlotName::new("a")))
}

fn name<T, E: std::fmt::Debug>(result: Result<T, E>) -> T {
    result.expect("names of traces are well formed")
}

fn dc(number: usize) -> DcName {
    name(DcName::new(format!("dc{}", number % 3)))
}

/// A configuration of one slot.
fn configuration(databases: usize, leaving: &[String]) -> Configuration {
    let (service, slot) = slot_names();
    let database = |number: usize| Database {
        name: name(DatabaseName::new(format!("d{number}"))),
        dc: dc(number),
        address: format!("d{number}"),
        admin_address: format!("d{number}"),
        connection_limit: 20,
        leaving: leaving.contains(&format!("d{number}")),
    };
    let databases: Vec<Database> = (1..=databases).map(database).collect();
    let members = databases.iter().map(|d| d.name.clone()).collect();
    Configuration {
        generation: Generation(1 + leaving.len() as u64),
        data_centres: (0..3).map(|number| DataCentre { name: dc(number) }).collect(),
        holders_per_database: 2,
        services: vec![Service {
            name: service,
            databases,
            slots: vec![Slot { name: slot, members }],
            routes: Vec::new(),
        }],
        ..Configuration::empty()
    }
}
