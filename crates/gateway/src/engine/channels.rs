//! Channels of peers: as a holder, this VM finds a connection for each of their requests.
//!
//! A channel has its own session variables and prepared statements, and occupies a connection while a
//! request runs or a transaction is open. What runs where was decided by the peer; this VM refuses a
//! request only as long as it has not sent it to the database, and passes answers on as they are.

use model::prelude::*;
use slog::info;
use slotmap::{SlotMap, new_key_type};

use super::{
    DatabaseState, Engine, Waiter,
    links::LinkRole,
    placement::{ConnectionChoice, FailedSearches},
    stopping::STOPPING,
};
use crate::{
    effect::{LinkKey, UpstreamKey},
    link::{ChannelNumber, LinkMessage, Refusal},
    message::{
        ErrorCode, ForwardedStatement, PreparedKey, PreparedStatement, Reply, TransactionState,
        UpstreamRequest,
    },
    pool::{PendingKind, PendingReply, Purpose, User},
    queue,
    session::SessionVariables,
    start,
};

new_key_type! {
    /// Key of a peer's channel.
    pub(crate) struct ChannelKey;
}

/// Longest time that a request waits for a connection. After that, the peer decides again: another
/// database may have room.
const WAIT_MAX: DurationUs = DurationUs::from_ms(500);
/// Delay before a request is sent again that the database refused as busy.
const BUSY_RETRY_DELAY: DurationUs = DurationUs::from_ms(15);
/// Longest time without a message to a peer that waits for answers.
const ALIVE_INTERVAL: DurationUs = DurationUs::from_ms(150);

/// Reason for the end of transactions at databases that must not get any more.
const EVACUATED: &str = "the database's data centre is being evacuated";

/// Reason for the end of transactions whose next request waited for too long.
const NO_ROOM: &str = "the database had no room in time";

/// A peer's channel.
#[derive(Debug)]
pub(super) struct Channel {
    link: LinkKey,
    number: ChannelNumber,
    database: DatabaseName,
    workspace: Option<WorkspaceName>,
    variables: SessionVariables,
    /// Prepared statements by the peer's key.
    prepared: FxHashMap<PreparedKey, PreparedStatement>,
    /// The connection that it occupies.
    upstream: Option<UpstreamKey>,
    /// The request that the peer awaits a reply to.
    current: Option<ChannelRequest>,
    /// Whether its transaction was rolled back here, of which the peer is told with its next statement.
    is_aborted: bool,
}

/// A request of a peer in progress.
#[derive(Clone, Debug)]
struct ChannelRequest {
    request: UpstreamRequest,
    priority: u32,
    arrived: MonoTime,
    /// When the caller's VM refuses the statement, if the request has not been sent by then.
    refuse_at: MonoTime,
    /// Earliest time at which it is sent again.
    retry_at: MonoTime,
    /// Whether it was sent to the database.
    sent: bool,
    /// Whether it is part of a transaction that is open on the channel's connection.
    in_transaction: bool,
    /// Whether it was counted as held back by the limit of a cold database.
    held_back: bool,
}

/// All channels of peers.
#[derive(Debug, Default)]
pub(super) struct Channels {
    all: SlotMap<ChannelKey, Channel>,
    by_number: FxHashMap<(LinkKey, ChannelNumber), ChannelKey>,
}

impl Channels {
    /// Number of channels.
    pub(super) fn count(&self) -> usize {
        self.all.len()
    }

    /// Whether a channel's request waits for a slot of the database.
    pub(super) fn waits_for(&self, key: ChannelKey, database: &DatabaseName) -> bool {
        self.all.get(key).is_some_and(|channel| {
            channel.database == *database
                && channel.upstream.is_none()
                && channel.current.as_ref().is_some_and(|current| !current.sent)
        })
    }

    /// Whether no request is in progress and no transaction is open.
    pub(super) fn are_idle(&self) -> bool {
        self.all.values().all(|c| c.current.is_none() && c.upstream.is_none())
    }

