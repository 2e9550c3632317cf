//! Asks a majority whether primaries are still the current ones, once for all reads that wait for it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use board::{Board, DatabaseKey, SlotKey};
use model::{prelude::*, session::SlotDigest};
use proto::database::Executed;
use serde_json::Value;
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    watch,
};

use crate::{app::App, confirm::confirm};

const ROUND_LIMIT: DurationUs = DurationUs::from_ms(1_000);

type Answer = watch::Receiver<Option<bool>>;

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
    /// No rounds yet; [`run`] is to be given the claims whose rounds start.
    pub fn new() -> (Verifier, UnboundedReceiver<Claim>) {
        let (starts, claims) = unbounded_channel();
        (Verifier { rounds: Mutex::default(), starts }, claims)
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<Claim, Rounds>> {
        self.rounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Joins the round that has not started yet. Says whether the caller has to start it.
    fn join(&self, claim: &Claim) -> (Answer, bool) {
        let mut rounds = self.lock();
        let is_first = !rounds.contains_key(claim);
        let next = &mut rounds.entry(claim.clone()).or_default().next;
        let (_, answer) = next.get_or_insert_with(|| watch::channel(None));
        (answer.clone(), is_first)
    }

    /// Takes the next round to run it; where nobody waits for one, forgets the claim.
    fn start_next(&self, claim: &Claim) -> Option<watch::Sender<Option<bool>>> {
        let mut rounds = self.lock();
        let next = rounds.get_mut(claim).and_then(|r| r.next.take());
        if next.is_none() {
            rounds.remove(claim);
        }
        next.map(|(tx, _)| tx)
    }
}

/// Whether a majority says, after this call began, that the primary has not been replaced in the term.
pub async fn verify(
    app: &App,
    board: &Board,
    slot: SlotKey,
    primary: DatabaseKey,
    term: Term,
    until: MonoTime,
) -> bool {
    let claim =
        (board.catalog.slots[slot].digest, term, board.catalog.databases[primary].name.clone());
    let (mut answer, is_first) = app.verifier.join(&claim);
    if is_first {
        // The receiver ends only with the process.
        let _ = app.verifier.starts.send(claim);
    }
    let verified = answer.wait_for(Option::is_some);
    match tokio::time::timeout_at(app.instant(until), verified).await {
        Ok(Ok(verified)) => *verified == Some(true),
        _ => false,
    }
}

/// Runs rounds for as long as the daemon runs, whoever waits for them.
pub async fn run(app: Arc<App>, mut claims: UnboundedReceiver<Claim>) {
    while let Some(claim) = claims.recv().await {
        tokio::spawn(run_rounds(app.clone(), claim));
    }
}

async fn run_rounds(app: Arc<App>, claim: Claim) {
    while let Some(tx) = app.verifier.start_next(&claim) {
        let board = app.board();
        let slot = board.catalog.slot_by_digest(claim.0);
        let primary = board.catalog.database(claim.2.as_str());
        let verified = match slot.zip(primary) {
            Some((slot, primary)) => ask(&app, &board, slot, primary, claim.1).await,
            None => false,
        };
        tx.send_replace(Some(verified));
    }
}

async fn ask(app: &App, board: &Board, slot: SlotKey, primary: DatabaseKey, term: Term) -> bool {
    let nothing = Executed { result: Value::Null, term, position: Position::ZERO, repeated: false };
    let until = app.instant(app.now() + ROUND_LIMIT);
    confirm(app, board, slot, primary, &nothing, until).await.is_ok()
}
