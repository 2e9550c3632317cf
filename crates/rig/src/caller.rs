//! An HTTP client that calls a VM as a customer's program does, with an API key and a session
//! token.

use std::time::Duration;

use edge::client::{Client, SendError, encode_json, json_content_type};
use http::{HeaderName, HeaderValue, Method, header};
use model::prelude::*;
use proto::caller::{
    CallerError, ErrorBody, IDEMPOTENCY_HEADER, RequestBody, SESSION_HEADER, TIMEOUT_HEADER,
};
use serde_json::Value;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A client with an API key. It sends the session token of the last response with its next request.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    /// API key, sent as a bearer token.
    pub key: Option<String>,
    /// Session token from the last response that carried one.
    pub session: Option<String>,
    /// Time limit sent with each request, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// HTTP response as the caller receives it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON; null if it isn't JSON.
    pub body: Value,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Reply {
    /// Returns the statement's result; null if the body has none.
    pub fn result(&self) -> &Value {
        &self.body["result"]
    }

    /// Decodes the body as an error; `None` if it isn't one.
    pub fn error(&self) -> Option<CallerError> {
        serde_json::from_value::<ErrorBody>(self.body.clone()).ok().map(|body| body.error)
    }
}

impl Caller {
    /// Creates a caller with an API key.
    pub fn new(key: impl Into<String>) -> Caller {
        Caller { key: Some(key.into()), ..Caller::anonymous() }
    }

    /// Creates a caller without an API key.
    pub fn anonymous() -> Caller {
        Caller { client: Client::new("caller"), key: None, session: None, timeout_ms: None }
    }

    /// Sets the time limit of each request.
    pub fn with_timeout(mut self, limit: DurationUs) -> Caller {
        self.timeout_ms = Some(limit.as_ms());
        self
    }

    /// Executes a statement through the VM at `address` and keeps the session token of the
    /// response.
    ///
    /// `route` has the form `service/route`. A response with an error status is `Ok`.
    pub async fn call(
        &mut self,
        address: &str,
        route: &str,
        slot_key: &str,
        statement: &str,
        params: &[Value],
    ) -> Result<Reply, SendError> {
        self.call_idempotent(address, route, slot_key, statement, params, None).await
    }

    /// Like [`Caller::call`], with an optional idempotency key.
    pub async fn call_idempotent(
        &mut self,
        address: &str,
        route: &str,
        slot_key: &str,
        statement: &str,
        params: &[Value],
        idempotency_key: Option<&str>,
    ) -> Result<Reply, SendError> {
        let body = RequestBody {
            slot_key: slot_key.to_owned(),
            statement: statement.to_owned(),
            params: params.to_vec(),
        };
        let path = format!("/v1/{route}");
        self.post(address, &path, encode_json(&body), idempotency_key).await
    }

    /// Posts a JSON body to `path` and keeps the session token of the response.
    pub async fn post(
        &mut self,
        address: &str,
        path: &str,
        body: impl Into<bytes::Bytes>,
        idempotency_key: Option<&str>,
    ) -> Result<Reply, SendError> {
        let headers = self.headers(idempotency_key);
        let reply = self
            .client
            .send(address, Method::POST, path, &headers, body.into(), REQUEST_TIMEOUT)
            .await?;
        let text =
            |name: &str| reply.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        if let Some(token) = text(SESSION_HEADER) {
            self.session = Some(token);
        }
        Ok(Reply {
            status: reply.status.as_u16(),
            body: serde_json::from_slice(&reply.body).unwrap_or(Value::Null),
            retry_after_s: text(header::RETRY_AFTER.as_str()).and_then(|s| s.parse().ok()),
        })
    }

    fn headers(&self, idempotency_key: Option<&str>) -> Vec<(HeaderName, HeaderValue)> {
        let mut headers = vec![json_content_type()];
        let mut add = |name: &'static str, value: Option<String>| {
            if let Some(value) = value.and_then(|v| HeaderValue::try_from(v).ok()) {
                headers.push((HeaderName::from_static(name), value));
            }
        };
        add("authorization", self.key.as_ref().map(|key| format!("Bearer {key}")));
        add(SESSION_HEADER, self.session.clone());
        add(IDEMPOTENCY_HEADER, idempotency_key.map(str::to_owned));
        add(TIMEOUT_HEADER, self.timeout_ms.map(|ms| ms.to_string()));
        headers
    }
}
