//! What is known of slots and databases.

use model::prelude::*;
use proto::database::Role;

use crate::{
    catalog::{Catalog, DatabaseKey, SlotKey},
    freshness::ConfirmedBounds,
};

/// A slot as last seen from this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotState {
    /// The highest term seen.
    pub term: Term,
    /// Its primary, as far as known. It may have been replaced meanwhile: see `primary_verified_at`.
    pub primary: Option<DatabaseKey>,
    /// Each database that carries it.
    pub members: Vec<SlotMember>,
    /// A position that a majority is known to have applied. The true one may be further.
    pub confirmed: Position,
    /// The last moment at which a majority of the members is known not to have granted any term
    /// higher than `term`, in which `primary` was seen to be the primary. No write can have been
    /// acknowledged elsewhere before it. Absent until such a majority has answered.
    pub primary_verified_at: Option<MonoTime>,
    /// Past moments and how far the confirmed position can have been then.
    pub bounds: ConfirmedBounds,
}

impl SlotState {
    /// A slot of which nothing has been seen: its first member is taken for the primary.
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

    /// How many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The member on that database.
    pub fn member(&self, database: DatabaseKey) -> Option<&SlotMember> {
        self.members.iter().find(|m| m.database == database)
    }
}

/// A slot at one database, as last seen.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotMember {
    /// The database.
    pub database: DatabaseKey,
    /// Its part.
    pub role: Role,
    /// The highest term granted there.
    pub term: Term,
    /// The primary that it follows, or itself.
    pub follows: Option<DatabaseKey>,
    /// How far it has applied the log.
    pub position: Position,
    /// When the query left to which it gave its last answer.
    pub asked_at: Option<MonoTime>,
    /// At a replica: when its primary is last known to have answered both this replica and a VM.
    /// Absent where the database can't tell.
    pub primary_in_service_at: Option<MonoTime>,
    /// Transactions that are open there.
    pub open_transactions: u32,
    /// The last moment at which the majority-confirmed position was no further than this member's:
    /// every write acknowledged until then is in its data. Set only while its log ends in an entry
    /// of the running term, so never for the divergent tail of an old one.
    pub fresh_at: Option<MonoTime>,
}

impl SlotMember {
    /// A member of which nothing has been seen.
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

/// A database as last seen from this VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatabaseState {
    /// When it last answered.
    pub answered_at: Option<MonoTime>,
    /// Since when it has not answered; absent while it does.
    pub silent_since: Option<MonoTime>,
}
