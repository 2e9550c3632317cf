//! HTTP routes of the stand-in platform: the object API and the control listener.

use std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode},
    routing::{delete, get, post},
};
use edge::client::SENDER_HEADER;
use proto::platform::{Object, Update, UpdateResult, Version, VmList, VmRecord};
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use super::{PlatformCounts, PlatformFaults, PlatformState, lock};

/// Returns the routes of the object API.
pub fn object_app(state: PlatformState) -> Router {
    Router::new()
        .route("/objects/{*name}", get(read).put(update))
        .route("/vms", get(list))
        .with_state(state)
}

/// Returns the routes of the control listener: fault switches, counters, changes to the VM list and
/// a dump of all objects.
pub fn control_app(state: PlatformState) -> Router {
    Router::new()
        .route("/faults", post(set_faults))
        .route("/counts", get(counts))
        .route("/objects", get(all_objects))
        .route("/vms", post(put_vm))
        .route("/vms/{vm}", delete(remove_vm))
        .with_state(state)
}

#[derive(Deserialize)]
struct WatchQuery {
    /// Version after which the caller waits for a change.
    after: Option<u64>,
    /// Longest wait, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    State(state): State<PlatformState>,
    Path(name): Path<String>,
    Query(query): Query<WatchQuery>,
    headers: HeaderMap,
) -> Result<Json<Object>, StatusCode> {
    match query.after {
        None => state.0.counters.reads.fetch_add(1, Ordering::Relaxed),
        Some(_) => state.0.counters.watches.fetch_add(1, Ordering::Relaxed),
    };
    state.slow_down().await;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let after = query.after.map(Version);
    loop {
        let changed = state.0.changed.notified();
        if state.is_cut_off(sender(&headers)) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let object = lock(&state.0.objects).get(&name);
        if after.is_none_or(|after| object.version > after) || Instant::now() >= deadline {
            return Ok(Json(object));
        }
        // A change and a timeout both lead to another check.
        let _ = timeout_at(deadline, changed).await;
    }
}

async fn update(
    State(state): State<PlatformState>,
    Path(name): Path<String>,
    headers: HeaderMap,
    Json(update): Json<Update>,
) -> Result<Json<UpdateResult>, StatusCode> {
    state.0.counters.updates.fetch_add(1, Ordering::Relaxed);
    state.slow_down().await;
    if state.is_cut_off(sender(&headers)) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let updated = lock(&state.0.objects).update(&name, update);
    state.0.changed.notify_waiters();
    if state.take_lost_answer() {
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(updated))
}

async fn list(
    State(state): State<PlatformState>,
    headers: HeaderMap,
) -> Result<Json<VmList>, StatusCode> {
    state.0.counters.reads.fetch_add(1, Ordering::Relaxed);
    state.slow_down().await;
    if state.is_cut_off(sender(&headers)) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let as_of = state.now_ms().saturating_sub(state.faults().list_lag_ms);
    Ok(Json(lock(&state.0.vms).at(as_of)))
}

async fn set_faults(State(state): State<PlatformState>, Json(faults): Json<PlatformFaults>) {
    state.set_faults(faults);
}

async fn counts(State(state): State<PlatformState>) -> Json<PlatformCounts> {
    Json(state.0.counters.counts())
}

async fn all_objects(State(state): State<PlatformState>) -> Json<BTreeMap<String, Object>> {
    Json(lock(&state.0.objects).all())
}

async fn put_vm(State(state): State<PlatformState>, Json(record): Json<VmRecord>) {
    lock(&state.0.vms).put(state.now_ms(), record);
}

async fn remove_vm(State(state): State<PlatformState>, Path(vm): Path<String>) {
    lock(&state.0.vms).remove(state.now_ms(), &vm);
}

fn sender(headers: &HeaderMap) -> &str {
    headers.get(SENDER_HEADER).and_then(|v| v.to_str().ok()).unwrap_or_default()
}
