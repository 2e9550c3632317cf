//! Refusals of what can't be served in time, as soon as that is known.

use model::prelude::*;
use slog::info;

use super::{Engine, STARTUP_PERIOD, Waiter, placement::Requirement, stopping::STOP_IDLE_GRACE};
use crate::{
    admission::class_of,
    contact::Contact,
    effect::{CallerKey, UpstreamKey},
    message::{ErrorCode, Reply},
    pool::{PendingKind, PendingReply, User},
    rates::Queued,
    refusals::RefusalReason,
    session::Stage,
    start,
};

/// Time after which a caller that was refused for lack of contact should try again: by then its session is being
/// closed, or the lease is back.
const NO_CONTACT_RETRY: DurationUs = DurationUs::from_ms(1_000);
/// Delay before a read is placed again that a holder refused because it would start too late; as after another
/// refusal for lack of room.
const LATE_START_RETRY_DELAY: DurationUs = DurationUs::from_ms(40);

impl Engine {
    /// Returns the state of contact of a VM that starts.
    pub(super) fn initial_contact(now: MonoTime) -> Contact {
        Contact::new(now, now + STARTUP_PERIOD)
    }

    /// Counts a refusal of a session's current operation.
    pub(super) fn count_refusal(&mut self, key: CallerKey, reason: RefusalReason) {
        let auth = self.sessions.get(key).and_then(|session| session.authorization.as_ref());
        let priority = auth.map_or(0, |auth| auth.route.priority);
        self.counts.refusals.record(reason, priority);
    }

    /// Refuses the least urgent operation of the workspace that waits for a token, the latest first, where one of
    /// priority `urgency` has taken its place.
    pub(super) fn make_room(&mut self, queued: Queued, workspace: &WorkspaceName, urgency: u32) {
        if queued == Queued::InRoom {
            return;
        }
        let waiting = self.waiting.iter().filter_map(|waiter| {
            let Waiter::Session(key) = *waiter else { return None };
            let session = self.sessions.get(key)?;
            let current = session.current.as_ref().filter(|current| current.needs_token)?;
            let auth = session.authorization.as_ref()?;
            // While waiting statements are being placed, not all of them are in the list.
            let is_less_urgent = class_of(auth.route.priority) > class_of(urgency);
            let is_same = auth.workspace.as_ref() == Some(workspace);
            (is_same && is_less_urgent).then_some((auth.route.priority, current.refuse_at, key))
        });
        let Some((priority, _, key)) = waiting.max() else { return };
        self.rates.cancel(workspace, priority);
        self.counts.rate_limited += 1;
        self.count_refusal(key, RefusalReason::Displaced);
        self.refuse_waiting(key, ErrorCode::TooMany, "rate exceeded by more urgent operations");
    }

    fn refuse_waiting(&mut self, key: CallerKey, code: ErrorCode, reason: &str) {
        self.waiting.retain(|waiter| *waiter != Waiter::Session(key));
        self.fail(key, code, reason);
    }

    /// Follows whether this VM has a lease, and closes idle sessions while it has had none for long.
    pub(super) fn follow_contact(&mut self) {
        if !self.id.policy.rates_by_priority {
            return;
        }
        let now = self.now;
        let refused_before = self.contact.refuses(now);
        let has_lease = self.has_lease();
        let ended_at = self.fleet.lease_until(now).filter(|until| *until <= now);
        self.contact.update(now, has_lease, ended_at);
        if has_lease && self.is_refusing {
            info!(self.log, "in contact with the other VMs again");
        } else if !self.is_refusing && (refused_before || self.contact.refuses(now)) {
            info!(self.log, "refusing what needs a lease"; "sessions" => self.sessions.len());
        }
        self.is_refusing = self.contact.refuses(now);
        let others_acted_at = self.fleet.changed_by_others_at();
        let others_acted_at = others_acted_at.filter(|_| self.fleet.are_most_vms_near_witnesses());
        if !self.contact.closes_session(now, others_acted_at) {
            return;
        }
        let idle = self.sessions.iter().filter(|(_, session)| {
            session.is_idle() && now.since(session.last_active) >= STOP_IDLE_GRACE
        });
        let Some((key, _)) = idle.min_by_key(|(_, session)| session.last_active) else { return };
        info!(self.log, "idle session closed: this VM is out of contact";
            "host" => &*self.sessions[key].host);
        self.close_session(key);
    }

    /// Refuses what needs a lease while this VM has had none for longer than a short interruption. What got a
    /// token of this VM's own share, or can be read without a lease, is served.
    pub(super) fn refuse_out_of_contact(&mut self) {
        if !self.contact.refuses(self.now) || self.has_lease() {
            return;
        }
        // Refusing a statement starts the next one of its session, if that was sent already.
        loop {
            let waiting = self.waiting.iter().filter_map(|waiter| match waiter {
                Waiter::Session(key) if self.awaits_lease(*key) => Some(*key),
                _ => None,
            });
            let waiting: Vec<CallerKey> = waiting.collect();
            if waiting.is_empty() {
                return;
            }
            for key in waiting {
                self.cancel_token(key);
                self.count_refusal(key, RefusalReason::NoContact);
                let text = no_contact_text();
                self.refuse_waiting(key, ErrorCode::Busy, &text);
            }
        }
    }

