//! Determines the outcome of an in-doubt write, one whose answer was lost, and keeps it from
//! running later.
//!
//! The primary is queried for the recorded outcome, and records the write as cancelled if it has
//! none. Its answer counts once a majority holds that log entry under the current term: only then
//! can no later primary have another outcome.

use board::{Board, DatabaseKey};
use model::{prelude::*, session::SlotDigest};
use proto::database::{DatabaseError, Executed, OutcomeRecord, RecordedOutcome};

/// Pause before the primary is queried again.
const RETRY_INTERVAL: DurationUs = DurationUs::from_ms(50);

/// Next step to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Query the database for the outcome. It cancels the write if no outcome is recorded.
    Query {
        /// The slot's primary.
        database: DatabaseKey,
        /// Term in which the database is primary.
        term: Term,
    },
    /// Check that a majority holds the log entry of the outcome.
    Confirm {
        /// The primary that reported the outcome.
        database: DatabaseKey,
        /// Log position of the entry.
        position: Position,
        /// Term under which a majority must hold the entry.
        term: Term,
    },
    /// Wait for this long, then report [`Event::Resumed`].
    Pause(DurationUs),
    /// The resolution has ended with this outcome.
    Done(WriteOutcome),
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer to [`Step::Query`], or `None` if none arrived.
    QueryAnswered(Option<Result<OutcomeRecord, DatabaseError>>),
    /// Whether a majority holds the entry of [`Step::Confirm`].
    Confirmed(bool),
    /// The time of [`Step::Pause`] has passed.
    Resumed,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write ran with this result, and a majority holds it.
    Committed(Executed),
    /// The write is not in the slot's log and can never enter it.
    Cancelled,
    /// The outcome was not determined before the deadline.
    Unknown,
}

/// Resolves the outcome of one in-doubt write.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolution {
    slot: SlotDigest,
    deadline: MonoTime,
    /// Primary that was queried last.
    queried: Option<DatabaseName>,
    /// Outcome reported by the primary, until a majority is known to hold it.
    unconfirmed: Option<WriteOutcome>,
}

impl Resolution {
    /// Creates a resolution that gives up at the deadline.
    pub fn new(slot: SlotDigest, deadline: MonoTime) -> Resolution {
        Resolution { slot, deadline, queried: None, unconfirmed: None }
    }

    /// Returns the first step.
    pub fn start(&mut self, board: &Board, now: MonoTime) -> Step {
        self.query(board, now)
    }

    /// Returns the step that follows an event.
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
        // Look the slot up again: a new configuration has other keys.
        let state = board.catalog.slot_by_digest(self.slot).map(|slot| &board.slots[slot]);
        let Some((database, term)) = state.and_then(|s| Some((s.primary?, s.term))) else {
            return self.pause(now);
        };
        self.queried = Some(board.catalog.databases[database].name.clone());
        Step::Query { database, term }
    }

    fn confirm(&mut self, board: &Board, record: OutcomeRecord, now: MonoTime) -> Step {
        let (position, outcome) = match record.recorded {
            RecordedOutcome::Committed(executed) => {
                (executed.position, WriteOutcome::Committed(executed))
            }
            RecordedOutcome::Cancelled(position) => (position, WriteOutcome::Cancelled),
            RecordedOutcome::Absent => return self.pause(now),
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
