//! Messages between VMs: MessagePack over HTTP, authenticated with the fleet's secret.
//!
//! A request's message authentication code (MAC) covers the sender, its incarnation, a sequence
//! number, the receiver and the body, so that a request can neither be forged without the secret
//! nor be redirected to another VM. A reply's MAC covers the request's stamp and the reply's body,
//! so that the reply is valid for that request only.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use model::{key::FleetSecret, prelude::*};
use proto::peer::{PeerReply, PeerRequest};
use serde::{Serialize, de::DeserializeOwned};

use crate::client::{Client, Patience, SendError};

/// HTTP path for requests to one incarnation of a VM.
pub const PEER_PATH: &str = "/peer";

/// HTTP path for introductions, which any VM that listens at the address accepts.
pub const INTRODUCTION_PATH: &str = "/introduction";

const STAMP: HeaderName = HeaderName::from_static("jasminepass-stamp");
const MAC: HeaderName = HeaderName::from_static("jasminepass-mac");
const REQUEST_CONTEXT: &[u8] = b"peer request";
const INTRODUCTION_CONTEXT: &[u8] = b"peer introduction";
const REPLY_CONTEXT: &[u8] = b"peer reply";

/// Reasons for which a message from another VM is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerAuthError {
    /// The stamp or the MAC is missing or malformed.
    #[error(
        "the message has no readable stamp: this listener is for the fleet's VMs, not for callers"
    )]
    NoStamp,
    /// The MAC was not computed with the fleet's secret for this VM.
    #[error(
        "the message's MAC was not computed with this fleet's secret for this VM: check --fleet-secret-file on the sender"
    )]
    WrongMac,
    /// The message was received before, or is too old to tell.
    #[error("the message was received before: send a new one")]
    Replayed,
}

/// Sender and sequence number of a message, the value of header `jasminepass-stamp`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Name of the sender.
    pub vm: VmName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Increased by one with each message from this incarnation to the same receiver; random in an
    /// introduction.
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

/// An incarnation of a VM, as the sender or receiver of messages. Another incarnation of the same
/// VM refuses a message to this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerInstance {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
}

impl PeerInstance {
    fn text(&self) -> String {
        format!("{} {}", self.vm, self.incarnation.0)
    }
}

