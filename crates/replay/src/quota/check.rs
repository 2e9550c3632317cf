//! Checks which requests were admitted: against the rate limit, and against an oracle, a single token
//! bucket for the whole fleet.

use model::prelude::*;
use quota::bucket::{MICRO, RateLimit, TokenBucket};

/// A request that arrived at a VM of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: MonoTime,
    /// When the request was admitted or refused; absent while it waits.
    pub decided_at: Option<MonoTime>,
    /// Weight of the request, in tokens.
    pub weight: u32,
    /// Whether the request was admitted.
    pub admitted: bool,
}

/// Returns by how many microtokens the weight admitted in any time window exceeds rate x time + burst at
/// most; zero if no window exceeds it.
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
        // Tokens per second times microseconds are microtokens.
        let gained = i128::from(at.0) * i128::from(rate_per_s);
        lowest = lowest.min(sum - gained);
        sum += i128::from(weight) * i128::from(MICRO);
        worst = worst.max(sum - gained - lowest);
    }
    (worst - i128::from(burst) * i128::from(MICRO)).max(0) as u64
}

/// Decisions of a fleet compared with those of the oracle, one token bucket for the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests that the oracle admits.
    pub oracle_admitted: u64,
    /// Number of requests that the fleet admitted.
    pub admitted: u64,
    /// Number of requests that the oracle admits and the fleet did not.
    pub wrongly_refused: u64,
}

impl Comparison {
    /// Returns wrongly refused requests in parts per million of those that the oracle admits.
    pub fn wrongly_refused_ppm(&self) -> u64 {
        (self.wrongly_refused * 1_000_000).checked_div(self.oracle_admitted).unwrap_or(0)
    }
}

/// Compares the decisions on requests that arrived since `from` with those of a bucket that starts full
/// and decides on each request, earlier ones included, as it arrives.
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
