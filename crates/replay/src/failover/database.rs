//! A database of a trace: the stand-in's slot data, with heartbeats and copying in virtual time.

use std::sync::Arc;

use failover::promotion::{CallResult, PromotionAction, PromotionCall};
use model::prelude::*;
use proto::database::{DatabaseError, Role, SlotStatus, Status};
use serde_json::Value;
use standin::database::{KnownPrimary, LogEntry, SlotData, SlotId, Writes};

use super::slot_names;

const LOG_MOST: usize = 1_000;

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
    asked_at: Option<MonoTime>,
    in_service: Option<(Term, MonoTime)>,
}

impl DatabaseNode {
    /// An empty database.
    pub fn new(name: DatabaseName) -> DatabaseNode {
        DatabaseNode {
            name,
            data: SlotData::new(),
            lag: DurationUs::default(),
            transactions: Vec::new(),
            asked_at: None,
            in_service: None,
        }
    }

    /// Answers a VM.
    pub fn answer(&mut self, req: Request, proposer: &str, now: MonoTime) -> Reply {
        match req {
            Request::Status => {
                self.asked_at = Some(now);
                let slots = vec![self.status(now)];
                Reply::Status(Status { database: self.name.clone(), slots })
            }
            Request::Promotion(call) => {
                let result = self.step(&call, proposer, now);
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
        let told = self.in_service.filter(|(term, _)| *term == status.term);
        let primary_in_service_ms = match status.role {
            Role::Primary => None,
            Role::Replica => told.map(|(_, at)| now.since(at).as_ms()),
        };
        SlotStatus { primary_in_service_ms, ..status }
    }

    fn step(
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
                self.in_service = Some((call.term, now));
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
    pub fn leader(&self) -> Option<String> {
        let leader = self.data.primary.as_ref().filter(|_| self.data.role == Role::Replica)?;
        Some(leader.name.to_string())
    }

    /// As a primary, answers a replica of the term: when a VM last asked, and what the replica lacks.
    pub fn feed(&self, term: Term, ends: &[Position]) -> Option<Feed> {
        self.data.check_primary(term).ok()?;
        let (keep, entries) = self.data.log_after(ends, LOG_MOST);
        Some(Feed { term, ends: ends.to_vec(), asked_at: self.asked_at, keep, entries })
    }

    /// As a replica, notes that the primary is in service.
    pub fn hear(&mut self, feed: &Feed) {
        if let Some(asked_at) = feed.asked_at.filter(|_| self.data.granted_term == feed.term) {
            self.in_service = Some((feed.term, asked_at));
        }
    }

    /// As a replica, copies what it lacked.
    pub fn copy(&mut self, feed: Feed) {
        let unchanged = self.data.granted_term == feed.term
            && self.data.role == Role::Replica
            && self.data.term_ends == feed.ends;
        if unchanged {
            self.data.replicate(feed.keep, feed.entries);
        }
    }
}

/// What a primary sends a replica.
#[derive(Clone, Debug)]
pub struct Feed {
    term: Term,
    ends: Vec<Position>,
    asked_at: Option<MonoTime>,
    keep: u64,
    entries: Vec<LogEntry>,
}
