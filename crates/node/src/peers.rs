//! Traffic between VMs: datagrams for messages, HTTP for state that is too large for one.

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

/// Longest datagram taken, in bytes.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 16 << 10;
/// Where a VM's state is fetched.
const STATE_PATH: &str = "/state";
/// How long a peer may take to hand its state over.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// What a VM knows of the configuration and the databases, as read from the store. Only the program
/// that made it knows the shapes of the documents.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Generation of the configuration.
    pub generation: u64,
    /// The configuration.
    #[serde(with = "serde_bytes_as_vec")]
    pub configuration: Bytes,
    /// Version of the list of databases.
    pub registry: u64,
    /// The databases.
    #[serde(with = "serde_bytes_as_vec")]
    pub databases: Bytes,
    /// Version of the list of VMs.
    pub members_version: u64,
    /// The VMs.
    #[serde(with = "serde_bytes_as_vec")]
    pub members: Bytes,
}

impl Snapshot {
    /// What of it is newer than what somebody has; the rest is left out, with version zero.
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

/// The snapshot that is handed to peers.
pub(crate) type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// Routes of the internal HTTP listener.
pub(crate) fn routes(snapshot: SharedSnapshot) -> Router {
    Router::new().route(STATE_PATH, get(get_state)).with_state(snapshot)
}

async fn get_state(
    State(snapshot): State<SharedSnapshot>,
    Query(known): Query<SnapshotVersions>,
) -> Result<Vec<u8>, StatusCode> {
    let newer = snapshot.load().newer_than(known);
    rmp_serde::to_vec(&newer).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Fetches what of a peer's state is newer than what is known.
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

/// Writes a message as a datagram.
pub(crate) fn encode(message: &PeerMessage) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message)
}

/// Reads a datagram.
pub(crate) fn decode(datagram: &[u8]) -> Result<PeerMessage, rmp_serde::decode::Error> {
    rmp_serde::from_slice(datagram)
}
