//! Links to holders, and the channels on them that stand for connections to databases.
//!
//! A channel is used as a connection of this VM's own would be. This VM judges the answers that it
//! gets over a channel by its own lease, so a holder needs none.

use std::net::IpAddr;

use model::prelude::*;
use slog::info;
use slotmap::SlotMap;

use super::Engine;
use crate::{
    effect::{Effect, LinkKey, UpstreamKey},
    link::{ChannelNumber, LinkMessage, LinkParameters, LoadReport, Refusal},
    message::UpstreamRequest,
    pool::{Connection, PendingKind, PendingReply, Purpose, User},
    start,
};

/// Time after which statements no longer wait for a link that is being opened.
const OPEN_PATIENCE: DurationUs = DurationUs::from_ms(150);
/// Time in which a link has to open.
const OPEN_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
/// Silence of a holder that owes answers after which it is not used for new work, and reads are repeated
/// through another. Holders send something more often than twice in this time.
const SILENCE_TIMEOUT: DurationUs = DurationUs::from_ms(500);
/// Silence after which a link is closed: what was sent over it is given up.
const LOST_TIMEOUT: DurationUs = DurationUs::from_ms(3_000);
/// How long a holder is avoided after its link was lost, or after it refused to be a holder. Doubles up to
/// `AVOID_MAX` with each further time until its link opens.
const AVOID_MIN: DurationUs = DurationUs::from_ms(1_000);
/// Longest time that a holder is avoided.
const AVOID_MAX: DurationUs = DurationUs::from_ms(8_000);
/// How long a database is avoided after its holder refused a request because it does not answer.
const SUSPECTED_PERIOD: DurationUs = DurationUs::from_ms(200);
/// Delay before a statement is placed again that a holder refused.
const REFUSED_RETRY_DELAY: DurationUs = DurationUs::from_ms(15);
/// Delay before a statement is placed again for which a holder had no room.
const NO_ROOM_RETRY_DELAY: DurationUs = DurationUs::from_ms(40);
/// Which end of a link this VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkRole {
    /// This VM uses connections of the peer.
    User,
    /// The peer uses connections of this VM.
    Holder,
}

/// A link to or from a peer.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: VmName,
    pub(super) role: LinkRole,
    /// Whether messages can be sent.
    is_open: bool,
    opened_at: MonoTime,
    last_heard: MonoTime,
    pub(super) last_sent: MonoTime,
    /// Whether the peer is stopping.
    is_leaving: bool,
    /// Whether the peer owes answers and is silent.
    is_silent: bool,
    /// Whether the peer decodes load reports.
    pub(super) decodes_load: bool,
    /// What was last reported to the peer on each database, and when.
    pub(super) reported: FxHashMap<DatabaseName, (MonoTime, LoadReport)>,
}

/// All links of this VM.
#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) all: SlotMap<LinkKey, Link>,
    /// The link to each holder.
    to: FxHashMap<VmName, LinkKey>,
    /// Holders that were not reached: until when each is avoided, and how long the period is.
    avoided: FxHashMap<VmName, (MonoTime, DurationUs)>,
}

impl Links {
    /// The link to a holder.
    pub(super) fn to(&self, vm: &VmName) -> Option<LinkKey> {
        self.to.get(vm).copied()
    }

    /// Whether new work may be sent to a holder.
    pub(super) fn is_usable(&self, now: MonoTime, vm: &VmName) -> bool {
        let link = self.to(vm).and_then(|key| self.all.get(key));
        let avoided = self.avoided.get(vm).is_some_and(|(until, _)| *until > now);
        !avoided && link.is_none_or(|link| !link.is_leaving && !link.is_silent)
    }

    /// Uses no holder on that VM for a while, longer with each time in a row.
    fn avoid(&mut self, now: MonoTime, vm: VmName) {
        let (until, span) = self.avoided.entry(vm).or_insert((now, DurationUs(AVOID_MIN.0 / 2)));
        *span = DurationUs((span.0 * 2).min(AVOID_MAX.0));
        *until = now + *span;
    }
}

