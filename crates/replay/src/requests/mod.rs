//! Replays requests against the state machines of entry VMs and holders.
//!
//! The world has one slot on three databases in three data centres, and two VMs in each. Requests run
//! one after the other; faults strike the next message to a database, or last until they are turned
//! back. Held-back messages arrive when the cut ends.

mod database;
mod holder;
mod world;

use proto::caller::{CallerError, Outcome};
use serde::Deserialize;

pub use database::{Database, LogEntry};
pub use world::World;

use crate::trace::Line;

/// What strikes the next message to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It is executed, and its answer lost.
    LoseAnswer,
    /// It arrives only when the database is next released.
    HoldBack,
    /// The connection is refused.
    Refuse,
    /// It is executed, and the holder killed before it can reply.
    KillHolderAfter,
    /// The holder is killed before it sends anything.
    KillHolderBefore,
    /// It is executed, and the primary cut off before anybody copied it.
    CutPrimaryAfter,
}

/// A line of a trace.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller sends a request.
    Request(Request),
    /// A fault strikes the next message to a database.
    Fault(Fault),
    /// A database is cut off.
    Cut(String),
    /// The cut ends; what was held back arrives.
    Release(String),
    /// A database stops copying its primary's log.
    Lag(String),
    /// It goes on.
    CatchUp(String),
    /// A data centre with its VMs and its database is separated from the others.
    Split(String),
    /// The separation ends.
    Join {},
    /// A majority of those that can be reached is fenced, and the furthest of them promoted.
    Promote {},
    /// How often the request's statement is in the slot's history once all cuts are over.
    Expect {
        /// The request.
        name: String,
        /// How often.
        runs: usize,
    },
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Its name in the trace, and its statement.
    pub name: String,
    /// Its route: `write`, `write-again` (repeatable), `read` (current) or `read-old` (a second old).
    pub route: String,
    /// The VM that takes it.
    pub entry: String,
    /// Its idempotency key.
    #[serde(default)]
    pub key: Option<String>,
    /// Its body; the idempotency key or the name where absent.
    #[serde(default)]
    pub body: Option<String>,
    /// The caller's session, by name.
    #[serde(default)]
    pub session: Option<String>,
    /// Its time.
    pub timeout_ms: u64,
    /// The stated outcome.
    #[serde(default)]
    pub outcome: Option<RequestOutcome>,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// An answer, from the primary.
    Answered,
    /// An answer, from a replica.
    AnsweredByReplica,
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and left nothing.
    Failed,
}

impl RequestOutcome {
    fn from_error(error: &CallerError) -> RequestOutcome {
        match error.outcome {
            Outcome::NotRun => RequestOutcome::NotRun,
            Outcome::Unknown => RequestOutcome::Unknown,
            Outcome::Failed => RequestOutcome::Failed,
        }
    }
}

/// Replays a trace; the errors say where the world was not as stated.
pub fn replay(lines: Vec<Line<Event>>) -> Vec<String> {
    let mut world = World::new();
    let mut problems = Vec::new();
    let is_fault = |event: &Event| !matches!(event, Event::Request(_) | Event::Expect { .. });
    for line in lines.iter().filter(|line| is_fault(&line.event)) {
        world.schedule(line.at() + World::START, line.event.clone());
    }
    for line in lines {
        world.advance_to(line.at() + World::START);
        match line.event {
            Event::Request(req) => {
                let told = world.request(&req);
                if req.outcome.is_some_and(|expected| expected != told) {
                    problems.push(format!("{}: {told:?}, not {:?}", req.name, req.outcome));
                }
            }
            Event::Expect { name, runs } => {
                let found = world.healed().runs(&name);
                if found != runs {
                    problems.push(format!("{name} ran {found} times, not {runs}"));
                }
            }
            _ => {}
        }
    }
    problems.extend(world.healed().violations());
    problems
}
