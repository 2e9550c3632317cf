//! What was promised to callers, checked against what the databases hold.

use model::prelude::*;
use standin::database::SlotData;

/// How many writes before a moment are looked up when a member is taken for fresh.
const RECENT_WRITES: usize = 50;

/// A write that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    /// The write.
    pub id: RequestId,
    /// When its caller was told.
    pub at: MonoTime,
}

/// Every promotion and acknowledgement of a run, and the rules that were broken.
#[derive(Clone, Debug, Default)]
pub struct History {
    acknowledged: Vec<Acknowledged>,
    primaries: Vec<(Term, String)>,
    violations: Vec<String>,
}

impl History {
    /// The highest term in which there was a primary, and that primary.
    pub fn primary(&self) -> Option<(Term, &str)> {
        self.primaries.iter().max().map(|(term, name)| (*term, name.as_str()))
    }

    /// When a write was last acknowledged.
    pub fn last_acknowledged(&self) -> Option<MonoTime> {
        self.acknowledged.last().map(|a| a.at)
    }

    /// How many writes were acknowledged.
    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// A database became primary.
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
                .push(format!("{name} became primary in term {term} without write {id}"));
        }
    }

    /// A caller was told that its write is done, executed in `term`.
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
                .push(format!("write {id} was acknowledged by the replaced primary of {term}"));
        }
    }

    /// A VM takes this data for holding all that was acknowledged until `until`.
    pub fn check_assumed_fresh(&mut self, name: &str, data: &SlotData, until: MonoTime) {
        if let Some(id) = self.first_missing(data, until, RECENT_WRITES) {
            self.violations
                .push(format!("{name} was taken for fresh at {until:?} without write {id}"));
        }
    }

    /// Checks that every acknowledged write is in the data exactly once.
    pub fn check_final(&mut self, name: &str, data: &SlotData) {
        for write in &self.acknowledged {
            let count = occurrences(data, write.id);
            if count != 1 {
                self.violations.push(format!("write {} is {count} times in {name}", write.id));
            }
        }
    }

    /// The first rule that was broken.
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
