//! An open loop: requests are sent when they are due, whether or not earlier ones were answered.
//!
//! Latency counts from the time at which a request was due, so that a stalled system shows in every
//! request that it kept waiting (no coordinated omission).

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

/// The requests of one workspace.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Its name in the report.
    pub name: String,
    /// Requests per second.
    pub per_second: f64,
    /// Names of the entries of its mix, with the share of each.
    pub mix: Vec<(String, u32)>,
}

/// How a load runs.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// How long requests are sent.
    pub span: Duration,
    /// How the requests' times are spread.
    pub arrivals: Arrivals,
    /// Requests of a stream in flight at once. What is due beyond them counts as `overrun`.
    pub in_flight_max: usize,
    /// The same seed gives the same schedule.
    pub seed: u64,
}

/// Sends requests.
pub trait Target: Send + Sync + 'static {
    /// Sends the `number`th request of the stream, of that entry of its mix, and returns its outcome,
    /// which is [`crate::recorder::ANSWERED`] for a success.
    fn send(&self, stream: usize, mix: usize, number: u64) -> impl Future<Output = String> + Send;
}

/// What a load came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// How long requests were sent, in milliseconds.
    pub span_ms: u64,
    /// Each stream.
    pub streams: Vec<StreamReport>,
}

/// A request that came to its outcome.
struct CompletedRequest {
    mix: usize,
    outcome: String,
    intended: Duration,
    done: Duration,
}

/// Runs every stream against the target and waits until each request has come to its outcome.
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
            // The receiver outlives every sender.
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
