//! Rounds of questions whether a primary is still the current one, shared by all reads that wait.

use std::sync::{Mutex, MutexGuard};

use model::{prelude::*, session::SlotDigest};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use crate::lock::lock;

/// Whether the primary has not been replaced, once that is known.
pub type RoundResult = watch::Receiver<Option<bool>>;

/// A primary in a term.
pub type PrimaryInTerm = (SlotDigest, Term, DatabaseName);

/// The rounds of questions that run or are to run.
pub struct VerificationRounds {
    pending: Mutex<FxHashMap<PrimaryInTerm, PendingRound>>,
    starts: UnboundedSender<PrimaryInTerm>,
}

/// While a round runs, the one that starts after it.
#[derive(Default)]
struct PendingRound {
    next: Option<(watch::Sender<Option<bool>>, RoundResult)>,
}

impl VerificationRounds {
    /// No rounds yet, and the primaries whose rounds are to start.
    pub fn new() -> (VerificationRounds, UnboundedReceiver<PrimaryInTerm>) {
        let (starts, start_requests) = unbounded_channel();
        (VerificationRounds { pending: Mutex::default(), starts }, start_requests)
    }

    /// Has the rounds of a primary run.
    pub fn start(&self, primary: PrimaryInTerm) {
        // The receiver ends only with the process.
        let _ = self.starts.send(primary);
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<PrimaryInTerm, PendingRound>> {
        lock(&self.pending)
    }

    /// Joins the round that has not started yet. Says whether the caller has to start it.
    pub fn join(&self, primary: &PrimaryInTerm) -> (RoundResult, bool) {
        let mut pending = self.lock();
        let is_first = !pending.contains_key(primary);
        let next = &mut pending.entry(primary.clone()).or_default().next;
        let (_, result) = next.get_or_insert_with(|| watch::channel(None));
        (result.clone(), is_first)
    }

    /// Takes the next round to run it; where nobody waits for one, forgets the primary.
    pub fn start_next(&self, primary: &PrimaryInTerm) -> Option<watch::Sender<Option<bool>>> {
        let mut pending = self.lock();
        let next = pending.get_mut(primary).and_then(|r| r.next.take());
        if next.is_none() {
            pending.remove(primary);
        }
        next.map(|(tx, _)| tx)
    }
}
