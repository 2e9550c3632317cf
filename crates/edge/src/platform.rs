//! A client for the platform's object API, described in docs/protocol-platform.md.

use std::time::Duration;

use http::{Method, StatusCode};
use proto::platform::{Object, Update, UpdateResult, Version, VmList};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::client::{Client, Patience, Reply, SendError, encode_json, json_content_type};

/// How long the platform may take to answer a call that does not wait for a change, and pause in its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client for the platform's object API. Cheap to clone.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    address: String,
}

impl PlatformClient {
    /// Creates a client for the platform at `address` (`ip:port`).
    pub fn new(client: Client, address: impl Into<String>) -> PlatformClient {
        PlatformClient { client, address: address.into() }
    }

    /// Reads an object. An object that does not exist has version zero and a null value.
    pub async fn get(&self, name: &str) -> Result<Object, SendError> {
        self.read(&format!("/objects/{name}"), CALL_TIMEOUT).await
    }

    /// Waits until the object's version is greater than `after`, for at most `wait`, and reads it.
    pub async fn watch(
        &self,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Object, SendError> {
        let path = format!("/objects/{name}?after={}&wait_ms={}", after.0, wait.as_millis());
        self.read(&path, wait + CALL_TIMEOUT).await
    }

    /// Replaces an object's value if its version is the expected one.
    pub async fn update(
        &self,
        name: &str,
        expected: Version,
        value: Value,
    ) -> Result<UpdateResult, SendError> {
        let path = format!("/objects/{name}");
        let body = encode_json(&Update { expected, value });
        let headers = [json_content_type()];
        let reply = self
            .client
            .send(&self.address, Method::PUT, &path, &headers, body, CALL_TIMEOUT)
            .await?;
        self.decode(&reply)
    }

    /// Reads the VM list.
    pub async fn vms(&self) -> Result<VmList, SendError> {
        self.read("/vms", CALL_TIMEOUT).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str, first: Duration) -> Result<T, SendError> {
        // The size of a configuration is not bounded.
        let patience = Patience::WhileArriving { first, pause: CALL_TIMEOUT };
        let reply = self
            .client
            .send(&self.address, Method::GET, path, &[], Default::default(), patience)
            .await?;
        self.decode(&reply)
    }

    fn decode<T: DeserializeOwned>(&self, reply: &Reply) -> Result<T, SendError> {
        let unreadable =
            |reason: String| SendError::Unreadable { address: self.address.clone(), reason };
        if reply.status != StatusCode::OK {
            return Err(unreadable(format!("status {}", reply.status)));
        }
        serde_json::from_slice(&reply.body).map_err(|e| unreadable(e.to_string()))
    }
}
