//! Distributions of times, for metrics.

use model::prelude::*;

/// Upper bounds of the buckets, in milliseconds: from a read in the same data centre to the longest time
/// limit of callers. Longer times are in one more bucket.
pub const BOUNDS_MS: [u64; 12] =
    [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000];

/// How many times fell into each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    counts: [u64; BOUNDS_MS.len() + 1],
    sum_us: u64,
}

impl Histogram {
    /// Counts a time.
    pub fn record(&mut self, span: DurationUs) {
        let bucket = BOUNDS_MS.partition_point(|bound| DurationUs::from_ms(*bound) < span);
        self.counts[bucket] += 1;
        self.sum_us += span.0;
    }

    /// Times up to each bound, in the order of the bounds, and all at last.
    pub fn cumulative(&self) -> impl Iterator<Item = u64> {
        self.counts.iter().scan(0, |sum, count| {
            *sum += count;
            Some(*sum)
        })
    }

    /// All times added up.
    pub fn sum(&self) -> DurationUs {
        DurationUs(self.sum_us)
    }
}

/// How long statements took.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    /// From a read's arrival to its answer.
    pub reads: Histogram,
    /// From the arrival of a write or a commit to its answer.
    pub writes: Histogram,
    /// From the arrival of a statement to its refusal or failure.
    pub errors: Histogram,
    /// From a statement's arrival until an upstream was found for it.
    pub waits: Histogram,
}
