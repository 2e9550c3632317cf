//! Messages between a caller and its entry VM: JSON over HTTP.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header that carries the session token, in both directions.
pub const SESSION_HEADER: &str = "jasminepass-session";
/// Request header with the idempotency key. A retry with the same key gets the outcome of the first
/// attempt.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Request header with the time that the caller waits for a response, in milliseconds.
pub const TIMEOUT_HEADER: &str = "jasminepass-timeout-ms";

/// Body of a request outside transactions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// Key that selects the slot.
    pub slot_key: String,
    /// Statement for the upstream to execute.
    pub statement: String,
    /// Parameters of the statement.
    #[serde(default)]
    pub params: Vec<Value>,
}

/// Body of a request that opens a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransactionBody {
    /// Key that selects the slot.
    pub slot_key: String,
}

/// Body of the response to a [`TransactionBody`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionOpened {
    /// Transaction id, which later requests of the transaction carry.
    pub transaction: String,
}

/// Body of a request inside a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepBody {
    /// Slot key; if present, it must select the slot of the transaction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slot_key: Option<String>,
    /// Statement for the upstream to execute.
    pub statement: String,
    /// Parameters of the statement.
    #[serde(default)]
    pub params: Vec<Value>,
}

/// Body of a successful response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Result of the statement, as the upstream returned it.
    pub result: Value,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind, outcome and message of the error.
    pub error: CallerError,
}

/// Whether a request that ended in an error was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and the upstream reported an error.
    Failed,
}

/// Kinds of errors that callers get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The key's workspace may not use the service.
    Forbidden,
    /// There is no such service, route or transaction.
    NotFound,
    /// The body or the value of a header is too large.
    TooLarge,
    /// The request has too many headers.
    TooManyHeaders,
    /// The workspace exceeds its rate limit.
    RateLimited,
    /// The workspace's queue of waiting requests is full.
    QueueFull,
    /// No upstream can serve the request now.
    Unavailable,
    /// The request timed out.
    Timeout,
    /// The transaction has ended.
    TransactionEnded,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The upstream executed the request and reported an error.
    Statement,
}

impl ErrorKind {
    /// The HTTP status code of errors of this kind.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::BadRequest | ErrorKind::Statement => 400,
            ErrorKind::Unauthorized => 401,
            ErrorKind::Forbidden => 403,
            ErrorKind::NotFound => 404,
            ErrorKind::TransactionEnded | ErrorKind::KeyReused => 409,
            ErrorKind::TooLarge => 413,
            ErrorKind::RateLimited => 429,
            ErrorKind::TooManyHeaders => 431,
            ErrorKind::QueueFull | ErrorKind::Unavailable => 503,
            ErrorKind::Timeout => 504,
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct CallerError {
    /// Kind of the error, which determines the HTTP status.
    pub kind: ErrorKind,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// What went wrong and how the caller can resolve it.
    pub message: String,
    /// Delay after which a retry can succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Returns an error for a request that did not run.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>) -> CallerError {
        CallerError {
            kind,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns an error for a request that may have run.
    pub fn unknown(kind: ErrorKind, message: impl Into<String>) -> CallerError {
        CallerError {
            kind,
            outcome: Outcome::Unknown,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns an error that the upstream reported for a statement.
    pub fn failed(message: impl Into<String>) -> CallerError {
        let kind = ErrorKind::Statement;
        CallerError {
            kind,
            outcome: Outcome::Failed,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry can succeed, at least 1 ms.
    pub fn with_retry_after(mut self, wait: DurationUs) -> CallerError {
        self.retry_after_ms = Some(wait.as_ms().max(1));
        self
    }
}
