//! The transactions that are open on this VM, and the connections that they hold.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use board::{Board, DatabaseKey, SlotKey, WorkspaceKey};
use edge::client::SendError;
use fleet::access::check_key;
use model::{prelude::*, session::SlotDigest};
use proto::{
    caller::CallerError,
    database::{self, DatabaseError, Executed},
    peer::{Begin, PeerReply},
};
use route::{
    execution::redirect,
    refusal,
    transaction::{Limits, Owner, Transactions},
};
use tokio::time::Instant;

use crate::{
    admission::{connect, unavailable},
    app::App,
    counters::Counter,
    holder::learn,
    pools::Lease,
    verifier::verify,
};

const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The book of open transactions, with the connection of each that has no step running.
pub struct OpenTransactions {
    inner: Mutex<Inner>,
}

struct Inner {
    book: Transactions,
    leases: FxHashMap<TransactionId, Lease>,
}

impl OpenTransactions {
    /// None are open yet.
    pub fn new(limits: Limits) -> OpenTransactions {
        let inner = Inner { book: Transactions::new(limits), leases: FxHashMap::default() };
        OpenTransactions { inner: Mutex::new(inner) }
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.lock().book.is_empty()
    }

    fn begin(&self, owner: Owner, lease: Lease, now: MonoTime) -> TransactionId {
        let id = TransactionId::random();
        let mut inner = self.lock();
        inner.book.begin(id, owner, now);
        inner.leases.insert(id, lease);
        id
    }

    /// Starts a step: nobody else has the connection until it is finished.
    pub fn start_step<'a>(
        &'a self,
        id: TransactionId,
        workspace: &WorkspaceName,
        slot: SlotDigest,
        now: MonoTime,
    ) -> Result<RunningStep<'a>, CallerError> {
        let mut inner = self.lock();
        let owner = inner.book.start_step(id, workspace, slot, now)?;
        let lease = inner.leases.remove(&id);
        Ok(RunningStep { transactions: self, id, owner, lease, finished: false })
    }

    /// Rolls back what is over: those past their limits, and those whose key was withdrawn.
    pub fn sweep(&self, board: &Board, now: MonoTime) -> usize {
        let allowed = |key: &KeyName, workspace: &WorkspaceName| {
            check_key(board, key, workspace, now).is_ok()
        };
        let mut inner = self.lock();
        let over = inner.book.sweep(allowed, now);
        // Closing the connection rolls the transaction back.
        over.iter().filter_map(|id| inner.leases.remove(id)).count()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A step of a transaction. Dropped before its end, it rolls the transaction back.
pub struct RunningStep<'a> {
    transactions: &'a OpenTransactions,
    id: TransactionId,
    /// Whose the transaction is.
    pub owner: Owner,
    lease: Option<Lease>,
    finished: bool,
}

impl RunningStep<'_> {
    /// Sends a message on the transaction's connection. Without a whole answer the connection is
    /// closed, and the transaction rolled back with it.
    pub async fn call(
        &mut self,
        path: &str,
        message: &impl serde::Serialize,
        timeout: Duration,
    ) -> Result<Result<Executed, DatabaseError>, SendError> {
        let mut lease = self.lease.take().ok_or_else(|| SendError::NotSent {
            address: self.owner.database.to_string(),
            reason: "the transaction's connection is closed".to_owned(),
        })?;
        let reply = lease.connection.call(path, message, timeout).await?;
        self.lease = Some(lease);
        Ok(reply)
    }

    /// Ends the step; the transaction goes on.
    pub fn goes_on(mut self, now: MonoTime) {
        let mut inner = self.transactions.lock();
        let lease = self.lease.take();
        self.finished = true;
        if inner.book.finish_step(self.id, lease.is_some(), now) {
            inner.leases.extend(lease.map(|lease| (self.id, lease)));
        }
    }

    /// Ends the transaction after the database said that it is over: the connection is clean.
    pub fn ended_cleanly(mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }
}

impl Drop for RunningStep<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.transactions.lock().book.finish_step(self.id, false, MonoTime::default());
        }
    }
}

/// Sweeps for as long as the daemon runs.
pub async fn keep_sweeping(app: Arc<App>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        for _ in 0..app.transactions.sweep(&app.board(), app.now()) {
            app.counters.count(Counter::TransactionsExpired);
        }
    }
}

/// Waits until no transaction is open here.
pub async fn wait_until_none(app: &App) {
    while !app.transactions.is_empty() {
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}

/// Opens a transaction on this VM.
pub async fn begin(app: &App, req: &Begin) -> PeerReply {
    match begin_inner(app, req).await {
        Ok(id) => PeerReply::Begun(id),
        Err(reply) => reply,
    }
}

async fn begin_inner(app: &App, req: &Begin) -> Result<TransactionId, PeerReply> {
    let board = app.board();
    let (workspace, slot, database) = find(&board, req).ok_or_else(refused)?;
    check_key(&board, &req.key, &req.workspace, app.now()).map_err(PeerReply::Error)?;
    // A transaction begun on a leaving database would be rolled back by the hand-over.
    if board.fleet.leaving || board.catalog.databases[database].cfg.leaving {
        return Err(refused());
    }
    if board.slots[slot].primary != Some(database) {
        return Err(PeerReply::Redirect(redirect(&board, slot)));
    }
    let until = app.now() + req.time_left;
    let deadline = app.instant(until);
    let term = board.slots[slot].term;
    let mut lease =
        connect(app, &board, workspace, database, deadline).await.map_err(PeerReply::Error)?;
    let message = database::Begin { service: req.service.clone(), slot: req.slot.clone(), term };
    let left = deadline.saturating_duration_since(Instant::now());
    let reply = lease.connection.call::<Executed, DatabaseError>("/begin", &message, left).await;
    let begun = match reply {
        Ok(Ok(begun)) => begun,
        Ok(Err(error)) => {
            lease.give_back();
            learn(app, &req.service, &req.slot, &error);
            return Err(match refusal::learned(&error) {
                Some(redirect) => PeerReply::Redirect(redirect),
                None => PeerReply::Error(refusal::refused(error)),
            });
        }
        // What may have been begun is rolled back with the connection.
        Err(_) => return Err(refused()),
    };
    let covers = begun.position >= req.min_position
        || verify(app, &board, slot, database, term, until).await;
    if !covers {
        return Err(refused());
    }
    let owner = Owner {
        workspace: req.workspace.clone(),
        key: req.key.clone(),
        slot: board.catalog.slots[slot].digest,
        database: req.database.clone(),
        term,
    };
    app.counters.count(Counter::TransactionsBegun);
    Ok(app.transactions.begin(owner, lease, app.now()))
}

fn find(board: &Board, req: &Begin) -> Option<(WorkspaceKey, SlotKey, DatabaseKey)> {
    let catalog = &board.catalog;
    let service = catalog.service(req.service.as_str())?;
    Some((
        catalog.workspace(req.workspace.as_str())?,
        catalog.slot(service, req.slot.as_str())?,
        catalog.database(req.database.as_str())?,
    ))
}

fn refused() -> PeerReply {
    PeerReply::Error(unavailable())
}
