//! Refill, changes of the limit, and the bound on what a `TokenBucket` lets through.

use model::prelude::*;
use quickcheck::{QuickCheck, TestResult};
use quota::bucket::{MICRO, RateLimit, TokenBucket};

fn bucket(rate_per_s: u32, burst: u32) -> TokenBucket {
    let mut bucket = TokenBucket::new(MonoTime(0));
    bucket.set_limit(RateLimit::new(rate_per_s, burst, 1, 1), MonoTime(0));
    bucket
}

#[test]
fn try_spend_starts_empty_and_refills_at_its_rate() {
    for (at_ms, weight, expected) in [
        (0, 1, Err(DurationUs(100_001))),
        (99, 1, Err(DurationUs(1_001))),
        (100, 1, Ok(())),
        (1_000, 10, Ok(())),
        (9_000, 20, Ok(())),
        (9_000, 21, Err(DurationUs(100_001))),
    ] {
        let spent = bucket(10, 20).try_spend(weight, MonoTime(at_ms * 1_000));
        assert_eq!(spent, expected, "weight {weight} at {at_ms} ms");
    }
}

#[test]
fn set_limit_drops_tokens_above_the_new_burst() {
    let mut bucket = bucket(10, 20);
    bucket.set_limit(RateLimit::new(10, 5, 1, 1), MonoTime(10 * MICRO));
    assert!(bucket.try_spend(6, MonoTime(10 * MICRO)).is_err());
    assert!(bucket.try_spend(5, MonoTime(10 * MICRO)).is_ok());
}

#[test]
fn try_spend_stays_within_rate_and_burst_in_any_window() {
    fn holds(steps: Vec<(u16, u8)>, rate: u8, burst: u8) -> TestResult {
        let (rate, burst) = (u64::from(rate) + 1, u64::from(burst) + 1);
        let mut bucket = bucket(rate as u32, burst as u32);
        let mut now = MonoTime(0);
        let mut spent: Vec<(MonoTime, u64)> = Vec::new();
        for (wait_ms, weight) in steps {
            now = now + DurationUs::from_ms(u64::from(wait_ms));
            if bucket.try_spend(u32::from(weight), now).is_ok() {
                spent.push((now, u64::from(weight)));
            }
        }
        let within = |from: usize| {
            let start = spent[from].0;
            let mut sum = 0;
            spent[from..].iter().all(|(at, weight)| {
                sum += weight;
                sum * MICRO <= rate * at.since(start).0 + burst * MICRO
            })
        };
        TestResult::from_bool((0..spent.len()).all(within))
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, 7))
        .quickcheck(holds as fn(_, _, _) -> _);
}