    /// Marks a waiting request as held back if its database is among those that are cold and `full`. Returns whether
    /// it was not marked before.
    pub(super) fn mark_held_back(
        &mut self,
        key: ChannelKey,
        full: &[(DatabaseName, ServiceName)],
    ) -> bool {
        let Some(channel) = self.all.get_mut(key) else { return false };
        let Some(current) = &mut channel.current else { return false };
        let waits = full.iter().any(|(database, _)| *database == channel.database);
        waits && !std::mem::replace(&mut current.held_back, true)
    }

    /// Whether a waiting request only reads and names the position that a database must have reached.
    pub(super) fn is_read_of_position(&self, key: ChannelKey) -> bool {
        let current = self.all.get(key).and_then(|channel| channel.current.as_ref());
        current.is_some_and(|current| {
            matches!(
                current.request,
                UpstreamRequest::Begin { after: Some(_), .. }
                    | UpstreamRequest::Forward { after: Some(_), .. }
            )
        })
    }
}

impl Engine {
    /// Handles a message of a peer that uses this VM's connections.
    pub(super) fn handle_channel_message(&mut self, link: LinkKey, message: LinkMessage) {
        match message {
            LinkMessage::Open { channel: number, workspace, database } => {
                let channel = Channel {
                    link,
                    number,
                    database,
                    workspace,
                    variables: SessionVariables::new(),
                    prepared: FxHashMap::default(),
                    upstream: None,
                    current: None,
                    is_aborted: false,
                };
                let key = self.channels.all.insert(channel);
                self.channels.by_number.insert((link, number), key);
            }
            LinkMessage::Request { channel, priority, wait, request } => {
                let key = self.channels.by_number.get(&(link, channel)).copied();
                match key {
                    Some(key) => self.handle_channel_request(key, priority, wait, request),
                    // Lost meanwhile, which the peer has been told.
                    None => info!(self.log, "request on an unknown channel"; "channel" => channel),
                }
            }
            LinkMessage::Close { channel } => {
                if let Some(key) = self.channels.by_number.get(&(link, channel)).copied() {
                    self.close_channel(key);
                }
            }
            LinkMessage::Replies { .. }
            | LinkMessage::Refused { .. }
            | LinkMessage::Lost { .. }
            | LinkMessage::Silent { .. }
            | LinkMessage::Alive
            | LinkMessage::Load { .. }
            | LinkMessage::Leaving => {
                info!(self.log, "message that only a holder sends"; "message" => ?message);
            }
        }
    }

    fn handle_channel_request(
        &mut self,
        key: ChannelKey,
        priority: u32,
        wait: DurationUs,
        request: UpstreamRequest,
    ) {
        let now = self.now;
        let channel = &mut self.channels.all[key];
        match request {
            UpstreamRequest::Set { name, value } => drop(channel.variables.insert(name, value)),
            UpstreamRequest::Prepare { key, statement } => {
                channel.prepared.insert(key, statement);
            }
            UpstreamRequest::Reset => {
                channel.variables.clear();
                channel.prepared.clear();
            }
            UpstreamRequest::Rollback => {
                channel.is_aborted = false;
                if let Some(upstream) = channel.upstream.take() {
                    self.roll_back(upstream);
                }
            }
            UpstreamRequest::Begin { .. } | UpstreamRequest::Forward { .. }
                if channel.current.is_some() =>
            {
                info!(self.log, "request on a channel that has one in progress");
                self.end_channel(key);
            }
            UpstreamRequest::Begin { .. } | UpstreamRequest::Forward { .. } => {
                channel.is_aborted &= !matches!(request, UpstreamRequest::Begin { .. });
                channel.current = Some(ChannelRequest {
                    request,
                    priority,
                    arrived: now,
                    refuse_at: now + wait,
                    retry_at: now,
                    sent: false,
                    in_transaction: channel.upstream.is_some(),
                    held_back: false,
                });
                match channel.upstream {
                    Some(upstream) => self.start_channel_on(key, upstream),
                    None if channel.is_aborted => {
                        self.answer_aborted(key, "by the VM that holds its connection")
                    }
                    None => self.waiting.push(Waiter::Channel(key)),
                }
            }
            UpstreamRequest::Start { .. }
            | UpstreamRequest::Status
            | UpstreamRequest::Pause(_)
            | UpstreamRequest::Resume
            | UpstreamRequest::Demote(_) => {
                info!(self.log, "request not allowed on a channel"; "request" => ?request);
                self.end_channel(key);
            }
        }
    }

