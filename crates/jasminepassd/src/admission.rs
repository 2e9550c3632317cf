//! Rate limiting of requests by workspace, and acquisition of connections to databases.

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

/// Retry hint for errors of unknown duration.
const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// Maximum number of requests of a workspace that the fair queue serves in one round.
const QUANTUM_MAX: u32 = 16;

/// Charges the route's weight to the workspace's rate, or refuses the request. Waits only while
/// other VMs are asked for tokens, and at most until `deadline`.
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
    let message = format!("workspace `{name}` has exceeded its rate: try again later");
    Err(CallerError::not_run(ErrorKind::RateLimited, message).with_retry_after(wait))
}

/// Acquires a connection to the database, waiting for one until the deadline.
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
            let message = "no connection became free before the request's deadline: give it more time or try again later";
            Err(CallerError::not_run(ErrorKind::Timeout, message).with_retry_after(RETRY_AFTER))
        }
    }
}

/// Weight of a workspace in the fair queue: its rate as a multiple of the smallest workspace's
/// rate.
fn quantum(board: &Board, workspace: WorkspaceKey) -> u32 {
    let workspaces = &board.catalog.workspaces;
    let smallest = workspaces.iter().map(|w| w.cfg.rate_per_s).min().unwrap_or(1).max(1);
    (workspaces[workspace].cfg.rate_per_s / smallest).clamp(1, QUANTUM_MAX)
}

/// Error for a request whose database can't be reached.
pub fn unavailable() -> CallerError {
    let message = "the database can't be reached: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}
