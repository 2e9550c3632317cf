//! HTTP listener for callers: parses requests and writes responses.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::{Body, HttpBody, to_bytes},
    extract::{Path, State},
    http::{HeaderMap, HeaderValue, header},
    response::{IntoResponse, Response},
    routing::post,
};
use edge::server::Limits;
use model::{key::PresentedKey, prelude::*};
use proto::caller::{
    CallerError, ErrorKind, IDEMPOTENCY_HEADER, Outcome, SESSION_HEADER, TIMEOUT_HEADER,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    app::App,
    caller_error,
    caller_request::{CallerAnswer, RequestHead},
    counters::Counter,
    entry,
    tally_io::RequestTally,
    transaction_entry,
};

/// Response body for a client that does not speak HTTP.
pub const NOT_HTTP: &str = r#"{"error":{"kind":"bad_request","outcome":"not_run","message":"this is not an HTTP/1.1 request: send one, such as POST /v1/<service>/<route>"}}"#;

const BODY_MAX_BYTES: usize = 256 << 10;
const HEADERS_MAX: usize = 48;
const TOKEN_MAX_BYTES: usize = 4 << 10;
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;
const TIMEOUT_DEFAULT_MS: u64 = 10_000;
const TIMEOUT_MAX_MS: u64 = 60_000;

/// Limits of the callers' listener. The HTTP parser accepts four times as many headers as a request
/// may have, so that [`router`] can answer a request with too many with an error that names the
/// limit.
pub fn limits(max_connections: usize) -> Limits {
    Limits {
        connections: max_connections,
        headers: 4 * HEADERS_MAX,
        head_bytes: 32 << 10,
        head_timeout: Duration::from_secs(60),
    }
}

/// Routes of the callers' listener.
pub fn router(app: Arc<App>) -> Router {
    Router::new()
        .route("/v1/{service}/transactions", post(begin))
        .route("/v1/{service}/transactions/{transaction}/commit", post(commit))
        .route("/v1/{service}/transactions/{transaction}/rollback", post(rollback))
        .route("/v1/{service}/transactions/{transaction}/{route}", post(step))
        .route("/v1/{service}/{route}", post(request))
        .fallback(no_such_path)
        .with_state(app)
}