    /// Returns the sort key of a channel's waiting request.
    pub(super) fn channel_order(&self, key: ChannelKey) -> (u32, MonoTime) {
        let current = self.channels.all.get(key).and_then(|c| c.current.as_ref());
        match current {
            Some(current) if current.in_transaction => queue::IN_TRANSACTION,
            Some(current) => queue::sort_key(current.priority, current.refuse_at),
            None => (u32::MAX, self.now),
        }
    }

    /// Tries to place a channel's waiting request. Returns whether it no longer waits.
    pub(super) fn try_place_channel(
        &mut self,
        key: ChannelKey,
        may_open: bool,
        failures: &mut FailedSearches,
    ) -> bool {
        let now = self.now;
        let Some(channel) = self.channels.all.get(key) else { return true };
        let Some(current) = channel.current.as_ref().filter(|c| !c.sent) else { return true };
        if channel.upstream.is_none() && current.in_transaction {
            // Its transaction has ended, so it must not run on another connection.
            self.answer_aborted(key, "its connection was lost");
            return true;
        }
        if let Some(upstream) = channel.upstream {
            return !current.in_transaction
                || self.withhold_at_stop(key, upstream)
                || self.resume_channel(key, upstream);
        }
        if self.returns_to_peer(key, &channel.database) {
            self.counts.cold_held_back += 1;
            self.refuse_channel_request(key, Refusal::NoRoom);
            return true;
        }
        let Some(channel) = self.channels.all.get(key) else { return true };
        let Some(current) = channel.current.as_ref() else { return true };
        if self.is_ending() {
            self.refuse_channel_request(key, Refusal::NotHolder);
            return true;
        }
        let (state, limit) = match self.accepting_database(channel, current) {
            Ok(accepting) => accepting,
            Err(reason) => {
                self.refuse_channel_request(key, reason);
                return true;
            }
        };
        let (waited, retry_at) = (now.since(current.arrived), current.retry_at);
        if failures.is_full(&channel.database) {
            return false;
        }
        if !self.has_free_slot(state) {
            failures.add_full(channel.database.clone());
            return false;
        }
        let (database, workspace) = (channel.database.clone(), channel.workspace.clone());
        let begins = matches!(current.request, UpstreamRequest::Begin { .. });
        if self.is_cold_full(&database) || (begins && self.defers_begin(&database)) {
            return false;
        }
        if retry_at > now || failures.rules_out_channel(&database, &workspace, waited) {
            return false;
        }
        let prepared = self.channel_prepared(key).map(|(key, _)| key);
        let channel = &self.channels.all[key];
        let state = &self.databases[&database];
        self.counts.searches += 1;
        let choice = self.choose_own_connection(
            state,
            &workspace,
            &channel.variables,
            prepared,
            waited,
            limit,
        );
        let usable =
            choice.filter(|choice| may_open || matches!(choice, ConnectionChoice::Reuse(_)));
        let upstream = match usable {
            Some(ConnectionChoice::Reuse(upstream)) => {
                self.occupy(key, upstream);
                self.start_channel_on(key, upstream);
                return true;
            }
            Some(ConnectionChoice::Open) => self.open(&database, Purpose::Statements(workspace)),
            Some(ConnectionChoice::Evict(other)) => {
                self.close_connection(other);
                self.open(&database, Purpose::Statements(workspace))
            }
            Some(ConnectionChoice::Channel(_)) | None => {
                if !self.has_cold_databases() {
                    failures.add_channel(database, workspace, waited);
                }
                return false;
            }
        };
        self.occupy(key, upstream);
        true
    }

