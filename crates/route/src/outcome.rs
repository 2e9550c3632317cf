//! Finds out what became of a write whose answer was lost, and keeps it from running later.
//!
//! The primary is asked for the recorded outcome, and records the write as cancelled where it has
//! none. What it says counts once a majority holds that entry under the running term: only then can no
//! later primary have another outcome.

use board::{Board, DatabaseKey};
use model::{prelude::*, session::SlotDigest};
use proto::database::{DatabaseError, Executed, OutcomeRecord, Recorded};

const RETRY_INTERVAL: DurationUs = DurationUs::from_ms(50);

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask the database for the outcome, cancelling the write where none is recorded.
    Query {
        /// The primary.
        database: DatabaseKey,
        /// Its term.
        term: Term,
    },
    /// Find out whether a majority holds the entry.
    Confirm {
        /// The primary.
        database: DatabaseKey,
        /// Where the entry is.
        position: Position,
        /// The term under which it must be held.
        term: Term,
    },
    /// Wait, then go on with [`Event::Resumed`].
    Pause(DurationUs),
    /// It is over.
    Done(WriteOutcome),
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer to [`Step::Ask`]; absent where none came.
    QueryAnswered(Option<Result<OutcomeRecord, DatabaseError>>),
    /// Whether a majority holds the entry.
    Confirmed(bool),
    /// The pause is over.
    Resumed,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It ran, with this answer, and a majority has it.
    Committed(Executed),
    /// It is not in the slot's history and can't get into it.
    Cancelled,
    /// That could not be found out in time.
    Unknown,
}

/// The search for one write's outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolution {
    slot: SlotDigest,
    deadline: MonoTime,
    queried: Option<DatabaseName>,
    unconfirmed: Option<WriteOutcome>,
}

impl Resolution {
    /// A search that gives up at the deadline.
    pub fn new(slot: SlotDigest, deadline: MonoTime) -> Resolution {
        Resolution { slot, deadline, queried: None, unconfirmed: None }
    }

    /// The first step.
    pub fn start(&mut self, board: &Board, now: MonoTime) -> Step {
        self.query(board, now)
    }

    /// What to do after an event.
    pub fn handle(&mut self, board: &Board, event: Event, now: MonoTime) -> Step {
        match event {
            Event::QueryAnswered(Some(Ok(record))) => self.confirm(board, record, now),
            Event::QueryAnswered(_) => self.pause(now),
            Event::Confirmed(true) => {
                Step::Done(self.unconfirmed.take().unwrap_or(WriteOutcome::Unknown))
            }
            Event::Confirmed(false) => self.pause(now),
            Event::Resumed => self.query(board, now),
        }
    }

    fn query(&mut self, board: &Board, now: MonoTime) -> Step {
        if now >= self.deadline {
            return Step::Done(WriteOutcome::Unknown);
        }
        // The configuration may have changed meanwhile, and the keys with it.
        let state = board.catalog.slot_by_digest(self.slot).map(|slot| &board.slots[slot]);
        let Some((database, term)) = state.and_then(|s| Some((s.primary?, s.term))) else {
            return self.pause(now);
        };
        self.queried = Some(board.catalog.databases[database].name.clone());
        Step::Query { database, term }
    }

    fn confirm(&mut self, board: &Board, record: OutcomeRecord, now: MonoTime) -> Step {
        let (position, outcome) = match record.recorded {
            Recorded::Committed(executed) => (executed.position, WriteOutcome::Committed(executed)),
            Recorded::Cancelled(position) => (position, WriteOutcome::Cancelled),
            Recorded::Absent => return self.pause(now),
        };
        self.unconfirmed = Some(outcome);
        match self.queried.as_ref().and_then(|name| board.catalog.database(name.as_str())) {
            Some(database) => Step::Confirm { database, position, term: record.status.term },
            None => self.pause(now),
        }
    }

    fn pause(&mut self, now: MonoTime) -> Step {
        self.unconfirmed = None;
        if now + RETRY_INTERVAL >= self.deadline {
            return Step::Done(WriteOutcome::Unknown);
        }
        Step::Pause(RETRY_INTERVAL)
    }
}
