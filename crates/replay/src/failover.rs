//! Replays traces of failing primaries against the promotion controllers of several VMs, and checks
//! that acknowledged writes survive and that each term has at most one primary.

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

/// An event of a trace, or an expectation. Databases are named `d1`, `d2`, … and VMs `v1`, `v2`, …; a
/// node is either of them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// Starts the nodes; VMs and databases are each spread over three data centres. Must be the first
    /// event.
    Start {
        /// Number of VMs.
        vms: usize,
        /// Number of databases, all members of one slot.
        databases: usize,
        /// Seed of the network delays and of the controllers' random numbers.
        seed: u64,
    },
    /// Ends a node for good.
    Kill {
        /// Name of the node.
        node: String,
    },
    /// Suspends a node; messages to it are queued.
    Freeze {
        /// Name of the node.
        node: String,
    },
    /// Resumes a frozen node, which first gets the queued messages.
    Thaw {
        /// Name of the node.
        node: String,
    },
    /// Drops all messages between a node and some others.
    Cut {
        /// Name of the node.
        node: String,
        /// Names of the nodes that it can no longer reach.
        from: Vec<String>,
    },
    /// Drops all messages between the named nodes and all others.
    Partition {
        /// Names of the nodes on one side of the partition.
        side: Vec<String>,
    },
    /// Delays messages by a random time, so that they overtake each other.
    Slow {
        /// Longest delay, in milliseconds.
        ms: u64,
    },
    /// Ends every cut, partition and slowness of the network.
    Heal {},
    /// Delays replication to a database.
    Lag {
        /// Name of the database.
        node: String,
        /// Time from the receipt of log entries until they are applied, in milliseconds.
        ms: u64,
    },
    /// Marks a database in the configuration as leaving.
    Leave {
        /// Name of the database.
        node: String,
    },
    /// Opens a transaction on a database.
    OpenTransaction {
        /// Name of the database.
        node: String,
    },
    /// Ends the open transactions of a database.
    EndTransactions {
        /// Name of the database.
        node: String,
    },
    /// Kills the next VM that sends the given promotion call, right after it sent it.
    KillNextCaller {
        /// The call: `fence`, `promote` or `follow`.
        action: String,
    },
    /// Kills the next database that is promoted, before it sends its reply.
    KillNextPromoted {},
    /// Expects the slot to have a primary that fits both conditions.
    ExpectPrimary {
        /// Name of the expected primary; absent if any is allowed.
        #[serde(default)]
        database: Option<String>,
        /// Names of databases that must not be the primary.
        #[serde(default)]
        not: Vec<String>,
    },
    /// Expects the highest term in which a database was promoted.
    ExpectTerm {
        /// Expected term; 0 if none was promoted.
        term: u64,
    },
    /// Expects that a write was acknowledged recently.
    ExpectService {
        /// Longest time since the last acknowledged write, in milliseconds.
        within_ms: u64,
    },
    /// Expects that no write was acknowledged recently.
    ExpectNoService {
        /// Shortest time since the last acknowledged write, in milliseconds.
        for_ms: u64,
    },
    /// Expects that a VM considers a member's data fresh.
    ExpectFresh {
        /// Name of the VM.
        vm: String,
        /// Name of the slot member.
        database: String,
        /// Highest age of the data by the VM's knowledge, in milliseconds.
        max_age_ms: u64,
    },
    /// Expects that a VM considers a member's data stale, or knows nothing of its age.
    ExpectStale {
        /// Name of the VM.
        vm: String,
        /// Name of the slot member.
        database: String,
        /// Lowest age of the data by the VM's knowledge, in milliseconds.
        age_ms: u64,
    },
}

/// Replays a trace and returns the simulated system as it is at the end. The error names the first
/// expectation that failed or the first invariant that was violated.
pub fn replay(lines: &[Line<Event>]) -> Result<World, String> {
    let Some(Line { event: Event::Start { vms, databases, seed }, .. }) = lines.first() else {
        return Err("the first event is not `start`".to_owned());
    };
    let mut world = World::new(*vms, *databases, *seed);
    for line in &lines[1..] {
        world.run_until(line.at());
        apply(&mut world, &line.event).map_err(|e| format!("at {} ms: {e}", line.at_ms))?;
        world.history.check().map_err(|e| format!("by {} ms: {e}", line.at_ms))?;
    }
    Ok(world)
}

/// Applies an event to the simulated system, or checks an expectation.
pub fn apply(world: &mut World, event: &Event) -> Result<(), String> {
    match event {
        Event::Start { .. } => return Err("`start` is allowed only as the first event".to_owned()),
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
        _ => return Err("the event is not an expectation".to_owned()),
    };
    if holds { Ok(()) } else { Err(format!("{event:?} does not hold: {found}")) }
}

/// Returns the names of the only service and slot in these traces.
pub fn slot_names() -> (ServiceName, SlotName) {
    (name(ServiceName::new("ledger")), name(SlotName::new("a")))
}

fn name<T, E: std::fmt::Debug>(result: Result<T, E>) -> T {
    result.expect("a valid name")
}

fn dc(number: usize) -> DcName {
    name(DcName::new(format!("dc{}", number % 3)))
}

/// Builds a configuration with one slot on all databases. Its generation rises with the number of
/// databases that are leaving.
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