    /// Sends a request that waits in an open transaction, if the database may get it now. Returns whether it no longer
    /// waits; the transaction ends once it has waited for too long.
    fn resume_channel(&mut self, key: ChannelKey, upstream: UpstreamKey) -> bool {
        let refuse_at = self.channels.all[key].current.as_ref().map(|current| current.refuse_at);
        if refuse_at.is_some_and(|at| self.now >= at) {
            self.abort_channel_transaction(key, NO_ROOM);
            self.answer_aborted(key, NO_ROOM);
            return true;
        }
        let prepared = self.channel_prepared(key).map(|(key, _)| key);
        if !self.has_cold_room(upstream, &self.channels.all[key].variables, prepared) {
            return false;
        }
        self.start_channel_on(key, upstream);
        true
    }

    /// Returns the database of a waiting request, and how many connections this VM may open to it; or why the
    /// request is to be refused.
    fn accepting_database(
        &self,
        channel: &Channel,
        current: &ChannelRequest,
    ) -> Result<(&DatabaseState, usize), Refusal> {
        let state = self.databases.get(&channel.database).ok_or(Refusal::NotHolder)?;
        let limit = self.own_share(state).ok_or(Refusal::NotHolder)?;
        let waited = self.now.since(current.arrived);
        if state.failing_since.is_some() || !self.admits_operations(state) {
            Err(Refusal::Suspected)
        } else if self.now >= current.refuse_at || waited >= WAIT_MAX {
            Err(Refusal::NoRoom)
        } else {
            Ok((state, limit))
        }
    }

    /// Assigns a connection to a channel.
    fn occupy(&mut self, key: ChannelKey, upstream: UpstreamKey) {
        self.pool.connections[upstream].user = Some(User::Channel(key));
        self.channels.all[key].upstream = Some(upstream);
    }

    /// Returns the prepared statement that a channel's request executes, with this VM's key for it.
    fn channel_prepared(&mut self, key: ChannelKey) -> Option<(PreparedKey, PreparedStatement)> {
        let channel = &self.channels.all[key];
        let UpstreamRequest::Forward { statement, .. } = &channel.current.as_ref()?.request else {
            return None;
        };
        let ForwardedStatement::Execute { key, .. } = statement else { return None };
        let prepared = channel.prepared.get(key)?.clone();
        Some((self.pool.prepared_key(&prepared), prepared))
    }

    /// Sends a channel's request on the connection that it occupies, once that is prepared for it.
    pub(super) fn start_channel_on(&mut self, key: ChannelKey, upstream: UpstreamKey) {
        if !self.channels.all.contains_key(key) {
            return self.free(upstream);
        }
        if self.withhold_evacuated(key, upstream) || self.withhold_at_stop(key, upstream) {
            return;
        }
        let prepared = self.channel_prepared(key);
        let channel = &self.channels.all[key];
        let prepared_key = prepared.as_ref().map(|(key, _)| *key);
        let has_room = self.has_cold_room(upstream, &channel.variables, prepared_key);
        let channel = self.channels.all.get_mut(key);
        let Some(channel) = channel.filter(|channel| channel.upstream == Some(upstream)) else {
            return self.free(upstream);
        };
        let Some(current) = channel.current.as_mut() else {
            channel.upstream = None;
            return self.free(upstream);
        };
        if !has_room {
            if !current.in_transaction {
                channel.upstream = None;
                self.free(upstream);
            }
            return self.waiting.push(Waiter::Channel(key));
        }
        let in_transaction = current.in_transaction;
        let mut request = current.request.clone();
        if let UpstreamRequest::Forward { statement, .. } = &mut request
            && let ForwardedStatement::Execute { key: number, .. } = statement
        {
            match &prepared {
                Some((own, _)) => *number = *own,
                None => return self.end_channel(key),
            }
        }
        let connection = &self.pool.connections[upstream];
        let setup = connection.preparation(&channel.variables, prepared.as_ref());
        if self.send_preparation(upstream, setup) {
            return;
        }
        if !in_transaction && !self.has_slot_for(upstream) {
            self.channels.all[key].upstream = None;
            self.free(upstream);
            return self.waiting.push(Waiter::Channel(key));
        }
        if let Some(current) = &mut self.channels.all[key].current {
            current.sent = true;
        }
        let kind = match request {
            UpstreamRequest::Begin { .. } => PendingKind::Begin,
            _ => PendingKind::Statement,
        };
        self.pool.connections[upstream].in_transaction |= kind == PendingKind::Begin;
        self.send(upstream, kind, request);
    }

