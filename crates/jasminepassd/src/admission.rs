//! Admits a request against its workspace's rate, and finds it a connection.

use board::{Board, DatabaseKey, RouteKey, WorkspaceKey};
use model::prelude::*;
use proto::caller::{CallerError, ErrorKind};
use tokio::time::Instant;

use crate::{
    app::App,
    counters::Counter,
    pools::{Lease, TakeError},
};

const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// Takes the weight of the route from the workspace's rate, or refuses the request at once.
pub async fn admit(
    app: &App,
    board: &Board,
    workspace: WorkspaceKey,
    route: RouteKey,
    _deadline: Instant,
) -> Result<(), CallerError> {
    let weight = board.catalog.routes[route].cfg.weight;
    let name = &board.catalog.workspaces[workspace].cfg.name;
    let now = app.now();
    let spent = match app.buckets().get_mut(name) {
        Some(bucket) => bucket.try_spend(weight, now),
        None => Err(RETRY_AFTER),
    };
    spent.map_err(|wait| {
        let message = format!("workspace `{name}` is past its rate: come back later");
        CallerError::not_run(ErrorKind::RateLimited, message).with_retry_after(wait)
    })
}

/// Takes a connection to the database, waiting for one until the deadline.
pub async fn connect(
    app: &App,
    board: &Board,
    workspace: WorkspaceKey,
    database: DatabaseKey,
    deadline: Instant,
) -> Result<Lease, CallerError> {
    let cfg = &board.catalog.databases[database].cfg;
    let share = cfg.connection_limit / board.catalog.cfg.holders_per_database.max(1);
    let workspace = &board.catalog.workspaces[workspace].cfg.name;
    match app.pools.take(cfg, share as usize, workspace, deadline).await {
        Ok(lease) => {
            if lease.opened {
                app.counters.count(Counter::ConnectionsOpened);
            }
            Ok(lease)
        }
        Err(TakeError::Unreachable(_)) => Err(unavailable()),
        Err(TakeError::Timeout) => {
            let message = "no connection came free in the request's time: give it more time or try again later";
            Err(CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER))
        }
    }
}

/// The error of a request whose database can't be reached.
pub fn unavailable() -> CallerError {
    let message = "the database can't be reached: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}
