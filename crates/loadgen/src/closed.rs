//! The closed-loop driver: each connection sends its next request once the previous one is answered.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

const LATENCY_MAX_US: u64 = 60_000_000;

/// Report of a closed-loop load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of connections.
    pub connections: usize,
    /// Number of requests that succeeded.
    pub answered: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Successful requests per second.
    pub per_second: f64,
    /// Median latency of successful requests, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of successful requests, in microseconds.
    pub p99_us: u64,
}

/// Sends requests one after the other on a connection of its own.
pub trait Worker: Send + 'static {
    /// Sends the next request, and returns whether it succeeded.
    fn request(&mut self) -> impl Future<Output = bool> + Send;

    /// Waits until the next request is due. By default it is due at once.
    fn pause(&mut self) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }
}

/// Runs all workers concurrently for `span`. Latency counts from when a request is sent.
pub async fn run<W: Worker>(workers: Vec<W>, span: Duration) -> eyre::Result<Report> {
    let count = workers.len();
    let mut loops = JoinSet::new();
    let started = Instant::now();
    for mut worker in workers {
        loops.spawn(async move {
            let mut latencies = histogram();
            let mut failed = 0;
            while started.elapsed() < span {
                worker.pause().await;
                let sent = Instant::now();
                match worker.request().await {
                    true => latencies.saturating_record(sent.elapsed().as_micros() as u64),
                    false => failed += 1,
                }
            }
            (latencies, failed)
        });
    }
    let mut latencies = histogram();
    let mut failed = 0;
    while let Some(done) = loops.join_next().await {
        let (of_one, failed_of_one) = done?;
        latencies.add(of_one)?;
        failed += failed_of_one;
    }
    let seconds = started.elapsed().as_secs_f64();
    Ok(Report {
        connections: count,
        answered: latencies.len(),
        failed,
        per_second: latencies.len() as f64 / seconds,
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
    })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds are constant and valid")
}
