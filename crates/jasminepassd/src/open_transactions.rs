//! Transactions that are open on this VM, with their connections.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use board::Board;
use edge::client::SendError;
use fleet::access::check_key;
use model::{prelude::*, session::SlotDigest};
use proto::{
    caller::CallerError,
    database::{DatabaseError, Executed},
};
use route::transaction::{TransactionInfo, TransactionLimits, TransactionTable};

use crate::{lock::lock, pools::Lease};

/// Table of open transactions. Holds the connection of each transaction while no step is running.
pub struct OpenTransactions {
    inner: Mutex<Inner>,
}

struct Inner {
    table: TransactionTable,
    leases: FxHashMap<TransactionId, Lease>,
}

impl OpenTransactions {
    /// Creates an empty table.
    pub fn new(limits: TransactionLimits) -> OpenTransactions {
        let inner = Inner { table: TransactionTable::new(limits), leases: FxHashMap::default() };
        OpenTransactions { inner: Mutex::new(inner) }
    }

    /// Whether no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.lock().table.is_empty()
    }

    /// Adds a transaction that has just begun on the connection, and returns its new id.
    pub fn begin(&self, info: TransactionInfo, lease: Lease, now: MonoTime) -> TransactionId {
        let id = TransactionId::random();
        let mut inner = self.lock();
        inner.table.begin(id, info, now);
        inner.leases.insert(id, lease);
        id
    }

    /// Starts a step, which has exclusive use of the transaction's connection until it ends. Fails
    /// if the transaction is not open for the workspace and slot, or a step is running.
    pub fn start_step<'a>(
        &'a self,
        id: TransactionId,
        workspace: &WorkspaceName,
        slot: SlotDigest,
        now: MonoTime,
    ) -> Result<RunningStep<'a>, CallerError> {
        let mut inner = self.lock();
        let info = inner.table.start_step(id, workspace, slot, now)?;
        let lease = inner.leases.remove(&id);
        Ok(RunningStep { transactions: self, id, info, lease, finished: false })
    }

    /// Rolls back idle transactions that are past a time limit or whose key was withdrawn, and
    /// returns how many. A transaction with a running step ends with the step.
    pub fn sweep(&self, board: &Board, now: MonoTime) -> usize {
        let is_allowed = |key: &KeyName, workspace: &WorkspaceName| {
            check_key(board, key, workspace, now).is_ok()
        };
        let mut inner = self.lock();
        let expired = inner.table.sweep(is_allowed, now);
        // Closing the connection rolls the transaction back.
        expired.iter().filter_map(|id| inner.leases.remove(id)).count()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// A running step of a transaction. Dropping it without [`RunningStep::finish`] or
/// [`RunningStep::end_transaction`] rolls the transaction back.
pub struct RunningStep<'a> {
    transactions: &'a OpenTransactions,
    id: TransactionId,
    /// Who opened the transaction, and where it runs.
    pub info: TransactionInfo,
    lease: Option<Lease>,
    finished: bool,
}

impl RunningStep<'_> {
    /// Sends a message on the transaction's connection. If no complete answer arrives within
    /// `timeout`, the connection is closed, which rolls the transaction back.
    pub async fn call(
        &mut self,
        path: &str,
        message: &impl serde::Serialize,
        timeout: Duration,
    ) -> Result<Result<Executed, DatabaseError>, SendError> {
        let mut lease = self.lease.take().ok_or_else(|| SendError::NotSent {
            address: self.info.database.to_string(),
            reason: "the transaction's connection is closed".to_owned(),
        })?;
        let reply = lease.connection.call(path, message, timeout).await?;
        self.lease = Some(lease);
        Ok(reply)
    }

    /// Ends the step and keeps the transaction open, unless its connection was closed or it expired
    /// during the step.
    pub fn finish(mut self, now: MonoTime) {
        let mut inner = self.transactions.lock();
        let lease = self.lease.take();
        self.finished = true;
        if inner.table.finish_step(self.id, lease.is_some(), now) {
            inner.leases.extend(lease.map(|lease| (self.id, lease)));
        }
    }

    /// Ends the transaction after the database has committed or rolled it back, and returns the
    /// connection to its pool.
    pub fn end_transaction(mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
    }
}

impl Drop for RunningStep<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.transactions.lock().table.finish_step(self.id, false, MonoTime::default());
        }
    }
}
