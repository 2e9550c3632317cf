//! Traffic between VMs: datagrams for messages, and HTTP for snapshots that are too large for one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use axum::{
    Router,
    extract::{Query, State},
    routing::get,
};
use bytes::Bytes;
use edge::client::{Client, SendError};
use gateway::peers::PeerMessage;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::links::{self, IncomingLink, LINK_PATH};

/// Maximum size of a received datagram, in bytes.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 16 << 10;
/// HTTP path of a VM's snapshot.
const STATE_PATH: &str = "/state";
/// Timeout for fetching a peer's snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration, the databases and the VMs as a VM has read them from the store. The program
/// that runs the node defines the encoding of the three documents.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Generation of the configuration.
    pub generation: u64,
    /// Encoded configuration.
    #[serde(with = "serde_bytes_as_vec")]
    pub configuration: Bytes,
    /// Version of the list of databases.
    pub registry: u64,
    /// Encoded list of databases.
    #[serde(with = "serde_bytes_as_vec")]
    pub databases: Bytes,
    /// Version of the list of VMs.
    pub members_version: u64,
    /// Encoded list of VMs.
    #[serde(with = "serde_bytes_as_vec")]
    pub members: Bytes,
}

impl Snapshot {
    /// Returns the parts that are newer than `known`. The other parts are empty, with version zero.
    pub fn newer_than(&self, known: SnapshotVersions) -> Snapshot {
        let mut newer = self.clone();
        if newer.generation <= known.generation {
            (newer.generation, newer.configuration) = Default::default();
        }
        if newer.registry <= known.registry {
            (newer.registry, newer.databases) = Default::default();
        }
        if newer.members_version <= known.members {
            (newer.members_version, newer.members) = Default::default();
        }
        newer
    }
}

/// Versions of the parts of a snapshot that a VM already has; zero for a part that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotVersions {
    /// Generation of the configuration.
    pub generation: u64,
    /// Version of the list of databases.
    pub registry: u64,
    /// Version of the list of VMs.
    pub members: u64,
}

/// Serialises [`Bytes`] as a byte string instead of a sequence of numbers.
mod serde_bytes_as_vec {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Bytes, D::Error> {
        Bytes::deserialize(d)
    }
}

/// The snapshot that peers fetch, shared with the HTTP listener.
pub(crate) type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// Returns the routes of the HTTP listener for peers.
pub(crate) fn routes(
    snapshot: SharedSnapshot,
    links: mpsc::UnboundedSender<IncomingLink>,
) -> Router {
    let state = Router::new().route(STATE_PATH, get(get_state)).with_state(snapshot);
    state.merge(Router::new().route(LINK_PATH, get(links::accept)).with_state(links))
}

async fn get_state(
    State(snapshot): State<SharedSnapshot>,
    Query(known): Query<SnapshotVersions>,
) -> Result<Vec<u8>, StatusCode> {
    let newer = snapshot.load().newer_than(known);
    rmp_serde::to_vec(&newer).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Fetches the parts of a peer's snapshot that are newer than `known`.
pub(crate) async fn fetch(
    client: &Client,
    peer: SocketAddr,
    known: SnapshotVersions,
) -> Result<Snapshot, SendError> {
    let address = peer.to_string();
    let SnapshotVersions { generation, registry, members } = known;
    let path =
        format!("{STATE_PATH}?generation={generation}&registry={registry}&members={members}");
    let reply = client.send(&address, Method::GET, &path, &[], Bytes::new(), FETCH_TIMEOUT).await?;
    let unreadable = |reason: String| SendError::Unreadable { address: address.clone(), reason };
    if reply.status != StatusCode::OK {
        return Err(unreadable(format!("status {}", reply.status)));
    }
    rmp_serde::from_slice(&reply.body).map_err(|e| unreadable(e.to_string()))
}

/// Encodes a message as a datagram.
pub(crate) fn encode(message: &PeerMessage) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message)
}

/// Decodes a datagram.
pub(crate) fn decode(datagram: &[u8]) -> Result<PeerMessage, rmp_serde::decode::Error> {
    rmp_serde::from_slice(datagram)
}
