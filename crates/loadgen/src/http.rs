//! The HTTP client of the open loop: sends requests to a fleet's listeners for callers.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use ::http::{HeaderName, HeaderValue, Method, StatusCode, header::AUTHORIZATION};
use edge::client::{Client, Reply, SendError, encode_json, json_content_type};
use proto::caller::{ErrorBody, RequestBody, SESSION_HEADER, TIMEOUT_HEADER};
use serde_json::Value;

use crate::{open::Target, recorder::ANSWERED};

/// Added to the request's own timeout, so that the entry VM's timeout error arrives before the client
/// gives up.
const REPLY_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// A route and the statement that is sent to it.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Service and route, as `service/route`.
    pub route: String,
    /// Statement that the upstream executes.
    pub statement: String,
    /// Parameters of the statement.
    pub params: Vec<Value>,
    /// Number of distinct slot keys among the requests.
    pub slot_keys: u64,
}

/// A workspace that sends requests, with its credentials and routes.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Key of the workspace; `None` sends requests without one, for open routes.
    pub key: Option<String>,
    /// Number of sessions; requests use them in turn.
    pub sessions: usize,
    /// Routes that the workspace calls; a stream's mix refers to them by index.
    pub routes: Vec<RouteSpec>,
}

/// Sends requests to the VMs of a fleet in turn, as a load balancer would, and carries the session tokens.
pub struct FleetClient {
    client: Client,
    entries: Vec<String>,
    timeout: Duration,
    workspaces: Vec<(Workspace, Vec<Mutex<Option<HeaderValue>>>)>,
}

impl FleetClient {
    /// Returns a client of the VMs at `entries`, `ip:port` each. `timeout` applies to each request.
    pub fn new(entries: Vec<String>, workspaces: Vec<Workspace>, timeout: Duration) -> FleetClient {
        let with_sessions = |workspace: Workspace| {
            let sessions = (0..workspace.sessions.max(1)).map(|_| Mutex::new(None)).collect();
            (workspace, sessions)
        };
        FleetClient {
            client: Client::new("jasminepass-load"),
            entries,
            timeout,
            workspaces: workspaces.into_iter().map(with_sessions).collect(),
        }
    }

    fn headers(
        &self,
        workspace: &Workspace,
        session: &Mutex<Option<HeaderValue>>,
    ) -> Vec<(HeaderName, HeaderValue)> {
        let timeout = HeaderValue::from(self.timeout.as_millis() as u64);
        let mut headers =
            vec![json_content_type(), (HeaderName::from_static(TIMEOUT_HEADER), timeout)];
        let key = workspace.key.as_ref().and_then(|key| format!("Bearer {key}").try_into().ok());
        headers.extend(key.map(|key| (AUTHORIZATION, key)));
        let token = session.lock().unwrap_or_else(PoisonError::into_inner).clone();
        headers.extend(token.map(|token| (HeaderName::from_static(SESSION_HEADER), token)));
        headers
    }
}

impl Target for FleetClient {
    async fn send(&self, stream: usize, mix: usize, number: u64) -> String {
        let (workspace, sessions) = &self.workspaces[stream];
        let session = &sessions[number as usize % sessions.len()];
        let route = &workspace.routes[mix];
        let entry = &self.entries[number as usize % self.entries.len()];
        let body = RequestBody {
            slot_key: format!("key-{}", number % route.slot_keys.max(1)),
            statement: route.statement.clone(),
            params: route.params.clone(),
        };
        let path = format!("/v1/{}", route.route);
        let headers = self.headers(workspace, session);
        let reply_timeout = self.timeout + REPLY_TIMEOUT_MARGIN;
        let sent = self.client.send(
            entry,
            Method::POST,
            &path,
            &headers,
            encode_json(&body),
            reply_timeout,
        );
        let reply = sent.await;
        if let Some(token) = reply.as_ref().ok().and_then(|r| r.headers.get(SESSION_HEADER)) {
            *session.lock().unwrap_or_else(PoisonError::into_inner) = Some(token.clone());
        }
        outcome(reply)
    }
}

/// Names a request's outcome: `answered`, `<kind>/<outcome>` of the error body, `status_<code>` if the
/// error has no readable body, or `entry/…` if the exchange with the entry VM failed.
pub fn outcome(reply: Result<Reply, SendError>) -> String {
    let reply = match reply {
        Ok(reply) => reply,
        Err(SendError::NotSent { .. }) => return "entry/not_sent".to_owned(),
        Err(SendError::ReplyLost { .. }) => return "entry/lost".to_owned(),
        Err(SendError::Unreadable { .. }) => return "entry/unreadable".to_owned(),
    };
    if reply.status == StatusCode::OK {
        return ANSWERED.to_owned();
    }
    let Ok(body) = serde_json::from_slice::<ErrorBody>(&reply.body) else {
        return format!("status_{}", reply.status.as_u16());
    };
    let name = |value: Result<Value, _>| {
        value.ok().and_then(|v: Value| v.as_str().map(str::to_owned)).unwrap_or_default()
    };
    let kind = name(serde_json::to_value(body.error.kind));
    format!("{kind}/{}", name(serde_json::to_value(body.error.outcome)))
}
