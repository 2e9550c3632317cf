//! HTTP responses for errors.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use proto::caller::{CallerError, ErrorBody};

/// Builds the HTTP response for an error, with its status, JSON body and retry hint.
pub fn response(error: CallerError) -> Response {
    let status =
        StatusCode::from_u16(error.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry_after_s = error.retry_after_ms.map(|ms| ms.div_ceil(1_000));
    let mut response = (status, Json(ErrorBody { error })).into_response();
    if let Some(seconds) = retry_after_s {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if status == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
