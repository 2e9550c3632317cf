//! The admin listener: status, promotion, outcomes and the log; and the control listener of tests.

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
    DatabaseCounts, DatabaseFaults, DatabaseState, SlotSettings,
    heartbeat::{Heartbeat, HeartbeatQuery},
    replication::{LogChunk, LogQuery},
    slot::Leader,
    statement::Writes,
};

type Reply<T> = Result<Json<T>, (StatusCode, Json<DatabaseError>)>;

/// The admin listener.
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
        .layer(middleware::from_fn_with_state(state.clone(), pass_faults))
        .with_state(state)
}

/// The control listener: fault switches and counts.
pub fn control_app(state: DatabaseState) -> Router {
    Router::new().route("/faults", post(set_faults)).route("/counts", get(counts)).with_state(state)
}

async fn pass_faults(State(state): State<DatabaseState>, req: Request, next: Next) -> Response {
    let sender = req
        .headers()
        .get(SENDER_HEADER)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    state.pass_faults(&sender).await;
    next.run(req).await
}

async fn status(State(state): State<DatabaseState>, Json(_): Json<StatusQuery>) -> Json<Status> {
    state.0.heartbeats.asked_by_vm();
    let slots = state.0.slots.iter().map(|(settings, slot)| {
        let status = super::lock(slot).status(settings);
        let primary_in_service_ms = match status.role {
            Role::Primary => None,
            Role::Replica => state.0.heartbeats.in_service_ms(settings, status.term),
        };
        SlotStatus { primary_in_service_ms, ..status }
    });
    Json(Status { database: state.name().clone(), slots: slots.collect() })
}

async fn wait(State(state): State<DatabaseState>, Json(req): Json<Wait>) -> Reply<WaitResult> {
    let settings = SlotSettings { service: req.service.clone(), slot: req.slot.clone() };
    let deadline = Instant::now() + Duration::from_millis(req.wait_ms);
    loop {
        let changed = state.0.changed.notified();
        {
            let slot = state.slot(&req.service, &req.slot).map_err(refused)?;
            let held = slot.check_held(req.position, req.term).map_err(refused)?;
            if held || Instant::now() >= deadline {
                return Ok(Json(WaitResult { held, status: slot.status(&settings) }));
            }
        }
        // Both a change and the end of the wait lead to another look.
        let _ = timeout_at(deadline, changed).await;
    }
}

async fn fence(State(state): State<DatabaseState>, Json(req): Json<Fence>) -> Reply<SlotStatus> {
    let settings = SlotSettings { service: req.service, slot: req.slot };
    let mut slot = state.slot(&settings.service, &settings.slot).map_err(refused)?;
    slot.fence(req.term, &req.proposer).map_err(refused)?;
    state.0.changed.notify_waiters();
    Ok(Json(slot.status(&settings)))
}

async fn promote(
    State(state): State<DatabaseState>,
    Json(req): Json<Promote>,
) -> Reply<SlotStatus> {
    let settings = SlotSettings { service: req.service, slot: req.slot };
    let mut slot = state.slot(&settings.service, &settings.slot).map_err(refused)?;
    slot.promote(state.name(), req.term, &req.proposer).map_err(refused)?;
    state.0.changed.notify_waiters();
    Ok(Json(slot.status(&settings)))
}

async fn follow(State(state): State<DatabaseState>, Json(req): Json<Follow>) -> Reply<SlotStatus> {
    let settings = SlotSettings { service: req.service, slot: req.slot };
    let mut slot = state.slot(&settings.service, &settings.slot).map_err(refused)?;
    let leader = Leader { name: req.primary, admin_address: Some(req.primary_admin_address) };
    slot.follow(req.term, leader).map_err(refused)?;
    state.0.heartbeats.heard(&settings, req.term, Duration::ZERO);
    state.0.changed.notify_waiters();
    Ok(Json(slot.status(&settings)))
}

async fn outcome(
    State(state): State<DatabaseState>,
    Json(req): Json<OutcomeQuery>,
) -> Reply<OutcomeRecord> {
    let settings = SlotSettings { service: req.service, slot: req.slot };
    let mut slot = state.slot(&settings.service, &settings.slot).map_err(refused)?;
    let mut recorded = slot.recorded(req.request_id);
    if req.cancel && recorded == RecordedOutcome::Absent {
        slot.check_primary(req.term).map_err(refused)?;
        let position = slot.append(Some(req.request_id), true, Writes::new(), Value::Null);
        recorded = RecordedOutcome::Cancelled(position);
        state.0.changed.notify_waiters();
    }
    Ok(Json(OutcomeRecord { recorded, status: slot.status(&settings) }))
}

async fn log(State(state): State<DatabaseState>, Json(req): Json<LogQuery>) -> Reply<LogChunk> {
    let deadline = Instant::now() + Duration::from_millis(req.wait_ms);
    loop {
        let changed = state.0.changed.notified();
        {
            let slot = state.slot(&req.service, &req.slot).map_err(refused)?;
            slot.check_primary(req.term).map_err(refused)?;
            let (keep, entries) = slot.log_after(&req.ends, LogChunk::MOST_ENTRIES);
            let diverges = req.ends.last().is_some_and(|end| end.index > keep);
            if !entries.is_empty() || diverges || Instant::now() >= deadline {
                return Ok(Json(LogChunk { keep, entries }));
            }
        }
        // Both a change and the end of the wait lead to another look.
        let _ = timeout_at(deadline, changed).await;
    }
}

async fn heartbeat(
    State(state): State<DatabaseState>,
    Json(req): Json<HeartbeatQuery>,
) -> Reply<Heartbeat> {
    let slot = state.slot(&req.service, &req.slot).map_err(refused)?;
    slot.check_primary(req.term).map_err(refused)?;
    Ok(Json(Heartbeat { asked_ms: state.0.heartbeats.asked_ms() }))
}

async fn set_faults(State(state): State<DatabaseState>, Json(faults): Json<DatabaseFaults>) {
    state.set_faults(faults);
}

async fn counts(State(state): State<DatabaseState>) -> Json<DatabaseCounts> {
    Json(state.counts())
}

fn refused(error: DatabaseError) -> (StatusCode, Json<DatabaseError>) {
    (StatusCode::CONFLICT, Json(error))
}
