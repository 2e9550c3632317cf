//! Records the promotions and acknowledged writes of a run, and checks them against the databases'
//! logs.

use model::prelude::*;
use standin::database::SlotData;

/// How many of the latest acknowledged writes are looked up when a VM considers a member fresh.
const RECENT_WRITES: usize = 50;

/// An acknowledged write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    /// Id of the write.
    pub id: RequestId,
    /// When it was acknowledged to its caller.
    pub at: MonoTime,
}

/// Promotions and acknowledged writes of a run, and the violations of invariants found so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    acknowledged: Vec<Acknowledged>,
    primaries: Vec<(Term, String)>,
    violations: Vec<String>,
}

impl History {
    /// Returns the highest term in which a database was promoted, and that database.
    pub fn primary(&self) -> Option<(Term, &str)> {
        self.primaries.iter().max().map(|(term, name)| (*term, name.as_str()))
    }

    /// Returns when a write was last acknowledged.
    pub fn last_acknowledged(&self) -> Option<MonoTime> {
        self.acknowledged.last().map(|a| a.at)
    }

    /// Returns the number of acknowledged writes.
    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// Records that a database was promoted. It must be the only primary of the term and hold every
    /// acknowledged write.
    pub fn record_promotion(&mut self, term: Term, name: &str, data: &SlotData) {
        let known = self.primaries.iter().find(|(known, _)| *known == term);
        match known {
            Some((_, other)) if other != name => {
                self.violations.push(format!("{other} and {name} are primaries of term {term}"));
            }
            Some(_) => return,
            None => self.primaries.push((term, name.to_owned())),
        }
        let missing = self.first_missing(data, MonoTime(u64::MAX), usize::MAX);
        if let Some(id) = missing {
            self.violations
                .push(format!("{name} became primary in term {term} but lacks write {id}"));
        }
    }

    /// Records that a write executed in `term` was acknowledged. If a newer primary exists by then, its
    /// data (`newest`) must hold the write.
    pub fn record_acknowledgement(
        &mut self,
        id: RequestId,
        at: MonoTime,
        term: Term,
        newest: &SlotData,
    ) {
        self.acknowledged.push(Acknowledged { id, at });
        let replaced = self.primary().is_some_and(|(newer, _)| newer > term);
        if replaced && occurrences(newest, id) == 0 {
            self.violations
                .push(format!("write {id} was acknowledged by the replaced primary of term {term}, and the new one lacks it"));
        }
    }

    /// Checks data that a VM considers fresh: it must hold the writes acknowledged up to `until`.
    pub fn check_assumed_fresh(&mut self, name: &str, data: &SlotData, until: MonoTime) {
        if let Some(id) = self.first_missing(data, until, RECENT_WRITES) {
            self.violations
                .push(format!("{name} was considered fresh as of {until:?} but lacks write {id}"));
        }
    }

    /// Checks that the data holds every acknowledged write exactly once.
    pub fn check_final(&mut self, name: &str, data: &SlotData) {
        for write in &self.acknowledged {
            let count = occurrences(data, write.id);
            if count != 1 {
                self.violations.push(format!("write {} occurs {count} times in {name}", write.id));
            }
        }
    }

    /// Returns the first violation as an error.
    pub fn check(&self) -> Result<(), String> {
        self.violations.first().map_or(Ok(()), |violation| Err(violation.clone()))
    }

    fn first_missing(&self, data: &SlotData, until: MonoTime, most: usize) -> Option<RequestId> {
        let due = self.acknowledged.iter().rev().skip_while(|a| a.at > until);
        due.take(most).find(|a| !data.is_recorded(a.id)).map(|a| a.id)
    }
}

fn occurrences(data: &SlotData, id: RequestId) -> usize {
    data.log.iter().filter(|entry| entry.request_id == Some(id)).count()
}
