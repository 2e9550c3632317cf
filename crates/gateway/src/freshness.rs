//! What a read has to see, from the positions that the primary's answers carried.
//!
//! A commit that was acknowledged before a statement was sent to the primary is in the position that
//! the answer carries. So each answer bounds what had been confirmed when its statement was sent, and
//! a read that accepts an age needs no query of its own.

use board::freshness::{ConfirmedBound, ConfirmedBounds};
use model::prelude::*;

/// Added to the age of a bound before it is used: callers measure ages on clocks of their own.
pub const AGE_MARGIN: DurationUs = DurationUs::from_ms(50);

/// Bounds on a service's confirmed position within its running term.
#[derive(Debug, Default)]
pub struct ServiceFreshness {
    bounds: ConfirmedBounds,
    term: Term,
    /// Lowest position seen in the running term. It holds all that is left of earlier terms.
    floor: Option<Position>,
}

impl ServiceFreshness {
    /// A term has begun. What was known of earlier ones bounds nothing any more.
    pub fn begin_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.bounds.clear();
            self.floor = None;
        }
    }

    /// The primary of the running term answered `position` to a statement sent at `sent_at`.
    pub fn observe(&mut self, sent_at: MonoTime, position: Position) {
        if position.term != self.term {
            return;
        }
        self.floor = Some(self.floor.map_or(position, |floor| floor.min(position)));
        self.bounds.add(ConfirmedBound { at: sent_at, position });
    }

    /// What stands for `position` in the running term; `None` where that is not known yet.
    pub fn in_current_term(&self, position: Position) -> Option<Position> {
        if position.term < self.term { self.floor } else { Some(position) }
    }

    /// The position that a read at `now` must see to hold every commit older than `max_age`; `None`
    /// where no bound is recent enough.
    pub fn required_position(&self, now: MonoTime, max_age: DurationUs) -> Option<Position> {
        let age = DurationUs(max_age.0.saturating_sub(AGE_MARGIN.0));
        self.bounds.covering(now - age)
    }

    /// The newest bound.
    pub fn latest(&self) -> Option<ConfirmedBound> {
        self.bounds.latest()
    }
}
