//! Latency histograms.

use gateway::histogram::{BOUNDS_MS, Histogram};
use model::prelude::*;

#[test]
fn record_includes_the_upper_bound_of_a_bucket() {
    let check = |us: u64, expected_bucket: usize| {
        let mut histogram = Histogram::default();
        histogram.record(DurationUs(us));
        let first = histogram.cumulative().position(|count| count == 1);
        assert_eq!(first, Some(expected_bucket), "{us} us");
        assert_eq!(histogram.sum(), DurationUs(us));
    };
    check(0, 0);
    check(5_000, 0);
    check(5_001, 1);
    check(1_000_000, 7);
    check(60_000_000, BOUNDS_MS.len());
}

#[test]
fn cumulative_ends_with_the_total_count() {
    let mut histogram = Histogram::default();
    for ms in [1, 7, 7, 30_000] {
        histogram.record(DurationUs::from_ms(ms));
    }
    let counts: Vec<u64> = histogram.cumulative().collect();
    assert_eq!(counts[..3], [1, 3, 3]);
    assert_eq!(counts.last(), Some(&4));
}
