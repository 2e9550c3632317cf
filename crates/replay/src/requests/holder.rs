//! The simulated holder: runs the state machines of a holder VM and carries out the steps that they ask
//! for, with the faults of the trace.

use board::DatabaseKey;
use model::prelude::*;
use proto::{
    database::Execute,
    peer::{Answer, Forward, PeerReply},
};
use route::{
    dispatch::{self, HolderCall},
    errors,
    execution::{Event, Execution, Step},
    outcome::{self, Resolution, WriteOutcome},
};

use super::{Database, Fault, World};

const CONNECT_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
const CONFIRM_INTERVAL: DurationUs = DurationUs::from_ms(10);

impl World {
    /// Runs a request at its holder, and returns the event for the entry VM: the holder's reply, or the
    /// loss of it.
    pub(super) fn run_at_holder(
        &mut self,
        holder: &VmName,
        forward: &Forward,
        until: MonoTime,
    ) -> dispatch::Event {
        let killed = || dispatch::Event::Lost("the holder was killed".to_owned());
        if self.faults.first() == Some(&Fault::KillHolderBefore) {
            self.faults.remove(0);
            self.killed_vms.insert(holder.clone());
            return killed();
        }
        let (mut execution, mut step) =
            match Execution::start(self.board(holder.as_str()), forward, self.now) {
                Ok(started) => started,
                Err(reply) => return dispatch::Event::Reply(reply),
            };
        loop {
            if self.now > until {
                return dispatch::Event::Lost("no reply in time".to_owned());
            }
            let database = execution.target().database;
            let event = match step {
                Step::Done(reply) => return dispatch::Event::Reply(reply),
                Step::Execute { access, term, until } => {
                    let message = message(forward, access, term);
                    let fault = (!self.faults.is_empty()).then(|| self.faults.remove(0));
                    let event = self.execute(holder, database, message, fault, until);
                    if fault == Some(Fault::KillHolderAfter) {
                        self.killed_vms.insert(holder.clone());
                        return killed();
                    }
                    event
                }
                step => {
                    let deadline = execution.deadline();
                    self.carry_out(holder, database, forward.request_id, step, deadline)
                }
            };
            step = execution.handle(self.board(holder.as_str()), event, self.now);
        }
    }

    /// Determines at the holder the outcome of a write whose reply was lost, for the entry VM.
    pub(super) fn resolve(&mut self, call: &HolderCall) -> PeerReply {
        let holder = &call.holder;
        let deadline = call.until;
        let digest = self.board(holder.as_str()).catalog.slots[board::SlotKey::from(0)].digest;
        let mut resolution = Resolution::new(digest, deadline);
        let mut step = resolution.start(self.board(holder.as_str()), self.now);
        loop {
            let event = match step {
                outcome::Step::Done(WriteOutcome::Committed(executed)) => {
                    return PeerReply::Answer(Answer {
                        result: executed.result,
                        position: executed.position,
                        from_replica: false,
                        resets_session: false,
                    });
                }
                outcome::Step::Done(WriteOutcome::Cancelled) => {
                    return PeerReply::Error(errors::write_cancelled());
                }
                outcome::Step::Done(WriteOutcome::Unknown) => {
                    return PeerReply::Error(errors::outcome_unknown());
                }
                step => self.resolve_step(holder, call.request_id, step, deadline),
            };
            step = resolution.handle(self.board(holder.as_str()), event, self.now);
        }
    }

    fn execute(
        &mut self,
        holder: &VmName,
        database: DatabaseKey,
        message: Execute,
        fault: Option<Fault>,
        until: MonoTime,
    ) -> Event {
        let lost = || Event::Lost("no answer".to_owned());
        let reached = self.reaches(holder.as_str(), database);
        let at = &mut self.databases[usize::from(database)];
        if !reached || fault == Some(Fault::HoldBack) {
            at.held_back.push(message);
            self.advance_to(until);
            return lost();
        }
        if fault == Some(Fault::Refuse) {
            return Event::NotSent;
        }
        let result = at.execute(&message);
        match fault {
            Some(Fault::LoseAnswer) => lost(),
            Some(Fault::CutPrimaryAfter) => {
                at.cut = true;
                Event::Executed(result)
            }
            _ => Event::Executed(result),
        }
    }