impl Engine {
    /// Opens a channel to a database through a holder.
    pub(super) fn open_channel(
        &mut self,
        database: &DatabaseName,
        workspace: Option<WorkspaceName>,
        holder: &VmName,
    ) -> Option<UpstreamKey> {
        let now = self.now;
        let link = self.link_to(holder)?;
        let incarnation = self.databases.get(database)?.record.incarnation;
        let purpose = Purpose::Statements(workspace.clone());
        let mut connection =
            Connection::new(database.clone(), incarnation, purpose, now).with_link(link);
        connection.started = self.links.all[link].is_open;
        if !connection.started {
            connection.pending.push_back(PendingReply::new(PendingKind::Start, now));
        }
        let key = self.pool.insert(connection);
        let database = database.clone();
        self.send_on_link(link, LinkMessage::Open { channel: number_of(key), workspace, database });
        Some(key)
    }

    /// Returns the link to a holder, and opens one if there is none.
    fn link_to(&mut self, holder: &VmName) -> Option<LinkKey> {
        if let Some(link) = self.links.to(holder) {
            return Some(link);
        }
        let address = self.fleet.address_of(holder)?;
        let link = self.insert_link(holder.clone(), LinkRole::User, false);
        self.links.to.insert(holder.clone(), link);
        self.effects.push(Effect::OpenLink(link, address));
        Some(link)
    }

    fn insert_link(&mut self, peer: VmName, role: LinkRole, is_open: bool) -> LinkKey {
        let now = self.now;
        self.links.all.insert(Link {
            peer,
            role,
            is_open,
            opened_at: now,
            last_heard: now,
            last_sent: now,
            is_leaving: false,
            is_silent: false,
            decodes_load: false,
            reported: FxHashMap::default(),
        })
    }

    /// Sends a message on a link. Messages before it has opened are sent once it has.
    pub(super) fn send_on_link(&mut self, link: LinkKey, message: LinkMessage) {
        if let Some(state) = self.links.all.get_mut(link) {
            state.last_sent = self.now;
            self.effects.push(Effect::ToLink(link, message));
        }
    }

    /// Sends a request on the channel that a connection stands for.
    pub(super) fn send_to_holder(&mut self, key: UpstreamKey, request: UpstreamRequest) {
        let connection = &self.pool.connections[key];
        let Some(link) = connection.link else { return };
        let session = match connection.user {
            Some(User::Session(session)) => self.sessions.get(session),
            _ => None,
        };
        let priority = session.and_then(|session| session.authorization.as_ref());
        let priority = priority.map_or(0, |auth| auth.route.priority);
        let current = session.and_then(|session| session.current.as_ref());
        let wait = current.map_or(DurationUs(0), |current| current.refuse_at.since(self.now));
        let channel = number_of(key);
        if is_for_database(&request) {
            self.counts.forwarded += 1;
            let holder = self.links.all.get(link).map(|link| link.peer.clone());
            if let Some(User::Session(caller)) = connection.user
                && let Some(current) = self.sessions[caller].current.as_mut()
            {
                current.holder = holder;
            }
        }
        self.send_on_link(link, LinkMessage::Request { channel, priority, wait, request });
    }

    pub(super) fn close_channel_at_holder(&mut self, link: LinkKey, key: UpstreamKey) {
        self.send_on_link(link, LinkMessage::Close { channel: number_of(key) });
    }

    /// Accepts a link from a VM that connected. Returns `None` if it is not in the list of VMs with that
    /// address.
    pub fn link_accepted(
        &mut self,
        now: MonoTime,
        parameters: &LinkParameters,
        from: IpAddr,
    ) -> Option<LinkKey> {
        self.now = now;
        let LinkParameters { vm: peer, load_reports } = parameters;
        let address = self.fleet.address_of(peer)?;
        if address.ip() != from {
            return None;
        }
        let link = self.insert_link(peer.clone(), LinkRole::Holder, true);
        self.links.all[link].decodes_load = *load_reports;
        if self.stopping_since.is_some() {
            self.send_on_link(link, LinkMessage::Leaving);
        }
        Some(link)
    }

