//! The observed state of slots and databases: terms, primaries, positions and answers.

use model::prelude::*;
use proto::database::Role;

use crate::{
    catalog::{Catalog, DatabaseKey, SlotKey},
    freshness::ConfirmedBounds,
};

/// The state of a slot as this VM last observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotState {
    /// The highest term observed.
    pub term: Term,
    /// The last known primary. A newer one may exist by now: see `primary_verified_at`.
    pub primary: Option<DatabaseKey>,
    /// One entry for each database that replicates the slot.
    pub members: Vec<SlotMember>,
    /// The highest position that a majority is known to have applied. The actual one may be higher.
    pub confirmed: Position,
    /// The last moment at which a majority of the members is known to have granted no term higher
    /// than `term`, while `primary` reported to be the primary of that term. No other database can
    /// have acknowledged a write before this moment. Absent until such a majority has answered.
    pub primary_verified_at: Option<MonoTime>,
    /// Upper bounds on the confirmed position at past moments.
    pub bounds: ConfirmedBounds,
}

impl SlotState {
    /// The state before any observation: the first member of the configuration counts as the
    /// primary.
    pub fn new(catalog: &Catalog, key: SlotKey) -> SlotState {
        let entry = &catalog.slots[key];
        let members = entry.members.iter().map(|&database| SlotMember::new(database));
        SlotState {
            term: Term::default(),
            primary: entry.members.first().copied(),
            members: members.collect(),
            confirmed: Position::ZERO,
            primary_verified_at: None,
            bounds: ConfirmedBounds::default(),
        }
    }

    /// The number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The member on the given database.
    pub fn member(&self, database: DatabaseKey) -> Option<&SlotMember> {
        self.members.iter().find(|m| m.database == database)
    }
}

/// The state of a slot on one of its databases, as this VM last observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotMember {
    /// The database that holds this copy of the slot.
    pub database: DatabaseKey,
    /// Whether the database is the slot's primary or a replica.
    pub role: Role,
    /// The highest term that the database has granted.
    pub term: Term,
    /// The primary that the database follows; itself if it is the primary.
    pub follows: Option<DatabaseKey>,
    /// The position up to which the database has applied the log.
    pub position: Position,
    /// When the status query that the database last answered was sent.
    pub asked_at: Option<MonoTime>,
    /// On a replica: when its primary is last known to have answered both this replica and a VM.
    /// Absent if the database doesn't report it.
    pub primary_in_service_at: Option<MonoTime>,
    /// Number of open transactions of the slot on this database.
    pub open_transactions: u32,
    /// The last moment at which the confirmed position was no higher than this member's: its data
    /// has every write that was acknowledged until then. Absent unless the member's log ends in an
    /// entry of the current term, since the tail of an older term's log may have diverged.
    pub fresh_at: Option<MonoTime>,
}

impl SlotMember {
    /// The state of a member before any observation.
    pub fn new(database: DatabaseKey) -> SlotMember {
        SlotMember {
            database,
            role: Role::Replica,
            term: Term::default(),
            follows: None,
            position: Position::ZERO,
            asked_at: None,
            primary_in_service_at: None,
            open_transactions: 0,
            fresh_at: None,
        }
    }
}

/// Whether and when a database answers this VM's status queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatabaseState {
    /// When the database last answered.
    pub answered_at: Option<MonoTime>,
    /// Start of the time without an answer; absent while the database answers.
    pub silent_since: Option<MonoTime>,
}
