//! The holder's part of a request, as a state machine: admit, connect, execute, confirm, resolve.

use board::{Board, DatabaseKey, RouteKey, SlotKey, WorkspaceKey};
use config::{Route, RouteKind};
use fleet::access::check_key;
use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind},
    database::{Access, DatabaseError, Executed},
    peer::{Answer, Forward, PeerReply, Redirect},
};

use crate::{
    errors,
    outcome::{self, Resolution, WriteOutcome},
    replica::{self, ServeMode},
};

/// Part of a request's time that is kept for finding out its outcome.
const RESOLUTION_RESERVE_DIVISOR: u64 = 4;
const RESOLUTION_RESERVE_MAX: DurationUs = DurationUs::from_ms(1_000);
const PRIMARY_VERIFIED_MAX_AGE: DurationUs = DurationUs::from_ms(1_500);
const PRECHECK_TIMEOUT: DurationUs = DurationUs::from_ms(500);
const CATCH_UP_TIMEOUT: DurationUs = DurationUs::from_ms(20);
const RETRY_AFTER: DurationUs = DurationUs::from_ms(500);

/// The keys of what a forwarded request names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Whose it is.
    pub workspace: WorkspaceKey,
    /// Its kind.
    pub route: RouteKey,
    /// Its slot.
    pub slot: SlotKey,
    /// Where it is to run.
    pub database: DatabaseKey,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Find out whether the primary is still the current one in the term.
    Verify {
        /// The term.
        term: Term,
        /// When to give up.
        until: MonoTime,
    },
    /// Wait until the database has applied the position.
    CatchUp {
        /// The position.
        position: Position,
        /// The slot's term.
        term: Term,
        /// How long.
        wait: DurationUs,
    },
    /// Count the request against its workspace's rate.
    Admit,
    /// Take a connection to the database.
    Connect,
    /// Execute the request on the connection.
    Execute {
        /// How.
        access: Access,
        /// The term in which the slot is believed to be.
        term: Term,
        /// When to give up waiting for the answer.
        until: MonoTime,
    },
    /// Find out whether a majority holds the write.
    Confirm {
        /// The write.
        executed: Executed,
        /// When to give up.
        until: MonoTime,
    },
    /// Carry out a step of the search for the outcome.
    Resolve(outcome::Step),
    /// It is over.
    Done(PeerReply),
}

/// What came of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer to [`Step::Verify`], [`Step::CatchUp`] or [`Step::Confirm`].
    Confirmed(bool),
    /// Whether the workspace's rate allows the request.
    Admitted(Result<(), CallerError>),
    /// Whether a connection was had.
    Connected(Result<(), CallerError>),
    /// The database answered.
    Executed(Result<Executed, DatabaseError>),
    /// No byte of the request left for the database.
    NotSent,
    /// The request left and no whole answer came.
    Lost(String),
    /// For the search for the outcome.
    Outcome(outcome::Event),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Precheck,
    CatchUp,
    Admit,
    Connect,
    Execute,
    VerifyRead(Executed),
    ConfirmWrite(Executed),
    Resolve { resolution: Resolution, ran: bool },
    Done,
}

/// One request on its holder.
#[derive(Clone, Debug)]
pub struct Execution<'a> {
    forward: &'a Forward,
    target: Target,
    generation: Generation,
    route: Route,
    serve_mode: ServeMode,
    deadline: MonoTime,
    stage: Stage,
}

/// The share of the time left that is kept for the outcome.
pub fn resolution_reserve(left: DurationUs) -> DurationUs {
    DurationUs(left.0 / RESOLUTION_RESERVE_DIVISOR).min(RESOLUTION_RESERVE_MAX)
}

impl<'a> Execution<'a> {
    /// The first step, or the reply where there is none to take.
    pub fn start(
        board: &Board,
        forward: &'a Forward,
        now: MonoTime,
    ) -> Result<(Execution<'a>, Step), PeerReply> {
        let target = find_target(board, forward).map_err(PeerReply::Error)?;
        check_access(board, forward, now).map_err(PeerReply::Error)?;
        let route = board.catalog.routes[target.route].cfg.clone();
        let serve_mode = replica::serve_mode(
            board,
            target.slot,
            target.database,
            &route,
            forward.min_position,
            now,
        );
        let deadline = now + forward.time_left;
        let generation = board.catalog.cfg.generation;
        let stage = Stage::Precheck;
        let mut execution =
            Execution { forward, target, generation, route, serve_mode, deadline, stage };
        let step = match serve_mode {
            ServeMode::Unable => return Err(execution.redirect(board, now)),
            ServeMode::LaggingReplica => execution.catch_up(board),
            ServeMode::Replica => execution.admit(),
            ServeMode::Primary => execution.precheck(board, now),
        };
        Ok((execution, step))
    }

    /// The keys of what the request names.
    pub fn target(&self) -> Target {
        self.target
    }

