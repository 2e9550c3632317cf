//! A caller's request and its answer, independent of HTTP.

use model::{key::PresentedKey, prelude::*, session::SessionError};
use proto::caller::{CallerError, ErrorKind};

/// Validated headers and path of a caller's request.
pub struct RequestHead {
    /// Service named in the path.
    pub service: String,
    /// Caller key, if one was sent.
    pub key: Option<PresentedKey>,
    /// Session token, if one was sent.
    pub session: Option<String>,
    /// Idempotency key, if one was sent. A repeated request with the same key gets the outcome of
    /// the first one.
    pub idempotency_key: Option<String>,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
}

/// Successful answer to a caller's request.
pub struct CallerAnswer<T> {
    /// Body of the response, sent as JSON.
    pub body: T,
    /// Session token for the caller's next request.
    pub session: Option<String>,
}

/// Error for a caller whose session token is invalid.
pub fn session_error(error: SessionError) -> CallerError {
    CallerError::not_run(ErrorKind::BadRequest, error.to_string())
}
