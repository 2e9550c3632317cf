//! A simulated database: the stand-in database's slot data, with status queries, promotion calls and
//! replication in virtual time.

use std::sync::Arc;

use failover::promotion::{CallResult, PromotionAction, PromotionCall};
use model::prelude::*;
use proto::database::{DatabaseError, Role, SlotStatus, Status};
use serde_json::Value;
use standin::database::{KnownPrimary, LogEntry, SlotData, SlotId, Writes};

use super::slot_names;

const MAX_BATCH_ENTRIES: usize = 1_000;

/// Request of a VM to a database.
#[derive(Clone, Debug)]
pub enum Request {
    /// Query of the database's status.
    Status,
    /// Fence, promote or follow call of a promotion.
    Promotion(PromotionCall),
    /// Execute a write.
    Execute {
        /// Id of the write.
        id: RequestId,
        /// Current term by the VM's knowledge.
        term: Term,
    },
    /// Ask whether the database's log holds a position.
    Held {
        /// Id of the write at that position.
        id: RequestId,
        /// Position in the log.
        position: Position,
        /// Term of the write; a database that granted a higher one refuses.
        term: Term,
    },
}

/// Reply of a database to a VM.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Status of the database.
    Status(Status),
    /// Result of a promotion call.
    Promotion(PromotionCall, CallResult),
    /// Result of a write: its position in the log, and the term in which it was executed.
    Executed(RequestId, Result<(Position, Term), DatabaseError>),
    /// Whether the log holds the position of the write.
    Held(RequestId, Result<bool, DatabaseError>),
}

/// A simulated database that carries one slot.
#[derive(Debug)]
pub struct DatabaseNode {
    /// Name of the database.
    pub name: DatabaseName,
    /// Role, granted term and log of the slot.
    pub data: SlotData,
    /// Time from the receipt of log entries until they are applied.
    pub lag: DurationUs,
    /// One clone of [`SlotData::open`] for each open transaction.
    pub transactions: Vec<Arc<()>>,
    /// When a VM last queried the status.
    polled_at: Option<MonoTime>,
    /// Term of the primary, and the last time at which it is known to have been in service.
    primary_in_service: Option<(Term, MonoTime)>,
}

impl DatabaseNode {
    /// Creates a database with an empty log.
    pub fn new(name: DatabaseName) -> DatabaseNode {
        DatabaseNode {
            name,
            data: SlotData::new(),
            lag: DurationUs::default(),
            transactions: Vec::new(),
            polled_at: None,
            primary_in_service: None,
        }
    }

    /// Handles a request of a VM; `proposer` is the name under which that VM proposes promotions.
    pub fn answer(&mut self, req: Request, proposer: &str, now: MonoTime) -> Reply {
        match req {
            Request::Status => {
                self.polled_at = Some(now);
                let slots = vec![self.status(now)];
                Reply::Status(Status { database: self.name.clone(), slots })
            }
            Request::Promotion(call) => {
                let result = self.handle_promotion_call(&call, proposer, now);
                let answer = match result {
                    Ok(()) => CallResult::Done(self.status(now)),
                    Err(error) => CallResult::Refused(error),
                };
                Reply::Promotion(call, answer)
            }
            Request::Execute { id, term } => Reply::Executed(id, self.execute(id, term)),
            Request::Held { id, position, term } => {
                Reply::Held(id, self.data.check_held(position, term))
            }
        }
    }

    fn status(&self, now: MonoTime) -> SlotStatus {
        let (service, slot) = slot_names();
        let status = self.data.status(&SlotId { service, slot });
        let told = self.primary_in_service.filter(|(term, _)| *term == status.term);
        let primary_in_service_ms = match status.role {
            Role::Primary => None,
            Role::Replica => told.map(|(_, at)| now.since(at).as_ms()),
        };
        SlotStatus { primary_in_service_ms, ..status }
    }

    fn handle_promotion_call(
        &mut self,
        call: &PromotionCall,
        proposer: &str,
        now: MonoTime,
    ) -> Result<(), DatabaseError> {
        match &call.action {
            PromotionAction::Fence => self.data.fence(call.term, proposer),
            PromotionAction::Promote => self.data.promote(&self.name.clone(), call.term, proposer),
            PromotionAction::Follow(primary) => {
                let admin_address = Some(primary.to_string());
                let leader = KnownPrimary { name: primary.clone(), admin_address };
                self.data.follow(call.term, leader)?;
                self.primary_in_service = Some((call.term, now));
                Ok(())
            }
        }
    }

    fn execute(&mut self, id: RequestId, term: Term) -> Result<(Position, Term), DatabaseError> {
        self.data.check_primary(term)?;
        if self.data.is_recorded(id) {
            return Ok((self.data.position(), term));
        }
        let position = self.data.append(Some(id), false, Writes::new(), Value::Null);
        Ok((position, term))
    }

    /// Returns the name of the primary to replicate from, if this database is a replica that knows one.
    pub fn primary_to_follow(&self) -> Option<String> {
        let leader = self.data.primary.as_ref().filter(|_| self.data.role == Role::Replica)?;
        Some(leader.name.to_string())
    }

    /// Answers a replica that asks for log entries; `ends` are the last positions of each term in the
    /// replica's log. Returns `None` unless this database is the primary of the term.
    pub fn log_batch(&self, term: Term, ends: &[Position]) -> Option<LogBatch> {
        self.data.check_primary(term).ok()?;
        let (keep, entries) = self.data.log_after(ends, MAX_BATCH_ENTRIES);
        Some(LogBatch { term, ends: ends.to_vec(), polled_at: self.polled_at, keep, entries })
    }

    /// Records at a replica when a VM last queried its primary, as the batch says.
    pub fn note_primary_in_service(&mut self, batch: &LogBatch) {
        if let Some(polled_at) = batch.polled_at.filter(|_| self.data.granted_term == batch.term) {
            self.primary_in_service = Some((batch.term, polled_at));
        }
    }

    /// Applies a batch at a replica, unless its term, role or log changed since it asked for it.
    pub fn apply_batch(&mut self, batch: LogBatch) {
        let unchanged = self.data.granted_term == batch.term
            && self.data.role == Role::Replica
            && self.data.term_ends == batch.ends;
        if unchanged {
            self.data.replicate(batch.keep, batch.entries);
        }
    }
}

/// Log entries that a primary sends to a replica.
#[derive(Clone, Debug)]
pub struct LogBatch {
    /// Term of the primary.
    term: Term,
    /// Last position of each term in the replica's log when it asked.
    ends: Vec<Position>,
    /// When a VM last queried the primary's status.
    polled_at: Option<MonoTime>,
    /// Number of leading entries that the replica keeps; it truncates the rest.
    keep: u64,
    /// Entries that follow those kept.
    entries: Vec<LogEntry>,
}