    /// Passes the database's answer to a channel's request on to the peer.
    pub(super) fn finish_channel_request(
        &mut self,
        key: ChannelKey,
        upstream: UpstreamKey,
        done: PendingReply,
        state: TransactionState,
        position: Option<Position>,
    ) {
        let now = self.now;
        let Some(channel) = self.channels.all.get_mut(key) else { return };
        let Some(current) = channel.current.take() else { return };
        let code = match &done.outcome {
            Some(Reply::Error { code, .. }) => Some(*code),
            _ => None,
        };
        if state == TransactionState::Idle {
            channel.upstream = None;
        }
        let again = now + BUSY_RETRY_DELAY;
        let in_time = again < current.refuse_at && now.since(current.arrived) < WAIT_MAX;
        let mut replied = None;
        let retries = code == Some(ErrorCode::Busy) && state == TransactionState::Idle && in_time;
        if retries {
            channel.current = Some(ChannelRequest {
                retry_at: again,
                sent: false,
                in_transaction: false,
                ..current
            });
            self.counts.retries += 1;
            self.waiting.push(Waiter::Channel(key));
        } else {
            let (link, number) = (channel.link, channel.number);
            replied = Some((link, channel.database.clone()));
            let mut replies = done.rows;
            replies.extend(done.outcome);
            replies.push(Reply::Ready { state, position });
            self.send_on_link(link, LinkMessage::Replies { channel: number, replies });
        }
        if code == Some(ErrorCode::NoSuchStatement) {
            self.pool.connections[upstream].state_unknown = true;
        }
        if state == TransactionState::Idle {
            self.free(upstream);
        }
        if let Some((link, database)) = replied {
            self.report_load(link, &database);
        }
        let is_open = self.channels.all.get(key).is_some_and(|channel| channel.upstream.is_some());
        if is_open && self.is_ending() {
            self.abort_channel_transaction(key, STOPPING);
        }
    }

    fn refuse_channel_request(&mut self, key: ChannelKey, reason: Refusal) {
        let channel = &mut self.channels.all[key];
        channel.current = None;
        let (link, number) = (channel.link, channel.number);
        self.counts.channel_refusals += 1;
        self.send_on_link(link, LinkMessage::Refused { channel: number, reason });
    }

    /// Refuses a peer's request, or rolls its transaction back, if it must not be sent over the connection because
    /// of an evacuation. Returns whether it did.
    fn withhold_evacuated(&mut self, key: ChannelKey, upstream: UpstreamKey) -> bool {
        let Some(connection) = self.pool.connections.get(upstream) else { return false };
        let Some(state) = self.databases.get(&connection.database) else { return false };
        let has_request = self.channels.all.get(key).is_some_and(|c| c.current.is_some());
        if !has_request {
            return false;
        }
        if connection.in_transaction {
            if self.admits_next_statement(upstream) {
                return false;
            }
            self.counts.evacuation_aborts += 1;
            self.abort_channel_transaction(key, EVACUATED);
            self.answer_aborted(key, EVACUATED);
        } else {
            if self.admits_operations(state) {
                return false;
            }
            self.channels.all[key].upstream = None;
            self.free(upstream);
            self.refuse_channel_request(key, Refusal::Suspected);
        }
        true
    }

