//! The HTTP endpoints for readiness checks and metrics.

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
    Engine, EvacuationStatus,
    histogram::{BOUNDS_MS, Histogram},
};
use http::StatusCode;
use tokio::{net::TcpListener, sync::watch};

use crate::{Codec, Node, node::FetchCounts};

/// Readiness and metrics as of the last [`OpsState::update`].
#[derive(Debug, Default)]
pub struct OpsState {
    /// Whether the node can serve new callers.
    pub ready: AtomicBool,
    /// Metrics in the Prometheus text format.
    pub metrics: RwLock<String>,
}

impl OpsState {
    /// Updates readiness and metrics from the node's current state.
    pub fn update<C: Codec>(&self, node: &Node<C>) {
        let (fetches, lost_datagrams) = (node.fetches(), node.lost_datagrams());
        let text = node.with_engine(|engine| {
            self.ready.store(engine.is_ready(), Ordering::Relaxed);
            metrics_text(engine, fetches, lost_datagrams)
        });
        // The text is replaced as a whole, so that it is valid even if a writer panicked.
        *self.metrics.write().unwrap_or_else(|e| e.into_inner()) = text;
    }
}

/// Formats the engine's metrics in the Prometheus text format.
fn metrics_text(engine: &Engine, fetches: FetchCounts, lost_datagrams: u64) -> String {
    let counts = engine.counts();
    let (sessions, waiting) = engine.load();
    let open = engine.open_connections();
    let rates = engine.rate_counts();
    let latencies = engine.latencies();
    let [in_dc, in_region, beyond] = engine.statements_by_distance();
    let mut text = String::new();
    for (name, value) in [
        ("answered_total", counts.answered),
        ("refused_total", counts.refused),
        ("failed_total", counts.failed),
        ("rate_limited_total", counts.rate_limited),
        ("rate_tokens_own_total", rates.spent_own),
        ("rate_tokens_borrowed_total", rates.borrowed),
        ("rate_tokens_borrowed_spent_total", rates.spent_borrowed),
        ("rate_tokens_expired_total", rates.expired),
        ("rate_tokens_lent_total", rates.lent),
        ("rate_tokens_not_lent_total", rates.not_lent),
        ("rate_tokens_not_home_total", counts.tokens_not_home),
        ("rate_takeovers_total", rates.takeovers),
        ("region_refusals_total", counts.region_refusals),
        ("cold_held_back_total", counts.cold_held_back),
        ("cold_databases", engine.cold_databases() as u64),
        ("connections_opened_total", counts.connections_opened),
        ("connections_refused_total", counts.connections_refused),
        ("forwarded_total", counts.forwarded),
        ("holder_refusals_total", counts.holder_refusals),
        ("channel_refusals_total", counts.channel_refusals),
        ("retries_total", counts.retries),
        ("preparation_retries_total", counts.preparation_retries),
        ("replica_reads_total", counts.replica_reads),
        ("takeovers_total", counts.takeovers),
        ("searches_total", counts.searches),
        ("statements_dc_total", in_dc),
        ("statements_region_total", in_region),
        ("statements_beyond_total", beyond),
        ("lost_datagrams_total", lost_datagrams),
        ("store_calls_total", counts.store_calls),
        ("store_failures_total", counts.store_failures),
        ("fetches_total", fetches.completed),
        ("fetch_failures_total", fetches.failed),
        ("fetched_bytes_total", fetches.received_bytes),
        ("evacuation_aborts_total", counts.evacuation_aborts),
        ("evacuation_refusals_total", counts.evacuation_refusals),
        ("sessions", sessions as u64),
        ("waiting", waiting as u64),
        ("connections", open.own as u64),
        ("channels", open.channels as u64),
        ("peer_channels", open.peer_channels as u64),
        ("generation", engine.generation()),
        ("databases_version", engine.registry_version()),
        ("members_version", engine.members_version()),
        ("witness_step", engine.witness_step()),
        ("evacuations_version", engine.evacuations_version()),
    ] {
        // Writing to a string can't fail.
        let _ = writeln!(text, "jasminepass_{name} {value}");
    }
    for status in engine.evacuation_status() {
        let EvacuationStatus { dc, age, connections, in_use, channels, primaries, .. } = status;
        let _ = writeln!(
            text,
            "jasminepass_evacuation_age_seconds{{dc=\"{dc}\"}} {}",
            age.0 as f64 / 1e6
        );
        for (name, value) in [
            ("connections", connections),
            ("in_use", in_use),
            ("channels", channels),
            ("primaries", primaries.len()),
        ] {
            let _ = writeln!(text, "jasminepass_evacuation_{name}{{dc=\"{dc}\"}} {value}");
        }
    }
    for (reason, class, count) in counts.refusals.iter() {
        let _ = writeln!(
            text,
            "jasminepass_refusals_total{{reason=\"{}\",priority=\"{class}\"}} {count}",
            reason.name()
        );
    }
    for (service, share) in engine.spill_shares() {
        let _ = writeln!(text, "jasminepass_spill_share{{service=\"{service}\"}} {share:.3}");
    }
    for (name, histogram) in [
        ("read", &latencies.reads),
        ("write", &latencies.writes),
        ("prepared", &latencies.prepared),
        ("error", &latencies.errors),
        ("wait", &latencies.waits),
    ] {
        write_histogram(&mut text, &format!("jasminepass_{name}_seconds"), histogram);
    }
    text
}

/// Appends a histogram in the Prometheus text format, in seconds.
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
    // The text is replaced as a whole, so that it is valid even if a writer panicked.
    state.metrics.read().unwrap_or_else(|e| e.into_inner()).clone()
}
