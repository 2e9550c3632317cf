//! One slot: its log, its term and the data that follows from the log.

use std::{collections::BTreeMap, sync::Arc};

use model::prelude::*;
use proto::database::{DatabaseError, Execute, Executed, RecordedOutcome, Role, SlotStatus};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{SlotSettings, statement::Writes};

/// An entry of a slot's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
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
pub struct Cell {
    /// The value.
    pub value: Value,
    /// Index of the entry.
    pub index: u64,
}

/// The primary that a replica follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Its name.
    pub name: DatabaseName,
    /// Its admin address; absent where it is this database.
    pub admin_address: Option<String>,
}

/// A slot at this database.
#[derive(Debug)]
pub struct SlotData {
    /// The highest term granted here.
    pub granted: Term,
    /// To whom it was granted.
    pub granted_to: Option<String>,
    /// This database's part.
    pub role: Role,
    /// The primary of the granted term, once it is known.
    pub leader: Option<Leader>,
    /// Every entry.
    pub log: Vec<Entry>,
    /// The last position of each term in the log.
    pub ends: Vec<Position>,
    /// Each open transaction holds a copy.
    pub open: Arc<()>,
    cells: BTreeMap<String, Cell>,
    recorded: FxHashMap<RequestId, u64>,
}

impl SlotData {
    /// An empty slot without a primary.
    pub fn new() -> SlotData {
        SlotData {
            granted: Term::default(),
            granted_to: None,
            role: Role::Replica,
            leader: None,
            log: Vec::new(),
            ends: Vec::new(),
            open: Arc::new(()),
            cells: BTreeMap::new(),
            recorded: FxHashMap::default(),
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
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.cells.get(name)
    }

    /// The slot's state for whoever asks.
    pub fn status(&self, settings: &SlotSettings) -> SlotStatus {
        SlotStatus {
            service: settings.service.clone(),
            slot: settings.slot.clone(),
            role: self.role,
            term: self.granted,
            primary: self.leader.as_ref().map(|l| l.name.clone()),
            position: self.position(),
            primary_in_service_ms: None,
            open_transactions: Arc::strong_count(&self.open) as u32 - 1,
        }
    }

    /// Refuses writes of another term than the one in which this database is primary.
    pub fn check_primary(&self, term: Term) -> Result<(), DatabaseError> {
        if term < self.granted {
            return Err(DatabaseError::StaleTerm { term: self.granted });
        }
        if self.role == Role::Primary && term == self.granted {
            return Ok(());
        }
        let primary = self.leader.as_ref().map(|l| l.name.clone());
        Err(DatabaseError::NotPrimary { term: self.granted, primary })
    }

    /// Whether the log holds the position, under a term no higher than the stated one.
    pub fn check_held(&self, position: Position, term: Term) -> Result<bool, DatabaseError> {
        if self.granted > term {
            return Err(DatabaseError::StaleTerm { term: self.granted });
        }
        Ok(self.holds(position))
    }

    /// What a replica lacks whose terms end so: how many entries it keeps, and those after them.
    pub fn log_after(&self, ends: &[Position], most: usize) -> (u64, Vec<Entry>) {
        let keep = self.shared_with(ends);
        (keep, self.log[keep as usize..].iter().take(most).cloned().collect())
    }

    /// Whether anything is recorded of the request.
    pub fn has(&self, request_id: RequestId) -> bool {
        self.recorded.contains_key(&request_id)
    }

    /// What is recorded of the request.
    pub fn recorded(&self, request_id: RequestId) -> RecordedOutcome {
        let Some(&index) = self.recorded.get(&request_id) else {
            return RecordedOutcome::Absent;
        };
        let entry = &self.log[index as usize - 1];
        let position = self.position_at(index);
        match entry.cancelled {
            true => RecordedOutcome::Cancelled(position),
            false => RecordedOutcome::Committed(Executed {
                result: entry.result.clone(),
                term: self.granted,
                position,
                repeated: true,
            }),
        }
    }

    /// Appends the entry of a write in the granted term.
    pub fn append_write(&mut self, req: &Execute, writes: Writes, result: Value) -> Position {
        self.apply(Entry {
            term: self.granted,
            request_id: Some(req.request_id),
            fingerprint: req.fingerprint,
            cancelled: false,
            writes,
            result,
        });
        self.position()
    }

    /// Whether the entry of the request was written with another fingerprint.
    pub fn is_other_request(&self, req: &Execute) -> bool {
        let entry = self.recorded.get(&req.request_id).map(|&i| &self.log[i as usize - 1]);
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
        self.apply(Entry {
            term: self.granted,
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
        let again = term == self.granted && self.granted_to.as_deref() == Some(proposer);
        if again {
            return Ok(());
        }
        if term <= self.granted {
            return Err(DatabaseError::TermTaken { term: self.granted });
        }
        self.granted = term;
        self.granted_to = Some(proposer.to_owned());
        self.role = Role::Replica;
        self.leader = None;
        Ok(())
    }

    /// Makes this database the primary of a term that the proposer was granted.
    pub fn promote(
        &mut self,
        me: &DatabaseName,
        term: Term,
        proposer: &str,
    ) -> Result<(), DatabaseError> {
        if term != self.granted || self.granted_to.as_deref() != Some(proposer) {
            return Err(DatabaseError::TermTaken { term: self.granted });
        }
        if self.role == Role::Primary {
            return Ok(());
        }
        self.role = Role::Primary;
        self.leader = Some(Leader { name: me.clone(), admin_address: None });
        // An entry of the new term makes its position higher than any of an earlier one.
        self.append(None, false, Writes::new(), Value::Null);
        Ok(())
    }

    /// Makes this database a replica of the primary of the term.
    pub fn follow(&mut self, term: Term, leader: Leader) -> Result<(), DatabaseError> {
        if term < self.granted {
            return Err(DatabaseError::StaleTerm { term: self.granted });
        }
        if term == self.granted && self.role == Role::Primary {
            return Err(DatabaseError::TermTaken { term: self.granted });
        }
        if term > self.granted {
            self.granted = term;
            self.granted_to = None;
        }
        self.role = Role::Replica;
        self.leader = Some(leader);
        Ok(())
    }

    /// How many entries this log shares with one whose terms end so.
    pub fn shared_with(&self, ends: &[Position]) -> u64 {
        let agreed = |end: &Position| {
            let last = self.ends.iter().find(|mine| mine.term == end.term)?;
            Some(last.index.min(end.index))
        };
        ends.iter().rev().find_map(agreed).unwrap_or(0)
    }

    /// Cuts the log back to `keep` entries and appends the others.
    pub fn replicate(&mut self, keep: u64, entries: Vec<Entry>) {
        if keep < self.log.len() as u64 {
            self.cut_back(keep);
        }
        for entry in entries {
            self.apply(entry);
        }
    }

    fn cut_back(&mut self, keep: u64) {
        let kept = self.log.drain(..).take(keep as usize).collect::<Vec<_>>();
        self.ends.clear();
        self.cells.clear();
        self.recorded.clear();
        for entry in kept {
            self.apply(entry);
        }
    }

    fn apply(&mut self, entry: Entry) {
        let index = self.log.len() as u64 + 1;
        for (name, value) in &entry.writes {
            self.cells.insert(name.clone(), Cell { value: value.clone(), index });
        }
        if let Some(request_id) = entry.request_id {
            self.recorded.insert(request_id, index);
        }
        let position = Position::new(entry.term, index);
        match self.ends.last_mut() {
            Some(last) if last.term == position.term => *last = position,
            _ => self.ends.push(position),
        }
        self.log.push(entry);
    }
}

impl Default for SlotData {
    fn default() -> SlotData {
        SlotData::new()
    }
}
