//! Messages between VMs: MessagePack over HTTP, each authenticated with the fleet's secret.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    caller::CallerError,
    report::{TallyReport, VmReport},
};

/// A message to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A caller's request, for a holder of the database.
    Forward(Box<Forward>),
    /// Asks for the configuration, if its generation is higher than the one stated.
    FetchConfiguration {
        /// What the sender has.
        have: Generation,
    },
    /// A VM's state and counts, for the VM that writes those of its data centre.
    Report(Box<VmReport>, TallyReport),
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
    /// The configuration, as JSON; absent where the sender's is as new.
    Configuration(Option<String>),
    /// The report was taken.
    Reported {
        /// All counts in the sender's reports up to this number are stored.
        stored: u64,
    },
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
}

/// Where a request should go instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Term in which the sender believes the slot is.
    pub term: Term,
    /// The slot's primary, where it is known.
    pub primary: Option<DatabaseName>,
}
