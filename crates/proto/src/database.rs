//! The contract of an upstream database: JSON over HTTP. See docs/protocol-database.md.
//!
//! Requests and transactions go to the request address, one at a time on a connection; everything
//! else goes to the admin address, which takes no part in the connection limit.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// It only reads, from what has been applied here.
    Read,
    /// It only reads, and only the primary of the stated term takes it.
    ReadPrimary,
    /// It may write: only the primary of the stated term takes it.
    Write,
}

/// `POST /execute` on the request address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Execute {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The term in which the sender believes the slot is.
    pub term: Term,
    /// Recorded with the commit of a write. A write with a recorded id is not executed again.
    pub request_id: RequestId,
    /// Whether it writes.
    pub access: Access,
    /// Recorded with the commit of a write: a write with a recorded id and another fingerprint is
    /// refused.
    #[serde(default)]
    pub fingerprint: u64,
    /// What to execute.
    pub statement: String,
    /// Its parameters.
    pub params: Vec<Value>,
    /// Runs inside the transaction that is open on this connection.
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
    /// The term in which the sender believes the slot is.
    pub term: Term,
}

/// `POST /commit` on the request address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// Recorded with the commit.
    pub request_id: RequestId,
}

/// `POST /rollback` on the request address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollback {}

/// Answer to a request: what it returned, and the slot's state when it ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Executed {
    /// What the statement returned.
    pub result: Value,
    /// The slot's term at this database.
    pub term: Term,
    /// For a write, where it stands in the log; for a read, the applied position that it saw.
    pub position: Position,
    /// Whether the request id was recorded before, so that this is the first execution's answer.
    #[serde(default)]
    pub repeated: bool,
}

/// Why a database did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum DatabaseError {
    /// This database is not the slot's primary. Nothing ran.
    #[error("not the primary of the slot in term {term}")]
    NotPrimary {
        /// The slot's term here.
        term: Term,
        /// The primary that this database follows.
        primary: Option<DatabaseName>,
    },
    /// The sender's term is older than the slot's. Nothing ran.
    #[error("the slot is in term {term} already")]
    StaleTerm {
        /// The slot's term here.
        term: Term,
    },
    /// The term was granted to another proposer. Nothing changed.
    #[error("term {term} was granted to another proposer")]
    TermTaken {
        /// The highest term granted here.
        term: Term,
    },
    /// This database does not carry the slot. Nothing ran.
    #[error("the slot is not carried here")]
    UnknownSlot,
    /// No transaction is open on this connection, or one is already.
    #[error("the connection's transaction is not in the state that the request needs: {message}")]
    Transaction {
        /// What was found.
        message: String,
    },
    /// The statement ran and failed; its writes were undone.
    #[error("{message}")]
    Statement {
        /// What failed.
        message: String,
    },
    /// The write was cancelled before it came. Nothing ran.
    #[error("the request was cancelled before it came")]
    Cancelled,
    /// Another write is recorded under the request id. Nothing ran.
    #[error("the request id was used for another request")]
    OtherRequest,
    /// Every connection is taken. Nothing ran.
    #[error("every connection is taken")]
    TooManyConnections,
}

/// The part of a database in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Copies the primary's log.
    Replica,
}

/// `POST /status` on the admin address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusQuery {}

/// Answer to [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Who answers.
    pub database: DatabaseName,
    /// Each slot that it carries.
    pub slots: Vec<SlotStatus>,
}

/// One slot at one database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotStatus {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Its part.
    pub role: Role,
    /// The highest term granted here.
    pub term: Term,
    /// The primary that it follows, or itself.
    pub primary: Option<DatabaseName>,
    /// How far its log is applied.
    pub position: Position,
    /// At a replica: how long ago, in milliseconds, the primary is last known to have answered both
    /// this replica and a VM. Absent where the database can't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub primary_in_service_ms: Option<u64>,
    /// Transactions that are open in the slot here.
    #[serde(default)]
    pub open_transactions: u32,
}

/// `POST /wait` on the admin address: answers once the position is applied, or the time is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wait {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The position to wait for.
    pub position: Position,
    /// The term under which the entry must be held: a database that has granted a higher term answers
    /// [`DatabaseError::StaleTerm`].
    pub term: Term,
    /// How long to wait, in milliseconds.
    pub wait_ms: u64,
}

/// `POST /fence` on the admin address: grants the term to the proposer. From then on nothing of a
/// lower term is taken, whether executed or replicated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fence {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The term to grant.
    pub term: Term,
    /// Who proposes; a term is granted to one proposer.
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
    /// The term.
    pub term: Term,
    /// Who proposes.
    pub proposer: String,
}

/// `POST /follow` on the admin address: makes this database a replica of the primary of the term.
/// A log that diverges from the primary's is cut back to where both agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Follow {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The term.
    pub term: Term,
    /// The primary.
    pub primary: DatabaseName,
    /// Its admin address, where its log is read.
    pub primary_admin_address: String,
}

/// Answer to [`Wait`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitResult {
    /// Whether this database holds the entry at the position.
    pub held: bool,
    /// The slot here, as of the answer.
    pub status: SlotStatus,
}

/// `POST /outcome` on the admin address: what became of a write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The term in which the sender believes the slot is.
    pub term: Term,
    /// The write.
    pub request_id: RequestId,
    /// Records, where no commit is recorded, that the write is cancelled: it can't run from then on.
    /// Only the primary of the stated term does so.
    pub cancel: bool,
}

/// What a database has recorded of a write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// It was committed, with this answer.
    Committed(Executed),
    /// It was cancelled, at this position: it has not run and can't.
    Cancelled(Position),
    /// Nothing. It may still come.
    Absent,
}

/// Answer to [`OutcomeQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// What is recorded.
    pub recorded: RecordedOutcome,
    /// The slot here, as of the look-up.
    pub status: SlotStatus,
}
