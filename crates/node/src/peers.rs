//! Traffic between VMs: datagrams for messages, and HTTP for snapshots that are too large for one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Router,
    extract::{Query, State},
    routing::get,
};
use bytes::Bytes;
use edge::client::{Client, Patience, Reply, SendError};
use http::{Method, StatusCode};
use slog::{Logger, info};
use tokio::sync::mpsc;

use crate::{
    links::{self, IncomingLink, LINK_PATH},
    snapshot::{PartUpdate, Snapshot, SnapshotHistory, SnapshotVersions},
};

/// Maximum size of a received datagram, in bytes.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 16 << 10;
/// HTTP path of a VM's snapshot.
const STATE_PATH: &str = "/state";
/// HTTP path of updates to a VM's snapshot.
const UPDATES_PATH: &str = "/state/updates";
/// How long a peer may take to answer, and pause in its answer.
const FETCH_PATIENCE: Patience =
    Patience::WhileArriving { first: Duration::from_secs(1), pause: Duration::from_secs(1) };

/// The snapshot that peers fetch, shared with the HTTP listener.
pub type SharedSnapshot = Arc<Mutex<SnapshotHistory>>;

/// Locks a shared snapshot. A panic elsewhere leaves it usable: each document is replaced at once.
pub(crate) fn lock(snapshot: &SharedSnapshot) -> MutexGuard<'_, SnapshotHistory> {
    snapshot.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the routes of the HTTP listener for peers.
pub(crate) fn routes(
    snapshot: SharedSnapshot,
    links: mpsc::UnboundedSender<IncomingLink>,
) -> Router {
    let state = Router::new()
        .route(STATE_PATH, get(get_state))
        .route(UPDATES_PATH, get(get_updates))
        .with_state(snapshot);
    state.merge(Router::new().route(LINK_PATH, get(links::accept)).with_state(links))
}

/// Failure to encode a reply, with its reason, which the peer logs.
type EncodeFailure = (StatusCode, String);

fn encode_failure(e: impl ToString) -> EncodeFailure {
    (StatusCode::INTERNAL_SERVER_ERROR, e.to_string())
}

/// Returns the newer parts as whole documents, for VMs of a version that does not know updates.
async fn get_state(
    State(snapshot): State<SharedSnapshot>,
    Query(known): Query<SnapshotVersions>,
) -> Result<Vec<u8>, EncodeFailure> {
    let newer = lock(&snapshot).current().newer_than(known);
    rmp_serde::to_vec(&newer).map_err(encode_failure)
}

async fn get_updates(
    State(snapshot): State<SharedSnapshot>,
    Query(known): Query<SnapshotVersions>,
) -> Result<Vec<u8>, EncodeFailure> {
    let updates = lock(&snapshot).updates_since(known).map_err(encode_failure)?;
    rmp_serde::to_vec(&updates).map_err(encode_failure)
}

/// What a peer has sent of its snapshot.
#[derive(Debug)]
pub struct Fetched {
    /// The newer parts.
    pub snapshot: Snapshot,
    /// Size of the replies' bodies.
    pub received_bytes: usize,
}

/// Fetches the parts of a peer's snapshot that are newer than `own`.
///
/// # Errors
/// The peer does not answer, or its answer can't be decoded.
pub async fn fetch_snapshot(
    client: &Client,
    peer: SocketAddr,
    own: &SharedSnapshot,
    log: &Logger,
) -> Result<Fetched, SendError> {
    let address = peer.to_string();
    let known = lock(own).versions();
    let unreadable = |reason: String| SendError::Unreadable { address: address.clone(), reason };
    let body_of = |reply: Reply| match reply.status {
        StatusCode::OK => Ok(reply.body),
        status => {
            let reason = String::from_utf8_lossy(&reply.body);
            Err(unreadable(format!("status {status}: {reason}")))
        }
    };
    let decode = |reply: Reply| {
        let updates: Vec<PartUpdate> =
            rmp_serde::from_slice(&body_of(reply)?).map_err(|e| unreadable(e.to_string()))?;
        lock(own).decode(&updates).map_err(|e| unreadable(e.to_string()))
    };
    let reply = get_since(client, &address, UPDATES_PATH, known).await?;
    let mut received_bytes = reply.body.len();
    if reply.status == StatusCode::NOT_FOUND {
        // The peer's version does not know updates.
        let body = body_of(get_since(client, &address, STATE_PATH, known).await?)?;
        let snapshot = rmp_serde::from_slice(&body).map_err(|e| unreadable(e.to_string()))?;
        return Ok(Fetched { snapshot, received_bytes: body.len() });
    }
    let snapshot = match decode(reply) {
        Ok(snapshot) => snapshot,
        Err(e) => {
            // The peer has another document for a version of this VM, or this VM no longer has it.
            info!(log, "update not decoded, fetching whole documents"; "peer" => %peer, "error" => %e);
            let all = SnapshotVersions::NONE;
            let reply = get_since(client, &address, UPDATES_PATH, all).await?;
            received_bytes += reply.body.len();
            decode(reply)?
        }
    };
    Ok(Fetched { snapshot, received_bytes })
}

async fn get_since(
    client: &Client,
    address: &str,
    path: &str,
    known: SnapshotVersions,
) -> Result<Reply, SendError> {
    let SnapshotVersions { generation, registry, members, evacuations } = known;
    let mut path = format!("{path}?generation={generation}&registry={registry}&members={members}");
    if let Some(evacuations) = evacuations {
        path.push_str(&format!("&evacuations={evacuations}"));
    }
    client.send(address, Method::GET, &path, &[], Bytes::new(), FETCH_PATIENCE).await
}
