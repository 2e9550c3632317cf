//! Messages between a caller and its entry VM: JSON over HTTP.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Header that carries the session token, in both directions.
pub const SESSION_HEADER: &str = "jasminepass-session";
/// Header that names a request, so that its repetition finds the first outcome.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the time in milliseconds that the caller is going to wait.
pub const TIMEOUT_HEADER: &str = "jasminepass-timeout-ms";

/// Body of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// Chooses the slot.
    pub slot_key: String,
    /// What the upstream is to execute.
    pub statement: String,
    /// Its parameters.
    #[serde(default)]
    pub params: Vec<Value>,
}

/// Body of a request that opens a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransactionBody {
    /// Chooses the slot.
    pub slot_key: String,
}

/// Body of the answer to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionOpened {
    /// To be named in the requests of the transaction.
    pub transaction: String,
}

/// Body of a request inside a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepBody {
    /// May be left out; otherwise it must choose the slot of the transaction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slot_key: Option<String>,
    /// What the upstream is to execute.
    pub statement: String,
    /// Its parameters.
    #[serde(default)]
    pub params: Vec<Value>,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// What the upstream returned.
    pub result: Value,
}

/// Body of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: CallerError,
}

/// What became of a request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and the upstream reported an error.
    Failed,
}

/// Kinds of error that a caller sees.
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
    /// The body or a header's value is too large.
    TooLarge,
    /// There are too many headers.
    TooManyHeaders,
    /// The workspace is past its rate.
    RateLimited,
    /// Too many requests of the workspace wait already.
    QueueFull,
    /// No upstream can serve the request now.
    Unavailable,
    /// The request's time ran out.
    Timeout,
    /// The transaction has ended.
    TransactionEnded,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The upstream executed the request and reported an error.
    Statement,
}

impl ErrorKind {
    /// The HTTP status that goes with the kind.
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

/// An error as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct CallerError {
    /// Its kind.
    pub kind: ErrorKind,
    /// What became of the request.
    pub outcome: Outcome,
    /// What happened and what to do about it.
    pub message: String,
    /// When another try can help, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    /// An error of a request that did not run.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>) -> CallerError {
        CallerError {
            kind,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// An error of a request that may have run.
    pub fn unknown(kind: ErrorKind, message: impl Into<String>) -> CallerError {
        CallerError {
            kind,
            outcome: Outcome::Unknown,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// An error that the upstream reported.
    pub fn failed(message: impl Into<String>) -> CallerError {
        let kind = ErrorKind::Statement;
        CallerError {
            kind,
            outcome: Outcome::Failed,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// The same error with a time to come back.
    pub fn with_retry_after(mut self, wait: DurationUs) -> CallerError {
        self.retry_after_ms = Some(wait.as_ms().max(1));
        self
    }
}
