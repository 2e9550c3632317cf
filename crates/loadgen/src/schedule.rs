//! Computes when each request of an open loop is due and which route it uses.
//!
//! The module reads no clock: times count from the start of the load.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// Distribution of the intervals between a stream's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// Poisson arrivals: the intervals are independent and exponentially distributed.
    #[default]
    Poisson,
    /// Equal intervals.
    Even,
}

/// An endless iterator over one stream's requests, in the order in which they are due.
#[derive(Clone, Debug)]
pub struct Schedule {
    arrivals: Arrivals,
    mean_interval_s: f64,
    shares: Vec<u32>,
    last_at_s: f64,
    rng: StdRng,
}

/// A request of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// Time at which the request is due, from the start of the load.
    pub at: Duration,
    /// Index of the request's route in the stream's mix.
    pub mix: usize,
}

impl Schedule {
    /// Returns a schedule of `per_second` requests per second on average. Each request's route is drawn
    /// at random with the relative weights `shares`. The same seed gives the same schedule.
    pub fn new(arrivals: Arrivals, per_second: f64, shares: &[u32], seed: u64) -> Schedule {
        Schedule {
            arrivals,
            mean_interval_s: 1.0 / per_second.max(f64::MIN_POSITIVE),
            shares: shares.to_vec(),
            last_at_s: 0.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn sample_interval_s(&mut self) -> f64 {
        match self.arrivals {
            Arrivals::Even => self.mean_interval_s,
            Arrivals::Poisson => -(1.0 - self.rng.random::<f64>()).ln() * self.mean_interval_s,
        }
    }

    fn pick_mix_entry(&mut self) -> usize {
        let sum: u32 = self.shares.iter().sum();
        let mut left = self.rng.random_range(0..sum.max(1));
        for (at, share) in self.shares.iter().enumerate() {
            if left < *share {
                return at;
            }
            left -= share;
        }
        0
    }
}

impl Iterator for Schedule {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        self.last_at_s += self.sample_interval_s();
        let at = Duration::try_from_secs_f64(self.last_at_s).ok()?;
        Some(ScheduledRequest { at, mix: self.pick_mix_entry() })
    }
}
