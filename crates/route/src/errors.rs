//! Errors returned to callers, and their derivation from database errors.

use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind},
    database::DatabaseError,
    peer::Redirect,
};

/// Retry hint for errors that may go away by themselves, such as during a failover.
const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// No database that can serve the request was reached. The request did not run.
pub fn unavailable() -> CallerError {
    let message = "no upstream that can serve the request is reachable: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}

/// The request's deadline passed before the request was sent.
pub fn timed_out() -> CallerError {
    let message =
        "the request's deadline passed before it was sent: give it more time or try again later";
    CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}

/// The request was sent but its reply was lost, so its outcome is unknown.
pub fn reply_lost(reason: impl std::fmt::Display) -> CallerError {
    CallerError::unknown(ErrorKind::Unavailable, reason.to_string()).with_retry_after(RETRY_AFTER)
}

/// The outcome of a write was not determined before the request's deadline.
pub fn outcome_unknown() -> CallerError {
    let message = "the outcome could not be determined before the request's deadline: retry with the same idempotency key";
    CallerError::unknown(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}

/// The write was cancelled before it ran.
pub fn write_cancelled() -> CallerError {
    let message = "the write did not reach its upstream in time and was cancelled: send it again";
    CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}

/// The write ran, but a failover undid it.
pub fn write_undone() -> CallerError {
    let message = "a failover undid the write before a majority held it: send it again";
    let error = CallerError::failed(message).with_retry_after(RETRY_AFTER);
    CallerError { kind: ErrorKind::Unavailable, ..error }
}

/// The read ran on a primary that no majority confirmed as the current one.
pub fn primary_unverified() -> CallerError {
    reply_lost("no majority confirmed that the primary is still the current one: try again later")
}

/// Redirect that follows from a database error, or `None` unless the error names another primary or
/// a higher term.
pub fn redirect_for(error: &DatabaseError) -> Option<Redirect> {
    match error {
        DatabaseError::NotPrimary { term, primary } => {
            Some(Redirect { term: *term, primary: primary.clone(), replica: None })
        }
        DatabaseError::StaleTerm { term } | DatabaseError::TermTaken { term } => {
            Some(Redirect { term: *term, primary: None, replica: None })
        }
        _ => None,
    }
}

/// Converts a database error to the error for the caller.
pub fn from_database_error(error: DatabaseError) -> CallerError {
    match error {
        DatabaseError::Statement { message } => CallerError::failed(message),
        DatabaseError::OtherRequest => {
            let message = "the idempotency key was used for a request with another body: give each request a key of its own";
            CallerError::not_run(ErrorKind::KeyReused, message)
        }
        other => CallerError::not_run(ErrorKind::Unavailable, other.to_string())
            .with_retry_after(RETRY_AFTER),
    }
}
