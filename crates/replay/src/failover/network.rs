//! Messages in flight: their delays, and what is cut off from what.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MIN_DELAY_US: u64 = 300;
const MAX_DELAY: DurationUs = DurationUs(3_000);

/// Messages and timers, in the order in which they come.
#[derive(Debug)]
pub struct Network<M> {
    queue: BTreeMap<(MonoTime, u64), M>,
    sequence: u64,
    cuts: BTreeSet<(String, String)>,
    max_delay: DurationUs,
    /// Source of delays and of the controllers' random numbers.
    pub rng: StdRng,
}

impl<M> Network<M> {
    /// A network in which everything passes.
    pub fn new(seed: u64) -> Network<M> {
        Network {
            queue: BTreeMap::new(),
            sequence: 0,
            cuts: BTreeSet::new(),
            max_delay: MAX_DELAY,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A message that arrives after a random delay.
    pub fn send(&mut self, message: M, now: MonoTime) {
        let delay = self.rng.random_range(MIN_DELAY_US..self.max_delay.0);
        self.schedule(now + DurationUs(delay), message);
    }

    /// A message or timer that comes at that moment.
    pub fn schedule(&mut self, at: MonoTime, message: M) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), message);
    }

    /// The next message that comes no later than `until`.
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

    /// Messages take up to this long, so that they overtake each other.
    pub fn slow_down(&mut self, max_delay: DurationUs) {
        self.max_delay = max_delay.max(MAX_DELAY);
    }

    /// Ends every cut and slowness.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.max_delay = MAX_DELAY;
    }

    /// Whether two nodes are cut off from each other.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }
}
