//! Admits a request against its workspace's rate, and finds it a connection.

use board::{Board, DatabaseKey, RouteKey, WorkspaceKey};
use model::prelude::*;
use pool::scheduler::AcquireError;
use proto::caller::{CallerError, ErrorKind};
use quota::rate_limiter::Admission;
use tokio::time::Instant;

use crate::{
    app::App,
    counters::Counter,
    pools::{Lease, LeaseError},
    quota_io,
};

const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// Requests that a workspace may have served in each round of the fair queue.
const QUANTUM_MAX: u32 = 16;

/// Takes the weight of the route from the workspace's rate, or refuses the request at once. Waits at
/// most as long as it takes to ask other VMs for tokens.
pub async fn admit(
    app: &App,
    board: &Board,
    workspace: WorkspaceKey,
    route: RouteKey,
    deadline: Instant,
) -> Result<(), CallerError> {
    let weight = board.catalog.routes[route].cfg.weight;
    let name = &board.catalog.workspaces[workspace].cfg.name;
    let (admission, decision) = quota_io::admit(app, name, weight);
    let wait = match admission {
        Admission::Granted => return Ok(()),
        Admission::Refused(wait) => wait,
        Admission::Waiting(ticket) => match tokio::time::timeout_at(deadline, decision).await {
            Ok(Ok(Ok(()))) => return Ok(()),
            Ok(Ok(Err(wait))) => wait,
            _ => {
                quota_io::cancel(app, name, ticket);
                RETRY_AFTER
            }
        },
    };
    let message = format!("workspace `{name}` is past its rate: come back later");
    Err(CallerError::not_run(ErrorKind::RateLimited, message).with_retry_after(wait))
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
    let name = &board.catalog.workspaces[workspace].cfg.name;
    let quantum = quantum(board, workspace);
    let left = deadline.saturating_duration_since(Instant::now());
    let deadline = app.now() + DurationUs(left.as_micros() as u64);
    match app.pools.acquire(cfg, name, quantum, deadline).await {
        Ok(lease) => {
            if lease.opened {
                app.counters.count(Counter::ConnectionsOpened);
            }
            Ok(lease)
        }
        Err(LeaseError::Unreachable(_)) => Err(unavailable()),
        Err(LeaseError::Refused(error @ AcquireError::NoShare)) => {
            Err(CallerError::not_run(ErrorKind::Unavailable, error.to_string())
                .with_retry_after(RETRY_AFTER))
        }
        Err(LeaseError::Refused(error @ AcquireError::QueueFull { retry_after })) => {
            Err(CallerError::not_run(ErrorKind::QueueFull, error.to_string())
                .with_retry_after(retry_after))
        }
        Err(LeaseError::Timeout) => {
            let message = "no connection came free in the request's time: give it more time or try again later";
            Err(CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER))
        }
    }
}

/// The weight of a workspace in the fair queue: its rate, as a multiple of the smallest one.
fn quantum(board: &Board, workspace: WorkspaceKey) -> u32 {
    let workspaces = &board.catalog.workspaces;
    let smallest = workspaces.iter().map(|w| w.cfg.rate_per_s).min().unwrap_or(1).max(1);
    (workspaces[workspace].cfg.rate_per_s / smallest).clamp(1, QUANTUM_MAX)
}

/// The error of a request whose database can't be reached.
pub fn unavailable() -> CallerError {
    let message = "the database can't be reached: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}
