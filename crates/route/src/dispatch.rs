//! The entry VM's part of a request, as a state machine: where to send it, when to send it again and
//! when to give the final answer.
//!
//! - What never left moves to another holder.
//! - What left and may be repeated is sent again, within the VM's retry budget.
//! - What left and may not be repeated is never sent again: its outcome is asked for.

use board::{Board, DatabaseKey, SlotKey};
use config::{Route, RouteKind};
use fleet::placement::holders_to_try;
use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind, Outcome},
    peer::{Answer, PeerReply, Redirect},
};

use crate::{
    budget::RetryBudget,
    errors,
    execution::resolution_reserve,
    replica::{databases_to_try, primary_first},
};

const SENDS_MAX: usize = 12;
const REDIRECTS_MAX: usize = 4;
const NEXT_IDS_MAX: usize = 16;

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the request to a holder.
    Run(HolderCall),
    /// Ask a holder what became of the request.
    Resolve(HolderCall),
    /// Answer the caller.
    Done(Result<Answer, CallerError>),
}

/// Where to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCall {
    /// The holder.
    pub holder: VmName,
    /// The database that it is to use.
    pub database: DatabaseKey,
    /// Names the request at the upstream.
    pub request_id: RequestId,
    /// When to give up waiting for its reply.
    pub until: MonoTime,
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The holder replied.
    Reply(PeerReply),
    /// No byte left for the holder, or it refused the message unread.
    NotSent,
    /// The message left and no reply came.
    Lost(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Run,
    Resolve,
}

/// One request on its entry VM.
#[derive(Clone, Debug)]
pub struct Dispatch {
    slot: SlotKey,
    may_repeat: bool,
    deadline: MonoTime,
    request_id: RequestId,
    phase: Phase,
    /// Best last.
    databases: Vec<DatabaseKey>,
    database: Option<DatabaseKey>,
    /// Holders of the database that have not been tried, best last.
    holders: Vec<VmName>,
    sends_left: usize,
    redirects_left: usize,
    next_ids_left: usize,
    /// Databases that were turned to, and the term in which the slot was believed to be.
    tried: Vec<(DatabaseKey, Term)>,
    /// Why it was not sent so far.
    last_error: CallerError,
    /// Set once it may have run.
    lost_error: Option<CallerError>,
}

