//! Promotions as they are recorded with the fencing token, which decides who may request one in a term.
//!
//! A promotion request carries no term: the database becomes primary in the next one, whatever the sender had
//! prepared. So all requests that are sent for one term have to name the same database. The record is written by the
//! conditional update that raises the token, before the request, and every VM that raises the token later has seen it.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// A promotion that is about to be requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionIntent {
    /// The service whose primary changes.
    pub service: ServiceName,
    /// The term that begins with the promotion.
    pub term: Term,
    /// The database to promote.
    pub database: DatabaseName,
}

/// The newest promotion of a service that any VM has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedPromotion {
    /// The term that begins with the promotion.
    pub term: Term,
    /// The database to promote; `None` if the term was given up, or an earlier version wrote the record.
    pub database: Option<DatabaseName>,
    /// The fencing token that was raised with the record.
    pub token: u64,
    /// Whether the term was given up: no promotion for it can take effect any more.
    #[serde(default)]
    pub ended: bool,
}

impl RecordedPromotion {
    /// Whether a VM may request the promotion `intent` after this record. `void` is the token of an earlier record
    /// of that VM under which no promotion can take effect.
    pub fn admits(&self, intent: &PromotionIntent, void: Option<u64>) -> bool {
        self.ended
            || self.term < intent.term
            || self.term == intent.term
                && (self.database.as_ref() == Some(&intent.database) || void == Some(self.token))
    }
}

/// The outcome of raising the fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// The token has this value, and the intent is recorded.
    Raised(u64),
    /// Not raised: another VM has recorded a promotion for the term, or for a later one.
    Recorded(RecordedPromotion),
    /// Not raised: another VM changed the token first, or the store was restored from a copy meanwhile.
    Conflict,
    /// The store gave no usable answer; the update may still take effect.
    NoAnswer,
}

/// The outcome of recording that a term was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// It is recorded.
    Ended,
    /// Not recorded: a promotion may take effect until this time.
    NotBefore(MonoTime),
    /// Not recorded: another VM has recorded a promotion for a later term.
    Recorded(RecordedPromotion),
    /// Not recorded: another VM changed the token first.
    Conflict,
    /// The store gave no usable answer.
    NoAnswer,
}
