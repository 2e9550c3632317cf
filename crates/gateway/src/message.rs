//! Messages exchanged with callers and upstreams, independent of their encoding.

use std::fmt;

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// The transaction state of a session or of an upstream connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; only commit or rollback is accepted.
    Failed,
}

/// Whether a statement or transaction may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// The definition of a prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Whether the statement writes.
    pub access: Access,
    /// The statement without its arguments, as the caller wrote it.
    pub text: Box<str>,
}

/// A statement of a caller. Texts to be forwarded are kept as the caller wrote them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A read or write that is not prepared.
    Plain {
        /// Whether the statement writes.
        access: Access,
        /// The whole statement.
        text: Box<str>,
    },
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: Box<str>,
        /// The variable's new value.
        value: Box<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for the prepared statement.
        name: Box<str>,
        /// The statement to prepare.
        statement: PreparedStatement,
    },
    /// Executes a prepared statement.
    Execute {
        /// The caller's name for the prepared statement.
        name: Box<str>,
        /// Everything after the name.
        arguments: Box<str>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The caller's name for the prepared statement.
        name: Box<str>,
    },
}

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Start {
        /// The host that names the route.
        host: Box<str>,
        /// The caller's key; `None` if it gave none.
        credential: Option<Box<str>>,
    },
    /// Runs a statement.
    Query {
        /// The caller's identifier of this attempt.
        id: Box<str>,
        /// The statement; `None` if the text could not be parsed.
        statement: Option<Statement>,
    },
    /// Ends the session.
    Terminate,
    /// Bytes that are not a message. The session ends, because the start of the next message is
    /// unknown.
    Invalid,
    /// A message over the length limit; the session ends.
    Oversized,
}

/// Why a statement was not answered with success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ErrorCode {
    /// Overload; the statement did not run.
    Busy,
    /// The transaction was rolled back; none of its writes are kept.
    Aborted,
    /// The replica's log does not cover the required position; the statement did not run.
    Lagging,
    /// A write, or a transaction that may write, was sent to a replica; the statement did not run.
    ReadOnly,
    /// The message reached another upstream than it was addressed to; the statement did not run.
    Misrouted,
    /// Too many connections, or the workspace is over its rate; the statement did not run.
    TooMany,
    /// It is unknown whether the statement took effect.
    InDoubt,
    /// No answer within the time limit; the statement may have run.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// There is no prepared statement of that name; the statement did not run.
    NoSuchStatement,
    /// The key is missing or unknown.
    NoAuth,
    /// There is no route of that name.
    NoDatabase,
    /// The message, or the state that it would add to the session, is too large.
    TooBig,
    /// The message can't be parsed, or is not allowed in this state.
    Malformed,
    /// A code that this version does not know. Nothing is assumed about the statement.
    Unknown,
}

impl ErrorCode {
    /// Whether the code guarantees that the statement did not run.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            ErrorCode::Busy
                | ErrorCode::Lagging
                | ErrorCode::ReadOnly
                | ErrorCode::Misrouted
                | ErrorCode::TooMany
                | ErrorCode::NoSuchStatement
        )
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// A message to a caller or from an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The receiver may send its next statement.
    Ready {
        /// State of the transaction.
        state: TransactionState,
        /// A log position; see the upstream's documentation for what it covers.
        position: Option<Position>,
    },
    /// A row of the result.
    Row(Box<str>),
    /// The statement succeeded.
    Complete {
        /// The upstream's proof that the statement ran; `None` for statements that no upstream saw.
        receipt: Option<Box<str>>,
    },
    /// The statement failed.
    Error {
        /// The kind of failure.
        code: ErrorCode,
        /// Details for people.
        text: Box<str>,
    },
}

/// Number of a prepared statement on upstream connections, the same for all sessions that prepare
/// the same statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PreparedKey(pub u32);

/// A message to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamRequest {
    /// Opens the connection.
    Start {
        /// The service that the upstream has to belong to.
        service: ServiceName,
        /// The workspace whose statements the connection carries; `None` for those of open routes
        /// and of the gateway itself.
        workspace: Option<WorkspaceName>,
        /// The database that the message is addressed to.
        database: DatabaseName,
    },
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
        /// A position that the upstream's log has to cover.
        after: Option<Position>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: Box<str>,
        /// The variable's new value.
        value: Box<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// Number of the prepared statement.
        key: PreparedKey,
        /// The statement to prepare.
        statement: PreparedStatement,
    },
    /// Drops all session variables and prepared statements.
    Reset,
    /// Queries role, term and position.
    Status,
    /// Pauses replication at a replica until it is promoted to this term.
    Pause(Term),
    /// Resumes replication at a paused replica.
    Resume,
    /// Makes a primary of a lower term a replica.
    Demote(Term),
    /// Runs a caller's statement.
    Forward {
        /// The caller's identifier of this attempt.
        id: Box<str>,
        /// A position that the upstream's log has to cover.
        after: Option<Position>,
        /// The statement to run.
        statement: ForwardedStatement,
    },
}

impl UpstreamRequest {
    /// Whether it commits a transaction.
    pub(crate) fn is_commit(&self) -> bool {
        matches!(self, UpstreamRequest::Forward { statement: ForwardedStatement::Commit, .. })
    }
}

/// A caller's statement as it is sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedStatement {
    /// A statement as the caller wrote it.
    Plain(Box<str>),
    /// Executes a prepared statement.
    Execute {
        /// Number of the prepared statement.
        key: PreparedKey,
        /// The caller's arguments, as it wrote them.
        arguments: Box<str>,
    },
    /// Commits the transaction.
    Commit,
}