impl Dispatch {
    /// A request on its way, and the first step.
    pub fn start(
        board: &Board,
        slot: SlotKey,
        route: &Route,
        request_id: RequestId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> (Dispatch, Step) {
        let databases = databases_to_try(board, slot, route);
        let may_repeat = route.repeatable || route.kind == RouteKind::Read;
        Dispatch::new(board, slot, databases, may_repeat, request_id, deadline, now)
    }

    /// The opening of a transaction on its way, and the first step.
    pub fn start_begin(
        board: &Board,
        slot: SlotKey,
        deadline: MonoTime,
        now: MonoTime,
    ) -> (Dispatch, Step) {
        let databases = primary_first(board, slot);
        // One whose answer is lost is rolled back when it has been idle for long enough.
        Dispatch::new(board, slot, databases, true, RequestId::random(), deadline, now)
    }

    /// The search for the outcome of a write that another VM sent, and the first step.
    pub fn start_resolution(
        board: &Board,
        slot: SlotKey,
        request_id: RequestId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> (Dispatch, Step) {
        let (mut dispatch, _) =
            Dispatch::new(board, slot, Vec::new(), false, request_id, deadline, now);
        let step = dispatch.resolve(board, now);
        (dispatch, step)
    }

    fn new(
        board: &Board,
        slot: SlotKey,
        mut databases: Vec<DatabaseKey>,
        may_repeat: bool,
        request_id: RequestId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> (Dispatch, Step) {
        databases.reverse();
        let mut dispatch = Dispatch {
            slot,
            may_repeat,
            deadline,
            request_id,
            phase: Phase::Run,
            databases,
            database: None,
            holders: Vec::new(),
            sends_left: SENDS_MAX,
            redirects_left: REDIRECTS_MAX,
            next_ids_left: NEXT_IDS_MAX,
            tried: Vec::new(),
            last_error: errors::unavailable(),
            lost_error: None,
        };
        let step = dispatch.next(board, now);
        (dispatch, step)
    }

    /// What to do after an event.
    pub fn handle(
        &mut self,
        board: &Board,
        event: Event,
        budget: &mut RetryBudget,
        now: MonoTime,
    ) -> Step {
        match (self.phase, event) {
            (_, Event::Reply(PeerReply::Answer(answer))) => Step::Done(Ok(answer)),
            (_, Event::Reply(PeerReply::Redirect(redirect))) => {
                self.follow_redirect(board, &redirect);
                self.next(board, now)
            }
            (_, Event::NotSent) => self.next(board, now),
            (Phase::Run, Event::Reply(PeerReply::Cancelled)) => self.retry_with_next_id(board, now),
            (Phase::Run, Event::Reply(PeerReply::Error(error))) => {
                self.handle_error(board, error, budget, now)
            }
            (Phase::Run, Event::Reply(other)) => {
                self.handle_lost(board, unexpected_reply(&other), budget, now)
            }
            (Phase::Run, Event::Lost(reason)) => {
                self.handle_lost(board, errors::reply_lost(reason), budget, now)
            }
            (Phase::Resolve, Event::Reply(PeerReply::Error(error))) => {
                self.handle_resolve_error(board, error, now)
            }
            (Phase::Resolve, Event::Reply(_) | Event::Lost(_)) => self.next(board, now),
        }
    }

    /// The next holder to send to, or the final answer where there is none.
    fn next(&mut self, board: &Board, now: MonoTime) -> Step {
        if now >= self.deadline {
            return self.finish(errors::timed_out());
        }
        while self.holders.is_empty() {
            let Some(database) = self.databases.pop() else {
                return self.finish(self.last_error.clone());
            };
            self.select_database(board, database, board.slots[self.slot].term);
        }
        match (self.sends_left.checked_sub(1), self.holders.pop(), self.database) {
            (Some(left), Some(holder), Some(database)) => {
                self.sends_left = left;
                self.send(holder, database, now)
            }
            _ => self.finish(self.last_error.clone()),
        }
    }

    fn send(&self, holder: VmName, database: DatabaseKey, now: MonoTime) -> Step {
        let left = self.deadline.since(now);
        let until = self.deadline - resolution_reserve(left);
        let send = HolderCall { holder, database, request_id: self.request_id, until };
        match self.phase {
            Phase::Run => Step::Run(send),
            Phase::Resolve => Step::Resolve(send),
        }
    }

    fn select_database(&mut self, board: &Board, database: DatabaseKey, term: Term) {
        let holders = holders_to_try(board, database);
        self.holders = holders.into_iter().rev().map(|vm| vm.vm.clone()).collect();
        self.database = Some(database);
        self.tried.push((database, term));
    }

    /// The final answer of a request that got none. "Not run" is said only if no sending was lost.
    fn finish(&self, error: CallerError) -> Step {
        if self.phase == Phase::Resolve {
            return Step::Done(Err(errors::outcome_unknown()));
        }
        match &self.lost_error {
            Some(lost) if error.outcome == Outcome::NotRun => Step::Done(Err(lost.clone())),
            _ => Step::Done(Err(error)),
        }
    }

    /// Goes on with the replica or the primary that a holder named, unless it was tried in that term.
    fn follow_redirect(&mut self, board: &Board, redirect: &Redirect) {
        let named = [&redirect.replica, &redirect.primary].into_iter().flatten();
        let mut known = named.filter_map(|name| board.catalog.database(name.as_str()));
        let tried = |d: &DatabaseKey| self.tried.iter().any(|t| t.0 == *d && t.1 >= redirect.term);
        let next = known.find(|database| !tried(database));
        let Some(next) = next.filter(|_| self.redirects_left > 0) else {
            return;
        };
        self.redirects_left -= 1;
        self.databases.retain(|database| *database != next);
        self.select_database(board, next, redirect.term);
    }

    /// Goes on under the id of the next try: an earlier one under the same idempotency key was
    /// cancelled, and its caller was told so.
    fn retry_with_next_id(&mut self, board: &Board, now: MonoTime) -> Step {
        let Some(left) = self.next_ids_left.checked_sub(1) else {
            return self.finish(errors::write_cancelled());
        };
        self.next_ids_left = left;
        self.sends_left += 1;
        self.request_id = self.request_id.next_try();
        if let Some(database) = self.database {
            self.select_database(board, database, board.slots[self.slot].term);
        }
        self.next(board, now)
    }

    fn handle_error(
        &mut self,
        board: &Board,
        error: CallerError,
        budget: &mut RetryBudget,
        now: MonoTime,
    ) -> Step {
        match (error.kind, error.outcome) {
            (ErrorKind::Unavailable, Outcome::NotRun) => {
                self.last_error = error;
                self.next(board, now)
            }
            // The holder of a request that may not be repeated has asked for the outcome already.
            (ErrorKind::Unavailable, Outcome::Unknown) if self.may_repeat => {
                self.handle_lost(board, error, budget, now)
            }
            _ => self.finish(error),
        }
    }

    fn handle_lost(
        &mut self,
        board: &Board,
        error: CallerError,
        budget: &mut RetryBudget,
        now: MonoTime,
    ) -> Step {
        if !self.may_repeat {
            return self.resolve(board, now);
        }
        if !budget.try_spend() {
            return Step::Done(Err(error));
        }
        self.lost_error = Some(error);
        self.next(board, now)
    }

    fn resolve(&mut self, board: &Board, now: MonoTime) -> Step {
        self.phase = Phase::Resolve;
        // Whichever holder is asked turns to the primary that it knows.
        self.databases = primary_first(board, self.slot);
        self.databases.reverse();
        self.holders.clear();
        self.sends_left = SENDS_MAX;
        self.next(board, now)
    }

    fn handle_resolve_error(&mut self, board: &Board, error: CallerError, now: MonoTime) -> Step {
        match error.outcome {
            Outcome::NotRun | Outcome::Failed => Step::Done(Err(error)),
            Outcome::Unknown => self.next(board, now),
        }
    }
}

fn unexpected_reply(reply: &PeerReply) -> CallerError {
    debug_assert!(false, "{reply:?} is not a reply to a request");
    errors::reply_lost(
        "a VM of the fleet sent a reply of the wrong type: check that all run the same version",
    )
}