    /// Rolls back open transactions of peers without a request in progress, at databases that must not get any
    /// more because of an evacuation.
    pub(super) fn abort_evacuated_channels(&mut self) {
        let open = self.channels.all.iter().filter(|(_, channel)| {
            let upstream = channel.upstream.filter(|_| channel.current.is_none());
            upstream.is_some_and(|upstream| !self.admits_next_statement(upstream))
        });
        let open: Vec<ChannelKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.counts.evacuation_aborts += 1;
            self.abort_channel_transaction(key, EVACUATED);
        }
    }

    /// Rolls back a channel's transaction by closing its connection.
    fn abort_channel_transaction(&mut self, key: ChannelKey, reason: &str) {
        let channel = &mut self.channels.all[key];
        channel.is_aborted = true;
        let Some(upstream) = channel.upstream.take() else { return };
        info!(self.log, "transaction of a peer rolled back";
            "reason" => reason, "database" => %channel.database);
        self.close_connection(upstream);
    }

    /// Answers a channel's request, which is not sent, as the database answers after it has rolled back. Unlike the
    /// end of the channel, this also tells of a commit that it was not executed.
    fn answer_aborted(&mut self, key: ChannelKey, reason: &str) {
        let channel = &mut self.channels.all[key];
        channel.is_aborted = false;
        channel.current = None;
        let (link, number) = (channel.link, channel.number);
        let text = format!("rolled back: {reason}").into();
        let replies = vec![
            Reply::Error { code: ErrorCode::Aborted, text },
            Reply::Ready { state: TransactionState::Idle, position: None },
        ];
        self.send_on_link(link, LinkMessage::Replies { channel: number, replies });
    }

    /// Returns the database that a channel's request waits for, and when the request is refused.
    pub(super) fn queued_channel(&self, key: ChannelKey) -> Option<(DatabaseName, MonoTime)> {
        let channel = self.channels.all.get(key).filter(|channel| channel.upstream.is_none())?;
        let current = channel.current.as_ref().filter(|current| !current.sent)?;
        Some((channel.database.clone(), current.refuse_at))
    }

    /// Refuses a waiting request that would start too late.
    pub(super) fn refuse_late_channel(&mut self, key: ChannelKey, wait: DurationUs) {
        let channel = &mut self.channels.all[key];
        channel.current = None;
        let (link, number) = (channel.link, channel.number);
        self.waiting.retain(|waiter| *waiter != Waiter::Channel(key));
        self.counts.channel_refusals += 1;
        let replies = start::refusal(wait);
        self.send_on_link(link, LinkMessage::Replies { channel: number, replies });
    }

    /// Returns requests that wait for databases of a service to their peers, because its primary has changed.
    pub(super) fn return_waiting_requests(&mut self, service: &ServiceName) {
        let waiting = self.channels.all.iter().filter(|(_, channel)| {
            let state = self.databases.get(&channel.database);
            channel.current.as_ref().is_some_and(|current| !current.sent)
                && channel.upstream.is_none()
                && state.is_some_and(|state| state.record.service == *service)
        });
        let waiting: Vec<ChannelKey> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.refuse_channel_request(key, Refusal::NoRoom);
        }
    }

    /// Has a channel's request wait again, after its connection was refused.
    pub(super) fn requeue_channel(&mut self, key: ChannelKey) {
        if let Some(channel) = self.channels.all.get_mut(key) {
            channel.upstream = None;
            self.waiting.push(Waiter::Channel(key));
        }
    }

    /// Decides on a channel whose connection was lost: a request that was not sent waits again, otherwise
    /// the channel ends.
    pub(super) fn settle_lost_channel(&mut self, key: ChannelKey) {
        let Some(channel) = self.channels.all.get_mut(key) else { return };
        channel.upstream = None;
        match &channel.current {
            Some(current) if !current.sent && !current.in_transaction => {
                self.waiting.push(Waiter::Channel(key));
            }
            Some(current) if !current.sent => self.answer_aborted(key, "its connection was lost"),
            _ => self.end_channel(key),
        }
    }

    /// Answers a channel's request, which was not sent because its connection could not be prepared and was closed.
    /// The peer decides whether and where it is tried again.
    pub(super) fn settle_unprepared_channel(&mut self, key: ChannelKey, reason: &str) {
        let Some(channel) = self.channels.all.get_mut(key) else { return };
        channel.upstream = None;
        let Some(current) = channel.current.as_ref() else { return };
        if current.in_transaction {
            return self.answer_aborted(key, reason);
        }
        self.counts.preparation_retries += 1;
        channel.current = None;
        let (link, number) = (channel.link, channel.number);
        let replies = vec![
            Reply::Error { code: ErrorCode::Busy, text: reason.into() },
            Reply::Ready { state: TransactionState::Idle, position: None },
        ];
        self.send_on_link(link, LinkMessage::Replies { channel: number, replies });
    }

    /// Ends a channel and tells the peer that its connection was lost.
    fn end_channel(&mut self, key: ChannelKey) {
        let Some(channel) = self.channels.all.get(key) else { return };
        let (link, number) = (channel.link, channel.number);
        if let Some(current) = &channel.current {
            let id = match &current.request {
                UpstreamRequest::Forward { id, .. } => &**id,
                _ => "-",
            };
            let user = self.links.all.get(link).map(|link| link.peer.as_str());
            info!(self.log, "request of a peer lost"; "id" => id, "user" => user,
                "database" => %channel.database, "sent" => current.sent);
        }
        self.close_channel(key);
        self.send_on_link(link, LinkMessage::Lost { channel: number });
    }

    /// Removes a channel. Its transaction is rolled back; a connection with a request in progress is
    /// closed, since a late answer could be taken for that of its next user.
    fn close_channel(&mut self, key: ChannelKey) {
        let Some(channel) = self.channels.all.remove(key) else { return };
        self.channels.by_number.remove(&(channel.link, channel.number));
        let Some(upstream) = channel.upstream else { return };
        match channel.current {
            Some(current) if current.sent => self.close_connection(upstream),
            // The connection goes on opening.
            Some(current) if !current.in_transaction => self.free(upstream),
            _ => self.roll_back(upstream),
        }
    }

    /// Removes the channels of a link that has ended.
    pub(super) fn close_channels_of(&mut self, link: LinkKey) {
        let channels = self.channels.all.iter().filter(|(_, c)| c.link == link);
        let channels: Vec<ChannelKey> = channels.map(|(key, _)| key).collect();
        for key in channels {
            self.close_channel(key);
        }
    }

    /// Rolls back transactions of peers without a request in progress, because this VM is stopping. The peer is told
    /// with its next request, which may be a `COMMIT` on its way: an end of the channel would leave that in doubt.
    pub(super) fn end_channel_transactions(&mut self) {
        let open = self.channels.all.iter();
        let open = open.filter(|(_, c)| c.upstream.is_some() && c.current.is_none());
        let open: Vec<ChannelKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.abort_channel_transaction(key, STOPPING);
        }
    }

    /// Refuses a peer's request, or rolls its transaction back, because this VM is about to end. A `COMMIT` is sent.
    /// Returns whether it was withheld.
    fn withhold_at_stop(&mut self, key: ChannelKey, upstream: UpstreamKey) -> bool {
        if !self.is_ending() {
            return false;
        }
        let channel = &mut self.channels.all[key];
        match &channel.current {
            Some(current) if current.request.is_commit() => return false,
            Some(current) if current.in_transaction => {
                self.abort_channel_transaction(key, STOPPING);
                self.answer_aborted(key, STOPPING);
            }
            Some(_) => {
                channel.upstream = None;
                self.free(upstream);
                self.refuse_channel_request(key, Refusal::NotHolder);
            }
            None => return false,
        }
        true
    }

    /// Reports to a peer that the database owes its channel an answer and is silent.
    pub(super) fn report_silence(&mut self, key: ChannelKey) {
        let Some(channel) = self.channels.all.get(key) else { return };
        let (link, number) = (channel.link, channel.number);
        self.send_on_link(link, LinkMessage::Silent { channel: number });
    }

    /// Sends a sign of life to peers that wait for answers.
    pub(super) fn reassure_users(&mut self) {
        let now = self.now;
        let mut quiet: Vec<LinkKey> = Vec::new();
        for channel in self.channels.all.values().filter(|c| c.current.is_some()) {
            let link = self.links.all.get(channel.link);
            let is_quiet = link.is_some_and(|link| {
                link.role == LinkRole::Holder && now.since(link.last_sent) >= ALIVE_INTERVAL
            });
            if is_quiet && !quiet.contains(&channel.link) {
                quiet.push(channel.link);
            }
        }
        for link in quiet {
            self.send_on_link(link, LinkMessage::Alive);
        }
    }
}
