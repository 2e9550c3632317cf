//! Errors for callers, and what databases' refusals mean.

use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind},
    database::DatabaseError,
    peer::Redirect,
};

const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// No database that can serve the request was reached. Nothing ran.
pub fn unavailable() -> CallerError {
    let message = "no upstream that can serve the request is reachable: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}

/// The request's time was over before it left.
pub fn timed_out() -> CallerError {
    let message =
        "the request's time ran out before it was sent: give it more time or try again later";
    CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}

/// The answer was lost.
pub fn reply_lost(reason: impl std::fmt::Display) -> CallerError {
    CallerError::unknown(ErrorKind::Unavailable, reason.to_string()).with_retry_after(RETRY_AFTER)
}

/// A write's outcome could not be found out in the request's time.
pub fn outcome_unknown() -> CallerError {
    let message = "the outcome could not be found out in the request's time: ask again with the same idempotency key";
    CallerError::unknown(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}

/// A write was kept from running.
pub fn write_cancelled() -> CallerError {
    let message = "the write did not reach its upstream in time and was cancelled: send it again";
    CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER)
}

/// A write ran, and a change of primary undid it.
pub fn write_undone() -> CallerError {
    let message = "a change of primary undid the write before a majority had it: send it again";
    let error = CallerError::failed(message).with_retry_after(RETRY_AFTER);
    CallerError { kind: ErrorKind::Unavailable, ..error }
}

/// A read ran on a primary that can't be shown to be the current one.
pub fn primary_unverified() -> CallerError {
    reply_lost("no majority confirmed that the primary is still the current one: try again later")
}

/// Where the error says that another database is the primary, or the term higher: where to go.
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

/// A database's refusal as the caller sees it.
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
