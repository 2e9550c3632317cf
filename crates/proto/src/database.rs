//! Messages of the upstream database protocol, JSON over HTTP; see docs/protocol-database.md.
//!
//! Statements and transactions go to the database's request address, one at a time per connection.
//! All other messages go to its admin address, whose connections don't count towards the connection
//! limit.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Read-only; any member may serve it from the log entries that it has applied.
    Read,
    /// Read-only, and accepted only by the primary of the stated term.
    ReadPrimary,
    /// May write, and accepted only by the primary of the stated term.
    Write,
}

/// `POST /execute` on the request address: executes a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Execute {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Term of the slot as the sender knows it.
    pub term: Term,
    /// Recorded with the commit of a write, so that a retry with the same id is not executed again.
    pub request_id: RequestId,
    /// Whether the statement may write, and which members may serve it.
    pub access: Access,
    /// Hash of the request, recorded with the commit of a write. A write that reuses a recorded id
    /// with another fingerprint is refused.
    #[serde(default)]
    pub fingerprint: u64,
    /// Statement to execute.
    pub statement: String,
    /// Parameters of the statement.
    pub params: Vec<Value>,
    /// Whether to run inside the transaction that is open on this connection.
    #[serde(default)]
    pub in_transaction: bool,
}

/// `POST /begin` on the request address: opens a transaction on this connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Term of the slot as the sender knows it.
    pub term: Term,
}

/// `POST /commit` on the request address: commits the transaction open on this connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// Recorded with the commit, so that the outcome can be queried later.
    pub request_id: RequestId,
}

/// `POST /rollback` on the request address: rolls back the transaction open on this connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollback {}

/// Reply to [`Execute`], [`Begin`], [`Commit`] and [`Rollback`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Executed {
    /// Result of the statement.
    pub result: Value,
    /// The slot's term at this database.
    pub term: Term,
    /// For a write, its position in the log; for a read, the applied position that it saw.
    pub position: Position,
    /// Whether the request id was already recorded, in which case this is the reply of the first
    /// execution.
    #[serde(default)]
    pub repeated: bool,
}

/// Errors that a database replies with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum DatabaseError {
    /// This database is not the slot's primary. Nothing ran.
    #[error("not the primary of the slot in term {term}")]
    NotPrimary {
        /// Term of the slot at this database.
        term: Term,
        /// The primary that this database follows, if any.
        primary: Option<DatabaseName>,
    },
    /// The sender's term is older than the slot's. Nothing ran.
    #[error("the slot is in term {term} already")]
    StaleTerm {
        /// Term of the slot at this database.
        term: Term,
    },
    /// The term was granted to another proposer. Nothing changed.
    #[error("term {term} was granted to another proposer")]
    TermTaken {
        /// Highest term granted at this database.
        term: Term,
    },
    /// This database is not a member of the slot. Nothing ran.
    #[error("the database is not a member of the slot")]
    UnknownSlot,
    /// The request needs an open transaction and the connection has none, or it needs none and one
    /// is open.
    #[error("the connection's transaction is not in the state that the request needs: {message}")]
    Transaction {
        /// Description of the mismatch.
        message: String,
    },
    /// The statement failed and its writes were rolled back.
    #[error("{message}")]
    Statement {
        /// Error message of the database.
        message: String,
    },
    /// The write was cancelled before it arrived. Nothing ran.
    #[error("the request was cancelled before it arrived")]
    Cancelled,
    /// A write with another fingerprint is recorded under the request id. Nothing ran.
    #[error("the request id was used for another request")]
    OtherRequest,
    /// The database has reached its connection limit. Nothing ran.
    #[error("the database has reached its connection limit")]
    TooManyConnections,
}

/// Replication role of a database in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the primary's log.
    Replica,
}

/// `POST /status` on the admin address: queries the status of every slot at this database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusQuery {}

/// Reply to [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the replying database.
    pub database: DatabaseName,
    /// Status of each slot that the database is a member of.
    pub slots: Vec<SlotStatus>,
}

/// Status of one slot at one database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotStatus {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Role of the database in the slot.
    pub role: Role,
    /// Highest term granted at this database.
    pub term: Term,
    /// The primary that the database follows, or the database itself if it is the primary.
    pub primary: Option<DatabaseName>,
    /// Position up to which the database has applied its log.
    pub position: Position,
    /// Reported by a replica: time in milliseconds since the primary is last known to have answered
    /// both this replica and a VM. Absent if the database can't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub primary_in_service_ms: Option<u64>,
    /// Number of transactions open in the slot at this database.
    #[serde(default)]
    pub open_transactions: u32,
}

/// `POST /wait` on the admin address: replies once the position is applied or the wait times out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wait {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Log position to wait for.
    pub position: Position,
    /// Term under which the database must hold the entry; one that has granted a higher term
    /// replies with [`DatabaseError::StaleTerm`].
    pub term: Term,
    /// Longest time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// `POST /fence` on the admin address: grants the term to the proposer. From then on the database
/// refuses statements and log entries of lower terms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fence {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Term to grant.
    pub term: Term,
    /// Identity of the proposer; a term is granted to one proposer only.
    pub proposer: String,
}

/// `POST /promote` on the admin address: makes this database the slot's primary in a term that was
/// granted to the proposer here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promote {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Term of the new primary.
    pub term: Term,
    /// Identity of the proposer that the term was granted to.
    pub proposer: String,
}

/// `POST /follow` on the admin address: makes this database a replica of the term's primary. A log
/// that has diverged is truncated to the last entry that it shares with the primary's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Term of the primary.
    pub term: Term,
    /// Name of the primary to follow.
    pub primary: DatabaseName,
    /// Admin address of the primary, from which its log is read, `ip:port`.
    pub primary_admin_address: String,
}

/// Reply to [`Wait`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitResult {
    /// Whether this database has the entry at the position.
    pub held: bool,
    /// Status of the slot at the time of the reply.
    pub status: SlotStatus,
}

/// `POST /outcome` on the admin address: queries the outcome of a write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Term of the slot as the sender knows it.
    pub term: Term,
    /// Request id of the write.
    pub request_id: RequestId,
    /// Whether to cancel a write that has no recorded commit, so that it can't run afterwards. Only
    /// the primary of the stated term does so.
    pub cancel: bool,
}

/// Outcome of a write as recorded at a database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// The write was committed, with this reply.
    Committed(Executed),
    /// The write was cancelled at this log position: it has not run and never will.
    Cancelled(Position),
    /// Nothing is recorded; the write may still arrive.
    Absent,
}

/// Reply to [`OutcomeQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Recorded outcome of the write.
    pub recorded: RecordedOutcome,
    /// Status of the slot at the time of the look-up.
    pub status: SlotStatus,
}
