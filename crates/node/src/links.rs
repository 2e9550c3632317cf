//! Links between VMs on the wire: HTTP connections upgraded to streams of messages.

use std::{io, net::SocketAddr};

use axum::{
    extract::{Query, Request, State},
    response::{IntoResponse, Response},
};
use bytes::{Buf, BytesMut};
use edge::upgrade::{self, UpgradedStream};
use gateway::link::{LinkMessage, LinkParameters};
use http::StatusCode;
use model::prelude::*;
use tokio::sync::mpsc;

/// HTTP path of links.
pub(crate) const LINK_PATH: &str = "/link";
/// Name of the protocol that connections are upgraded to.
const PROTOCOL: &str = "jasminepass-link";
/// Greatest length of an encoded message, in bytes. Statements and rows are at most a mebibyte.
const MESSAGE_MAX_BYTES: usize = 2 << 20;
/// Length of the number before each message that gives its length, in bytes.
const LENGTH_BYTES: usize = 4;

/// A link that a peer has opened.
#[derive(Debug)]
pub(crate) struct IncomingLink {
    /// What the peer says of itself.
    pub(crate) parameters: LinkParameters,
    pub(crate) stream: UpgradedStream,
}

/// Handles a request for a link: passes the connection to the node.
pub(crate) async fn accept(
    State(links): State<mpsc::UnboundedSender<IncomingLink>>,
    Query(parameters): Query<LinkParameters>,
    mut req: Request,
) -> Response {
    let Some((response, stream)) = upgrade::accept(&mut req, PROTOCOL) else {
        return StatusCode::UPGRADE_REQUIRED.into_response();
    };
    tokio::spawn(async move {
        // A connection that ended before the upgrade, or after the node, needs no link.
        if let Ok(stream) = stream.await {
            let _ = links.send(IncomingLink { parameters, stream });
        }
    });
    response.map(|()| axum::body::Body::empty())
}

/// Opens a link from the VM `me` to the VM at `address`.
pub(crate) async fn connect(address: SocketAddr, me: &VmName) -> io::Result<UpgradedStream> {
    let query = LinkParameters::new(me.clone()).query();
    upgrade::connect(address, &format!("{LINK_PATH}?{query}"), PROTOCOL).await
}

/// Appends a message to a send buffer.
pub(crate) fn encode(message: &LinkMessage, out: &mut Vec<u8>) -> Result<(), String> {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    rmp_serde::encode::write(out, message).map_err(|e| e.to_string())?;
    let length = out.len() - start - LENGTH_BYTES;
    let length = u32::try_from(length).map_err(|e| e.to_string())?;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Removes the first message from a receive buffer; `None` if it is not complete yet.
pub(crate) fn decode(buf: &mut BytesMut) -> Result<Option<LinkMessage>, String> {
    let Some(prefix) = buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MESSAGE_MAX_BYTES {
        return Err(format!("message of {length} bytes"));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let message = buf.split_to(length);
    rmp_serde::from_slice(&message).map(Some).map_err(|e| e.to_string())
}
