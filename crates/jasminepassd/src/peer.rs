//! HTTP listener for the other VMs of the fleet: authenticates messages and dispatches them to
//! their handlers.

use std::sync::Arc;

use axum::{
    Router,
    body::{Body, Bytes, to_bytes},
    extract::State,
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::post,
};
use edge::peer::{
    INTRODUCTION_PATH, PEER_PATH, PeerAuthError, Stamp, decode, encode, sign_reply, verify,
    verify_introduction,
};
use proto::peer::{PeerReply, PeerRequest};

use crate::{
    app::App, counters::Counter, fleet_io, holder, outcome, quota_io, report_io, transaction_steps,
    transactions,
};

/// Response body for a client that does not speak HTTP.
pub const NOT_HTTP: &str = "this listener is for the fleet's VMs";

const MESSAGE_MAX_BYTES: usize = 1 << 20;

/// Reason why a message is refused.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("the message is incomplete or longer than {MESSAGE_MAX_BYTES} bytes: send less")]
    TooLarge,
    #[error(transparent)]
    NotAuthentic(#[from] PeerAuthError),
    #[error("the message can't be read: {0}; check that both VMs run the same version")]
    Unreadable(String),
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NotAuthentic(_) => StatusCode::UNAUTHORIZED,
            Refusal::Unreadable(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Routes of the peers' listener.
pub fn router(app: Arc<App>) -> Router {
    Router::new()
        .route(PEER_PATH, post(message))
        .route(INTRODUCTION_PATH, post(introduction))
        .with_state(app)
}

async fn message(State(app): State<Arc<App>>, headers: HeaderMap, body: Body) -> Response {
    match receive(&app, &headers, body).await {
        Ok((stamp, req)) => {
            let reply = handle(&app, &stamp, req).await;
            respond(&app, &stamp, &reply)
        }
        Err(refusal) => refuse(&app, &refusal),
    }
}

async fn introduction(State(app): State<Arc<App>>, headers: HeaderMap, body: Body) -> Response {
    let verified = match read(body).await {
        Ok(body) => verify_introduction(&app.settings.fleet_secret, &headers, &body),
        Err(refusal) => return refuse(&app, &refusal),
    };
    match verified {
        Ok(stamp) => respond(&app, &stamp, &fleet_io::handle_introduction(&app)),
        Err(error) => refuse(&app, &error.into()),
    }
}

async fn receive(
    app: &App,
    headers: &HeaderMap,
    body: Body,
) -> Result<(Stamp, PeerRequest), Refusal> {
    let body = read(body).await?;
    let stamp = verify(&app.settings.fleet_secret, &app.peer_instance(), headers, &body)?;
    if !app.replay_guard().accept(&stamp.vm, stamp.incarnation, stamp.sequence) {
        return Err(PeerAuthError::Replayed.into());
    }
    let req = decode(&body).map_err(Refusal::Unreadable)?;
    Ok((stamp, req))
}

async fn read(body: Body) -> Result<Bytes, Refusal> {
    to_bytes(body, MESSAGE_MAX_BYTES).await.map_err(|_| Refusal::TooLarge)
}

async fn handle(app: &App, stamp: &Stamp, req: PeerRequest) -> PeerReply {
    match req {
        PeerRequest::Forward(forward) => holder::run(app, &forward).await,
        PeerRequest::Resolve(resolve) => outcome::resolve(app, &resolve).await,
        PeerRequest::Begin(begin) => transactions::begin(app, &begin).await,
        PeerRequest::Step(step) => transaction_steps::run(app, &step).await,
        PeerRequest::Gossip(digest) => fleet_io::handle_digest(app, stamp, digest),
        PeerRequest::Pull(pull) => fleet_io::handle_pull(app, &pull),
        PeerRequest::Introduce => fleet_io::handle_introduction(app),
        PeerRequest::Report(report, tally) => {
            PeerReply::Reported { stored: report_io::handle_report(app, *report, tally) }
        }
        PeerRequest::Tokens(req) => PeerReply::Tokens(quota_io::handle_request(app, &req)),
    }
}

fn respond(app: &App, stamp: &Stamp, reply: &PeerReply) -> Response {
    let body = encode(reply);
    let header = sign_reply(&app.settings.fleet_secret, stamp, &body);
    ([header], body).into_response()
}

fn refuse(app: &App, refusal: &Refusal) -> Response {
    app.counters.count(Counter::PeerRefused);
    (refusal.status(), refusal.to_string()).into_response()
}
