//! The transactions that are open on this VM, and the connections that they hold.

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

/// The table of open transactions, with the connection of each that has no step running.
pub struct OpenTransactions {
    inner: Mutex<Inner>,
}

struct Inner {
    table: TransactionTable,
    leases: FxHashMap<TransactionId, Lease>,
}

impl OpenTransactions {
    /// None are open yet.
    pub fn new(limits: TransactionLimits) -> OpenTransactions {
        let inner = Inner { table: TransactionTable::new(limits), leases: FxHashMap::default() };
        OpenTransactions { inner: Mutex::new(inner) }
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.lock().table.is_empty()
    }

    /// Keeps a transaction that has begun, with its connection.
    pub fn begin(&self, info: TransactionInfo, lease: Lease, now: MonoTime) -> TransactionId {
        let id = TransactionId::random();
        let mut inner = self.lock();
        inner.table.begin(id, info, now);
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
        let info = inner.table.start_step(id, workspace, slot, now)?;
        let lease = inner.leases.remove(&id);
        Ok(RunningStep { transactions: self, id, info, lease, finished: false })
    }

    /// Rolls back what is over: those past their limits, and those whose key was withdrawn.
    pub fn sweep(&self, board: &Board, now: MonoTime) -> usize {
        let allowed = |key: &KeyName, workspace: &WorkspaceName| {
            check_key(board, key, workspace, now).is_ok()
        };
        let mut inner = self.lock();
        let over = inner.table.sweep(allowed, now);
        // Closing the connection rolls the transaction back.
        over.iter().filter_map(|id| inner.leases.remove(id)).count()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// A step of a transaction. Dropped before its end, it rolls the transaction back.
pub struct RunningStep<'a> {
    transactions: &'a OpenTransactions,
    id: TransactionId,
    /// Whose the transaction is.
    pub info: TransactionInfo,
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
            address: self.info.database.to_string(),
            reason: "the transaction's connection is closed".to_owned(),
        })?;
        let reply = lease.connection.call(path, message, timeout).await?;
        self.lease = Some(lease);
        Ok(reply)
    }

    /// Ends the step; the transaction goes on.
    pub fn finish(mut self, now: MonoTime) {
        let mut inner = self.transactions.lock();
        let lease = self.lease.take();
        self.finished = true;
        if inner.table.finish_step(self.id, lease.is_some(), now) {
            inner.leases.extend(lease.map(|lease| (self.id, lease)));
        }
    }

    /// Ends the transaction after the database said that it is over: the connection is clean.
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
