//! An HTTP client that reports whether a failed request may have reached the server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

/// Maximum size of a reply's body, in bytes.
pub const REPLY_MAX_BYTES: usize = 4 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE_PER_HOST: usize = 64;

/// Longest time for a reply that keeps arriving; see [`Patience::WhileArriving`].
const TRANSFER_MAX: Duration = Duration::from_secs(30);

/// How long to wait for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// The complete reply has to arrive within this time.
    Complete(Duration),
    /// The reply has to begin in time and then goes on as long as bytes arrive. For documents whose size is
    /// not bounded: giving up on one that is on its way and asking again would load the link twice.
    WhileArriving {
        /// Time until the reply begins.
        first: Duration,
        /// Longest pause after that.
        pause: Duration,
    },
}

impl From<Duration> for Patience {
    fn from(limit: Duration) -> Patience {
        Patience::Complete(limit)
    }
}

impl Patience {
    /// Time until the reply has to begin.
    fn first(self) -> Duration {
        match self {
            Patience::Complete(limit) => limit,
            Patience::WhileArriving { first, .. } => first,
        }
    }

    /// Time until the complete reply has to be there.
    fn total(self) -> Duration {
        match self {
            Patience::Complete(limit) => limit,
            Patience::WhileArriving { first, .. } => first + TRANSFER_MAX,
        }
    }

    /// Longest time between two parts of the reply.
    fn pause(self) -> Duration {
        match self {
            Patience::Complete(limit) => limit,
            Patience::WhileArriving { pause, .. } => pause,
        }
    }
}

/// Request header with the sender's name, for the platform and for upstreams.
pub const SENDER_HEADER: HeaderName = HeaderName::from_static("jasminepass-vm");

/// Reasons why a request got no usable reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request was not sent, or the server refused it without acting on it. Retrying is safe.
    #[error(
        "{address} can't be reached: {reason}; check that it runs and that the address is right"
    )]
    NotSent {
        /// Address of the server.
        address: String,
        /// Description of the failure.
        reason: String,
    },
    /// The request may have been sent, but no complete reply arrived. Whether the server acted on
    /// it is unknown.
    #[error(
        "no reply from {address}: {reason}; query the outcome before sending the request again"
    )]
    ReplyLost {
        /// Address of the server.
        address: String,
        /// Description of the failure.
        reason: String,
    },
    /// The reply could not be decoded or authenticated.
    #[error(
        "the reply from {address} can't be read: {reason}; check that both sides run the same version"
    )]
    Unreadable {
        /// Address of the server.
        address: String,
        /// Description of the reply and of the failure.
        reason: String,
    },
}

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Name and value of a request header.
pub type Header = (HeaderName, HeaderValue);

/// An HTTP client with a connection pool. Cheap to clone.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    sender: HeaderValue,
}

impl Client {
    /// Creates a client that sends `sender` as its name in [`SENDER_HEADER`].
    pub fn new(sender: &str) -> Client {
        Client::with_idle_timeout(sender, IDLE_TIMEOUT)
    }

    /// Like [`Client::new`]; connections that are not used for `idle_timeout` are closed.
    pub fn with_idle_timeout(sender: &str, idle_timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector);
        let sender =
            HeaderValue::from_str(sender).unwrap_or_else(|_| HeaderValue::from_static("unnamed"));
        Client { inner, sender }
    }

    /// Sends a request to `address` (`ip:port`) and reads the complete reply.
    pub async fn send(
        &self,
        address: &str,
        method: Method,
        path: &str,
        headers: &[Header],
        body: Bytes,
        patience: impl Into<Patience>,
    ) -> Result<Reply, SendError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(SENDER_HEADER, &self.sender);
        for (name, value) in headers {
            req = req.header(name, value);
        }
        let not_sent = |reason: String| SendError::NotSent { address: address.to_owned(), reason };
        let lost = |reason: String| SendError::ReplyLost { address: address.to_owned(), reason };
        let req = req.body(Full::new(body)).map_err(|e| not_sent(e.to_string()))?;
        let patience = patience.into();
        let exchange = async {
            let response = timeout(patience.first(), self.inner.request(req)).await;
            let late = |_| lost(format!("no reply within {} ms", patience.first().as_millis()));
            let response = response.map_err(late)?.map_err(|e| match e.is_connect() {
                true => not_sent(error_chain(&e)),
                false => lost(error_chain(&e)),
            })?;
            let status = response.status();
            let headers = response.headers().clone();
            let body = read_body(response.into_body(), patience.pause()).await.map_err(lost)?;
            Ok(Reply { status, headers, body })
        };
        match timeout(patience.total(), exchange).await {
            Ok(result) => result,
            Err(_) => {
                Err(lost(format!("no complete reply within {} ms", patience.total().as_millis())))
            }
        }
    }

    /// Sends a JSON body and decodes a JSON reply: `Ok` for status 200, `Err` for any other status.
    pub async fn post_json<T: DeserializeOwned, E: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Result<T, E>, SendError> {
        let body = encode_json(body);
        let reply =
            self.send(address, Method::POST, path, &[json_content_type()], body, timeout).await?;
        decode_json(address, &reply)
    }
}

/// Reads a body, unless it pauses for too long or is too large.
pub(crate) async fn read_body(body: Incoming, pause: Duration) -> Result<Bytes, String> {
    let mut body = Limited::new(body, REPLY_MAX_BYTES);
    let mut received = BytesMut::new();
    loop {
        let frame = timeout(pause, body.frame()).await;
        let stalled =
            |_| format!("stalled for {} ms after {} bytes", pause.as_millis(), received.len());
        match frame.map_err(stalled)? {
            Some(Ok(frame)) => {
                received.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Some(Err(e)) => return Err(e.to_string()),
            None => return Ok(received.freeze()),
        }
    }
}

/// Returns the `content-type` header of a JSON body.
pub fn json_content_type() -> Header {
    (http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
}

/// Encodes a message as JSON.
///
/// # Panics
/// Panics on a type that JSON can't express; the messages of `proto` all can.
pub fn encode_json(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body).expect("messages can be expressed in JSON").into()
}

/// Decodes a JSON reply: `Ok` for status 200, `Err` for any other status.
pub fn decode_json<T: DeserializeOwned, E: DeserializeOwned>(
    address: &str,
    reply: &Reply,
) -> Result<Result<T, E>, SendError> {
    let unreadable = |e: serde_json::Error| SendError::Unreadable {
        address: address.to_owned(),
        reason: format!("status {}, {e}", reply.status),
    };
    match reply.status {
        StatusCode::OK => serde_json::from_slice(&reply.body).map(Ok).map_err(unreadable),
        _ => serde_json::from_slice(&reply.body).map(Err).map_err(unreadable),
    }
}

/// Joins an error's message with those of its sources.
pub(crate) fn error_chain(e: &dyn std::error::Error) -> String {
    match e.source() {
        Some(source) => format!("{e}: {}", error_chain(source)),
        None => e.to_string(),
    }
}
