//! Messages between VMs: MessagePack over HTTP, each authenticated with the fleet's secret.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    caller::CallerError,
    gossip::{Digest, Pull, PullReply},
    platform::VmRecord,
    report::{TallyReport, VmReport},
    tokens::{TokenReply, TokenRequest},
};

/// A request from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Forwards a caller's request to a holder of the database.
    Forward(Box<Forward>),
    /// Resolves an in-doubt write: queries its outcome and cancels it if it has not run.
    Resolve(Box<Resolve>),
    /// Opens a transaction.
    Begin(Box<Begin>),
    /// Forwards a request inside a transaction to the holder that opened the transaction.
    Step(Box<TransactionStep>),
    /// Sends the sender's digest; the reply is the receiver's.
    Gossip(Box<Digest>),
    /// Requests the configuration or membership state that the sender lacks.
    Pull(Pull),
    /// Asks the VM at an address for the VMs that it knows, itself included. This is the only
    /// message that is not addressed to one incarnation of one VM. It changes nothing at the
    /// receiver.
    Introduce,
    /// Reports a VM's state and counts to the VM that writes those of its data centre.
    Report(Box<VmReport>, TallyReport),
    /// Transfers rate tokens.
    Tokens(TokenRequest),
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Result of a forwarded request.
    Answer(Answer),
    /// The forwarded request failed.
    Error(CallerError),
    /// Another database can serve the forwarded request. It did not run.
    Redirect(Redirect),
    /// The request id of the forwarded request was cancelled before it arrived. It did not run.
    Cancelled,
    /// The transaction was opened, with this id.
    Begun(TransactionId),
    /// The transaction was rolled back.
    RolledBack,
    /// Digest of the receiver of a digest.
    Gossip(Box<Digest>),
    /// State that a pull requested.
    Pulled(Box<PullReply>),
    /// VMs that the receiver of an introduction knows, including itself.
    Introduced(Vec<VmRecord>),
    /// The report was accepted.
    Reported {
        /// Number of the last report whose counts, and those of all earlier ones, are stored.
        stored: u64,
    },
    /// Reply to a request about rate tokens.
    Tokens(TokenReply),
}

/// A caller's request, forwarded from the entry VM to a holder of a database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Name of the caller's key; absent on open routes, which need no key.
    pub key: Option<KeyName>,
    /// Generation of the configuration under which the entry VM admitted the request.
    pub generation: Generation,
    /// Service of the request.
    pub service: ServiceName,
    /// Route of the request.
    pub route: RouteName,
    /// Slot of the request.
    pub slot: SlotName,
    /// Database to run the statement on.
    pub database: DatabaseName,
    /// Lowest log position that the result must reflect.
    pub min_position: Position,
    /// Id of the request at the upstream; a write is executed once per id.
    pub request_id: RequestId,
    /// Hash of the request, to detect an idempotency key that was reused for another request; zero
    /// without a key.
    pub fingerprint: u64,
    /// Statement to execute.
    pub statement: String,
    /// Parameters of the statement.
    pub params: Vec<Value>,
    /// Time left until the request times out, in microseconds.
    pub time_left: DurationUs,
}

/// Result of a request that ran at an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Result of the statement.
    pub result: Value,
    /// Log position that the session has now seen.
    pub position: Position,
    /// Whether a replica served the request.
    pub from_replica: bool,
    /// Whether the slot's log no longer contains the position that the session had seen. The
    /// session then continues from `position`.
    pub resets_session: bool,
}

/// Asks a holder to resolve an in-doubt write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resolve {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// Request id of the write.
    pub request_id: RequestId,
    /// Time left until the request times out, in microseconds.
    pub time_left: DurationUs,
}

/// Opens a transaction on a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Name of the caller's key.
    pub key: KeyName,
    /// Service of the transaction.
    pub service: ServiceName,
    /// Slot of the transaction.
    pub slot: SlotName,
    /// Database to open the transaction on.
    pub database: DatabaseName,
    /// Lowest log position that the transaction must see.
    pub min_position: Position,
    /// Time left until the request times out, in microseconds.
    pub time_left: DurationUs,
}

/// A request inside a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionStep {
    /// Id of the transaction.
    pub transaction: TransactionId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Name of the caller's key.
    pub key: KeyName,
    /// Service of the transaction.
    pub service: ServiceName,
    /// Slot of the transaction.
    pub slot: SlotName,
    /// Action to perform in the transaction.
    pub action: TransactionAction,
    /// Time left until the request times out, in microseconds.
    pub time_left: DurationUs,
}

/// An action of a request inside a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TransactionAction {
    /// Executes a statement.
    Execute {
        /// Route of the request.
        route: RouteName,
        /// Statement to execute.
        statement: String,
        /// Parameters of the statement.
        params: Vec<Value>,
    },
    /// Commits the transaction under this request id.
    Commit(RequestId),
    /// Rolls the transaction back.
    Rollback,
}

/// Databases that can serve a request which the receiver could not serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Term of the slot as the sender knows it.
    pub term: Term,
    /// Primary of the slot, if known.
    pub primary: Option<DatabaseName>,
    /// A replica that is expected to be able to serve the request, if any.
    pub replica: Option<DatabaseName>,
}
