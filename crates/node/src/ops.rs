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
use gateway::Engine;
use http::StatusCode;
use tokio::{net::TcpListener, sync::watch};

use crate::{Dialect, Node};

/// What the listener shows.
#[derive(Debug, Default)]
pub struct Shown {
    /// Whether new callers can be served.
    pub ready: AtomicBool,
    /// Metrics as text.
    pub metrics: RwLock<String>,
}

impl Shown {
    /// Takes the node's present state.
    pub fn update<D: Dialect>(&self, node: &Node<D>) {
        let text = node.with_engine(|engine| {
            self.ready.store(engine.is_ready(), Ordering::Relaxed);
            metrics_text(engine)
        });
        // A writer that panicked left the last whole text.
        *self.metrics.write().unwrap_or_else(|e| e.into_inner()) = text;
    }
}

fn metrics_text(engine: &Engine) -> String {
    let counts = engine.counts();
    let (sessions, waiting) = engine.load();
    let mut text = String::new();
    for (name, value) in [
        ("answered", counts.answered),
        ("refused", counts.refused),
        ("failed", counts.failed),
        ("rate_limited", counts.rate_limited),
        ("connections_opened", counts.connections_opened),
        ("retries", counts.retries),
        ("replica_reads", counts.replica_reads),
        ("takeovers", counts.takeovers),
        ("searches", counts.searches),
        ("sessions", sessions as u64),
        ("waiting", waiting as u64),
        ("generation", engine.generation()),
    ] {
        // Writing to a string can't fail.
        let _ = writeln!(text, "jasminepass_{name} {value}");
    }
    text
}

/// Serves `GET /ready` and `GET /metrics` until the process ends.
pub async fn serve(listener: TcpListener, shown: Arc<Shown>) {
    let routes =
        Router::new().route("/ready", get(ready)).route("/metrics", get(metrics)).with_state(shown);
    serve_forever(listener, routes).await;
}

/// Serves routes until the process ends.
pub(crate) async fn serve_forever(listener: TcpListener, routes: Router) {
    let (_never_stops, never) = watch::channel(false);
    server::serve(listener, routes, Limits::INTERNAL, "", never).await;
}

async fn ready(State(shown): State<Arc<Shown>>) -> StatusCode {
    match shown.ready.load(Ordering::Relaxed) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(State(shown): State<Arc<Shown>>) -> String {
    // A writer that panicked left the last whole text.
    shown.metrics.read().unwrap_or_else(|e| e.into_inner()).clone()
}
