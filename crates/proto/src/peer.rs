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

/// A message to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A caller's request, for a holder of the database.
    Forward(Box<Forward>),
    /// Asks what became of a write, and keeps it from running if it has not run.
    Resolve(Box<Resolve>),
    /// Opens a transaction.
    Begin(Box<Begin>),
    /// A request inside a transaction, for the holder that opened it.
    Step(Box<TransactionStep>),
    /// What the sender knows; the answer is what the receiver knows.
    Gossip(Box<Digest>),
    /// Asks for what the sender lacks.
    Pull(Pull),
    /// Asks any VM at the address who it is and which VMs it knows. The only message that is not
    /// addressed to one run of one VM, and it changes nothing.
    Introduce,
    /// A VM's state and counts, for the VM that writes those of its data centre.
    Report(Box<VmReport>, TallyReport),
    /// About rate tokens.
    Tokens(TokenRequest),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to a forwarded request.
    Answer(Answer),
    /// The forwarded request got none.
    Error(CallerError),
    /// Another database can serve the forwarded request. It did not run.
    Redirect(Redirect),
    /// The forwarded request's id was cancelled before it came. It did not run under this id.
    Cancelled,
    /// A transaction was opened.
    Begun(TransactionId),
    /// A transaction was rolled back.
    RolledBack,
    /// What the receiver of a digest knows.
    Gossip(Box<Digest>),
    /// What was asked for.
    Pulled(Box<PullReply>),
    /// The VMs that the receiver of an introduction knows, itself among them.
    Introduced(Vec<VmRecord>),
    /// The report was taken.
    Reported {
        /// All counts in the sender's reports up to this number are stored.
        stored: u64,
    },
    /// About rate tokens.
    Tokens(TokenReply),
}

/// A request on its way from the entry VM to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// Name of the key that came with it; absent on routes open to all.
    pub key: Option<KeyName>,
    /// Generation of the configuration under which the entry VM took it.
    pub generation: Generation,
    /// Its service.
    pub service: ServiceName,
    /// Its route.
    pub route: RouteName,
    /// Its slot.
    pub slot: SlotName,
    /// Where to run it.
    pub database: DatabaseName,
    /// Position that the answer must cover.
    pub min_position: Position,
    /// Names the request at the upstream.
    pub request_id: RequestId,
    /// Tells apart requests that were sent under the same idempotency key.
    pub fingerprint: u64,
    /// What to execute.
    pub statement: String,
    /// Its parameters.
    pub params: Vec<Value>,
    /// Time left, in microseconds.
    pub time_left: DurationUs,
}

/// What the upstream returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// What the statement returned.
    pub result: Value,
    /// Position that the session has now seen.
    pub position: Position,
    /// Whether a replica served it.
    pub from_replica: bool,
    /// Whether the slot's history no longer has the position that the session had seen: the session
    /// goes on from `position`.
    pub resets_session: bool,
}

/// Asks a holder what became of a write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resolve {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotName,
    /// The write.
    pub request_id: RequestId,
    /// Time left, in microseconds.
    pub time_left: DurationUs,
}

/// Opens a transaction on a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// Name of the key that came with it.
    pub key: KeyName,
    /// Its service.
    pub service: ServiceName,
    /// Its slot.
    pub slot: SlotName,
    /// Where to open it.
    pub database: DatabaseName,
    /// Position that it must see.
    pub min_position: Position,
    /// Time left, in microseconds.
    pub time_left: DurationUs,
}

/// A request inside a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionStep {
    /// The transaction.
    pub transaction: TransactionId,
    /// Whose request it is.
    pub workspace: WorkspaceName,
    /// Name of the key that came with it.
    pub key: KeyName,
    /// Service of the transaction.
    pub service: ServiceName,
    /// Slot of the transaction.
    pub slot: SlotName,
    /// What to do.
    pub action: TransactionAction,
    /// Time left, in microseconds.
    pub time_left: DurationUs,
}

/// What to do inside a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TransactionAction {
    /// Executes a statement.
    Execute {
        /// The kind of request.
        route: RouteName,
        /// What to execute.
        statement: String,
        /// Its parameters.
        params: Vec<Value>,
    },
    /// Commits under the request id.
    Commit(RequestId),
    /// Rolls back.
    Rollback,
}

/// Where a request should go instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Term in which the sender believes the slot is.
    pub term: Term,
    /// The slot's primary, where it is known.
    pub primary: Option<DatabaseName>,
    /// A replica that is expected to serve the request, where there is one.
    pub replica: Option<DatabaseName>,
}
