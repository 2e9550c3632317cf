//! Upper bounds on a slot's confirmed position at past moments, from which the age of a replica's
//! data is derived.

use model::prelude::*;

/// Bounds kept per slot.
const BOUNDS_MAX: usize = 48;

/// No write past `position` had been confirmed at the moment `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedBound {
    /// The moment for which the bound holds.
    pub at: MonoTime,
    /// The highest position that can have been confirmed by then.
    pub position: Position,
}

/// Bounds of one slot, strictly increasing in both moment and position. A bound that another one
/// implies is not kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedBounds(Vec<ConfirmedBound>);

impl ConfirmedBounds {
    /// Adds a bound unless a known one implies it, and drops those that it implies.
    pub fn add(&mut self, bound: ConfirmedBound) {
        let implied = self.0.iter().any(|b| b.at >= bound.at && b.position <= bound.position);
        if implied {
            return;
        }
        self.0.retain(|b| b.at > bound.at || b.position < bound.position);
        let index = self.0.partition_point(|b| b.at < bound.at);
        self.0.insert(index, bound);
        if self.0.len() > BOUNDS_MAX {
            self.thin_out();
        }
    }

    /// The last moment for which no write past `position` can have been confirmed.
    pub fn covered_until(&self, position: Position) -> Option<MonoTime> {
        let index = self.0.partition_point(|b| b.position <= position);
        self.0[..index].last().map(|b| b.at)
    }

    /// The lowest known position at or past everything that was confirmed at `moment`. Absent if
    /// the last bound is older.
    pub fn covering(&self, moment: MonoTime) -> Option<Position> {
        let index = self.0.partition_point(|b| b.at < moment);
        self.0.get(index).map(|b| b.position)
    }

    /// The bound of the latest moment.
    pub fn latest(&self) -> Option<ConfirmedBound> {
        self.0.last().copied()
    }

    /// Removes all bounds.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Drops every second bound of the older half, so that the rest still covers old moments.
    fn thin_out(&mut self) {
        let mut index = 0;
        self.0.retain(|_| {
            index += 1;
            index > BOUNDS_MAX / 2 || index % 2 == 0
        });
    }
}
