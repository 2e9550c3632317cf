//! A caller, for demos and tests.

use std::time::Duration;

use edge::client::{Client, SendError, encode_json, json_content_type};
use http::{HeaderName, HeaderValue, Method, header};
use model::prelude::*;
use proto::caller::{
    CallerError, ErrorBody, IDEMPOTENCY_HEADER, RequestBody, SESSION_HEADER, TIMEOUT_HEADER,
};
use serde_json::Value;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller with a key and, once it has one, a session.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    /// Its key.
    pub key: Option<String>,
    /// The token from the last answer.
    pub session: Option<String>,
    /// Time that it gives a request, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// An answer as the caller sees it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
    /// When to come back, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Reply {
    /// What the upstream returned.
    pub fn result(&self) -> &Value {
        &self.body["result"]
    }

    /// The error, if the answer is one.
    pub fn error(&self) -> Option<CallerError> {
        serde_json::from_value::<ErrorBody>(self.body.clone()).ok().map(|body| body.error)
    }
}

impl Caller {
    /// A caller with a key.
    pub fn new(key: impl Into<String>) -> Caller {
        Caller { key: Some(key.into()), ..Caller::anonymous() }
    }

    /// A caller without a key.
    pub fn anonymous() -> Caller {
        Caller { client: Client::new("caller"), key: None, session: None, timeout_ms: None }
    }

    /// The same caller with a time limit for each request.
    pub fn with_timeout(mut self, limit: DurationUs) -> Caller {
        self.timeout_ms = Some(limit.as_ms());
        self
    }

    /// Sends a request to the VM at `address` and keeps the session.
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

    /// The same, naming the request with an idempotency key.
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

    /// Sends any body to any path.
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
