//! Bounds on how far a slot's confirmed position can have been at past moments.

use model::prelude::*;

const BOUNDS_MAX: usize = 48;

/// No write past `position` had been confirmed at the moment `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedBound {
    /// The moment.
    pub at: MonoTime,
    /// The bound.
    pub position: Position,
}

/// The useful bounds: sorted by moment, and by position, strictly.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedBounds(Vec<ConfirmedBound>);

impl ConfirmedBounds {
    /// Adds a bound, and drops those that it makes useless.
    pub fn add(&mut self, bound: ConfirmedBound) {
        let useless = self.0.iter().any(|b| b.at >= bound.at && b.position <= bound.position);
        if useless {
            return;
        }
        self.0.retain(|b| b.at > bound.at || b.position < bound.position);
        let index = self.0.partition_point(|b| b.at < bound.at);
        self.0.insert(index, bound);
        if self.0.len() > BOUNDS_MAX {
            self.thin_out();
        }
    }

    /// The last moment at which everything confirmed was at or before `position`.
    pub fn covered_until(&self, position: Position) -> Option<MonoTime> {
        let index = self.0.partition_point(|b| b.position <= position);
        self.0[..index].last().map(|b| b.at)
    }

    /// The lowest position that surely holds everything confirmed at `moment`, as far as the bounds say.
    pub fn covering(&self, moment: MonoTime) -> Option<Position> {
        let index = self.0.partition_point(|b| b.at < moment);
        self.0.get(index).map(|b| b.position)
    }

    /// The latest bound.
    pub fn latest(&self) -> Option<ConfirmedBound> {
        self.0.last().copied()
    }

    /// Forgets all bounds.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Drops every second bound of the older half, so that the rest reaches far back.
    fn thin_out(&mut self) {
        let mut index = 0;
        self.0.retain(|_| {
            index += 1;
            index > BOUNDS_MAX / 2 || index % 2 == 0
        });
    }
}
