//! The peers' listener.

use std::sync::Arc;

use axum::{
    Router,
    body::Bytes,
    extract::State,
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::post,
};
use edge::peer::{PEER_PATH, decode, encode, verify};
use proto::peer::{PeerReply, PeerRequest};

use crate::{
    app::App, counters::Counter, holder, outcome, quota_io, transaction_steps, transactions,
};

/// Body of the answer to a client that does not speak HTTP.
pub const NOT_HTTP: &str = "this listener is for the fleet's VMs";

/// The peers' listener.
pub fn router(app: Arc<App>) -> Router {
    Router::new().route(PEER_PATH, post(message)).with_state(app)
}

async fn message(State(app): State<Arc<App>>, headers: HeaderMap, body: Bytes) -> Response {
    if let Err(error) = verify(&app.settings.fleet_secret, &app.receiver(), &headers, &body) {
        app.counters.count(Counter::PeerRefused);
        return (StatusCode::UNAUTHORIZED, error.to_string()).into_response();
    }
    match decode::<PeerRequest>(&body) {
        Ok(req) => encode(&handle(&app, req).await).into_response(),
        Err(reason) => {
            app.counters.count(Counter::PeerRefused);
            (StatusCode::BAD_REQUEST, reason).into_response()
        }
    }
}

async fn handle(app: &App, req: PeerRequest) -> PeerReply {
    match req {
        PeerRequest::Forward(forward) => holder::run(app, &forward).await,
        PeerRequest::Resolve(resolve) => outcome::resolve(app, &resolve).await,
        PeerRequest::Begin(begin) => transactions::begin(app, &begin).await,
        PeerRequest::Step(step) => transaction_steps::run(app, &step).await,
        PeerRequest::Tokens(req) => PeerReply::Tokens(quota_io::answer(app, &req)),
        PeerRequest::FetchConfiguration { have } => {
            let board = app.board();
            let cfg = &board.catalog.cfg;
            let newer =
                (cfg.generation > have).then(|| serde_json::to_string(cfg).unwrap_or_default());
            PeerReply::Configuration(newer)
        }
    }
}