    /// When the request's time is over.
    pub fn deadline(&self) -> MonoTime {
        self.deadline
    }

    /// What to do after an event.
    pub fn handle(&mut self, board: &Board, event: Event, now: MonoTime) -> Step {
        if let Err(error) = self.refresh_target(board) {
            return self.fail(error);
        }
        match (std::mem::replace(&mut self.stage, Stage::Done), event) {
            (Stage::Precheck, Event::Confirmed(true)) => self.admit(),
            (Stage::Precheck, Event::Confirmed(false)) => self.fail(errors::unavailable()),
            (Stage::CatchUp, Event::Confirmed(true)) => self.admit(),
            (Stage::CatchUp, Event::Confirmed(false)) => Step::Done(self.redirect(board, now)),
            (Stage::Admit, Event::Admitted(admitted)) => self.connect(admitted),
            (Stage::Connect, Event::Connected(connected)) => self.execute(board, connected, now),
            (Stage::Execute, Event::Executed(Ok(executed))) => {
                self.handle_executed(board, executed, now)
            }
            (Stage::Execute, Event::Executed(Err(error))) => self.handle_refused(error),
            (Stage::Execute, Event::NotSent) => self.fail(errors::unavailable()),
            (Stage::Execute, Event::Lost(reason)) => self.handle_lost(board, &reason, now),
            (Stage::VerifyRead(executed), Event::Confirmed(true)) => self.answer(executed),
            (Stage::VerifyRead(_), Event::Confirmed(false)) => {
                self.fail(errors::primary_unverified())
            }
            (Stage::ConfirmWrite(executed), Event::Confirmed(true)) => self.answer(executed),
            (Stage::ConfirmWrite(_), Event::Confirmed(false)) => self.resolve(board, true, now),
            (Stage::Resolve { mut resolution, ran }, Event::Outcome(event)) => {
                let step = resolution.handle(board, event, now);
                self.continue_resolution(resolution, ran, step)
            }
            (stage, event) => {
                debug_assert!(false, "{event:?} does not belong to {stage:?}");
                self.fail(errors::outcome_unknown())
            }
        }
    }

    /// Finds the keys again where another configuration came into force.
    fn refresh_target(&mut self, board: &Board) -> Result<(), CallerError> {
        if board.catalog.cfg.generation == self.generation {
            return Ok(());
        }
        let sent =
            !matches!(self.stage, Stage::Precheck | Stage::CatchUp | Stage::Admit | Stage::Connect);
        let lookup_error = |error| if sent { errors::outcome_unknown() } else { error };
        self.target = find_target(board, self.forward).map_err(lookup_error)?;
        self.generation = board.catalog.cfg.generation;
        Ok(())
    }

    fn precheck(&mut self, board: &Board, now: MonoTime) -> Step {
        let term = board.slots[self.target.slot].term;
        let known = replica::is_primary_verified_within(
            board,
            self.target.slot,
            PRIMARY_VERIFIED_MAX_AGE,
            now,
        ) || replica::is_primary_verified(board, self.target.slot, &self.route, now);
        if known || self.route.kind == RouteKind::Write {
            return self.admit();
        }
        self.stage = Stage::Precheck;
        Step::Verify { term, until: (now + PRECHECK_TIMEOUT).min(self.deadline) }
    }

    fn catch_up(&mut self, board: &Board) -> Step {
        self.stage = Stage::CatchUp;
        let position = self.forward.min_position;
        Step::CatchUp {
            position,
            term: board.slots[self.target.slot].term,
            wait: CATCH_UP_TIMEOUT.min(self.forward.time_left),
        }
    }

    fn admit(&mut self) -> Step {
        self.stage = Stage::Admit;
        Step::Admit
    }

    fn connect(&mut self, admitted: Result<(), CallerError>) -> Step {
        match admitted {
            Ok(()) => {
                self.stage = Stage::Connect;
                Step::Connect
            }
            Err(error) => self.fail(error),
        }
    }

    fn execute(
        &mut self,
        board: &Board,
        connected: Result<(), CallerError>,
        now: MonoTime,
    ) -> Step {
        // The key may have been withdrawn while the request waited.
        if let Err(error) = connected.and_then(|()| check_access(board, self.forward, now)) {
            return self.fail(error);
        }
        if now >= self.deadline {
            return self.fail(errors::timed_out());
        }
        self.stage = Stage::Execute;
        let access = match (self.route.kind, self.serve_mode) {
            (RouteKind::Write, _) => Access::Write,
            (RouteKind::Read, ServeMode::Primary) => Access::ReadPrimary,
            (RouteKind::Read, _) => Access::Read,
        };
        let term = board.slots[self.target.slot].term;
        Step::Execute { access, term, until: self.execute_deadline(now) }
    }

    /// Writes that may not be repeated keep a part of their time for finding out the outcome.
    fn execute_deadline(&self, now: MonoTime) -> MonoTime {
        match self.may_repeat() {
            true => self.deadline,
            false => self.deadline - resolution_reserve(self.deadline.since(now)),
        }
    }

