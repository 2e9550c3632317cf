//! What is known of slots and databases.

use model::prelude::*;
use proto::database::Role;

use crate::catalog::{Catalog, DatabaseKey, SlotKey};

/// A slot as last seen from this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotState {
    /// The highest term seen.
    pub term: Term,
    /// Its primary, as far as known.
    pub primary: Option<DatabaseKey>,
    /// Each database that carries it.
    pub members: Vec<Member>,
    /// The highest position that a majority is known to have applied.
    pub confirmed: Position,
}

impl SlotState {
    /// A slot of which nothing has been seen: its first member is taken for the primary.
    pub fn new(catalog: &Catalog, key: SlotKey) -> SlotState {
        let entry = &catalog.slots[key];
        let members = entry.members.iter().map(|&database| Member::new(database));
        SlotState {
            term: Term::default(),
            primary: entry.members.first().copied(),
            members: members.collect(),
            confirmed: Position::ZERO,
        }
    }

    /// How many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The member on that database.
    pub fn member(&self, database: DatabaseKey) -> Option<&Member> {
        self.members.iter().find(|m| m.database == database)
    }
}

/// A slot at one database, as last seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The database.
    pub database: DatabaseKey,
    /// Its part.
    pub role: Role,
    /// The highest term granted there.
    pub term: Term,
    /// How far it has applied the log.
    pub position: Position,
    /// The last moment at which the confirmed position was no further than this member's. Its data is
    /// no older than the time since.
    pub fresh_at: Option<MonoTime>,
}

impl Member {
    /// A member of which nothing has been seen.
    pub fn new(database: DatabaseKey) -> Member {
        Member {
            database,
            role: Role::Replica,
            term: Term::default(),
            position: Position::ZERO,
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
