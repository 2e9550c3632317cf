//! What must hold of the requests that were admitted.

use model::prelude::*;
use quota::bucket::{MICRO, RateLimit, TokenBucket};

/// A request that arrived at some VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it came.
    pub at: MonoTime,
    /// When it was admitted or refused; absent while it waits.
    pub decided_at: Option<MonoTime>,
    /// Its weight.
    pub weight: u32,
    /// Whether it was admitted.
    pub admitted: bool,
}

/// The most by which any window passes rate x time + burst, in millionths of a token; zero if none does.
pub fn excess_micro(arrivals: &[Arrival], rate_per_s: u32, burst: u32) -> u64 {
    let mut admitted: Vec<(MonoTime, u32)> = arrivals
        .iter()
        .filter(|a| a.admitted)
        .filter_map(|a| Some((a.decided_at?, a.weight)))
        .collect();
    admitted.sort_by_key(|(at, _)| *at);
    let mut sum: i128 = 0;
    let mut lowest = i128::MAX;
    let mut worst: i128 = 0;
    for (at, weight) in admitted {
        // A rate per second times microseconds is in millionths of a token.
        let gained = i128::from(at.0) * i128::from(rate_per_s);
        lowest = lowest.min(sum - gained);
        sum += i128::from(weight) * i128::from(MICRO);
        worst = worst.max(sum - gained - lowest);
    }
    (worst - i128::from(burst) * i128::from(MICRO)).max(0) as u64
}

/// How a fleet's decisions compare with those of one bucket for all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that one bucket would have admitted.
    pub oracle_admitted: u64,
    /// Requests that the fleet admitted.
    pub admitted: u64,
    /// Requests that one bucket would have admitted and the fleet refused.
    pub wrongly_refused: u64,
}

impl Comparison {
    /// Wrongful refusals in parts per million of what one bucket would have admitted.
    pub fn wrongly_refused_ppm(&self) -> u64 {
        (self.wrongly_refused * 1_000_000).checked_div(self.oracle_admitted).unwrap_or(0)
    }
}

/// Compares with a full bucket that admits or refuses each request as it arrives.
pub fn compare_with_oracle(
    arrivals: &[Arrival],
    rate_per_s: u32,
    burst: u32,
    from: MonoTime,
) -> Comparison {
    let mut oracle = TokenBucket::new(MonoTime(0));
    oracle.set_limit(RateLimit::new(rate_per_s, burst, 1, 1), MonoTime(0));
    let mut comparison = Comparison::default();
    for arrival in arrivals {
        let would = oracle.try_spend(arrival.weight, arrival.at).is_ok();
        if arrival.at < from {
            continue;
        }
        comparison.arrived += 1;
        comparison.oracle_admitted += u64::from(would);
        comparison.admitted += u64::from(arrival.admitted);
        comparison.wrongly_refused += u64::from(would && !arrival.admitted);
    }
    comparison
}
