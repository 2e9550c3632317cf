//! Table of the transactions open on this VM: who opened each of them, and when it expires.
//!
//! The table holds no connections. The code that executes a transaction's steps keeps its
//! connection, and closes it as soon as the table reports that the transaction is over.

use model::{prelude::*, session::SlotDigest};
use proto::caller::{CallerError, ErrorKind};

/// Time limits after which a transaction is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionLimits {
    /// Maximum time without a request from the caller.
    pub idle_timeout: DurationUs,
    /// Maximum time since the transaction began.
    pub total_timeout: DurationUs,
}

/// Who opened a transaction, and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionInfo {
    /// Workspace that opened the transaction.
    pub workspace: WorkspaceName,
    /// Name of the caller key that opened the transaction.
    pub key: KeyName,
    /// Digest of the slot that the transaction runs in.
    pub slot: SlotDigest,
    /// Database that the transaction runs on.
    pub database: DatabaseName,
    /// Term of the slot when the transaction began.
    pub term: Term,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No step is running; the idle timeout applies.
    Idle,
    /// A step is running.
    Busy,
    /// To be rolled back as soon as the running step ends.
    Aborting,
}

#[derive(Clone, Debug)]
struct OpenTransaction {
    info: TransactionInfo,
    phase: Phase,
    begun_at: MonoTime,
    used_at: MonoTime,
}

/// All transactions open on this VM.
#[derive(Clone, Debug)]
pub struct TransactionTable {
    limits: TransactionLimits,
    open: FxHashMap<TransactionId, OpenTransaction>,
}

impl TransactionTable {
    /// Creates an empty table.
    pub fn new(limits: TransactionLimits) -> TransactionTable {
        TransactionTable { limits, open: FxHashMap::default() }
    }

    /// Number of open transactions.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a transaction that has just begun.
    pub fn begin(&mut self, id: TransactionId, info: TransactionInfo, now: MonoTime) {
        self.open
            .insert(id, OpenTransaction { info, phase: Phase::Idle, begun_at: now, used_at: now });
    }

    /// Starts a step. Fails unless the same workspace opened the transaction, in the same slot, and
    /// no other step of it is running.
    pub fn start_step(
        &mut self,
        id: TransactionId,
        workspace: &WorkspaceName,
        slot: SlotDigest,
        now: MonoTime,
    ) -> Result<TransactionInfo, CallerError> {
        let limits = self.limits;
        let open = self.open.get_mut(&id).filter(|open| open.info.workspace == *workspace);
        let open =
            open.filter(|open| !open.is_expired(limits, now)).ok_or_else(transaction_ended)?;
        if open.info.slot != slot {
            let message = "the transaction is open in another slot: send the slot key that opened it, or none";
            return Err(CallerError::not_run(ErrorKind::BadRequest, message));
        }
        match open.phase {
            Phase::Idle => {
                open.phase = Phase::Busy;
                open.used_at = now;
                Ok(open.info.clone())
            }
            Phase::Busy => {
                let message = "another request of the transaction is running: wait for its answer";
                Err(CallerError::not_run(ErrorKind::BadRequest, message))
            }
            Phase::Aborting => Err(transaction_ended()),
        }
    }

    /// Ends a step and returns whether the transaction stays open. If not, its connection must be
    /// closed.
    pub fn finish_step(&mut self, id: TransactionId, keep_open: bool, now: MonoTime) -> bool {
        let Some(open) = self.open.get_mut(&id) else {
            return false;
        };
        if keep_open && open.phase == Phase::Busy {
            open.phase = Phase::Idle;
            open.used_at = now;
            return true;
        }
        self.open.remove(&id);
        false
    }

    /// Removes the transactions that are over and have no step running, and returns their ids;
    /// their connections must be closed. A transaction is over when it has passed a time limit or
    /// `is_allowed` rejects its key for its workspace. If a step is running, the transaction ends
    /// with the step.
    pub fn sweep(
        &mut self,
        is_allowed: impl Fn(&KeyName, &WorkspaceName) -> bool,
        now: MonoTime,
    ) -> Vec<TransactionId> {
        let limits = self.limits;
        let mut expired = Vec::new();
        self.open.retain(|id, open| {
            let keep =
                is_allowed(&open.info.key, &open.info.workspace) && !open.is_expired(limits, now);
            if keep {
                return true;
            }
            if open.phase == Phase::Idle {
                expired.push(*id);
                return false;
            }
            open.phase = Phase::Aborting;
            true
        });
        expired
    }
}

impl OpenTransaction {
    fn is_expired(&self, limits: TransactionLimits, now: MonoTime) -> bool {
        let idle = self.phase == Phase::Idle && now.since(self.used_at) >= limits.idle_timeout;
        idle || now.since(self.begun_at) >= limits.total_timeout
    }
}

/// Error for a transaction that is not open, or no longer.
pub fn transaction_ended() -> CallerError {
    let message = "the transaction is not open: it ended, or passed its time limit and was rolled back; begin another";
    CallerError::not_run(ErrorKind::TransactionEnded, message)
}
