//! What callers, upstreams and the gateway say to each other, decoded.

use std::fmt;

use model::prelude::*;

/// Where a session or an upstream connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; only its end is taken.
    Failed,
}

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// What a prepared statement runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether it writes.
    pub access: Access,
    /// The statement without its arguments, as the caller wrote it.
    pub text: Box<str>,
}

/// A statement of a caller. Texts that are forwarded are kept as the caller wrote them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// A plain read or write.
    Plain {
        /// Whether it writes.
        access: Access,
        /// The whole text.
        text: Box<str>,
    },
    /// Sets a session value.
    Set {
        /// Its name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Names a shape for later execution.
    Prepare {
        /// The caller's name.
        name: Box<str>,
        /// What it runs.
        statement: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name.
        name: Box<str>,
        /// Everything after the name.
        arguments: Box<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name.
        name: Box<str>,
    },
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session.
    Start {
        /// Which route it is for.
        host: Box<str>,
        /// The caller's key, where one was given.
        credential: Option<Box<str>>,
    },
    /// Asks for a statement to be run.
    Query {
        /// The caller's identifier of this attempt.
        id: Box<str>,
        /// The statement; `None` where the text is not a statement.
        statement: Option<Statement>,
    },
    /// Ends the session.
    Terminate,
    /// Bytes that are no message; the session can't go on.
    Invalid,
    /// A message that is too long; the session can't go on.
    Oversized,
}

/// Why a statement was not answered with success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorCode {
    /// Overload; nothing ran.
    Busy,
    /// The transaction is rolled back; nothing is kept.
    Aborted,
    /// The replica's log lacks the position asked for; nothing ran.
    Lagging,
    /// A write, or a transaction that may write, at a replica; nothing ran.
    ReadOnly,
    /// The upstream is not the one that was meant; nothing ran.
    Misrouted,
    /// Too many connections, or a workspace past its rate; nothing ran.
    TooMany,
    /// Whether it took effect is unknown.
    InDoubt,
    /// No answer in the time allowed; it may have run.
    Timeout,
    /// It ran and failed.
    Failed,
    /// No such prepared statement; nothing ran.
    NoSuchStatement,
    /// The key is unknown.
    NoAuth,
    /// No route has that name.
    NoDatabase,
    /// The message is too large.
    TooBig,
    /// The message makes no sense here.
    Malformed,
    /// A code that this version does not know; treated as one that promises nothing.
    Unknown,
}

impl ErrorCode {
    /// Whether the upstream promises that the statement did not run.
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

/// A message to a caller, or from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The next statement is awaited.
    Ready {
        /// Where the transaction stands.
        state: TransactionState,
        /// A log position; see the upstream's documentation for what it covers.
        position: Option<Position>,
    },
    /// A row of the answer.
    Row(Box<str>),
    /// The statement succeeded.
    Complete {
        /// The upstream's proof that it ran; `None` for statements that no upstream saw.
        receipt: Option<Box<str>>,
    },
    /// The statement failed.
    Error {
        /// Why.
        code: ErrorCode,
        /// Details for people.
        text: Box<str>,
    },
}

/// A prepared statement's name on upstream connections: the same for all sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedKey(pub u32);

/// A message to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamRequest {
    /// Opens the connection.
    Start {
        /// The service that the upstream must belong to.
        service: ServiceName,
        /// For whom the connection is.
        workspace: Option<WorkspaceName>,
        /// The upstream that is meant.
        database: DatabaseName,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        access: Access,
        /// What the log must hold.
        after: Option<Position>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session value.
    Set {
        /// Its name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Prepares a shape under its shared name.
    Prepare {
        /// The shared name.
        key: PreparedKey,
        /// What it runs.
        statement: PreparedStatement,
    },
    /// Drops values and prepared statements.
    Reset,
    /// Asks for role, term and position.
    Status,
    /// Stops a replica from receiving until a promotion to this term.
    Pause(Term),
    /// Lets a paused replica receive again.
    Resume,
    /// Makes a primary of a lower term a replica.
    Demote(Term),
    /// A caller's statement.
    Forward {
        /// The caller's identifier.
        id: Box<str>,
        /// What the log must hold.
        after: Option<Position>,
        /// The statement.
        statement: ForwardedStatement,
    },
}

/// A caller's statement on its way to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardedStatement {
    /// As the caller wrote it.
    Plain(Box<str>),
    /// A prepared statement under its shared name.
    Execute {
        /// The shared name.
        key: PreparedKey,
        /// The caller's arguments.
        arguments: Box<str>,
    },
    /// Ends the transaction and keeps its writes.
    Commit,
}
