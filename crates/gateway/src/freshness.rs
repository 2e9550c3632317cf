//! The position that a read has to see, derived from the positions in the primary's answers.
//!
//! The position in an answer of the primary covers every commit that was acknowledged before the
//! statement was sent. Each answer therefore bounds what had been confirmed by then, and a read
//! that accepts a bounded age needs no extra query to the primary.

use board::freshness::{ConfirmedBound, ConfirmedBounds};
use model::prelude::*;

/// Safety margin that makes a read see slightly newer commits than its age requires, because
/// callers measure ages on their own clocks.
pub const AGE_MARGIN: DurationUs = DurationUs::from_ms(50);

/// Bounds on the confirmed position of a service in the current term.
#[derive(Debug, Default)]
pub struct ServiceFreshness {
    bounds: ConfirmedBounds,
    term: Term,
    /// The lowest position seen in the current term. It covers everything that is left of earlier
    /// terms.
    floor: Option<Position>,
}

impl ServiceFreshness {
    /// Begins a term. Bounds of earlier terms are dropped.
    pub fn begin_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.bounds.clear();
            self.floor = None;
        }
    }

    /// Records that the primary answered with `position` to a statement sent at `sent_at`.
    /// Positions of other terms are ignored.
    pub fn observe(&mut self, sent_at: MonoTime, position: Position) {
        if position.term != self.term {
            return;
        }
        self.floor = Some(self.floor.map_or(position, |floor| floor.min(position)));
        self.bounds.add(ConfirmedBound { at: sent_at, position });
    }

    /// The position of the current term that covers `position`, which may be of an earlier term;
    /// `None` if no position of the current term is known yet.
    pub fn in_current_term(&self, position: Position) -> Option<Position> {
        if position.term < self.term { self.floor } else { Some(position) }
    }

    /// The position that a read at `now` has to see to cover every commit older than `max_age`;
    /// `None` if no bound is recent enough.
    pub fn required_position(&self, now: MonoTime, max_age: DurationUs) -> Option<Position> {
        let age = DurationUs(max_age.0.saturating_sub(AGE_MARGIN.0));
        self.bounds.covering(now - age)
    }

    /// The newest bound on the confirmed position.
    pub fn latest(&self) -> Option<ConfirmedBound> {
        self.bounds.latest()
    }
}
