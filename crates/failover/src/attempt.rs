//! One attempt to promote a member: the grants so far, and whom they allow to promote.

use model::prelude::*;

/// A member that granted the term, and its log's end at that moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The member.
    pub database: DatabaseName,
    /// Its place in the slot's list of members.
    pub order: usize,
    /// Its position when it granted the term. Nothing of a lower term is appended after that.
    pub position: Position,
    /// Whether another member is to be preferred.
    pub avoid: bool,
}

/// An attempt to promote one member in one term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionAttempt {
    /// The term, in which this VM proposes once.
    pub term: Term,
    /// When it began.
    pub started_at: MonoTime,
    /// Members that grants are expected from.
    pub awaited: Vec<DatabaseName>,
    /// The grants.
    pub grants: Vec<Grant>,
    /// The member that was asked to become the primary; no other is asked in this term.
    pub candidate: Option<DatabaseName>,
}

impl PromotionAttempt {
    /// An attempt without grants.
    pub fn new(term: Term, awaited: Vec<DatabaseName>, now: MonoTime) -> PromotionAttempt {
        PromotionAttempt { term, started_at: now, awaited, grants: Vec::new(), candidate: None }
    }

    /// Adds a grant, once for each member.
    pub fn add(&mut self, grant: Grant) {
        let known = self.grants.iter().any(|g| g.database == grant.database);
        if !known {
            self.grants.push(grant);
        }
    }

    /// Whom to promote, once `majority` members have granted the term.
    ///
    /// A write that was acknowledged is held by a majority, so it is at every member whose position
    /// is no lower than those of a majority of the members: each such member may be promoted. Among
    /// them, those not to be avoided come first, then the highest position, then the first in order.
    pub fn choose(&self, majority: usize) -> Option<&DatabaseName> {
        let holds_all = |grant: &&Grant| {
            let covered = self.grants.iter().filter(|g| g.position <= grant.position).count();
            covered >= majority
        };
        let preference = |grant: &&Grant| (!grant.avoid, grant.position, usize::MAX - grant.order);
        self.grants.iter().filter(holds_all).max_by_key(preference).map(|g| &g.database)
    }
}
