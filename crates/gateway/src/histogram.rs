//! Latency histograms for metrics.

use model::prelude::*;

/// Upper bounds of the buckets, in milliseconds, from a read in the same data centre to the longest
/// statement timeout of callers. One more bucket holds longer times.
pub const BOUNDS_MS: [u64; 12] =
    [5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000];

/// A histogram of durations over the buckets of [`BOUNDS_MS`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    counts: [u64; BOUNDS_MS.len() + 1],
    sum_us: u64,
}

impl Histogram {
    /// Adds a duration.
    pub fn record(&mut self, span: DurationUs) {
        let bucket = BOUNDS_MS.partition_point(|bound| DurationUs::from_ms(*bound) < span);
        self.counts[bucket] += 1;
        self.sum_us += span.0;
    }

    /// Number of durations up to each bound, in the order of the bounds, and finally of all.
    pub fn cumulative(&self) -> impl Iterator<Item = u64> {
        self.counts.iter().scan(0, |sum, count| {
            *sum += count;
            Some(*sum)
        })
    }

    /// Sum of all durations.
    pub fn sum(&self) -> DurationUs {
        DurationUs(self.sum_us)
    }
}

/// Latencies of statements.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    /// From the arrival of a read to its answer.
    pub reads: Histogram,
    /// From the arrival of a write or a commit to its answer.
    pub writes: Histogram,
    /// From the arrival of a statement to its refusal or failure.
    pub errors: Histogram,
    /// From the arrival of a read, write or commit to its answer, if a connection of this VM's own had to be
    /// prepared for it. These are also among the reads and writes.
    pub prepared: Histogram,
    /// From the arrival of a statement until a connection was assigned to it.
    pub waits: Histogram,
}
