//! Request listener: HTTP connections up to a limit, each with at most one open transaction.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use edge::client::{SENDER_HEADER, encode_json};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use proto::database::{
    Access, Begin, Commit, DatabaseError, Execute, Executed, RecordedOutcome, Rollback,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

use super::{
    DatabaseState, lock,
    statement::{Writes, run},
};

const BODY_MAX_BYTES: usize = 4 << 20;

/// Error that closes the connection without a response, because of a fault switch.
#[derive(Debug)]
struct AnswerLost;

impl std::fmt::Display for AnswerLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer lost")
    }
}

impl std::error::Error for AnswerLost {}

/// A transaction open on a connection.
struct Transaction {
    begun: Begin,
    /// Last log index when the transaction began. A later change of an accessed name aborts it.
    begun_at_index: u64,
    /// Names that its statements have read or written.
    accessed: Vec<String>,
    writes: Writes,
    last_result: Value,
    /// Reference that counts the transaction in [`super::SlotData::open_transactions`].
    _open_transaction: Arc<()>,
}

type OpenTransaction = Arc<Mutex<Option<Transaction>>>;

/// Accepts and serves request connections; never returns.
pub async fn serve_requests(listener: TcpListener, state: DatabaseState) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, state.clone()));
    }
}

async fn serve_connection(stream: TcpStream, state: DatabaseState) {
    let open = state.0.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
    let over_limit = open > state.0.settings.connection_limit;
    match over_limit {
        true => state.0.refused_connections.fetch_add(1, Ordering::Relaxed) as usize,
        false => state.0.most_connections.fetch_max(open, Ordering::Relaxed),
    };
    tokio::time::sleep(Duration::from_millis(state.0.settings.connect_ms)).await;
    let _ = stream.set_nodelay(true);
    let transaction = OpenTransaction::default();
    let service = service_fn(|req| answer(state.clone(), transaction.clone(), over_limit, req));
    // When the connection ends, its transaction is dropped, which rolls it back.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    state.0.open_connections.fetch_sub(1, Ordering::Relaxed);
}

