//! State of one promotion attempt: the grants received and the member they allow to promote.

use model::prelude::*;

/// A member's grant of the proposed term, with the end of its log at that moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The member that granted the term.
    pub database: DatabaseName,
    /// Index of the member in the slot's member list.
    pub order: usize,
    /// End of the member's log when it granted the term. It appends no entry of a lower term after
    /// that.
    pub position: Position,
    /// Whether any other eligible member is preferred to this one.
    pub avoid: bool,
}

/// An attempt of this VM to promote one member in one term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionAttempt {
    /// The proposed term. This VM proposes it only once.
    pub term: Term,
    /// When the attempt was started.
    pub started_at: MonoTime,
    /// Responsive members that have not answered the fence call yet.
    pub awaited: Vec<DatabaseName>,
    /// Grants received so far.
    pub grants: Vec<Grant>,
    /// The member that was asked to become primary. No other member is asked in the same term.
    pub candidate: Option<DatabaseName>,
}

impl PromotionAttempt {
    /// Creates an attempt without grants.
    pub fn new(term: Term, awaited: Vec<DatabaseName>, now: MonoTime) -> PromotionAttempt {
        PromotionAttempt { term, started_at: now, awaited, grants: Vec::new(), candidate: None }
    }

    /// Records a grant. A second grant of the same member is ignored.
    pub fn add(&mut self, grant: Grant) {
        let known = self.grants.iter().any(|g| g.database == grant.database);
        if !known {
            self.grants.push(grant);
        }
    }

    /// Returns the member to promote, or `None` if too few members have granted the term.
    ///
    /// An acknowledged write is held by a majority of the members, so every member whose position
    /// is no lower than those of `majority` members holds all acknowledged writes and is eligible.
    /// Among the eligible members, those not to be avoided come first, then the highest position,
    /// then the lowest order.
    pub fn choose(&self, majority: usize) -> Option<&DatabaseName> {
        let holds_all = |grant: &&Grant| {
            let covered = self.grants.iter().filter(|g| g.position <= grant.position).count();
            covered >= majority
        };
        let preference = |grant: &&Grant| (!grant.avoid, grant.position, usize::MAX - grant.order);
        self.grants.iter().filter(holds_all).max_by_key(preference).map(|g| &g.database)
    }
}
