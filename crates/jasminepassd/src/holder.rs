//! The holder's part: admits a request, runs it on its database and vouches for the outcome.

use std::time::Duration;

use board::{Board, DatabaseKey, RouteKey, SlotKey, WorkspaceKey};
use config::RouteKind;
use edge::client::SendError;
use fleet::access::{check_key, check_trust};
use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind},
    database::{Access, DatabaseError, Execute, Executed, Wait, Waited},
    peer::{Answer, Forward, PeerReply, Redirect},
};
use route::replica::may_serve;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    app::App,
    control::Event,
    counters::Counter,
    pools::{Lease, TakeError},
};

const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// The keys of what a forwarded request names.
struct Target {
    workspace: WorkspaceKey,
    route: RouteKey,
    slot: SlotKey,
    database: DatabaseKey,
}

/// Why a request got no answer.
enum Stop {
    Error(CallerError),
    Redirect(Redirect),
}

impl From<CallerError> for Stop {
    fn from(error: CallerError) -> Stop {
        Stop::Error(error)
    }
}

/// Runs a request that this VM took or was sent.
pub async fn run(app: &App, forward: Forward) -> PeerReply {
    match run_inner(app, &forward).await {
        Ok(answer) => PeerReply::Answer(answer),
        Err(Stop::Error(error)) => PeerReply::Error(error),
        Err(Stop::Redirect(redirect)) => PeerReply::Redirect(redirect),
    }
}

async fn run_inner(app: &App, forward: &Forward) -> Result<Answer, Stop> {
    let deadline = Instant::now() + Duration::from_micros(forward.time_left.0);
    let board = app.board();
    let target = find(&board, forward)?;
    check(app, &board, forward)?;
    check_database(app, &board, &target, forward)?;
    admit(app, &board, &target)?;
    let mut lease = connect(app, &board, &target, deadline).await?;
    // The key may have been withdrawn while the request waited.
    if let Err(error) = check(app, &app.board(), forward) {
        lease.give_back();
        return Err(error.into());
    }
    let message = execute_message(&board, &target, forward);
    let left = deadline.saturating_duration_since(Instant::now());
    let reply = lease.connection.call::<Executed, DatabaseError>("/execute", &message, left).await;
    match reply {
        Ok(Ok(executed)) => {
            lease.give_back();
            conclude(app, &board, &target, forward, executed, deadline).await
        }
        Ok(Err(error)) => {
            lease.give_back();
            Err(refused(app, &board, &target, error))
        }
        Err(SendError::NotSent { .. }) => Err(unavailable().into()),
        Err(error) if message.access == Access::Read => Err(lost_read(&error).into()),
        Err(error) => Err(CallerError::unknown(ErrorKind::Unavailable, error.to_string()).into()),
    }
}

fn find(board: &Board, forward: &Forward) -> Result<Target, CallerError> {
    let catalog = &board.catalog;
    let find = || {
        let service = catalog.service(forward.service.as_str())?;
        Some(Target {
            workspace: catalog.workspace(forward.workspace.as_str())?,
            route: catalog.route(service, forward.route.as_str())?,
            slot: catalog.slot(service, forward.slot.as_str())?,
            database: catalog.database(forward.database.as_str())?,
        })
    };
    find().ok_or_else(|| {
        let message = "the holder's configuration does not know the route or database yet: try again in a moment";
        CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
    })
}

fn check(app: &App, board: &Board, forward: &Forward) -> Result<(), CallerError> {
    let Some(key) = &forward.key else {
        return Ok(());
    };
    check_trust(board, app.now())?;
    check_key(&board.catalog, key, &forward.workspace)
}

fn check_database(
    app: &App,
    board: &Board,
    target: &Target,
    forward: &Forward,
) -> Result<(), Stop> {
    let route = &board.catalog.routes[target.route].cfg;
    let state = &board.slots[target.slot];
    let suits = match route.kind {
        RouteKind::Write => state.primary == Some(target.database),
        RouteKind::Read => {
            may_serve(board, target.slot, target.database, route, forward.min_position, app.now())
        }
    };
    if suits { Ok(()) } else { Err(Stop::Redirect(redirect(board, target.slot))) }
}

fn redirect(board: &Board, slot: SlotKey) -> Redirect {
    let state = &board.slots[slot];
    let primary = state.primary.map(|database| board.catalog.databases[database].name.clone());
    Redirect { term: state.term, primary }
}

fn admit(app: &App, board: &Board, target: &Target) -> Result<(), CallerError> {
    let weight = board.catalog.routes[target.route].cfg.weight;
    let workspace = &board.catalog.workspaces[target.workspace].cfg;
    let now = app.now();
    let spent = match app.buckets().get_mut(&workspace.name) {
        Some(bucket) => bucket.try_spend(weight, now),
        None => Err(RETRY_AFTER),
    };
    spent.map_err(|wait| {
        let message = format!("workspace `{}` is past its rate: come back later", workspace.name);
        CallerError::not_run(ErrorKind::RateLimited, message).with_retry_after(wait)
    })
}

