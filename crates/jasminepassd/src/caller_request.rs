//! A caller's request and its answer, apart from how they are sent.

use model::{key::PresentedKey, prelude::*, session::SessionError};
use proto::caller::{CallerError, ErrorKind};

/// What comes with every request, checked for its shape.
pub struct RequestHead {
    /// The service that it names.
    pub service: String,
    /// The key that came with it.
    pub key: Option<PresentedKey>,
    /// The session token that came with it.
    pub session: Option<String>,
    /// Names it, so that its repetition finds the first outcome.
    pub idempotency_key: Option<String>,
    /// When its caller stops waiting.
    pub deadline: MonoTime,
}

/// What the caller gets.
pub struct CallerAnswer<T> {
    /// The body.
    pub body: T,
    /// The session token for the next request.
    pub session: Option<String>,
}

/// A session token that can't be used, as the caller sees it.
pub fn session_error(error: SessionError) -> CallerError {
    CallerError::not_run(ErrorKind::BadRequest, error.to_string())
}
