//! The entry VM's side of a request, as a state machine: which holder to send it to, when to send
//! it again, and when to answer the caller.
//!
//! - A request that was not sent moves to another holder.
//! - A request that was sent and may be repeated is sent again, within the VM's retry budget.
//! - A request that was sent and may not be repeated is never sent again: its outcome is resolved.

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

/// Maximum number of messages sent to holders to run a request, and again to resolve it.
const SENDS_MAX: usize = 12;
/// Maximum number of redirects followed for a request.
const REDIRECTS_MAX: usize = 4;
/// Maximum number of times that a request moves to the next request id.
const NEXT_IDS_MAX: usize = 16;

/// Next step to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the request to a holder.
    Run(HolderCall),
    /// Ask a holder to resolve the outcome of the request.
    Resolve(HolderCall),
    /// Answer the caller.
    Done(Result<Answer, CallerError>),
}

/// A message to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCall {
    /// VM that the message is sent to.
    pub holder: VmName,
    /// Database that the holder uses for the request.
    pub database: DatabaseKey,
    /// Id under which the upstream records the request.
    pub request_id: RequestId,
    /// When the entry VM stops waiting for the reply.
    pub until: MonoTime,
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The holder replied.
    Reply(PeerReply),
    /// No byte of the message was sent, or the holder rejected it unread: nothing ran.
    NotSent,
    /// The message was sent but no reply arrived, for this reason.
    Lost(String),
}

/// What messages to holders currently ask for: to run the request, or to resolve its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Run,
    Resolve,
}

/// State of one request on its entry VM.
#[derive(Clone, Debug)]
pub struct Dispatch {
    slot: SlotKey,
    may_repeat: bool,
    deadline: MonoTime,
    request_id: RequestId,
    phase: Phase,
    /// Databases still to be tried, best last.
    databases: Vec<DatabaseKey>,
    /// Database that is being tried.
    database: Option<DatabaseKey>,
    /// Holders of `database` still to be tried, best last.
    holders: Vec<VmName>,
    sends_left: usize,
    redirects_left: usize,
    next_ids_left: usize,
    /// Databases tried so far, each with the slot's term as known at that time.
    tried: Vec<(DatabaseKey, Term)>,
    /// Final error if no holder runs the request: the last reason why it did not run.
    last_error: CallerError,
    /// Error of the last lost message. Once set, the request may have run.
    lost_error: Option<CallerError>,
}

impl Dispatch {
    /// Starts a request and returns its first step.
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

    /// Starts the opening of a transaction and returns its first step.
    pub fn start_begin(
        board: &Board,
        slot: SlotKey,
        deadline: MonoTime,
        now: MonoTime,
    ) -> (Dispatch, Step) {
        let databases = primary_first(board, slot);
        // It may be repeated: a transaction whose reply was lost is rolled back at its idle
        // timeout.
        Dispatch::new(board, slot, databases, true, RequestId::random(), deadline, now)
    }

    /// Starts to resolve the outcome of a write that another VM sent, and returns the first step.
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

    /// Returns the step that follows an event.
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

    /// Sends to the next holder, or gives the final answer if none is left.
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
        let call = HolderCall { holder, database, request_id: self.request_id, until };
        match self.phase {
            Phase::Run => Step::Run(call),
            Phase::Resolve => Step::Resolve(call),
        }
    }

    /// Continues with the holders of the database; `term` is the slot's term as known.
    fn select_database(&mut self, board: &Board, database: DatabaseKey, term: Term) {
        let holders = holders_to_try(board, database);
        self.holders = holders.into_iter().rev().map(|vm| vm.vm.clone()).collect();
        self.database = Some(database);
        self.tried.push((database, term));
    }

    /// Gives the final answer to a request without a result. The answer is "not run" only if no
    /// message was lost.
    fn finish(&self, error: CallerError) -> Step {
        if self.phase == Phase::Resolve {
            return Step::Done(Err(errors::outcome_unknown()));
        }
        match &self.lost_error {
            Some(lost) if error.outcome == Outcome::NotRun => Step::Done(Err(lost.clone())),
            _ => Step::Done(Err(error)),
        }
    }

    /// Continues with the replica or primary that a holder named, unless that database was already
    /// tried in the redirect's term or a later one.
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

    /// Sends the request again under the next request id. An earlier request under the same
    /// idempotency key was cancelled under this id, and its caller was told so.
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
            // For a request that may not be repeated, the holder has already tried to resolve the
            // outcome.
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
        // Any holder can resolve the outcome: it queries the primary that it knows.
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
