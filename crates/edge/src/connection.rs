//! A connection to an upstream's request address, used for one request at a time.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;

use crate::client::{
    REPLY_MAX_BYTES, Reply, SENDER_HEADER, SendError, decode_json, encode_json, json_content_type,
};

/// A connection to an upstream. Dropping it closes the connection, on which the upstream rolls back
/// the open transaction.
pub struct Connection {
    /// Additional headers of every request.
    pub headers: HeaderMap,
    address: String,
    requests: SendRequest<Full<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
    /// Whether a request is in progress or ended without a complete reply.
    reply_incomplete: bool,
}

impl Connection {
    /// Opens a connection within `timeout`.
    pub async fn open(
        address: &str,
        sender: &str,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        let not_sent = |reason: String| SendError::NotSent { address: address.to_owned(), reason };
        let open = async {
            let stream = TcpStream::connect(address).await.map_err(|e| not_sent(e.to_string()))?;
            stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(e.to_string()))
        };
        let opened = tokio::time::timeout(timeout, open).await;
        let (requests, driver) =
            opened.map_err(|_| not_sent("connecting timed out".to_owned()))??;
        let driver = tokio::spawn(async move {
            // Requests in progress get an error of their own if the connection breaks.
            let _ = driver.await;
        });
        let mut headers = HeaderMap::new();
        if let Ok(sender) = HeaderValue::from_str(sender) {
            headers.insert(SENDER_HEADER, sender);
        }
        Ok(Connection {
            headers,
            address: address.to_owned(),
            requests,
            driver,
            reply_incomplete: false,
        })
    }

    /// Returns whether the connection can send another request.
    pub fn is_open(&self) -> bool {
        !self.reply_incomplete && !self.requests.is_closed()
    }

    /// Sends a JSON request and decodes the reply: `Ok` for status 200, `Err` for any other status.
    /// After an incomplete reply the connection sends nothing more, so that a late reply can't be
    /// mistaken for that of another request.
    pub async fn call<T: DeserializeOwned, E: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Result<T, E>, SendError> {
        let reply = self.exchange(path, encode_json(body), timeout).await?;
        decode_json(&self.address, &reply)
    }

    async fn exchange(
        &mut self,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, SendError> {
        let address = self.address.clone();
        let not_sent = |reason: String| SendError::NotSent { address: address.clone(), reason };
        let lost = |reason: String| SendError::ReplyLost { address: address.clone(), reason };
        let (content_type, json) = json_content_type();
        let mut req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(http::header::HOST, &self.address)
            .header(content_type, json)
            .body(Full::new(body))
            .map_err(|e| not_sent(e.to_string()))?;
        req.headers_mut().extend(self.headers.clone());
        if self.reply_incomplete {
            return Err(not_sent("an earlier reply on the connection was incomplete".to_owned()));
        }
        self.requests.ready().await.map_err(|e| not_sent(e.to_string()))?;
        self.reply_incomplete = true;
        let requests = &mut self.requests;
        let exchange = async {
            let response =
                requests.try_send_request(req).await.map_err(|mut e| match e.take_message() {
                    // The request is returned if no byte of it was written.
                    Some(_) => not_sent(e.error().to_string()),
                    None => lost(e.error().to_string()),
                })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, REPLY_MAX_BYTES).collect();
            let body = body.await.map_err(|e| lost(e.to_string()))?.to_bytes();
            Ok(Reply { status: head.status, headers: head.headers, body })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => {
                self.reply_incomplete = result.is_err();
                result
            }
            Err(_) => Err(lost(format!("no complete reply within {} ms", timeout.as_millis()))),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
