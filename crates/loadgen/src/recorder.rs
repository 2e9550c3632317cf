//! What became of the requests of one stream. No clock: times count from the start.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const LATENCY_MAX_US: u64 = 60_000_000;

/// The name under which successes are counted.
pub const ANSWERED: &str = "answered";
/// The name under which requests are counted that were due while too many others were in flight.
pub const OVERRUN: &str = "overrun";

/// Latency from the intended time of sending, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Greatest.
    pub max_us: u64,
}

/// The longest time without a success.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// When it began, in milliseconds from the start.
    pub from_ms: u64,
    /// How long it lasted, in milliseconds.
    pub length_ms: u64,
}

/// What became of the requests of one stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamReport {
    /// The stream, such as a workspace.
    pub name: String,
    /// Requests that were due.
    pub due: u64,
    /// Requests by outcome; `answered` are the successes.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests by entry of the mix and outcome.
    pub by_route: BTreeMap<String, BTreeMap<String, u64>>,
    /// Latency of successes.
    pub answered: Percentiles,
    /// Latency of everything else that came to an end.
    pub others: Percentiles,
    /// The longest time without a success.
    pub longest_gap: Gap,
}

/// Records the outcomes of one stream as they come.
pub struct Recorder {
    report: StreamReport,
    answered: Histogram<u64>,
    others: Histogram<u64>,
    last_success: Duration,
}

impl Recorder {
    /// A recorder for the stream.
    pub fn new(name: impl Into<String>) -> Recorder {
        Recorder {
            report: StreamReport { name: name.into(), ..StreamReport::default() },
            answered: histogram(),
            others: histogram(),
            last_success: Duration::ZERO,
        }
    }

    /// Records a request that was due at `intended` and came to its outcome at `done`.
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

    /// What was recorded until the load ended.
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
