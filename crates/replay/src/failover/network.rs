//! A simulated network: messages in flight with random delays, timers, and cuts between nodes.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MIN_DELAY_US: u64 = 300;
const MAX_DELAY: DurationUs = DurationUs(3_000);

/// Messages and timers, ordered by the time at which they are due.
#[derive(Debug)]
pub struct Network<M> {
    queue: BTreeMap<(MonoTime, u64), M>,
    sequence: u64,
    cuts: BTreeSet<(String, String)>,
    max_delay: DurationUs,
    /// Random numbers for delays and for the controllers.
    pub rng: StdRng,
}

impl<M> Network<M> {
    /// Creates a network without faults.
    pub fn new(seed: u64) -> Network<M> {
        Network {
            queue: BTreeMap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            max_delay: MAX_DELAY,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sends a message, which arrives after a random delay.
    pub fn send(&mut self, message: M, now: MonoTime) {
        let delay = self.rng.random_range(MIN_DELAY_US..self.max_delay.0);
        self.schedule(now + DurationUs(delay), message);
    }

    /// Schedules a message or timer for a given time.
    pub fn schedule(&mut self, at: MonoTime, message: M) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), message);
    }

    /// Removes the next message that is due no later than `until`.
    pub fn pop_due(&mut self, until: MonoTime) -> Option<(MonoTime, M)> {
        let entry = self.queue.first_entry()?;
        let at = entry.key().0;
        (at <= until).then(|| (at, entry.remove()))
    }

    /// Cuts two nodes off from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    /// Raises the longest delay of messages, so that they overtake each other.
    pub fn slow_down(&mut self, max_delay: DurationUs) {
        self.max_delay = max_delay.max(MAX_DELAY);
    }

    /// Ends every cut, and restores the usual delay.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.max_delay = MAX_DELAY;
    }

    /// Returns whether two nodes are cut off from each other.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }
}