/// Verifies the MAC of a received message and returns the message's stamp.
pub fn verify(
    secret: &FleetSecret,
    me: &PeerInstance,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Stamp, PeerAuthError> {
    verify_for(secret, REQUEST_CONTEXT, &me.text(), headers, body)
}

/// Verifies the MAC of a received introduction and returns its stamp.
pub fn verify_introduction(
    secret: &FleetSecret,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Stamp, PeerAuthError> {
    verify_for(secret, INTRODUCTION_CONTEXT, "", headers, body)
}

/// Returns the header that authenticates `body` as the reply to the message with this stamp.
pub fn sign_reply(secret: &FleetSecret, stamp: &Stamp, body: &[u8]) -> (HeaderName, HeaderValue) {
    let mac = secret.mac(&[REPLY_CONTEXT, stamp.text().as_bytes(), body]);
    (MAC, header_value(hex(&mac)))
}

fn verify_for(
    secret: &FleetSecret,
    context: &[u8],
    receiver: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Stamp, PeerAuthError> {
    let stamp = headers.get(STAMP).and_then(|v| v.to_str().ok()).ok_or(PeerAuthError::NoStamp)?;
    let mac = received_mac(headers).ok_or(PeerAuthError::NoStamp)?;
    if !secret.verify(&[context, stamp.as_bytes(), receiver.as_bytes(), body], &mac) {
        return Err(PeerAuthError::WrongMac);
    }
    Stamp::parse(stamp).ok_or(PeerAuthError::NoStamp)
}

/// A client for the peer listeners of other VMs. Cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    secret: FleetSecret,
    me: PeerInstance,
    sequences: Arc<Mutex<Sequences>>,
}

/// Maximum number of receivers with a sequence of their own. Beyond it, all sequences restart above
/// the highest number used so far.
const RECEIVERS_MAX: usize = 4096;

/// Last sequence number sent to each receiver. Each receiver has a sequence of its own, so that its
/// replay window covers only messages that are sent to it.
#[derive(Default)]
struct Sequences {
    last: FxHashMap<PeerInstance, u64>,
    floor: u64,
}

impl Sequences {
    fn next(&mut self, to: &PeerInstance) -> u64 {
        if self.last.len() >= RECEIVERS_MAX && !self.last.contains_key(to) {
            self.floor = self.last.values().copied().max().unwrap_or(self.floor);
            self.last.clear();
        }
        let sequence = self.last.entry(to.clone()).or_insert(self.floor);
        *sequence += 1;
        *sequence
    }
}

impl PeerClient {
    /// Creates a client that sends as `me`.
    pub fn new(client: Client, secret: FleetSecret, me: PeerInstance) -> PeerClient {
        PeerClient { client, secret, me, sequences: Arc::default() }
    }

    /// Sends a request to `to` at `address` (`ip:port`) and waits for the reply as `patience` says.
    pub async fn call(
        &self,
        to: &PeerInstance,
        address: &str,
        req: &PeerRequest,
        patience: impl Into<Patience>,
    ) -> Result<PeerReply, SendError> {
        let stamp = self.next_stamp(to);
        let context = (REQUEST_CONTEXT, to.text());
        self.exchange(address, PEER_PATH, context, stamp, encode(req), patience.into()).await
    }

    /// Asks the VM that listens at `address` (`ip:port`) for all VMs that it knows.
    pub async fn introduce(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<PeerReply, SendError> {
        // An introduction changes nothing at the receiver, so replays are harmless and its sequence
        // number can be random.
        let stamp = self.stamp(model::request::random_u64());
        let context = (INTRODUCTION_CONTEXT, String::new());
        let body = encode(&PeerRequest::Introduce);
        self.exchange(address, INTRODUCTION_PATH, context, stamp, body, timeout.into()).await
    }

    /// Returns the headers that authenticate `body` as this VM's next message to the receiver.
    pub fn sign(&self, to: &PeerInstance, body: &[u8]) -> [(HeaderName, HeaderValue); 2] {
        self.headers(REQUEST_CONTEXT, &to.text(), &self.next_stamp(to).text(), body)
    }

    fn headers(
        &self,
        context: &[u8],
        receiver: &str,
        stamp: &str,
        body: &[u8],
    ) -> [(HeaderName, HeaderValue); 2] {
        let mac = self.secret.mac(&[context, stamp.as_bytes(), receiver.as_bytes(), body]);
        [(STAMP, header_value(stamp.to_owned())), (MAC, header_value(hex(&mac)))]
    }

    async fn exchange(
        &self,
        address: &str,
        path: &str,
        (context, receiver): (&[u8], String),
        stamp: Stamp,
        body: Bytes,
        patience: Patience,
    ) -> Result<PeerReply, SendError> {
        let text = stamp.text();
        let headers = self.headers(context, &receiver, &text, &body);
        let reply = self.client.send(address, Method::POST, path, &headers, body, patience).await?;
        let unreadable =
            |reason: String| SendError::Unreadable { address: address.to_owned(), reason };
        if reply.status != StatusCode::OK {
            // A peer that refuses a message has not acted on it.
            let reason =
                format!("status {}: {}", reply.status, String::from_utf8_lossy(&reply.body));
            return Err(SendError::NotSent { address: address.to_owned(), reason });
        }
        let mac = received_mac(&reply.headers).unwrap_or_default();
        if !self.secret.verify(&[REPLY_CONTEXT, text.as_bytes(), &reply.body], &mac) {
            return Err(unreadable("its MAC was not computed with this fleet's secret".to_owned()));
        }
        decode(&reply.body).map_err(unreadable)
    }

    fn next_stamp(&self, to: &PeerInstance) -> Stamp {
        let mut sequences = self.sequences.lock().unwrap_or_else(PoisonError::into_inner);
        self.stamp(sequences.next(to))
    }

    fn stamp(&self, sequence: u64) -> Stamp {
        Stamp { vm: self.me.vm.clone(), incarnation: self.me.incarnation, sequence }
    }
}

fn received_mac(headers: &HeaderMap) -> Option<Vec<u8>> {
    headers.get(MAC).and_then(|v| parse_hex(v.as_bytes()))
}

/// Converts a stamp or a hexadecimal MAC, both of which are plain ASCII, to a header value.
fn header_value(text: String) -> HeaderValue {
    HeaderValue::try_from(text).expect("stamps and MACs are plain ASCII")
}

/// Encodes a message as MessagePack.
///
/// # Panics
/// Panics on a type that MessagePack can't express; the messages of `proto` all can.
pub fn encode(message: &impl Serialize) -> Bytes {
    rmp_serde::to_vec_named(message).expect("messages can be expressed in MessagePack").into()
}

/// Decodes a MessagePack message. The error is the decoder's message.
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
