//! State of one slot at one database: its log, term and role, and the values derived from the log.
//!
//! A fence grants a new term to one proposer and ends the current primary's writes; a promotion by
//! that proposer makes the database primary of the term.

use std::{collections::BTreeMap, sync::Arc};

use model::prelude::*;
use proto::database::{DatabaseError, Execute, Executed, RecordedOutcome, Role, SlotStatus};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{SlotId, statement::Writes};

/// An entry of a slot's log: a committed write, a cancelled request or the start of a term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term in which it was written.
    pub term: Term,
    /// Request that the entry records; `None` in the first entry of a term.
    pub request_id: Option<RequestId>,
    /// Fingerprint of a write outside a transaction; 0 for any other entry.
    #[serde(default)]
    pub fingerprint: u64,
    /// Whether the request was cancelled and must never run.
    pub cancelled: bool,
    /// Written values, by name.
    pub writes: Writes,
    /// Result that the request returned.
    pub result: Value,
}

/// A value with the index of the log entry that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedValue {
    /// Value as of that entry.
    pub value: Value,
    /// Index of the log entry, from 1.
    pub index: u64,
}

/// The primary of a slot's term as the database knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownPrimary {
    /// Name of the primary.
    pub name: DatabaseName,
    /// Admin address of the primary; `None` if it is this database.
    pub admin_address: Option<String>,
}

/// Replicated state of a slot at one database.
#[derive(Debug)]
pub struct SlotData {
    /// Highest term granted at this database.
    pub granted_term: Term,
    /// Proposer that holds the granted term; `None` if it was learned from the primary.
    pub granted_to: Option<String>,
    /// Role of this database in the granted term.
    pub role: Role,
    /// Primary of the granted term, once known.
    pub primary: Option<KnownPrimary>,
    /// Log entries; the entry with index 1 is the first.
    pub log: Vec<LogEntry>,
    /// Last position of each term in the log, in ascending order.
    pub term_ends: Vec<Position>,
    /// Reference counter: each open transaction holds a clone.
    pub open_transactions: Arc<()>,
    values: BTreeMap<String, VersionedValue>,
    /// Log index of each request's entry.
    index_by_request: FxHashMap<RequestId, u64>,
}

impl SlotData {
    /// Creates an empty slot in term 0 without a primary.
    pub fn new() -> SlotData {
        SlotData {
            granted_term: Term::default(),
            granted_to: None,
            role: Role::Replica,
            primary: None,
            log: Vec::new(),
            term_ends: Vec::new(),
            open_transactions: Arc::new(()),
            values: BTreeMap::new(),
            index_by_request: FxHashMap::default(),
        }
    }

    /// Returns the position of the last entry, [`Position::ZERO`] if the log is empty.
    pub fn position(&self) -> Position {
        self.position_at(self.log.len() as u64)
    }

    /// Returns the position of the entry at `index`, [`Position::ZERO`] if there is none.
    pub fn position_at(&self, index: u64) -> Position {
        match self.log.get((index as usize).wrapping_sub(1)) {
            Some(entry) => Position::new(entry.term, index),
            None => Position::ZERO,
        }
    }

    /// Returns whether the log contains the entry at `position`.
    pub fn holds(&self, position: Position) -> bool {
        position == Position::ZERO || self.position_at(position.index) == position
    }

    /// Returns the current value of a name.
    pub fn value(&self, name: &str) -> Option<&VersionedValue> {
        self.values.get(name)
    }

    /// Returns the slot's status as the admin listener reports it.
    pub fn status(&self, id: &SlotId) -> SlotStatus {
        SlotStatus {
            service: id.service.clone(),
            slot: id.slot.clone(),
            role: self.role,
            term: self.granted_term,
            primary: self.primary.as_ref().map(|l| l.name.clone()),
            position: self.position(),
            primary_in_service_ms: None,
            open_transactions: Arc::strong_count(&self.open_transactions) as u32 - 1,
        }
    }

    /// Fails unless this database is the primary of `term`.
    pub fn check_primary(&self, term: Term) -> Result<(), DatabaseError> {
        if term < self.granted_term {
            return Err(DatabaseError::StaleTerm { term: self.granted_term });
        }
        if self.role == Role::Primary && term == self.granted_term {
            return Ok(());
        }
        let primary = self.primary.as_ref().map(|l| l.name.clone());
        Err(DatabaseError::NotPrimary { term: self.granted_term, primary })
    }

    /// Returns whether the log contains `position`; fails if a term above `term` was granted.
    pub fn check_held(&self, position: Position, term: Term) -> Result<bool, DatabaseError> {
        if self.granted_term > term {
            return Err(DatabaseError::StaleTerm { term: self.granted_term });
        }
        Ok(self.holds(position))
    }

    /// Returns what a replica whose log has these term ends lacks: the length of the common prefix
    /// and up to `most` entries after it.
    pub fn log_after(&self, ends: &[Position], most: usize) -> (u64, Vec<LogEntry>) {
        let keep = self.shared_prefix(ends);
        (keep, self.log[keep as usize..].iter().take(most).cloned().collect())
    }

    /// Returns whether the log has an entry of the request, committed or cancelled.
    pub fn is_recorded(&self, request_id: RequestId) -> bool {
        self.index_by_request.contains_key(&request_id)
    }

