//! Rounds of questions whether a primary is still the current one, shared by all reads that wait.

use std::sync::{Mutex, MutexGuard};

use model::{prelude::*, session::SlotDigest};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use crate::lock::lock;

/// Whether the primary has not been replaced, once that is known.
pub type Answer = watch::Receiver<Option<bool>>;

/// A primary in a term.
pub type Claim = (SlotDigest, Term, DatabaseName);

/// The rounds of questions that run or are to run.
pub struct Verifier {
    rounds: Mutex<FxHashMap<Claim, Rounds>>,
    starts: UnboundedSender<Claim>,
}

/// While a round runs, the one that starts after it.
#[derive(Default)]
struct Rounds {
    next: Option<(watch::Sender<Option<bool>>, Answer)>,
}

impl Verifier {
    /// No rounds yet, and the claims whose rounds are to start.
    pub fn new() -> (Verifier, UnboundedReceiver<Claim>) {
        let (starts, claims) = unbounded_channel();
        (Verifier { rounds: Mutex::default(), starts }, claims)
    }

    /// Has the rounds of a claim run.
    pub fn start(&self, claim: Claim) {
        // The receiver ends only with the process.
        let _ = self.starts.send(claim);
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<Claim, Rounds>> {
        lock(&self.rounds)
    }

    /// Joins the round that has not started yet. Says whether the caller has to start it.
    pub fn join(&self, claim: &Claim) -> (Answer, bool) {
        let mut rounds = self.lock();
        let is_first = !rounds.contains_key(claim);
        let next = &mut rounds.entry(claim.clone()).or_default().next;
        let (_, answer) = next.get_or_insert_with(|| watch::channel(None));
        (answer.clone(), is_first)
    }

    /// Takes the next round to run it; where nobody waits for one, forgets the claim.
    pub fn start_next(&self, claim: &Claim) -> Option<watch::Sender<Option<bool>>> {
        let mut rounds = self.lock();
        let next = rounds.get_mut(claim).and_then(|r| r.next.take());
        if next.is_none() {
            rounds.remove(claim);
        }
        next.map(|(tx, _)| tx)
    }
}
