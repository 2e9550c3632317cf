//! Rounds in which a primary is verified to be the current one, each shared by many reads.
//!
//! A read must be verified by a round that starts after the read arrived. While a round runs, all
//! reads that arrive therefore join the next one.

use std::sync::{Mutex, MutexGuard};

use model::{prelude::*, session::SlotDigest};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use crate::lock::lock;

/// Receives whether the primary is still the current one; `None` until the round ends.
pub type RoundResult = watch::Receiver<Option<bool>>;

/// A slot, a term and the database that is believed to be the slot's primary in that term.
pub type PrimaryInTerm = (SlotDigest, Term, DatabaseName);

/// Verification rounds that are running or pending.
pub struct VerificationRounds {
    /// Pending round of each primary that has a round running or about to start.
    pending: Mutex<FxHashMap<PrimaryInTerm, PendingRound>>,
    /// Primaries whose rounds are to be run.
    starts: UnboundedSender<PrimaryInTerm>,
}

/// The round that starts next; absent while no read waits for one.
#[derive(Default)]
struct PendingRound {
    next: Option<(watch::Sender<Option<bool>>, RoundResult)>,
}

impl VerificationRounds {
    /// Creates an empty set of rounds, and the receiver of the primaries whose rounds are to be
    /// run.
    pub fn new() -> (VerificationRounds, UnboundedReceiver<PrimaryInTerm>) {
        let (starts, start_requests) = unbounded_channel();
        (VerificationRounds { pending: Mutex::default(), starts }, start_requests)
    }

    /// Requests that the rounds of a primary are run.
    pub fn start(&self, primary: PrimaryInTerm) {
        // Sending can't fail: the receiver runs until the process exits.
        let _ = self.starts.send(primary);
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<PrimaryInTerm, PendingRound>> {
        lock(&self.pending)
    }

    /// Joins the pending round. Also returns whether the caller must call
    /// [`VerificationRounds::start`], because no round of the primary is running.
    pub fn join(&self, primary: &PrimaryInTerm) -> (RoundResult, bool) {
        let mut pending = self.lock();
        let is_first = !pending.contains_key(primary);
        let next = &mut pending.entry(primary.clone()).or_default().next;
        let (_, result) = next.get_or_insert_with(|| watch::channel(None));
        (result.clone(), is_first)
    }

    /// Takes the pending round in order to run it, and returns the sender of its result. If no read
    /// waits for a round, removes the primary and returns `None`.
    pub fn start_next(&self, primary: &PrimaryInTerm) -> Option<watch::Sender<Option<bool>>> {
        let mut pending = self.lock();
        let next = pending.get_mut(primary).and_then(|r| r.next.take());
        if next.is_none() {
            pending.remove(primary);
        }
        next.map(|(tx, _)| tx)
    }
}