    fn carry_out(
        &mut self,
        holder: &VmName,
        database: DatabaseKey,
        request_id: RequestId,
        step: Step,
        deadline: MonoTime,
    ) -> Event {
        match step {
            Step::Verify { term, until } => {
                Event::Confirmed(self.confirm(holder, database, Position::ZERO, term, until))
            }
            Step::CatchUp { position, wait, .. } => {
                self.advance_to(self.now + wait);
                let at = &self.databases[usize::from(database)];
                let reached = self.reaches(holder.as_str(), database);
                Event::Confirmed(reached && at.position() >= position)
            }
            Step::Connect if !self.reaches(holder.as_str(), database) => {
                self.advance_to(deadline.min(self.now + CONNECT_TIMEOUT));
                Event::Connected(Err(errors::unavailable()))
            }
            Step::Connect => Event::Connected(Ok(())),
            Step::Confirm { executed, until } => Event::Confirmed(self.confirm(
                holder,
                database,
                executed.position,
                executed.term,
                until,
            )),
            Step::Resolve(step) => {
                Event::Outcome(self.resolve_step(holder, request_id, step, deadline))
            }
            Step::Admit | Step::Execute { .. } | Step::Done(_) => Event::Admitted(Ok(())),
        }
    }

    fn resolve_step(
        &mut self,
        holder: &VmName,
        request_id: RequestId,
        step: outcome::Step,
        deadline: MonoTime,
    ) -> outcome::Event {
        match step {
            outcome::Step::Query { database, term } => {
                if !self.reaches(holder.as_str(), database) {
                    self.advance_to(deadline.min(self.now + CONNECT_TIMEOUT));
                    return outcome::Event::QueryAnswered(None);
                }
                let catalog = self.board(holder.as_str()).catalog.clone();
                let slot = &catalog.slots[board::SlotKey::from(0)];
                let service = &catalog.services[slot.service].name;
                let at = &mut self.databases[usize::from(database)];
                outcome::Event::QueryAnswered(Some(
                    at.outcome(request_id, term, service, &slot.name),
                ))
            }
            outcome::Step::Confirm { database, position, term } => {
                outcome::Event::Confirmed(self.confirm(holder, database, position, term, deadline))
            }
            outcome::Step::Pause(span) => {
                self.advance_to(self.now + span);
                outcome::Event::Resumed
            }
            outcome::Step::Done(_) => outcome::Event::Resumed,
        }
    }

    /// Returns whether, before `until`, the holder learns that one of the two other members holds the
    /// position and granted no higher term. With the primary that is a majority.
    fn confirm(
        &mut self,
        holder: &VmName,
        primary: DatabaseKey,
        position: Position,
        term: Term,
        until: MonoTime,
    ) -> bool {
        let keys: Vec<DatabaseKey> = (0..self.databases.len()).map(DatabaseKey::from).collect();
        loop {
            let others = keys.iter().filter(|key| **key != primary);
            let reached: Vec<&Database> = others
                .filter(|key| self.reaches(holder.as_str(), **key))
                .map(|key| &self.databases[usize::from(*key)])
                .collect();
            if reached.iter().any(|d| d.granted <= term && d.holds(position)) {
                return true;
            }
            let refused = reached.len() == 2 && reached.iter().all(|d| d.granted > term);
            if refused || self.now >= until {
                return false;
            }
            self.advance_to(until.min(self.now + CONFIRM_INTERVAL));
        }
    }
}

fn message(forward: &Forward, access: proto::database::Access, term: Term) -> Execute {
    Execute {
        service: forward.service.clone(),
        slot: forward.slot.clone(),
        term,
        request_id: forward.request_id,
        fingerprint: forward.fingerprint,
        access,
        statement: forward.statement.clone(),
        params: Vec::new(),
        in_transaction: false,
    }
}