    /// Returns the recorded outcome of the request.
    pub fn recorded_outcome(&self, request_id: RequestId) -> RecordedOutcome {
        let Some(&index) = self.index_by_request.get(&request_id) else {
            return RecordedOutcome::Absent;
        };
        let entry = &self.log[index as usize - 1];
        let position = self.position_at(index);
        match entry.cancelled {
            true => RecordedOutcome::Cancelled(position),
            false => RecordedOutcome::Committed(Executed {
                result: entry.result.clone(),
                term: self.granted_term,
                position,
                repeated: true,
            }),
        }
    }

    /// Appends a write outside a transaction, with its fingerprint, and returns its position.
    pub fn append_write(&mut self, req: &Execute, writes: Writes, result: Value) -> Position {
        self.apply(LogEntry {
            term: self.granted_term,
            request_id: Some(req.request_id),
            fingerprint: req.fingerprint,
            cancelled: false,
            writes,
            result,
        });
        self.position()
    }

    /// Returns whether the request id was committed with another fingerprint.
    pub fn has_other_fingerprint(&self, req: &Execute) -> bool {
        let entry = self.index_by_request.get(&req.request_id).map(|&i| &self.log[i as usize - 1]);
        entry.is_some_and(|entry| !entry.cancelled && entry.fingerprint != req.fingerprint)
    }

    /// Appends an entry in the granted term and returns its position.
    pub fn append(
        &mut self,
        request_id: Option<RequestId>,
        cancelled: bool,
        writes: Writes,
        result: Value,
    ) -> Position {
        let fingerprint = 0;
        self.apply(LogEntry {
            term: self.granted_term,
            request_id,
            fingerprint,
            cancelled,
            writes,
            result,
        });
        self.position()
    }

    /// Grants a term above the granted one to the proposer and makes this database a replica. A
    /// repeated call by the same proposer succeeds.
    pub fn fence(&mut self, term: Term, proposer: &str) -> Result<(), DatabaseError> {
        let again = term == self.granted_term && self.granted_to.as_deref() == Some(proposer);
        if again {
            return Ok(());
        }
        if term <= self.granted_term {
            return Err(DatabaseError::TermTaken { term: self.granted_term });
        }
        self.granted_term = term;
        self.granted_to = Some(proposer.to_owned());
        self.role = Role::Replica;
        self.primary = None;
        Ok(())
    }

    /// Makes this database the primary of `term`, which must be granted to the proposer. A repeated
    /// call succeeds.
    pub fn promote(
        &mut self,
        me: &DatabaseName,
        term: Term,
        proposer: &str,
    ) -> Result<(), DatabaseError> {
        if term != self.granted_term || self.granted_to.as_deref() != Some(proposer) {
            return Err(DatabaseError::TermTaken { term: self.granted_term });
        }
        if self.role == Role::Primary {
            return Ok(());
        }
        self.role = Role::Primary;
        self.primary = Some(KnownPrimary { name: me.clone(), admin_address: None });
        // The first entry of the new term raises the position above all positions of earlier terms.
        self.append(None, false, Writes::new(), Value::Null);
        Ok(())
    }

    /// Makes this database a replica of `primary` in `term`. Fails for an older term and if this
    /// database is the primary of `term`.
    pub fn follow(&mut self, term: Term, primary: KnownPrimary) -> Result<(), DatabaseError> {
        if term < self.granted_term {
            return Err(DatabaseError::StaleTerm { term: self.granted_term });
        }
        if term == self.granted_term && self.role == Role::Primary {
            return Err(DatabaseError::TermTaken { term: self.granted_term });
        }
        if term > self.granted_term {
            self.granted_term = term;
            self.granted_to = None;
        }
        self.role = Role::Replica;
        self.primary = Some(primary);
        Ok(())
    }

    /// Returns the length of the common prefix with a log that has these term ends.
    pub fn shared_prefix(&self, ends: &[Position]) -> u64 {
        let agreed = |end: &Position| {
            let last = self.term_ends.iter().find(|mine| mine.term == end.term)?;
            Some(last.index.min(end.index))
        };
        ends.iter().rev().find_map(agreed).unwrap_or(0)
    }

    /// Truncates the log to `keep` entries and appends `entries`.
    pub fn replicate(&mut self, keep: u64, entries: Vec<LogEntry>) {
        if keep < self.log.len() as u64 {
            self.truncate(keep);
        }
        for entry in entries {
            self.apply(entry);
        }
    }

    fn truncate(&mut self, keep: u64) {
        let kept = self.log.drain(..).take(keep as usize).collect::<Vec<_>>();
        self.term_ends.clear();
        self.values.clear();
        self.index_by_request.clear();
        for entry in kept {
            self.apply(entry);
        }
    }

    fn apply(&mut self, entry: LogEntry) {
        let index = self.log.len() as u64 + 1;
        for (name, value) in &entry.writes {
            self.values.insert(name.clone(), VersionedValue { value: value.clone(), index });
        }
        if let Some(request_id) = entry.request_id {
            self.index_by_request.insert(request_id, index);
        }
        let position = Position::new(entry.term, index);
        match self.term_ends.last_mut() {
            Some(last) if last.term == position.term => *last = position,
            _ => self.term_ends.push(position),
        }
        self.log.push(entry);
    }
}

impl Default for SlotData {
    fn default() -> SlotData {
        SlotData::new()
    }
}
