//! Collects outcomes, latencies and the longest gap in service of one stream.
//!
//! The module reads no clock: times count from the start of the load.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const LATENCY_MAX_US: u64 = 60_000_000;

/// Outcome of a request that succeeded.
pub const ANSWERED: &str = "answered";
/// Outcome of a request that was not sent because too many others were in flight when it was due.
pub const OVERRUN: &str = "overrun";

/// Percentiles of the latency from the time at which a request was due, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 90th percentile, in microseconds.
    pub p90_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Maximum, in microseconds.
    pub max_us: u64,
}

/// A span of time without a successful request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Start of the gap, in milliseconds from the start of the load.
    pub from_ms: u64,
    /// Length of the gap, in milliseconds.
    pub length_ms: u64,
}

/// Outcomes and latencies of one stream's requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamReport {
    /// Name of the stream, such as its workspace.
    pub name: String,
    /// Number of requests that were due, including those not sent.
    pub due: u64,
    /// Number of requests by outcome; `answered` counts the successes.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of requests by route and outcome.
    pub by_route: BTreeMap<String, BTreeMap<String, u64>>,
    /// Latency of the requests that succeeded.
    pub answered: Percentiles,
    /// Latency of the requests that were sent and failed.
    pub others: Percentiles,
    /// Longest gap between successes, or between one and the start or end of the load.
    pub longest_gap: Gap,
}

/// Records the outcomes of one stream and sums them up as a [`StreamReport`].
pub struct Recorder {
    report: StreamReport,
    answered: Histogram<u64>,
    others: Histogram<u64>,
    last_success: Duration,
}

impl Recorder {
    /// Returns an empty recorder for the stream `name`.
    pub fn new(name: impl Into<String>) -> Recorder {
        Recorder {
            report: StreamReport { name: name.into(), ..StreamReport::default() },
            answered: histogram(),
            others: histogram(),
            last_success: Duration::ZERO,
        }
    }

    /// Records a request that was due at `intended` and completed at `done`, both from the start of the
    /// load.
    pub fn record(&mut self, route: &str, outcome: &str, intended: Duration, done: Duration) {
        self.report.due += 1;
        *self.report.outcomes.entry(outcome.to_owned()).or_default() += 1;
        let by_route = self.report.by_route.entry(route.to_owned()).or_default();
        *by_route.entry(outcome.to_owned()).or_default() += 1;
        let latency_us = done.saturating_sub(intended).as_micros() as u64;
        match outcome {
            ANSWERED => {
                self.answered.saturating_record(latency_us);
                self.end_gap(done);
            }
            OVERRUN => {}
            _ => self.others.saturating_record(latency_us),
        }
    }

    /// Returns the report of a load that ended at `end`.
    pub fn finish(mut self, end: Duration) -> StreamReport {
        self.end_gap(end);
        self.report.answered = percentiles(&self.answered);
        self.report.others = percentiles(&self.others);
        self.report
    }

    fn end_gap(&mut self, at: Duration) {
        let length_ms = at.saturating_sub(self.last_success).as_millis() as u64;
        if length_ms > self.report.longest_gap.length_ms {
            let from_ms = self.last_success.as_millis() as u64;
            self.report.longest_gap = Gap { from_ms, length_ms };
        }
        self.last_success = self.last_success.max(at);
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds are constant and valid")
}
