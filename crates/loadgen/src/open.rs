//! The open-loop driver: sends each request when it is due, whether or not earlier ones were answered.
//!
//! Latency counts from the time at which a request was due, so a stall shows in every request that it
//! delays (no coordinated omission).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::{sync::Semaphore, sync::mpsc, task::JoinSet};

use crate::{
    recorder::{OVERRUN, Recorder, StreamReport},
    schedule::{Arrivals, Schedule, ScheduledRequest},
};

/// The requests of one workspace: their rate and their mix of routes.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Name of the stream in the report.
    pub name: String,
    /// Average number of requests per second.
    pub per_second: f64,
    /// Names of the routes, with the relative share of each.
    pub mix: Vec<(String, u32)>,
}

/// Settings of an open-loop load that all streams share.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// Time during which requests are sent.
    pub span: Duration,
    /// Distribution of the intervals between requests.
    pub arrivals: Arrivals,
    /// Maximum number of requests that a stream has in flight at once. A request that is due beyond it is
    /// not sent and counts as `overrun`.
    pub in_flight_max: usize,
    /// Seed of the schedules: the same seed gives the same send times.
    pub seed: u64,
}

/// The system under load, or a client of it.
pub trait Target: Send + Sync + 'static {
    /// Sends request `number` of the stream at index `stream`, on the route at index `mix` of its mix, and
    /// returns the name of its outcome, which is [`crate::recorder::ANSWERED`] for a success.
    fn send(&self, stream: usize, mix: usize, number: u64) -> impl Future<Output = String> + Send;
}

/// Report of an open-loop load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Time during which requests were sent, in milliseconds.
    pub span_ms: u64,
    /// Report of each stream, in the order in which the streams were given.
    pub streams: Vec<StreamReport>,
}

/// A request that was answered, failed or was not sent, with times from the start of the load.
struct CompletedRequest {
    mix: usize,
    outcome: String,
    intended: Duration,
    done: Duration,
}

/// Runs all streams against the target and waits until every request is complete.
pub async fn run(
    target: Arc<impl Target>,
    streams: &[Stream],
    settings: LoadSettings,
) -> eyre::Result<Report> {
    let started = Instant::now();
    let mut running = JoinSet::new();
    for (at, stream) in streams.iter().enumerate() {
        let (target, stream) = (target.clone(), stream.clone());
        running.spawn(async move { (at, run_stream(target, at, stream, settings, started).await) });
    }
    let mut reports = Vec::new();
    while let Some(finished) = running.join_next().await {
        reports.push(finished?);
    }
    reports.sort_by_key(|(at, _)| *at);
    let streams = reports.into_iter().map(|(_, report)| report).collect();
    Ok(Report { span_ms: settings.span.as_millis() as u64, streams })
}

async fn run_stream(
    target: Arc<impl Target>,
    at: usize,
    stream: Stream,
    settings: LoadSettings,
    started: Instant,
) -> StreamReport {
    let shares: Vec<u32> = stream.mix.iter().map(|(_, share)| *share).collect();
    let schedule = Schedule::new(
        settings.arrivals,
        stream.per_second,
        &shares,
        settings.seed.wrapping_add(at as u64),
    );
    let (done_tx, mut done_rx) = mpsc::unbounded_channel();
    let send_all = send_all(target, at, schedule, settings, started, done_tx);
    let record_all = async {
        let mut recorder = Recorder::new(&stream.name);
        while let Some(CompletedRequest { mix, outcome, intended, done }) = done_rx.recv().await {
            let route = stream.mix.get(mix).map_or("", |(name, _)| name);
            recorder.record(route, &outcome, intended, done);
        }
        recorder.finish(settings.span)
    };
    tokio::join!(send_all, record_all).1
}

async fn send_all(
    target: Arc<impl Target>,
    at: usize,
    schedule: Schedule,
    settings: LoadSettings,
    started: Instant,
    done_tx: mpsc::UnboundedSender<CompletedRequest>,
) {
    let permits = Arc::new(Semaphore::new(settings.in_flight_max));
    let due = schedule.take_while(|request| request.at < settings.span);
    for (number, ScheduledRequest { at: intended, mix }) in due.enumerate() {
        tokio::time::sleep_until((started + intended).into()).await;
        let report =
            |outcome: String| CompletedRequest { mix, outcome, intended, done: started.elapsed() };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            // The send can't fail: the receiver outlives every sender.
            let _ = done_tx.send(report(OVERRUN.to_owned()));
            continue;
        };
        let (target, done_tx) = (target.clone(), done_tx.clone());
        tokio::spawn(async move {
            let outcome = target.send(at, mix, number as u64).await;
            let _ =
                done_tx.send(CompletedRequest { mix, outcome, intended, done: started.elapsed() });
            drop(permit);
        });
    }
}