    /// Handles the opening of a link that [`Effect::OpenLink`] requested: the statements that wait for it
    /// are sent.
    pub fn link_opened(&mut self, now: MonoTime, link: LinkKey) {
        self.now = now;
        let Some(state) = self.links.all.get_mut(link) else { return };
        state.is_open = true;
        state.is_silent = false;
        state.last_heard = now;
        self.links.avoided.remove(&state.peer);
        for key in self.channels_over(link, |connection| !connection.started) {
            self.pool.connections[key].pending.pop_front();
            self.finish_start(key);
        }
        self.place_waiting();
    }

    /// Handles a message on a link.
    pub fn link_message(&mut self, now: MonoTime, link: LinkKey, message: LinkMessage) {
        self.now = now;
        let Some(state) = self.links.all.get_mut(link) else { return };
        state.last_heard = now;
        if std::mem::take(&mut state.is_silent) {
            info!(self.log, "holder answers again"; "holder" => %state.peer);
        }
        match (state.role, message) {
            (LinkRole::Holder, message) => self.handle_channel_message(link, message),
            (LinkRole::User, LinkMessage::Replies { channel, replies })
                if start::refusal_in(&replies).is_some() =>
            {
                if let Some(key) = self.channel_key(link, channel)
                    && let Some(text) = start::refusal_in(&replies)
                {
                    self.handle_late_start(key, text);
                }
            }
            (LinkRole::User, LinkMessage::Replies { channel, replies }) => {
                for reply in replies {
                    if let Some(key) = self.channel_key(link, channel) {
                        self.handle_reply(key, reply);
                    }
                }
            }
            (LinkRole::User, LinkMessage::Refused { channel, reason }) => {
                if let Some(key) = self.channel_key(link, channel) {
                    self.handle_holder_refusal(link, key, reason);
                }
            }
            (LinkRole::User, LinkMessage::Lost { channel }) => {
                if let Some(key) = self.channel_key(link, channel) {
                    self.lose_connection(key, "connection lost at the holder");
                }
            }
            (LinkRole::User, LinkMessage::Silent { channel }) => {
                if let Some(key) = self.channel_key(link, channel) {
                    self.avoid_database(key);
                    self.take_back_read(key);
                }
            }
            (LinkRole::User, LinkMessage::Leaving) => {
                info!(self.log, "holder is stopping"; "holder" => %state.peer);
                state.is_leaving = true;
                for key in self.channels_over(link, Connection::is_free) {
                    self.close_connection(key);
                }
            }
            (
                LinkRole::User,
                message @ (LinkMessage::Open { .. }
                | LinkMessage::Request { .. }
                | LinkMessage::Close { .. }),
            ) => info!(self.log, "message that only a user sends"; "message" => ?message),
            (LinkRole::User, LinkMessage::Load { database, report }) => {
                let holder = state.peer.clone();
                self.receive_load(holder, database, report);
            }
            // `last_heard` is all that it changes.
            (LinkRole::User, LinkMessage::Alive) => {}
        }
        self.place_waiting();
        self.refuse_late_starts();
    }

    /// Handles the end of a link, or the failure to open it.
    pub fn link_closed(&mut self, now: MonoTime, link: LinkKey) {
        self.now = now;
        self.lose_link(link, "link closed");
        self.place_waiting();
    }

    fn lose_link(&mut self, link: LinkKey, reason: &str) {
        let Some(state) = self.links.all.remove(link) else { return };
        self.effects.push(Effect::CloseLink(link));
        if state.role == LinkRole::Holder {
            return self.close_channels_of(link);
        }
        self.links.to.remove(&state.peer);
        if !state.is_leaving {
            info!(self.log, "holder not reached"; "holder" => %state.peer, "reason" => reason);
            self.links.avoid(self.now, state.peer);
        }
        for key in self.channels_over(link, |_| true) {
            self.lose_connection(key, reason);
        }
    }

