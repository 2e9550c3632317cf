//! Replays traces of requests and faults against the state machines of entry VMs, which take callers'
//! requests, and holders, which hold the connections to a database. Checks that what callers are told
//! fits the writes in the databases' logs.
//!
//! The simulated system has one slot on three databases, and three data centres with one database and
//! two VMs each. Requests run one after the other. A fault affects the next message to a database, or
//! lasts until an event ends it. Messages that a cut holds back arrive when it ends.

mod database;
mod holder;
mod world;

use proto::caller::{CallerError, Outcome};
use serde::Deserialize;

pub use database::{Database, LogEntry};
pub use world::World;

use crate::trace::Line;

/// Fault of the next message from a holder to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The message is executed, and its answer is lost.
    LoseAnswer,
    /// The message arrives only at the next `release` event of the database.
    HoldBack,
    /// The connection is refused.
    Refuse,
    /// The message is executed, and the holder is killed before it can reply to the entry VM.
    KillHolderAfter,
    /// The holder is killed before it sends the message.
    KillHolderBefore,
    /// The message is executed, and the primary is cut off before a replica copies the write.
    CutPrimaryAfter,
}

/// An event of a trace, or an expectation.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller sends a request.
    Request(Request),
    /// Adds a fault of the next message to a database.
    Fault(Fault),
    /// Cuts the named database off from everything.
    Cut(String),
    /// Ends the cut of the named database; messages held back arrive.
    Release(String),
    /// Stops replication to the named database.
    Lag(String),
    /// Resumes replication to the named database.
    CatchUp(String),
    /// Separates the named data centre, with its VMs and its database, from the others.
    Split(String),
    /// Ends the separation.
    Join {},
    /// Fences the databases that can be reached, if they are a majority, and promotes the one whose log
    /// goes furthest.
    Promote {},
    /// Expects how often a request's statement is in the primary's log once all cuts are over.
    Expect {
        /// Name of the request.
        name: String,
        /// Expected number of occurrences.
        runs: usize,
    },
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Name of the request in the trace, also used as its statement.
    pub name: String,
    /// Name of the route: `write`, `write-again` (repeatable), `read` (current data) or `read-old` (data
    /// up to one second old).
    pub route: String,
    /// Name of the entry VM.
    pub entry: String,
    /// Idempotency key.
    #[serde(default)]
    pub key: Option<String>,
    /// Body of the request; if absent, the idempotency key or else the name.
    #[serde(default)]
    pub body: Option<String>,
    /// Name of the caller's session.
    #[serde(default)]
    pub session: Option<String>,
    /// Time within which the caller must get an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Expected outcome; absent if any is allowed.
    #[serde(default)]
    pub outcome: Option<RequestOutcome>,
}

/// Outcome of a request, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The primary answered.
    Answered,
    /// A replica answered.
    AnsweredByReplica,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and failed, without any effect.
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

/// Replays a trace; returns the expectations that failed and the invariants that were violated.
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
                    problems.push(format!(
                        "{}: outcome {told:?}, expected {:?}",
                        req.name, req.outcome
                    ));
                }
            }
            Event::Expect { name, runs } => {
                let found = world.healed().runs(&name);
                if found != runs {
                    problems.push(format!("{name} ran {found} times, expected {runs}"));
                }
            }
            _ => {}
        }
    }
    problems.extend(world.healed().violations());
    problems
}