async fn connect(
    app: &App,
    board: &Board,
    target: &Target,
    deadline: Instant,
) -> Result<Lease, CallerError> {
    let cfg = &board.catalog.databases[target.database].cfg;
    let share = cfg.connection_limit / board.catalog.cfg.holders_per_database.max(1);
    let workspace = &board.catalog.workspaces[target.workspace].cfg.name;
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

fn execute_message(board: &Board, target: &Target, forward: &Forward) -> Execute {
    let access = match board.catalog.routes[target.route].cfg.kind {
        RouteKind::Read => Access::Read,
        RouteKind::Write => Access::Write,
    };
    Execute {
        service: forward.service.clone(),
        slot: forward.slot.clone(),
        term: board.slots[target.slot].term,
        request_id: forward.request_id,
        access,
        statement: forward.statement.clone(),
        params: forward.params.clone(),
        in_transaction: false,
    }
}

/// Makes an answer of what the database returned, once it may be given.
async fn conclude(
    app: &App,
    board: &Board,
    target: &Target,
    forward: &Forward,
    executed: Executed,
    deadline: Instant,
) -> Result<Answer, Stop> {
    let from_replica = board.slots[target.slot].primary != Some(target.database);
    if board.catalog.routes[target.route].cfg.kind == RouteKind::Write {
        confirm(app, board, target, &executed, deadline).await?;
        return Ok(Answer {
            result: executed.result,
            position: executed.position,
            from_replica: false,
        });
    }
    if executed.position < forward.min_position {
        return Err(Stop::Redirect(redirect(board, target.slot)));
    }
    let counter = if from_replica { Counter::ReplicaReads } else { Counter::PrimaryReads };
    app.counters.count(counter);
    Ok(Answer { result: executed.result, position: executed.position, from_replica })
}

/// Waits until a majority of the slot's members has applied the write under its term.
async fn confirm(
    app: &App,
    board: &Board,
    target: &Target,
    executed: &Executed,
    deadline: Instant,
) -> Result<(), CallerError> {
    let entry = &board.catalog.slots[target.slot];
    let left = deadline.saturating_duration_since(Instant::now());
    let message = Wait {
        service: board.catalog.services[entry.service].name.clone(),
        slot: entry.name.clone(),
        position: executed.position,
        term: executed.term,
        wait_ms: left.as_millis() as u64,
    };
    let mut waits = JoinSet::new();
    for &member in entry.members.iter().filter(|m| **m != target.database) {
        let address = board.catalog.databases[member].cfg.admin_address.clone();
        let client = app.admin.clone();
        let message = message.clone();
        waits.spawn(async move {
            client.post_json::<Waited, DatabaseError>(&address, "/wait", &message, left).await
        });
    }
    // The primary itself is the first.
    let mut held = 1;
    let majority = board.slots[target.slot].majority();
    while held < majority {
        match waits.join_next().await {
            Some(Ok(Ok(Ok(waited)))) if waited.held => held += 1,
            Some(_) => {}
            None => return Err(unconfirmed()),
        }
    }
    Ok(())
}

/// What a database's refusal means for the caller, or where the request should go instead.
fn refused(app: &App, board: &Board, target: &Target, error: DatabaseError) -> Stop {
    let learned = match &error {
        DatabaseError::NotPrimary { term, primary } => Some((*term, primary.clone())),
        DatabaseError::StaleTerm { term } | DatabaseError::TermTaken { term } => {
            Some((*term, None))
        }
        _ => None,
    };
    if let Some((term, primary)) = learned {
        let slot = board.catalog.slots[target.slot].digest;
        app.tell(Event::PrimarySeen { slot, term, primary: primary.clone() });
        return Stop::Redirect(Redirect { term, primary });
    }
    Stop::Error(match error {
        DatabaseError::Statement { message } => CallerError::failed(message),
        other => CallerError::not_run(ErrorKind::Unavailable, other.to_string())
            .with_retry_after(RETRY_AFTER),
    })
}

fn unavailable() -> CallerError {
    let message = "the database can't be reached: try again later";
    CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
}

fn lost_read(error: &SendError) -> CallerError {
    CallerError::unknown(ErrorKind::Unavailable, error.to_string()).with_retry_after(RETRY_AFTER)
}

fn unconfirmed() -> CallerError {
    let message = "the write ran but no majority confirmed it in time: ask again with the same idempotency key";
    CallerError::unknown(ErrorKind::Timeout, message)
}
