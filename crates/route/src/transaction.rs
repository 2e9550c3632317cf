//! The book of the transactions that are open on this VM: whose they are, and when they end.
//!
//! It holds no connection. Whoever carries out steps keeps the connection of each transaction, and
//! closes it as soon as the book says that the transaction is over.

use model::{prelude::*, session::SlotDigest};
use proto::caller::{CallerError, ErrorKind};

/// When transactions are rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionLimits {
    /// After this time without a request from its caller.
    pub idle_timeout: DurationUs,
    /// After this time in all.
    pub total_timeout: DurationUs,
}

/// Whose transaction it is and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionInfo {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Name of the key that opened it.
    pub key: KeyName,
    /// Its slot.
    pub slot: SlotDigest,
    /// Its database.
    pub database: DatabaseName,
    /// The term in which it was begun.
    pub term: Term,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Busy,
    /// To be rolled back as soon as its step returns.
    Aborting,
}

#[derive(Clone, Debug)]
struct OpenTransaction {
    info: TransactionInfo,
    phase: Phase,
    begun_at: MonoTime,
    used_at: MonoTime,
}

/// Every transaction that is open on this VM.
#[derive(Clone, Debug)]
pub struct TransactionTable {
    limits: TransactionLimits,
    open: FxHashMap<TransactionId, OpenTransaction>,
}

impl TransactionTable {
    /// An empty book.
    pub fn new(limits: TransactionLimits) -> TransactionTable {
        TransactionTable { limits, open: FxHashMap::default() }
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Enters a transaction that was begun.
    pub fn begin(&mut self, id: TransactionId, info: TransactionInfo, now: MonoTime) {
        self.open
            .insert(id, OpenTransaction { info, phase: Phase::Idle, begun_at: now, used_at: now });
    }

    /// Starts a step. Only the workspace that opened a transaction reaches it, one step at a time.
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

    /// Ends a step. Says whether the transaction goes on; where not, its connection is to be closed.
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

    /// Takes out the transactions that are over and have no step running; their connections are to be
    /// closed. `is_allowed` says whether a key still stands for a workspace.
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

/// The transaction is not open.
pub fn transaction_ended() -> CallerError {
    let message = "the transaction is not open: it ended, or passed its time limit and was rolled back; begin another";
    CallerError::not_run(ErrorKind::TransactionEnded, message)
}
