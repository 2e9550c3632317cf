//! One slot: its log, its term and the data that follows from the log.

use std::{collections::BTreeMap, sync::Arc};

use model::prelude::*;
use proto::database::{DatabaseError, Execute, Executed, RecordedOutcome, Role, SlotStatus};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{SlotId, statement::Writes};

/// An entry of a slot's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term in which it was written.
    pub term: Term,
    /// The request that it records; absent in the first entry of a term.
    pub request_id: Option<RequestId>,
    /// Fingerprint of that request.
    #[serde(default)]
    pub fingerprint: u64,
    /// Whether it records that the request was cancelled.
    pub cancelled: bool,
    /// Values written, by name.
    pub writes: Writes,
    /// What the request returned.
    pub result: Value,
}

/// A value and the index of the entry that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedValue {
    /// The value.
    pub value: Value,
    /// Index of the entry.
    pub index: u64,
}

/// The primary that a replica follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownPrimary {
    /// Its name.
    pub name: DatabaseName,
    /// Its admin address; absent where it is this database.
    pub admin_address: Option<String>,
}

/// A slot at this database.
#[derive(Debug)]
pub struct SlotData {
    /// The highest term granted here.
    pub granted_term: Term,
    /// To whom it was granted.
    pub granted_to: Option<String>,
    /// This database's part.
    pub role: Role,
    /// The primary of the granted term, once it is known.
    pub primary: Option<KnownPrimary>,
    /// Every entry.
    pub log: Vec<LogEntry>,
    /// The last position of each term in the log.
    pub term_ends: Vec<Position>,
    /// Each open transaction holds a copy.
    pub open_transactions: Arc<()>,
    values: BTreeMap<String, VersionedValue>,
    index_by_request: FxHashMap<RequestId, u64>,
}

impl SlotData {
    /// An empty slot without a primary.
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

    /// How far the log goes.
    pub fn position(&self) -> Position {
        self.position_at(self.log.len() as u64)
    }

    /// The position of the entry at the index.
    pub fn position_at(&self, index: u64) -> Position {
        match self.log.get((index as usize).wrapping_sub(1)) {
            Some(entry) => Position::new(entry.term, index),
            None => Position::ZERO,
        }
    }

    /// Whether the log holds the entry at the position.
    pub fn holds(&self, position: Position) -> bool {
        position == Position::ZERO || self.position_at(position.index) == position
    }

    /// The value of that name.
    pub fn value(&self, name: &str) -> Option<&VersionedValue> {
        self.values.get(name)
    }

    /// The slot's state for whoever asks.
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

    /// Refuses writes of another term than the one in which this database is primary.
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

    /// Whether the log holds the position, under a term no higher than the stated one.
    pub fn check_held(&self, position: Position, term: Term) -> Result<bool, DatabaseError> {
        if self.granted_term > term {
            return Err(DatabaseError::StaleTerm { term: self.granted_term });
        }
        Ok(self.holds(position))
    }

    /// What a replica lacks whose terms end so: how many entries it keeps, and those after them.
    pub fn log_after(&self, ends: &[Position], most: usize) -> (u64, Vec<LogEntry>) {
        let keep = self.shared_prefix(ends);
        (keep, self.log[keep as usize..].iter().take(most).cloned().collect())
    }

    /// Whether anything is recorded of the request.
    pub fn is_recorded(&self, request_id: RequestId) -> bool {
        self.index_by_request.contains_key(&request_id)
    }

    /// What is recorded of the request.
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

    /// Appends the entry of a write in the granted term.
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

    /// Whether the entry of the request was written with another fingerprint.
    pub fn has_other_fingerprint(&self, req: &Execute) -> bool {
        let entry = self.index_by_request.get(&req.request_id).map(|&i| &self.log[i as usize - 1]);
        entry.is_some_and(|entry| !entry.cancelled && entry.fingerprint != req.fingerprint)
    }

    /// Appends an entry in the granted term.
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

    /// Grants the term to the proposer.
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

    /// Makes this database the primary of a term that the proposer was granted.
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
        // An entry of the new term makes its position higher than any of an earlier one.
        self.append(None, false, Writes::new(), Value::Null);
        Ok(())
    }

    /// Makes this database a replica of the primary of the term.
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

    /// How many entries this log shares with one whose terms end so.
    pub fn shared_prefix(&self, ends: &[Position]) -> u64 {
        let agreed = |end: &Position| {
            let last = self.term_ends.iter().find(|mine| mine.term == end.term)?;
            Some(last.index.min(end.index))
        };
        ends.iter().rev().find_map(agreed).unwrap_or(0)
    }

    /// Cuts the log back to `keep` entries and appends the others.
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
