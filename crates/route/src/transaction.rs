//! The book of the transactions that are open on this VM: whose they are, and when they end.
//!
//! It holds no connection. Whoever carries out steps keeps the connection of each transaction, and
//! closes it as soon as the book says that the transaction is over.

use model::{prelude::*, session::SlotDigest};
use proto::caller::{CallerError, ErrorKind};

/// When transactions are rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// After this time without a request from its caller.
    pub idle: DurationUs,
    /// After this time in all.
    pub total: DurationUs,
}

/// Whose transaction it is and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
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
    Doomed,
}

#[derive(Clone, Debug)]
struct Open {
    owner: Owner,
    phase: Phase,
    begun_at: MonoTime,
    used_at: MonoTime,
}

/// Every transaction that is open on this VM.
#[derive(Clone, Debug)]
pub struct Transactions {
    limits: Limits,
    open: FxHashMap<TransactionId, Open>,
}

impl Transactions {
    /// An empty book.
    pub fn new(limits: Limits) -> Transactions {
        Transactions { limits, open: FxHashMap::default() }
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
    pub fn begin(&mut self, id: TransactionId, owner: Owner, now: MonoTime) {
        self.open.insert(id, Open { owner, phase: Phase::Idle, begun_at: now, used_at: now });
    }

    /// Starts a step. Only the workspace that opened a transaction reaches it, one step at a time.
    pub fn start_step(
        &mut self,
        id: TransactionId,
        workspace: &WorkspaceName,
        slot: SlotDigest,
        now: MonoTime,
    ) -> Result<Owner, CallerError> {
        let limits = self.limits;
        let open = self.open.get_mut(&id).filter(|open| open.owner.workspace == *workspace);
        let open = open.filter(|open| !open.is_over(limits, now)).ok_or_else(ended)?;
        if open.owner.slot != slot {
            let message = "the transaction is open in another slot: send the slot key that opened it, or none";
            return Err(CallerError::not_run(ErrorKind::BadRequest, message));
        }
        match open.phase {
            Phase::Idle => {
                open.phase = Phase::Busy;
                open.used_at = now;
                Ok(open.owner.clone())
            }
            Phase::Busy => {
                let message = "another request of the transaction is running: wait for its answer";
                Err(CallerError::not_run(ErrorKind::BadRequest, message))
            }
            Phase::Doomed => Err(ended()),
        }
    }

    /// Ends a step. Says whether the transaction goes on; where not, its connection is to be closed.
    pub fn finish_step(&mut self, id: TransactionId, goes_on: bool, now: MonoTime) -> bool {
        let Some(open) = self.open.get_mut(&id) else {
            return false;
        };
        if goes_on && open.phase == Phase::Busy {
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
        let mut over = Vec::new();
        self.open.retain(|id, open| {
            let keep =
                is_allowed(&open.owner.key, &open.owner.workspace) && !open.is_over(limits, now);
            if keep {
                return true;
            }
            if open.phase == Phase::Idle {
                over.push(*id);
                return false;
            }
            open.phase = Phase::Doomed;
            true
        });
        over
    }
}

impl Open {
    fn is_over(&self, limits: Limits, now: MonoTime) -> bool {
        let idle = self.phase == Phase::Idle && now.since(self.used_at) >= limits.idle;
        idle || now.since(self.begun_at) >= limits.total
    }
}

/// The transaction is not open.
pub fn ended() -> CallerError {
    let message = "the transaction is not open: it ended, or passed its time limit and was rolled back; begin another";
    CallerError::not_run(ErrorKind::TransactionEnded, message)
}