    /// Handles a holder's refusal of a request that it has not sent to the database: the statement is
    /// placed again.
    fn handle_holder_refusal(&mut self, link: LinkKey, key: UpstreamKey, reason: Refusal) {
        let now = self.now;
        let connection = &mut self.pool.connections[key];
        let user = connection.user;
        connection.pending.pop_front();
        self.free(key);
        self.counts.holder_refusals += 1;
        let mut retry_at = now + REFUSED_RETRY_DELAY;
        match reason {
            Refusal::Suspected => self.avoid_database(key),
            Refusal::NoRoom => {
                retry_at = now + NO_ROOM_RETRY_DELAY;
                self.avoid_if_cold(key);
            }
            Refusal::NotHolder => {
                let peer = self.links.all[link].peer.clone();
                self.links.avoid(now, peer);
                retry_at = now;
            }
        }
        let Some(User::Session(caller)) = user else { return };
        if let Some(current) = self.sessions.get_mut(caller).and_then(|s| s.current.as_mut()) {
            current.retry_at = retry_at;
        }
        self.requeue(caller);
    }

    /// Uses no holder of a connection's database for a while, since one reported that it does not answer.
    pub(super) fn avoid_database(&mut self, key: UpstreamKey) {
        let database = &self.pool.connections[key].database;
        if let Some(state) = self.databases.get_mut(database) {
            state.avoided_until = self.now + SUSPECTED_PERIOD;
        }
    }

    /// Closes links that did not open or have been silent for too long. Statements that can be repeated are
    /// taken back from holders that owe answers and are silent.
    pub(super) fn expire_links(&mut self) {
        let now = self.now;
        let mut oldest: FxHashMap<LinkKey, MonoTime> = FxHashMap::default();
        for connection in self.pool.connections.values() {
            if let (Some(link), Some(pending)) = (connection.link, connection.pending.front()) {
                let sent_at = oldest.entry(link).or_insert(pending.sent_at);
                *sent_at = (*sent_at).min(pending.sent_at);
            }
        }
        let users = self.links.all.iter().filter(|(_, link)| link.role == LinkRole::User);
        let users: Vec<LinkKey> = users.map(|(key, _)| key).collect();
        for key in users {
            let link = &mut self.links.all[key];
            let silent_since = oldest.get(&key).map(|sent_at| link.last_heard.max(*sent_at));
            let silent = silent_since.map_or(DurationUs(0), |since| now.since(since));
            let (patience, limit) = match link.is_open {
                true => (SILENCE_TIMEOUT, LOST_TIMEOUT),
                false => (OPEN_PATIENCE, OPEN_TIMEOUT),
            };
            let silent = if link.is_open { silent } else { now.since(link.opened_at) };
            if silent >= limit {
                self.lose_link(key, "no answer in time");
            } else if silent >= patience && !link.is_silent {
                info!(self.log, "holder is silent"; "holder" => %link.peer);
                link.is_silent = true;
                self.take_back_reads(key);
            }
        }
    }

    fn take_back_reads(&mut self, link: LinkKey) {
        for key in self.channels_over(link, |connection| connection.user.is_some()) {
            self.take_back_read(key);
        }
    }

    /// Tells the VMs that use this VM's connections that it is stopping.
    pub(super) fn announce_leaving(&mut self) {
        let users = self.links.all.iter().filter(|(_, link)| link.role == LinkRole::Holder);
        let users: Vec<LinkKey> = users.map(|(key, _)| key).collect();
        for link in users {
            self.send_on_link(link, LinkMessage::Leaving);
        }
    }

    /// Returns the connections that stand for channels over a link.
    fn channels_over(
        &self,
        link: LinkKey,
        filter: impl Fn(&Connection) -> bool,
    ) -> Vec<UpstreamKey> {
        let all = self.pool.connections.iter().filter(|(_, c)| c.link == Some(link) && filter(c));
        all.map(|(key, _)| key).collect()
    }

    fn channel_key(&self, link: LinkKey, channel: ChannelNumber) -> Option<UpstreamKey> {
        let key = UpstreamKey::from(slotmap::KeyData::from_ffi(channel));
        self.pool.connections.get(key).filter(|c| c.link == Some(link)).map(|_| key)
    }
}

/// The number of the channel that a connection stands for.
fn number_of(key: UpstreamKey) -> ChannelNumber {
    slotmap::Key::data(&key).as_ffi()
}

/// Whether the database answers the request.
fn is_for_database(request: &UpstreamRequest) -> bool {
    matches!(request, UpstreamRequest::Begin { .. } | UpstreamRequest::Forward { .. })
}
