//! Messages between VMs: MessagePack over HTTP, each authenticated with the fleet's secret.

use model::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    caller::CallerError,
    gossip::{Digest, Pull, Pulled},
    platform::VmRecord,
};

/// A message to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A caller's request, for a holder of the database.
    Forward(Box<Forward>),
    /// What the sender knows; the answer is what the receiver knows.
    Gossip(Box<Digest>),
    /// Asks for what the sender lacks.
    Pull(Pull),
    /// Asks any VM at the address who it is and which VMs it knows. The only message that is not
    /// addressed to one run of one VM, and it changes nothing.
    Introduce,
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
    /// What the receiver of a digest knows.
    Gossip(Box<Digest>),
    /// What was asked for.
    Pulled(Box<Pulled>),
    /// The VMs that the receiver of an introduction knows, itself among them.
    Introduced(Vec<VmRecord>),
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
