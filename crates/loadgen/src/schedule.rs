//! When each request of an open loop is to be sent. No clock: times count from the start.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// How the times of a stream's requests are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// Independent arrivals: the intervals are exponentially distributed.
    #[default]
    Poisson,
    /// Equal intervals.
    Even,
}

/// The times of one stream's requests, and which entry of the mix each of them is.
#[derive(Clone, Debug)]
pub struct Schedule {
    arrivals: Arrivals,
    mean_interval_s: f64,
    shares: Vec<u32>,
    last_at_s: f64,
    rng: StdRng,
}

/// One request of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// When it is to be sent, from the start.
    pub at: Duration,
    /// Its entry in the mix.
    pub mix: usize,
}

impl Schedule {
    /// A schedule of `per_second` requests, whose entries of the mix come in the given shares. The same
    /// seed gives the same schedule.
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