async fn answer(
    state: DatabaseState,
    transaction: OpenTransaction,
    over_limit: bool,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, AnswerLost> {
    if over_limit {
        return Ok(respond(Err(DatabaseError::TooManyConnections), true));
    }
    let path = req.uri().path().to_owned();
    let sender = req
        .headers()
        .get(SENDER_HEADER)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = Limited::new(req.into_body(), BODY_MAX_BYTES)
        .collect()
        .await
        .map_err(|_| AnswerLost)?
        .to_bytes();
    // A received request is executed even if the client disconnects, so it runs in its own task.
    let executed = tokio::spawn(async move {
        state.apply_faults(&sender).await;
        if state.0.settings.execute_ms > 0 {
            tokio::time::sleep(Duration::from_millis(state.0.settings.execute_ms)).await;
        }
        let (result, wrote) = dispatch(&state, &transaction, &path, &body);
        let counter = match &result {
            Err(
                DatabaseError::NotPrimary { .. }
                | DatabaseError::StaleTerm { .. }
                | DatabaseError::UnknownSlot,
            ) => &state.0.refused,
            _ => &state.0.executed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let lost = wrote && state.take_lost_answer();
        // An isolation that began meanwhile delays the response too.
        state.apply_faults(&sender).await;
        if lost { Err(AnswerLost) } else { Ok(respond(result, false)) }
    });
    executed.await.unwrap_or(Err(AnswerLost))
}

fn respond(result: Result<Executed, DatabaseError>, close: bool) -> Response<Full<Bytes>> {
    let (status, body) = match result {
        Ok(executed) => (StatusCode::OK, encode_json(&executed)),
        Err(error) => (StatusCode::CONFLICT, encode_json(&error)),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if close {
        response
            .headers_mut()
            .insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}

/// Executes a request. The second value tells whether it committed a write.
fn dispatch(
    state: &DatabaseState,
    transaction: &OpenTransaction,
    path: &str,
    body: &[u8],
) -> (Result<Executed, DatabaseError>, bool) {
    let mut open = lock(transaction);
    let result = match path {
        "/execute" => parse(body).and_then(|req: Execute| match req.in_transaction {
            true => execute_in_transaction(state, &mut open, &req),
            false => execute(state, open.is_some(), &req),
        }),
        "/begin" => parse(body).and_then(|req: Begin| begin(state, &mut open, req)),
        "/commit" => parse(body).and_then(|req: Commit| commit(state, &mut open, &req)),
        "/rollback" => parse(body).and_then(|_: Rollback| rollback(state, &mut open)),
        other => Err(DatabaseError::Statement { message: format!("unknown path {other}") }),
    };
    let wrote = result.is_ok() && (path == "/commit" || is_write(path, body));
    (result, wrote)
}

fn is_write(path: &str, body: &[u8]) -> bool {
    let write = |req: Execute| req.access == Access::Write && !req.in_transaction;
    path == "/execute" && parse(body).is_ok_and(write)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, DatabaseError> {
    serde_json::from_slice(body).map_err(|e| DatabaseError::Statement { message: e.to_string() })
}

fn execute(
    state: &DatabaseState,
    in_transaction: bool,
    req: &Execute,
) -> Result<Executed, DatabaseError> {
    if in_transaction {
        return Err(transaction_error("a transaction is open on this connection"));
    }
    let mut slot = state.slot(&req.service, &req.slot)?;
    if req.access == Access::ReadPrimary {
        slot.check_primary(req.term)?;
    }
    if req.access != Access::Write {
        let effect = run(&slot, &Writes::new(), &req.statement, &req.params)?;
        if !effect.writes.is_empty() {
            return Err(DatabaseError::Statement { message: "a read may not write".to_owned() });
        }
        return Ok(Executed {
            result: effect.result,
            term: slot.granted_term,
            position: slot.position(),
            repeated: false,
        });
    }
    slot.check_primary(req.term)?;
    if slot.has_other_fingerprint(req) {
        return Err(DatabaseError::OtherRequest);
    }
    match slot.recorded_outcome(req.request_id) {
        RecordedOutcome::Committed(executed) => return Ok(executed),
        RecordedOutcome::Cancelled(_) => return Err(DatabaseError::Cancelled),
        RecordedOutcome::Absent => {}
    }
    let effect = run(&slot, &Writes::new(), &req.statement, &req.params)?;
    let position = slot.append_write(req, effect.writes, effect.result.clone());
    state.0.changed.notify_waiters();
    Ok(Executed { result: effect.result, term: slot.granted_term, position, repeated: false })
}

fn begin(
    state: &DatabaseState,
    open: &mut Option<Transaction>,
    req: Begin,
) -> Result<Executed, DatabaseError> {
    if open.is_some() {
        return Err(transaction_error("a transaction is already open on this connection"));
    }
    let slot = state.slot(&req.service, &req.slot)?;
    slot.check_primary(req.term)?;
    let executed = Executed {
        result: Value::Null,
        term: slot.granted_term,
        position: slot.position(),
        repeated: false,
    };
    *open = Some(Transaction {
        begun_at_index: slot.position().index,
        begun: req,
        accessed: Vec::new(),
        writes: Writes::new(),
        last_result: Value::Null,
        _open_transaction: slot.open_transactions.clone(),
    });
    Ok(executed)
}

fn execute_in_transaction(
    state: &DatabaseState,
    open: &mut Option<Transaction>,
    req: &Execute,
) -> Result<Executed, DatabaseError> {
    let transaction = open.as_mut().ok_or_else(|| transaction_error("none is open"))?;
    let same_slot = transaction.begun.service == req.service && transaction.begun.slot == req.slot;
    if !same_slot {
        return Err(transaction_error("the transaction is open in another slot"));
    }
    let slot = state.slot(&req.service, &req.slot)?;
    slot.check_primary(transaction.begun.term)?;
    let effect = run(&slot, &transaction.writes, &req.statement, &req.params)?;
    transaction.accessed.extend(req.params.first().and_then(Value::as_str).map(str::to_owned));
    transaction.writes.extend(effect.writes);
    transaction.last_result = effect.result.clone();
    Ok(Executed {
        result: effect.result,
        term: slot.granted_term,
        position: slot.position(),
        repeated: false,
    })
}

fn commit(
    state: &DatabaseState,
    open: &mut Option<Transaction>,
    req: &Commit,
) -> Result<Executed, DatabaseError> {
    let transaction = open.take().ok_or_else(|| transaction_error("none is open"))?;
    let begun = &transaction.begun;
    let mut slot = state.slot(&begun.service, &begun.slot)?;
    slot.check_primary(begun.term)?;
    match slot.recorded_outcome(req.request_id) {
        RecordedOutcome::Committed(executed) => return Ok(executed),
        RecordedOutcome::Cancelled(_) => return Err(DatabaseError::Cancelled),
        RecordedOutcome::Absent => {}
    }
    let changed_since = |name: &String| {
        slot.value(name).is_some_and(|value| value.index > transaction.begun_at_index)
    };
    if let Some(name) = transaction.accessed.iter().find(|name| changed_since(name)) {
        let message = format!("`{name}` was changed by another transaction: begin again");
        return Err(DatabaseError::Statement { message });
    }
    let result = transaction.last_result;
    let position = slot.append(Some(req.request_id), false, transaction.writes, result.clone());
    state.0.changed.notify_waiters();
    Ok(Executed { result, term: slot.granted_term, position, repeated: false })
}

fn rollback(
    state: &DatabaseState,
    open: &mut Option<Transaction>,
) -> Result<Executed, DatabaseError> {
    let transaction = open.take().ok_or_else(|| transaction_error("none is open"))?;
    let slot = state.slot(&transaction.begun.service, &transaction.begun.slot)?;
    Ok(Executed {
        result: Value::Null,
        term: slot.granted_term,
        position: slot.position(),
        repeated: false,
    })
}

fn transaction_error(message: &str) -> DatabaseError {
    DatabaseError::Transaction { message: message.to_owned() }
}
