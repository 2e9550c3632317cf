//! Messages between VMs: MessagePack over HTTP, authenticated with the fleet's secret.
//!
//! The authentication code covers the sender, its incarnation, a sequence number, the receiver and
//! the body, so that a message can neither be made without the secret nor sent to another VM. The
//! answer's covers the message's stamp and the answer's body, so that it fits just that message.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use model::{key::FleetSecret, prelude::*};
use proto::peer::{PeerReply, PeerRequest};
use serde::{Serialize, de::DeserializeOwned};

use crate::client::{Client, SendError};

/// Path of messages that are for one run of a VM.
pub const PEER_PATH: &str = "/peer";

/// Path of introductions, which are for whoever listens at the address.
pub const INTRODUCTION_PATH: &str = "/introduction";

const STAMP: HeaderName = HeaderName::from_static("jasminepass-stamp");
const MAC: HeaderName = HeaderName::from_static("jasminepass-mac");
const REQUEST_CONTEXT: &[u8] = b"peer request";
const INTRODUCTION_CONTEXT: &[u8] = b"peer introduction";
const REPLY_CONTEXT: &[u8] = b"peer reply";

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
    #[error("the message was received before: send a new one")]
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
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerInstance {
    /// Its name.
    pub vm: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
}

impl PeerInstance {
    fn text(&self) -> String {
        format!("{} {}", self.vm, self.incarnation.0)
    }
}

/// Checks the stamp of a received message, and returns it.
pub fn verify(
    secret: &FleetSecret,
    me: &PeerInstance,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Stamp, PeerAuthError> {
    verify_for(secret, REQUEST_CONTEXT, &me.text(), headers, body)
}

/// Checks the stamp of a received introduction, and returns it.
pub fn verify_introduction(
    secret: &FleetSecret,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Stamp, PeerAuthError> {
    verify_for(secret, INTRODUCTION_CONTEXT, "", headers, body)
}

/// The header that proves that an answer is for the message with this stamp.
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

/// A client of other VMs' peer listeners. Cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    secret: FleetSecret,
    me: PeerInstance,
    sequences: Arc<Mutex<Sequences>>,
}

/// Receivers whose numbers are remembered; beyond, all numbers go on from the highest.
const RECEIVERS_MAX: usize = 4096;

/// The last number sent to each receiver. Each has its own, so that its window covers just the
/// messages that it gets.
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
    /// A client for the VM `me`.
    pub fn new(client: Client, secret: FleetSecret, me: PeerInstance) -> PeerClient {
        PeerClient { client, secret, me, sequences: Arc::default() }
    }

    /// Sends a message and reads the answer within `timeout`.
    pub async fn call(
        &self,
        to: &PeerInstance,
        address: &str,
        req: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, SendError> {
        let stamp = self.next_stamp(to);
        let context = (REQUEST_CONTEXT, to.text());
        self.exchange(address, PEER_PATH, context, stamp, encode(req), timeout).await
    }

    /// Asks whoever listens at the address who it is and which VMs it knows.
    pub async fn introduce(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<PeerReply, SendError> {
        // Nothing is changed by an introduction, so that its number need not be remembered.
        let stamp = self.stamp(model::request::random_u64());
        let context = (INTRODUCTION_CONTEXT, String::new());
        let body = encode(&PeerRequest::Introduce);
        self.exchange(address, INTRODUCTION_PATH, context, stamp, body, timeout).await
    }

    /// The headers that authenticate a body as this VM's next message to the receiver.
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
        timeout: Duration,
    ) -> Result<PeerReply, SendError> {
        let text = stamp.text();
        let headers = self.headers(context, &receiver, &text, &body);
        let reply = self.client.send(address, Method::POST, path, &headers, body, timeout).await?;
        let unreadable =
            |reason: String| SendError::Unreadable { address: address.to_owned(), reason };
        if reply.status != StatusCode::OK {
            // A peer that refuses the message has not acted on it.
            let reason =
                format!("status {}: {}", reply.status, String::from_utf8_lossy(&reply.body));
            return Err(SendError::NotSent { address: address.to_owned(), reason });
        }
        let mac = received_mac(&reply.headers).unwrap_or_default();
        if !self.secret.verify(&[REPLY_CONTEXT, text.as_bytes(), &reply.body], &mac) {
            return Err(unreadable("it was not made with this fleet's secret".to_owned()));
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

/// Stamps and codes are plain text by their construction.
fn header_value(text: String) -> HeaderValue {
    HeaderValue::try_from(text).expect("stamps are plain text")
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