async fn request(
    State(app): State<Arc<App>>,
    Path((service, route)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let served = async {
        let head = parse_head(&app, service, &headers)?;
        let tally = RequestTally::new(&app, &head, Some(&route));
        let work = async { entry::serve(&app, head, &route, parse_body(body).await?).await };
        tally.count(work).await
    };
    finish(&app, served.await)
}

async fn begin(
    State(app): State<Arc<App>>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let served = async {
        let head = parse_head(&app, service, &headers)?;
        let tally = RequestTally::new(&app, &head, None);
        let work = async { transaction_entry::begin(&app, head, parse_body(body).await?).await };
        tally.count(work).await
    };
    finish(&app, served.await)
}

async fn step(
    State(app): State<Arc<App>>,
    Path((service, transaction, route)): Path<(String, String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let served = async {
        let head = parse_head(&app, service, &headers)?;
        let tally = RequestTally::new(&app, &head, Some(&route));
        let work = async {
            let body = parse_body(body).await?;
            transaction_entry::step(&app, head, &transaction, &route, body).await
        };
        tally.count(work).await
    };
    finish(&app, served.await)
}

async fn commit(
    State(app): State<Arc<App>>,
    Path((service, transaction)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let served = async {
        let head = parse_head(&app, service, &headers)?;
        let tally = RequestTally::new(&app, &head, None);
        tally.count(transaction_entry::commit(&app, head, &transaction)).await
    };
    finish(&app, served.await)
}

async fn rollback(
    State(app): State<Arc<App>>,
    Path((service, transaction)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let served = async {
        let head = parse_head(&app, service, &headers)?;
        let tally = RequestTally::new(&app, &head, None);
        tally.count(transaction_entry::rollback(&app, head, &transaction)).await
    };
    finish(&app, served.await)
}

fn finish<T: Serialize>(app: &App, result: Result<CallerAnswer<T>, CallerError>) -> Response {
    app.counters.count(Counter::Requests);
    match result {
        Ok(answer) => {
            app.counters.count(Counter::Answered);
            respond(answer)
        }
        Err(error) => {
            app.counters.count(outcome_counter(&error));
            caller_error::response(error)
        }
    }
}

async fn no_such_path() -> Response {
    caller_error::response(CallerError::not_run(
        ErrorKind::NotFound,
        "there is no such path: send POST /v1/<service>/<route>",
    ))
}

fn outcome_counter(error: &CallerError) -> Counter {
    match (error.kind, error.outcome) {
        (ErrorKind::RateLimited, _) => Counter::RateLimited,
        (_, Outcome::NotRun) => Counter::Refused,
        (_, Outcome::Unknown) => Counter::Unknown,
        (_, Outcome::Failed) => Counter::Failed,
    }
}

fn respond<T: Serialize>(answer: CallerAnswer<T>) -> Response {
    let mut response = Json(answer.body).into_response();
    if let Some(token) = answer.session.and_then(|token| HeaderValue::try_from(token).ok()) {
        response.headers_mut().insert(SESSION_HEADER, token);
    }
    response
}

fn parse_head(app: &App, service: String, headers: &HeaderMap) -> Result<RequestHead, CallerError> {
    if headers.len() > HEADERS_MAX {
        let message =
            format!("the request has {} headers: send at most {HEADERS_MAX}", headers.len());
        return Err(CallerError::not_run(ErrorKind::TooManyHeaders, message));
    }
    let session = header_text(headers, SESSION_HEADER, TOKEN_MAX_BYTES)?;
    let idempotency_key = header_text(headers, IDEMPOTENCY_HEADER, IDEMPOTENCY_KEY_MAX_BYTES)?;
    let key = parse_key(headers)?;
    let deadline = app.now() + parse_timeout(headers)?;
    Ok(RequestHead { service, key, session, idempotency_key, deadline })
}

fn header_text(
    headers: &HeaderMap,
    name: &'static str,
    max_bytes: usize,
) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    if value.len() > max_bytes {
        let message = format!("header {name} has {} bytes: send at most {max_bytes}", value.len());
        return Err(CallerError::not_run(ErrorKind::TooLarge, message));
    }
    let text =
        value.to_str().map_err(|_| bad_request(format!("header {name} is not plain text")))?;
    Ok(Some(text.to_owned()))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<PresentedKey>, CallerError> {
    let Some(value) = header_text(headers, header::AUTHORIZATION.as_str(), TOKEN_MAX_BYTES)? else {
        return Ok(None);
    };
    let malformed =
        || CallerError::not_run(ErrorKind::Unauthorized, model::key::KeyError.to_string());
    let key = value.strip_prefix("Bearer ").ok_or_else(malformed)?;
    PresentedKey::parse(key).map(Some).map_err(|_| malformed())
}

fn parse_timeout(headers: &HeaderMap) -> Result<DurationUs, CallerError> {
    let Some(value) = header_text(headers, TIMEOUT_HEADER, 16)? else {
        return Ok(DurationUs::from_ms(TIMEOUT_DEFAULT_MS));
    };
    match value.parse() {
        Ok(ms @ 1..=TIMEOUT_MAX_MS) => Ok(DurationUs::from_ms(ms)),
        _ => Err(bad_request(format!(
            "header {TIMEOUT_HEADER} is `{value}`: give 1 to {TIMEOUT_MAX_MS} milliseconds"
        ))),
    }
}

async fn parse_body<T: DeserializeOwned>(body: Body) -> Result<T, CallerError> {
    let too_large = || {
        let message =
            format!("the body is incomplete or longer than {BODY_MAX_BYTES} bytes: send less");
        CallerError::not_run(ErrorKind::TooLarge, message)
    };
    // A body whose declared length is too large is refused without reading it.
    if body.size_hint().lower() > BODY_MAX_BYTES as u64 {
        return Err(too_large());
    }
    let bytes = to_bytes(body, BODY_MAX_BYTES).await.map_err(|_| too_large())?;
    serde_json::from_slice(&bytes).map_err(|e| {
        bad_request(format!(
            "the body can't be read: {e}; send {{\"slot_key\", \"statement\", \"params\"}}"
        ))
    })
}

fn bad_request(message: String) -> CallerError {
    CallerError::not_run(ErrorKind::BadRequest, message)
}
