//! The HTTP listener for probes and metrics.

use std::{
    fmt::Write,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use axum::{Router, extract::State, routing::get};
use edge::server::{self, Limits};
use gateway::{
    Engine,
    histogram::{BOUNDS_MS, Histogram},
};
use http::StatusCode;
use tokio::{net::TcpListener, sync::watch};

use crate::{Codec, Node};

/// What the listener shows.
#[derive(Debug, Default)]
pub struct OpsState {
    /// Whether new callers can be served.
    pub ready: AtomicBool,
    /// Metrics as text.
    pub metrics: RwLock<String>,
}

impl OpsState {
    /// Takes the node's present state.
    pub fn update<D: Codec>(&self, node: &Node<D>) {
        let lost_datagrams = node.lost_datagrams();
        let text = node.with_engine(|engine| {
            self.ready.store(engine.is_ready(), Ordering::Relaxed);
            metrics_text(engine, lost_datagrams)
        });
        // A writer that panicked left the last whole text.
        *self.metrics.write().unwrap_or_else(|e| e.into_inner()) = text;
    }
}

/// The metrics in the text format that Prometheus reads.
fn metrics_text(engine: &Engine, lost_datagrams: u64) -> String {
    let counts = engine.counts();
    let (sessions, waiting) = engine.load();
    let latencies = engine.latencies();
    let mut text = String::new();
    for (name, value) in [
        ("answered_total", counts.answered),
        ("refused_total", counts.refused),
        ("failed_total", counts.failed),
        ("rate_limited_total", counts.rate_limited),
        ("connections_opened_total", counts.connections_opened),
        ("retries_total", counts.retries),
        ("replica_reads_total", counts.replica_reads),
        ("takeovers_total", counts.takeovers),
        ("searches_total", counts.searches),
        ("lost_datagrams_total", lost_datagrams),
        ("sessions", sessions as u64),
        ("waiting", waiting as u64),
        ("generation", engine.generation()),
        ("witness_step", engine.witness_step()),
    ] {
        // Writing to a string can't fail.
        let _ = writeln!(text, "jasminepass_{name} {value}");
    }
    for (name, histogram) in [
        ("read", &latencies.reads),
        ("write", &latencies.writes),
        ("error", &latencies.errors),
        ("wait", &latencies.waits),
    ] {
        write_histogram(&mut text, &format!("jasminepass_{name}_seconds"), histogram);
    }
    text
}

fn write_histogram(text: &mut String, name: &str, histogram: &Histogram) {
    let bounds = BOUNDS_MS.iter().map(|ms| (*ms as f64 / 1e3).to_string());
    let mut count = 0;
    for (bound, cumulative) in bounds.chain(["+Inf".to_owned()]).zip(histogram.cumulative()) {
        let _ = writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {cumulative}");
        count = cumulative;
    }
    let _ = writeln!(text, "{name}_sum {}", histogram.sum().0 as f64 / 1e6);
    let _ = writeln!(text, "{name}_count {count}");
}

/// Serves `GET /ready` and `GET /metrics` until the process ends.
pub async fn serve(listener: TcpListener, state: Arc<OpsState>) {
    let routes =
        Router::new().route("/ready", get(ready)).route("/metrics", get(metrics)).with_state(state);
    serve_forever(listener, routes).await;
}

/// Serves routes until the process ends.
pub(crate) async fn serve_forever(listener: TcpListener, routes: Router) {
    let (_never_stops, never) = watch::channel(false);
    server::serve(listener, routes, Limits::INTERNAL, "", never).await;
}

async fn ready(State(state): State<Arc<OpsState>>) -> StatusCode {
    match state.ready.load(Ordering::Relaxed) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(State(state): State<Arc<OpsState>>) -> String {
    // A writer that panicked left the last whole text.
    state.metrics.read().unwrap_or_else(|e| e.into_inner()).clone()
}