    fn may_repeat(&self) -> bool {
        self.route.repeatable || self.route.kind == RouteKind::Read
    }

    fn handle_executed(&mut self, board: &Board, executed: Executed, now: MonoTime) -> Step {
        if self.route.kind == RouteKind::Write {
            self.stage = Stage::ConfirmWrite(executed.clone());
            return Step::Confirm { executed, until: self.execute_deadline(now) };
        }
        let covers = executed.position >= self.forward.min_position;
        if self.serve_mode != ServeMode::Primary {
            return match covers {
                true => self.answer(executed),
                false => Step::Done(self.redirect(board, now)),
            };
        }
        if covers && replica::is_primary_verified(board, self.target.slot, &self.route, now) {
            return self.answer(executed);
        }
        let term = executed.term;
        self.stage = Stage::VerifyRead(executed);
        Step::Verify { term, until: self.deadline }
    }

    fn answer(&mut self, executed: Executed) -> Step {
        // A read below the session's position comes only from a primary that was shown to be the
        // current one: then the slot's history no longer has what the session saw.
        let resets_session =
            self.route.kind == RouteKind::Read && executed.position < self.forward.min_position;
        Step::Done(PeerReply::Answer(Answer {
            result: executed.result,
            position: executed.position,
            from_replica: self.serve_mode != ServeMode::Primary,
            resets_session,
        }))
    }

    fn handle_refused(&mut self, error: DatabaseError) -> Step {
        if let Some(redirect) = errors::redirect_for(&error) {
            return Step::Done(PeerReply::Redirect(redirect));
        }
        match error {
            DatabaseError::Cancelled => Step::Done(PeerReply::Cancelled),
            error => self.fail(errors::from_database_error(error)),
        }
    }

    fn handle_lost(&mut self, board: &Board, reason: &str, now: MonoTime) -> Step {
        match self.may_repeat() {
            true => self.fail(errors::reply_lost(reason)),
            false => self.resolve(board, false, now),
        }
    }

    fn resolve(&mut self, board: &Board, ran: bool, now: MonoTime) -> Step {
        let mut resolution =
            Resolution::new(board.catalog.slots[self.target.slot].digest, self.deadline);
        let step = resolution.start(board, now);
        self.continue_resolution(resolution, ran, step)
    }

    fn continue_resolution(
        &mut self,
        resolution: Resolution,
        ran: bool,
        step: outcome::Step,
    ) -> Step {
        match step {
            outcome::Step::Done(WriteOutcome::Committed(executed)) => self.answer(executed),
            outcome::Step::Done(WriteOutcome::Cancelled) if ran => {
                self.fail(errors::write_undone())
            }
            outcome::Step::Done(WriteOutcome::Cancelled) => self.fail(errors::write_cancelled()),
            outcome::Step::Done(WriteOutcome::Unknown) => self.fail(errors::outcome_unknown()),
            step => {
                self.stage = Stage::Resolve { resolution, ran };
                Step::Resolve(step)
            }
        }
    }

    fn fail(&mut self, error: CallerError) -> Step {
        Step::Done(PeerReply::Error(error))
    }

    fn redirect(&self, board: &Board, now: MonoTime) -> PeerReply {
        let better = replica::find_other_replica(
            board,
            self.target.slot,
            self.target.database,
            &self.route,
            self.forward.min_position,
            now,
        );
        let replica = better.map(|database| board.catalog.databases[database].name.clone());
        PeerReply::Redirect(Redirect { replica, ..redirect(board, self.target.slot) })
    }
}

/// Who the slot's primary is, as far as this VM knows.
pub fn redirect(board: &Board, slot: SlotKey) -> Redirect {
    let state = &board.slots[slot];
    let primary = state.primary.map(|database| board.catalog.databases[database].name.clone());
    Redirect { term: state.term, primary, replica: None }
}

fn find_target(board: &Board, forward: &Forward) -> Result<Target, CallerError> {
    let catalog = &board.catalog;
    let find = || {
        let service = catalog.service(forward.service.as_str())?;
        Some(Target {
            workspace: catalog.workspace(forward.workspace.as_str())?,
            route: catalog.route(service, forward.route.as_str())?,
            slot: catalog.slot(service, forward.slot.as_str())?,
            database: catalog.database(forward.database.as_str())?,
        })
    };
    find().ok_or_else(|| {
        let message = "the holder's configuration does not know the route or database yet: try again in a moment";
        CallerError::not_run(ErrorKind::Unavailable, message).with_retry_after(RETRY_AFTER)
    })
}

fn check_access(board: &Board, forward: &Forward, now: MonoTime) -> Result<(), CallerError> {
    match &forward.key {
        Some(key) => check_key(board, key, &forward.workspace, now),
        None => Ok(()),
    }
}