    /// Whether a session's statement waits for a token or for the primary.
    fn awaits_lease(&self, key: CallerKey) -> bool {
        self.sessions.get(key).is_some_and(|session| {
            let current = session.current.as_ref().filter(|c| c.stage == Stage::Waiting);
            current.is_some_and(|c| c.needs_token || self.requirement(session).is_none())
        })
    }

    /// Ends the wait of a session's operation for a token.
    pub(super) fn cancel_token(&mut self, key: CallerKey) {
        let session = &self.sessions[key];
        let awaits_token = session.current.as_ref().is_some_and(|current| current.needs_token);
        if let Some(auth) = session.authorization.as_ref().filter(|_| awaits_token)
            && let Some(workspace) = &auth.workspace
        {
            self.rates.cancel(workspace, auth.route.priority);
        }
    }

    /// Refuses statements and peers' requests that wait here for a database and would start after their time
    /// limit, by what is before them in the queue. Reads that several databases could serve are left alone.
    pub(super) fn refuse_late_starts(&mut self) {
        if !self.id.policy.rates_by_priority || self.waiting.is_empty() {
            return;
        }
        let now = self.now;
        let mut ahead: FxHashMap<DatabaseName, usize> = FxHashMap::default();
        let mut late: Vec<(Waiter, DurationUs)> = Vec::new();
        // `place_waiting` has sorted them.
        for waiter in &self.waiting {
            let queued = match *waiter {
                Waiter::Session(key) => self.queued_for_primary(key),
                Waiter::Channel(key) => self.queued_channel(key),
            };
            let Some((database, refuse_at)) = queued else { continue };
            let Some(state) = self.databases.get(&database) else { continue };
            let before = ahead.entry(database).or_default();
            let slots = state.record.slots;
            match state.service_time.until_start(now, *before, slots) {
                Some(wait) if now + wait > refuse_at && !self.has_free_slot(state) => {
                    late.push((*waiter, wait));
                }
                _ => *before += 1,
            }
        }
        for (waiter, wait) in late {
            match waiter {
                Waiter::Session(key) => {
                    self.count_refusal(key, RefusalReason::LateStart);
                    self.refuse_waiting(key, ErrorCode::Busy, &start::refusal_text(wait));
                }
                Waiter::Channel(key) => self.refuse_late_channel(key, wait),
            }
        }
    }

    /// Records how long a database took for a statement over an own connection.
    pub(super) fn record_service_time(&mut self, key: UpstreamKey, done: &PendingReply) {
        let connection = &self.pool.connections[key];
        if connection.link.is_some()
            || done.kind != PendingKind::Statement
            || !matches!(done.outcome, Some(Reply::Complete { .. }))
        {
            return;
        }
        let took = self.now.since(done.sent_at);
        if let Some(state) = self.databases.get_mut(&connection.database) {
            state.service_time.record(self.now, took);
        }
    }

    /// Returns the primary over whose own connections a session's waiting statement has to run, and when the
    /// statement is refused.
    fn queued_for_primary(&self, key: CallerKey) -> Option<(DatabaseName, MonoTime)> {
        let session = self.sessions.get(key)?;
        let current = session.current.as_ref()?;
        if current.needs_token || self.requirement(session) != Some(Requirement::Primary) {
            return None;
        }
        let service = self.services.get(&session.authorization.as_ref()?.route.service)?;
        let primary = service.primary.as_ref()?;
        self.runs_over_own_connections(primary).then(|| (primary.clone(), current.refuse_at))
    }

    /// Handles a holder's refusal of a request that would start too late and was not sent to the database.
    pub(super) fn handle_late_start(&mut self, key: UpstreamKey, text: &str) {
        let connection = &mut self.pool.connections[key];
        let user = connection.user;
        connection.pending.pop_front();
        self.free(key);
        self.counts.holder_refusals += 1;
        let Some(User::Session(caller)) = user else { return };
        let Some(session) = self.sessions.get_mut(caller) else { return };
        let Some(current) = session.current.as_mut() else { return };
        current.retry_at = self.now + LATE_START_RETRY_DELAY;
        match self.requirement(&self.sessions[caller]) {
            // Another database may have room, or another primary may follow.
            Some(Requirement::AtLeast(_)) | None => self.requeue(caller),
            Some(Requirement::Primary) => {
                self.count_refusal(caller, RefusalReason::LateStart);
                self.fail(caller, ErrorCode::Busy, text);
            }
        }
    }
}

/// Returns the text for a caller of a VM without a lease.
pub(super) fn no_contact_text() -> String {
    format!("not in contact with the other VMs; retry after {} ms", NO_CONTACT_RETRY.as_ms())
}
