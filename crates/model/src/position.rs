//! Terms and log positions of a slot.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The term of a slot, which each change of primary raises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The next higher term.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A position in the replication log of a slot: the term in which the entry was written, and its
/// index.
///
/// Positions compare by term first, so that an entry in the divergent tail of an old term is lower
/// than any entry of a newer term, whatever its index.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was written.
    pub term: Term,
    /// Number of entries up to and including this one.
    pub index: u64,
}

impl Position {
    /// The position before the first entry.
    pub const ZERO: Position = Position { term: Term(0), index: 0 };

    /// Creates a position.
    pub fn new(term: Term, index: u64) -> Position {
        Position { term, index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}
