//! Messages between VMs: MessagePack over HTTP, authenticated with the fleet's secret.
//!
//! The authentication code covers the sender, its incarnation, a sequence number, the receiver and
//! the body, so that a message can neither be made without the secret nor sent to another VM.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use model::{key::FleetSecret, prelude::*};
use proto::peer::{PeerReply, PeerRequest};
use serde::{Serialize, de::DeserializeOwned};

use crate::client::{Client, SendError};

/// Path of the peer listener.
pub const PEER_PATH: &str = "/peer";

const STAMP: HeaderName = HeaderName::from_static("jasminepass-stamp");
const MAC: HeaderName = HeaderName::from_static("jasminepass-mac");
const MAC_CONTEXT: &[u8] = b"peer request";

/// Why a message from another VM is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerAuthError {
    /// It has no stamp, or one that can't be read.
    #[error(
        "the message has no readable stamp: this listener is for the fleet's VMs, not for callers"
    )]
    NoStamp,
    /// It was not made with the fleet's secret, or not for this VM.
    #[error(
        "the message was not made with this fleet's secret for this VM: check --fleet-secret-file on the sender"
    )]
    WrongMac,
    /// It was received before.
    #[error("the message was received before")]
    Replayed,
}

/// Who sent a message, and its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The sender.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Raised by one with each message of that run.
    pub sequence: u64,
}

impl Stamp {
    fn text(&self) -> String {
        format!("{} {} {}", self.vm, self.incarnation.0, self.sequence)
    }

    fn parse(text: &str) -> Option<Stamp> {
        let mut parts = text.split(' ');
        let vm = VmName::new(parts.next()?).ok()?;
        let incarnation = Incarnation(parts.next()?.parse().ok()?);
        let sequence = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Stamp { vm, incarnation, sequence })
    }
}

/// Whom a message is for: another run of the same VM does not take it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receiver {
    /// Its name.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

impl Receiver {
    fn text(&self) -> String {
        format!("{} {}", self.vm, self.incarnation.0)
    }
}

/// Checks the stamp of a received message, and returns it.
pub fn verify(
    secret: &FleetSecret,
    me: &Receiver,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Stamp, PeerAuthError> {
    let stamp = headers.get(STAMP).and_then(|v| v.to_str().ok()).ok_or(PeerAuthError::NoStamp)?;
    let mac =
        headers.get(MAC).and_then(|v| parse_hex(v.as_bytes())).ok_or(PeerAuthError::NoStamp)?;
    if !secret.verify(&[MAC_CONTEXT, stamp.as_bytes(), me.text().as_bytes(), body], &mac) {
        return Err(PeerAuthError::WrongMac);
    }
    Stamp::parse(stamp).ok_or(PeerAuthError::NoStamp)
}

/// A client of other VMs' peer listeners. Cheap to clone.
#[derive(Clone)]
pub struct Peers {
    client: Client,
    secret: FleetSecret,
    me: Receiver,
    sequence: Arc<AtomicU64>,
}

impl Peers {
    /// A client for the VM `me`.
    pub fn new(client: Client, secret: FleetSecret, me: Receiver) -> Peers {
        Peers { client, secret, me, sequence: Arc::new(AtomicU64::new(1)) }
    }

    /// Sends a message and reads the answer within `timeout`.
    pub async fn call(
        &self,
        to: &Receiver,
        address: &str,
        req: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, SendError> {
        let body = encode(req);
        let headers = self.stamp(to, &body);
        let reply =
            self.client.send(address, Method::POST, PEER_PATH, &headers, body, timeout).await?;
        match reply.status {
            StatusCode::OK => decode(&reply.body)
                .map_err(|reason| SendError::Unreadable { address: address.to_owned(), reason }),
            // A peer that refuses the message has not acted on it.
            status => Err(SendError::NotSent {
                address: address.to_owned(),
                reason: format!("status {status}: {}", String::from_utf8_lossy(&reply.body)),
            }),
        }
    }

    fn stamp(&self, to: &Receiver, body: &[u8]) -> [(HeaderName, HeaderValue); 2] {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let stamp =
            Stamp { vm: self.me.vm.clone(), incarnation: self.me.incarnation, sequence }.text();
        let mac = self.secret.mac(&[MAC_CONTEXT, stamp.as_bytes(), to.text().as_bytes(), body]);
        let value = |text: String| HeaderValue::try_from(text).expect("stamps are plain text");
        [(STAMP, value(stamp)), (MAC, value(hex(&mac)))]
    }
}

/// Encodes a message as MessagePack.
///
/// # Panics
/// Panics on a type that MessagePack can't express; the messages of `proto` all can.
pub fn encode(message: &impl Serialize) -> Bytes {
    rmp_serde::to_vec_named(message).expect("messages can be expressed in MessagePack").into()
}

/// Decodes a MessagePack message; the error says what was found.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(body).map_err(|e| e.to_string())
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, b| {
        let _ = write!(text, "{b:02x}");
        text
    })
}

fn parse_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |b: u8| (b as char).to_digit(16).map(|d| d as u8);
    text.chunks(2).map(|pair| Some(digit(*pair.first()?)? << 4 | digit(*pair.get(1)?)?)).collect()
}
