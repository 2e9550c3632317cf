//! A simulated database with one slot. It keeps to the contract of upstreams for terms, repeated
//! requests and outcome queries, without time or sockets.

use model::prelude::*;
use proto::database::{
    Access, DatabaseError, Execute, Executed, OutcomeRecord, RecordedOutcome, Role, SlotStatus,
    Status,
};
use serde_json::Value;

/// An entry of a database's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Term in which the entry was written.
    pub term: Term,
    /// Id of the write; absent in the entry that a new primary appends first.
    pub request_id: Option<RequestId>,
    /// Whether the entry records that the write is cancelled, so that it never runs.
    pub cancelled: bool,
    /// Fingerprint of the request; tells a repeated request from another one with the same id.
    pub fingerprint: u64,
    /// Statement of the write.
    pub statement: String,
}

/// A simulated database.
#[derive(Clone, Debug)]
pub struct Database {
    /// Name of the database.
    pub name: DatabaseName,
    /// Highest term granted.
    pub granted: Term,
    /// The primary that the database follows; its own name if it is the primary.
    pub primary: Option<DatabaseName>,
    /// Log of the slot; positions count entries from one.
    pub log: Vec<LogEntry>,
    /// Whether the database is cut off from everything.
    pub cut: bool,
    /// Whether replication to the database is stopped.
    pub lags: bool,
    /// Messages that arrive when the database is released.
    pub held_back: Vec<Execute>,
}

impl Database {
    /// Creates a replica with an empty log.
    pub fn new(name: DatabaseName) -> Database {
        Database {
            name,
            granted: Term(1),
            primary: None,
            log: Vec::new(),
            cut: false,
            lags: false,
            held_back: Vec::new(),
        }
    }

    /// Returns whether the database considers itself the primary.
    pub fn is_primary(&self) -> bool {
        self.primary.as_ref() == Some(&self.name)
    }

    /// Returns the position of the last entry of the log.
    pub fn position(&self) -> Position {
        self.position_at(self.log.len())
    }

    /// Returns whether the log holds the entry at the position.
    pub fn holds(&self, position: Position) -> bool {
        position == Position::ZERO || self.position_at(position.index as usize) == position
    }

    /// Answers a status query.
    pub fn status(&self, service: &ServiceName, slot: &SlotName) -> Status {
        Status { database: self.name.clone(), slots: vec![self.slot_status(service, slot)] }
    }

    /// Executes a statement; a write that is already in the log is not executed again.
    pub fn execute(&mut self, req: &Execute) -> Result<Executed, DatabaseError> {
        if req.access != Access::Read {
            self.check_primary(req.term)?;
        }
        if req.access != Access::Write {
            return Ok(self.executed(self.position(), false));
        }
        if let Some((position, entry)) = self.find(req.request_id) {
            return match (entry.cancelled, entry.fingerprint == req.fingerprint) {
                (true, _) => Err(DatabaseError::Cancelled),
                (false, true) => Ok(self.executed(position, true)),
                (false, false) => Err(DatabaseError::OtherRequest),
            };
        }
        self.append(Some(req.request_id), false, req.fingerprint, &req.statement);
        Ok(self.executed(self.position(), false))
    }

    /// Returns the recorded outcome of a write. If there is none, records the write as cancelled first.
    pub fn outcome(
        &mut self,
        request_id: RequestId,
        term: Term,
        service: &ServiceName,
        slot: &SlotName,
    ) -> Result<OutcomeRecord, DatabaseError> {
        if self.find(request_id).is_none() {
            self.check_primary(term)?;
            self.append(Some(request_id), true, 0, "");
        }
        let recorded = match self.find(request_id) {
            Some((position, entry)) if entry.cancelled => RecordedOutcome::Cancelled(position),
            Some((position, _)) => RecordedOutcome::Committed(self.executed(position, true)),
            None => RecordedOutcome::Absent,
        };
        Ok(OutcomeRecord { recorded, status: self.slot_status(service, slot) })
    }

    /// Makes the database the primary of the term.
    pub fn promote(&mut self, term: Term) {
        self.granted = term;
        self.primary = Some(self.name.clone());
        self.append(None, false, 0, "");
    }

    /// Takes over the primary's term and, unless replication is stopped, its log.
    pub fn copy(&mut self, primary: &Database) {
        self.granted = primary.granted;
        self.primary = Some(primary.name.clone());
        if !self.lags {
            self.log.clone_from(&primary.log);
        }
    }

    fn append(
        &mut self,
        request_id: Option<RequestId>,
        cancelled: bool,
        fingerprint: u64,
        statement: &str,
    ) {
        let statement = statement.to_owned();
        self.log.push(LogEntry {
            term: self.granted,
            request_id,
            cancelled,
            fingerprint,
            statement,
        });
    }

    fn find(&self, request_id: RequestId) -> Option<(Position, &LogEntry)> {
        let at = self.log.iter().position(|entry| entry.request_id == Some(request_id))?;
        Some((self.position_at(at + 1), &self.log[at]))
    }

    fn position_at(&self, index: usize) -> Position {
        match self.log.get(index.wrapping_sub(1)) {
            Some(entry) => Position::new(entry.term, index as u64),
            None => Position::ZERO,
        }
    }

    fn check_primary(&self, term: Term) -> Result<(), DatabaseError> {
        if term < self.granted {
            return Err(DatabaseError::StaleTerm { term: self.granted });
        }
        if self.is_primary() && term == self.granted {
            return Ok(());
        }
        Err(DatabaseError::NotPrimary { term: self.granted, primary: self.primary.clone() })
    }

    fn executed(&self, position: Position, repeated: bool) -> Executed {
        Executed { result: Value::from(position.index), term: self.granted, position, repeated }
    }

    fn slot_status(&self, service: &ServiceName, slot: &SlotName) -> SlotStatus {
        SlotStatus {
            service: service.clone(),
            slot: slot.clone(),
            role: if self.is_primary() { Role::Primary } else { Role::Replica },
            term: self.granted,
            primary: self.primary.clone(),
            position: self.position(),
            open_transactions: 0,
            primary_in_service_ms: None,
        }
    }
}
