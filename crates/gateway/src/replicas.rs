//! Which databases may hold a synchronous commit, as the store keeps it, and when a promotion provably loses none.
//!
//! A synchronous commit is acknowledged once the primary and one replica have it. So every acknowledged commit is in
//! the log of one of any members of which at most one is missing. A database that does not answer, or whose entry has
//! lapsed, stays a member: it may be the one that has the commit. It ends to be one when it leaves with notice, as its
//! log is passed on then, or when an operator accepts what may be lost with it.

use std::collections::BTreeSet;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of databases that have a synchronous commit when it is acknowledged.
const COPIES: usize = 2;

/// The databases of a service that may hold acknowledged commits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaRoster {
    /// All databases that were listed and have not left with notice.
    pub members: BTreeSet<DatabaseName>,
    /// Members that an operator has given up: what only they have is lost.
    pub lost: BTreeSet<DatabaseName>,
}

impl ReplicaRoster {
    /// The members that may hold a commit which none of those that answered has.
    pub fn unanswered(&self, has_answered: impl Fn(&DatabaseName) -> bool) -> Vec<DatabaseName> {
        let needed = self.members.difference(&self.lost);
        needed.filter(|name| !has_answered(name)).cloned().collect()
    }

    /// Whether the members that answered have every acknowledged commit among them.
    pub fn is_proof(&self, has_answered: impl Fn(&DatabaseName) -> bool) -> bool {
        self.unanswered(has_answered).len() < COPIES
    }

    /// Adds a database that is listed, or answers again.
    pub fn add(&mut self, database: &DatabaseName) {
        self.members.insert(database.clone());
    }

    /// Removes a database that has left with notice.
    pub fn remove(&mut self, database: &DatabaseName) {
        self.members.remove(database);
        self.lost.remove(database);
    }
}
