//! HTTP routes of the admin listener (status, failover, outcomes, replication) and of the control
//! listener.

use std::time::Duration;

use axum::{
    Json, Router,
    extract::{Request, State},
    http::StatusCode,
    middleware::{self, Next},
    response::Response,
    routing::{get, post},
};
use edge::client::SENDER_HEADER;
use proto::database::{
    DatabaseError, Fence, Follow, OutcomeQuery, OutcomeRecord, Promote, RecordedOutcome, Role,
    SlotStatus, Status, StatusQuery, Wait, WaitResult,
};
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use super::{
    DatabaseCounts, DatabaseFaults, DatabaseState, SlotId,
    heartbeat::{Heartbeat, HeartbeatQuery},
    replication::{LogChunk, LogQuery},
    slot::KnownPrimary,
    statement::Writes,
};

type Reply<T> = Result<Json<T>, (StatusCode, Json<DatabaseError>)>;

/// Returns the routes of the admin listener.
pub fn admin_app(state: DatabaseState) -> Router {
    Router::new()
        .route("/status", post(status))
        .route("/wait", post(wait))
        .route("/fence", post(fence))
        .route("/promote", post(promote))
        .route("/follow", post(follow))
        .route("/outcome", post(outcome))
        .route("/log", post(log))
        .route("/heartbeat", post(heartbeat))
        .layer(middleware::from_fn_with_state(state.clone(), apply_faults))
        .with_state(state)
}

/// Returns the routes of the control listener: fault switches and counters.
pub fn control_app(state: DatabaseState) -> Router {
    Router::new().route("/faults", post(set_faults)).route("/counts", get(counts)).with_state(state)
}

async fn apply_faults(State(state): State<DatabaseState>, req: Request, next: Next) -> Response {
    let sender = req
        .headers()
        .get(SENDER_HEADER)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    state.apply_faults(&sender).await;
    next.run(req).await
}

async fn status(State(state): State<DatabaseState>, Json(_): Json<StatusQuery>) -> Json<Status> {
    state.0.heartbeats.record_status_query();
    let slots = state.0.slots.iter().map(|(slot_id, slot)| {
        let status = super::lock(slot).status(slot_id);
        let primary_in_service_ms = match status.role {
            Role::Primary => None,
            Role::Replica => state.0.heartbeats.since_in_service_ms(slot_id, status.term),
        };
        SlotStatus { primary_in_service_ms, ..status }
    });
    Json(Status { database: state.name().clone(), slots: slots.collect() })
}

async fn wait(State(state): State<DatabaseState>, Json(req): Json<Wait>) -> Reply<WaitResult> {
    let slot_id = SlotId { service: req.service.clone(), slot: req.slot.clone() };
    let deadline = Instant::now() + Duration::from_millis(req.wait_ms);
    loop {
        let changed = state.0.changed.notified();
        {
            let slot = state.slot(&req.service, &req.slot).map_err(conflict)?;
            let held = slot.check_held(req.position, req.term).map_err(conflict)?;
            if held || Instant::now() >= deadline {
                return Ok(Json(WaitResult { held, status: slot.status(&slot_id) }));
            }
        }
        // A change and a timeout both lead to another check.
        let _ = timeout_at(deadline, changed).await;
    }
}

async fn fence(State(state): State<DatabaseState>, Json(req): Json<Fence>) -> Reply<SlotStatus> {
    let slot_id = SlotId { service: req.service, slot: req.slot };
    let mut slot = state.slot(&slot_id.service, &slot_id.slot).map_err(conflict)?;
    slot.fence(req.term, &req.proposer).map_err(conflict)?;
    state.0.changed.notify_waiters();
    Ok(Json(slot.status(&slot_id)))
}

async fn promote(
    State(state): State<DatabaseState>,
    Json(req): Json<Promote>,
) -> Reply<SlotStatus> {
    let slot_id = SlotId { service: req.service, slot: req.slot };
    let mut slot = state.slot(&slot_id.service, &slot_id.slot).map_err(conflict)?;
    slot.promote(state.name(), req.term, &req.proposer).map_err(conflict)?;
    state.0.changed.notify_waiters();
    Ok(Json(slot.status(&slot_id)))
}

async fn follow(State(state): State<DatabaseState>, Json(req): Json<Follow>) -> Reply<SlotStatus> {
    let slot_id = SlotId { service: req.service, slot: req.slot };
    let mut slot = state.slot(&slot_id.service, &slot_id.slot).map_err(conflict)?;
    let primary =
        KnownPrimary { name: req.primary, admin_address: Some(req.primary_admin_address) };
    slot.follow(req.term, primary).map_err(conflict)?;
    state.0.heartbeats.record_in_service(&slot_id, req.term, Duration::ZERO);
    state.0.changed.notify_waiters();
    Ok(Json(slot.status(&slot_id)))
}

async fn outcome(
    State(state): State<DatabaseState>,
    Json(req): Json<OutcomeQuery>,
) -> Reply<OutcomeRecord> {
    let slot_id = SlotId { service: req.service, slot: req.slot };
    let mut slot = state.slot(&slot_id.service, &slot_id.slot).map_err(conflict)?;
    let mut recorded = slot.recorded_outcome(req.request_id);
    if req.cancel && recorded == RecordedOutcome::Absent {
        slot.check_primary(req.term).map_err(conflict)?;
        let position = slot.append(Some(req.request_id), true, Writes::new(), Value::Null);
        recorded = RecordedOutcome::Cancelled(position);
        state.0.changed.notify_waiters();
    }
    Ok(Json(OutcomeRecord { recorded, status: slot.status(&slot_id) }))
}

async fn log(State(state): State<DatabaseState>, Json(req): Json<LogQuery>) -> Reply<LogChunk> {
    let deadline = Instant::now() + Duration::from_millis(req.wait_ms);
    loop {
        let changed = state.0.changed.notified();
        {
            let slot = state.slot(&req.service, &req.slot).map_err(conflict)?;
            slot.check_primary(req.term).map_err(conflict)?;
            let (keep, entries) = slot.log_after(&req.ends, LogChunk::MAX_ENTRIES);
            let diverges = req.ends.last().is_some_and(|end| end.index > keep);
            if !entries.is_empty() || diverges || Instant::now() >= deadline {
                return Ok(Json(LogChunk { keep, entries }));
            }
        }
        // A change and a timeout both lead to another check.
        let _ = timeout_at(deadline, changed).await;
    }
}

async fn heartbeat(
    State(state): State<DatabaseState>,
    Json(req): Json<HeartbeatQuery>,
) -> Reply<Heartbeat> {
    let slot = state.slot(&req.service, &req.slot).map_err(conflict)?;
    slot.check_primary(req.term).map_err(conflict)?;
    Ok(Json(Heartbeat { asked_ms: state.0.heartbeats.since_status_query_ms() }))
}

async fn set_faults(State(state): State<DatabaseState>, Json(faults): Json<DatabaseFaults>) {
    state.set_faults(faults);
}

async fn counts(State(state): State<DatabaseState>) -> Json<DatabaseCounts> {
    Json(state.counts())
}

fn conflict(error: DatabaseError) -> (StatusCode, Json<DatabaseError>) {
    (StatusCode::CONFLICT, Json(error))
}
