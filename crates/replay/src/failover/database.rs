//! A database of a trace: the stand-in's slot data, with heartbeats and copying in virtual time.

use std::sync::Arc;

use failover::promotion::{CallResult, PromotionAction, PromotionCall};
use model::prelude::*;
use proto::database::{DatabaseError, Role, SlotStatus, Status};
use serde_json::Value;
use standin::database::{KnownPrimary, LogEntry, SlotData, SlotId, Writes};

use super::slot_names;

const MAX_BATCH_ENTRIES: usize = 1_000;

/// What a VM asks a database.
#[derive(Clone, Debug)]
pub enum Request {
    /// Its status.
    Status,
    /// A step of a promotion.
    Promotion(PromotionCall),
    /// A write.
    Execute {
        /// The write.
        id: RequestId,
        /// The term in which the VM believes the slot is.
        term: Term,
    },
    /// Whether it holds a position.
    Held {
        /// The write at that position.
        id: RequestId,
        /// The position.
        position: Position,
        /// The term under which it must be held.
        term: Term,
    },
}

/// A database's answer to a VM.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Its status.
    Status(Status),
    /// What became of a step of a promotion.
    Promotion(PromotionCall, CallResult),
    /// What became of a write: its position and term.
    Executed(RequestId, Result<(Position, Term), DatabaseError>),
    /// Whether the position is held.
    Held(RequestId, Result<bool, DatabaseError>),
}

/// A database.
#[derive(Debug)]
pub struct DatabaseNode {
    /// Its name.
    pub name: DatabaseName,
    /// Its slot.
    pub data: SlotData,
    /// Time by which it copies its primary's log late.
    pub lag: DurationUs,
    /// Open transactions.
    pub transactions: Vec<Arc<()>>,
    polled_at: Option<MonoTime>,
    primary_in_service: Option<(Term, MonoTime)>,
}

impl DatabaseNode {
    /// An empty database.
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

    /// Answers a VM.
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

    /// The primary to copy from and to hear.
    pub fn primary_to_follow(&self) -> Option<String> {
        let leader = self.data.primary.as_ref().filter(|_| self.data.role == Role::Replica)?;
        Some(leader.name.to_string())
    }

    /// As a primary, answers a replica of the term: when a VM last asked, and what the replica lacks.
    pub fn log_batch(&self, term: Term, ends: &[Position]) -> Option<LogBatch> {
        self.data.check_primary(term).ok()?;
        let (keep, entries) = self.data.log_after(ends, MAX_BATCH_ENTRIES);
        Some(LogBatch { term, ends: ends.to_vec(), polled_at: self.polled_at, keep, entries })
    }

    /// As a replica, notes that the primary is in service.
    pub fn note_primary_in_service(&mut self, batch: &LogBatch) {
        if let Some(polled_at) = batch.polled_at.filter(|_| self.data.granted_term == batch.term) {
            self.primary_in_service = Some((batch.term, polled_at));
        }
    }

    /// As a replica, copies what it lacked.
    pub fn apply_batch(&mut self, batch: LogBatch) {
        let unchanged = self.data.granted_term == batch.term
            && self.data.role == Role::Replica
            && self.data.term_ends == batch.ends;
        if unchanged {
            self.data.replicate(batch.keep, batch.entries);
        }
    }
}

/// What a primary sends a replica.
#[derive(Clone, Debug)]
pub struct LogBatch {
    term: Term,
    ends: Vec<Position>,
    polled_at: Option<MonoTime>,
    keep: u64,
    entries: Vec<LogEntry>,
}
