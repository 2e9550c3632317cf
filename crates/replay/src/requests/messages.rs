//! What becomes of the messages that holders send.

use board::DatabaseKey;
use model::prelude::*;
use proto::{
    database::Execute,
    peer::{Answer, Forward, PeerReply},
};
use route::{
    attempt,
    execution::{Event, Execution, Step},
    outcome::{self, Resolution, Verdict},
    refusal,
};

use super::{Fault, World};

const CONNECT_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
const POLL_INTERVAL: DurationUs = DurationUs::from_ms(10);

impl World {
    /// The holder's part of a request.
    pub(super) fn hold(
        &mut self,
        holder: &VmName,
        forward: &Forward,
        until: MonoTime,
    ) -> attempt::Event {
        let killed = || attempt::Event::Lost("the holder was killed".to_owned());
        if self.faults.first() == Some(&Fault::KillHolderBefore) {
            self.faults.remove(0);
            self.dead.insert(holder.clone());
            return killed();
        }
        let (mut execution, mut step) = match Execution::start(&self.board, forward, self.now) {
            Ok(started) => started,
            Err(reply) => return attempt::Event::Reply(reply),
        };
        loop {
            if self.now > until {
                return attempt::Event::Lost("no reply in time".to_owned());
            }
            let database = execution.target().database;
            let event = match step {
                Step::Done(reply) => return attempt::Event::Reply(reply),
                Step::Execute { access, term, until } => {
                    let message = message(forward, access, term);
                    let fault = (!self.faults.is_empty()).then(|| self.faults.remove(0));
                    let event = self.execute(database, message, fault, until);
                    if fault == Some(Fault::KillHolderAfter) {
                        self.dead.insert(holder.clone());
                        return killed();
                    }
                    event
                }
                step => self.carry_out(database, forward.request_id, step, execution.deadline()),
            };
            step = execution.handle(&self.board, event, self.now);
        }
    }

    /// Answers an entry VM that asks what became of a write.
    pub(super) fn resolve(&mut self, request_id: RequestId, deadline: MonoTime) -> PeerReply {
        let digest = self.board.catalog.slots[board::SlotKey::from(0)].digest;
        let mut resolution = Resolution::new(digest, deadline);
        let mut step = resolution.start(&self.board, self.now);
        loop {
            let event = match step {
                outcome::Step::Done(Verdict::Committed(executed)) => {
                    return PeerReply::Answer(Answer {
                        result: executed.result,
                        position: executed.position,
                        from_replica: false,
                        resets_session: false,
                    });
                }
                outcome::Step::Done(Verdict::Cancelled) => {
                    return PeerReply::Error(refusal::cancelled());
                }
                outcome::Step::Done(Verdict::Unknown) => {
                    return PeerReply::Error(refusal::unresolved());
                }
                step => self.resolve_step(request_id, step, deadline),
            };
            step = resolution.handle(&self.board, event, self.now);
        }
    }

    fn execute(
        &mut self,
        database: DatabaseKey,
        message: Execute,
        fault: Option<Fault>,
        until: MonoTime,
    ) -> Event {
        let lost = || Event::Lost("no answer".to_owned());
        let at = &mut self.databases[usize::from(database)];
        if at.cut || fault == Some(Fault::HoldBack) {
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
        database: DatabaseKey,
        request_id: RequestId,
        step: Step,
        deadline: MonoTime,
    ) -> Event {
        match step {
            Step::Verify { term, until } => {
                Event::Confirmed(self.confirm(database, Position::ZERO, term, until))
            }
            Step::CatchUp { position, wait, .. } => {
                self.advance_to(self.now + wait);
                let at = &self.databases[usize::from(database)];
                Event::Confirmed(!at.cut && at.position() >= position)
            }
            Step::Connect if self.databases[usize::from(database)].cut => {
                self.advance_to(deadline.min(self.now + CONNECT_TIMEOUT));
                Event::Connected(Err(refusal::unavailable()))
            }
            Step::Connect => Event::Connected(Ok(())),
            Step::Confirm { executed, until } => {
                Event::Confirmed(self.confirm(database, executed.position, executed.term, until))
            }
            Step::Resolve(step) => Event::Outcome(self.resolve_step(request_id, step, deadline)),
            Step::Admit | Step::Execute { .. } | Step::Done(_) => Event::Admitted(Ok(())),
        }
    }

    fn resolve_step(
        &mut self,
        request_id: RequestId,
        step: outcome::Step,
        deadline: MonoTime,
    ) -> outcome::Event {
        match step {
            outcome::Step::Ask { database, term } => {
                if self.databases[usize::from(database)].cut {
                    self.advance_to(deadline.min(self.now + CONNECT_TIMEOUT));
                    return outcome::Event::Asked(None);
                }
                let catalog = self.board.catalog.clone();
                let slot = &catalog.slots[board::SlotKey::from(0)];
                let service = &catalog.services[slot.service].name;
                let at = &mut self.databases[usize::from(database)];
                outcome::Event::Asked(Some(at.outcome(request_id, term, service, &slot.name)))
            }
            outcome::Step::Confirm { database, position, term } => {
                outcome::Event::Confirmed(self.confirm(database, position, term, deadline))
            }
            outcome::Step::Pause(span) => {
                self.advance_to(self.now + span);
                outcome::Event::Resumed
            }
            outcome::Step::Done(_) => outcome::Event::Resumed,
        }
    }

    /// Whether, before `until`, one more member of three holds the position under the term.
    fn confirm(
        &mut self,
        primary: DatabaseKey,
        position: Position,
        term: Term,
        until: MonoTime,
    ) -> bool {
        loop {
            let primary = &self.databases[usize::from(primary)].name;
            let others = || self.databases.iter().filter(|d| d.name != *primary);
            if others().any(|d| !d.cut && d.granted <= term && d.holds(position)) {
                return true;
            }
            if others().all(|d| d.granted > term) || self.now >= until {
                return false;
            }
            self.advance_to(until.min(self.now + POLL_INTERVAL));
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
