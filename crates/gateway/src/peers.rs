//! Messages between VMs, and the lease that lets a VM speak for the primaries.
//!
//! A VM may use a primary only while a majority of the witnesses, a few members that all VMs agree on,
//! surely was in touch with it a short time ago. Whoever replaces a primary first has a majority promise
//! to tell of it, and then waits until leases given out before have lapsed; majorities share a witness,
//! so no VM goes on unknowingly.
//!
//! VMs speak regularly to the witnesses of their own data centre only, so that what a VM says does not grow
//! with the fleet and little of it goes between regions. A witness says how much is left of its own lease, and
//! a VM may use primaries for that long from the moment on that the witness surely spoke after: the witness's
//! lease ends no sooner, and it tells of each new term that it knows. Where no witness of the own data
//! centre answers, a VM speaks to all.
//!
//! Messages carry the receiver's own last time stamp back, so that a VM dates what it hears on its own
//! clock, never later than it was said, however long a message was under way.

use std::net::SocketAddr;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{rates::RateGrant, witnesses::WitnessSet};

/// How often a VM speaks to each member.
///
/// A third of the lease: one lost datagram and a round trip of 50 ms don't end it.
pub const HEARTBEAT_PERIOD: DurationUs = DurationUs::from_ms(300);
/// How long a VM may use primaries after it was in touch with a majority.
///
/// It is waited out when a primary has died with a VM, so it is part of the ten seconds in which a
/// change of primary has to be over.
pub const LEASE_DURATION: DurationUs = DurationUs::from_ms(1_200);
/// How long after the last word a member counts as live.
pub const LIVENESS_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
/// Silence of a witness of the own data centre after which a VM speaks to all witnesses: one heartbeat
/// that was not answered. Its lease may end before they answer, by less than another heartbeat.
pub const LOCAL_WITNESS_TIMEOUT: DurationUs = DurationUs::from_ms(450);

/// What a VM knows of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Newest term known.
    pub term: Term,
    /// Who leads it; left out mostly, since it rarely changes.
    pub primary: Option<DatabaseName>,
    /// A term that is being prepared, for which the sender has stopped using the primary.
    pub stopped_for: Option<SuspensionReport>,
    /// For how long the primary has not answered the sender.
    pub failing: Option<DurationUs>,
    /// How long ago the primary last answered the sender.
    pub answered: Option<DurationUs>,
    /// A position and how long ago the statement was sent whose answer carried it.
    pub position: Option<AgedPosition>,
}

/// A term that is being prepared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspensionReport {
    /// The term.
    pub term: Term,
    /// The VM that prepares it.
    pub by: VmName,
    /// Which run of it.
    pub run: Incarnation,
}

/// A position that holds all that was confirmed at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPosition {
    /// The position.
    pub position: Position,
    /// How long ago the moment was when the message was sent.
    pub age: DurationUs,
}

/// A workspace's demand at the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Operations asked for per second, admitted or not.
    pub per_s: f32,
}

/// The sender's time stamp and what it last heard from the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamps {
    /// The sender's clock.
    pub sent: MonoTime,
    /// The receiver's own stamp that the sender heard last.
    pub echo: Option<Echo>,
}

/// A time stamp on its way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The stamp.
    pub stamp: MonoTime,
    /// How long the sender held it.
    pub held: DurationUs,
    /// Which run of the receiver gave it: the clock of another run says nothing here.
    pub run: Incarnation,
}

/// What a message shows by its stamps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Whether it is newer than what was heard before.
    pub is_newer: bool,
    /// A moment on the receiver's clock that it was surely not said before.
    pub sent_after: Option<MonoTime>,
}

/// What a VM says regularly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Time stamps.
    pub stamps: Timestamps,
    /// Generation of the sender's configuration.
    pub generation: u64,
    /// Version of the sender's list of databases.
    pub registry: u64,
    /// What the sender knows of each service.
    pub services: Vec<ServiceReport>,
    /// What the sender is asked for by workspaces whose home the receiver is.
    pub demands: Vec<Demand>,
    /// What the receiver gets of rates whose home the sender is.
    pub grants: Vec<RateGrant>,
    /// Terms of all services, added up: who says less than another has missed a change.
    pub terms_total: u64,
    /// Version of the sender's list of VMs.
    pub members: u64,
    /// Step of the sender's set of witnesses.
    pub witness_step: u64,
    /// How much is left of the lease that the sender, a witness, has of the other witnesses.
    pub lease_left: Option<DurationUs>,
    /// Witnesses that are live for the sender, a bit each in the order of their names, the first the
    /// lowest.
    pub live_witnesses: u16,
    /// A VM in touch with the sender that could become a witness, where there are too few.
    pub spare: Option<VmName>,
    /// Whether the sender wants to hear of all services, not only news.
    pub wants_notes: bool,
    /// Whether the store answers the sender: only then can it replace a primary.
    pub reaches_store: bool,
    /// Whether the sender is ending.
    pub stopping: bool,
}

/// What a peer message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// What a VM says regularly.
    Heartbeat(Heartbeat),
    /// The sender was refused a connection for their number: the receiver gives up one it does not use.
    Short {
        /// The database.
        database: DatabaseName,
    },
    /// Asks the home of a workspace's rate for tokens.
    Borrow {
        /// The workspace.
        workspace: WorkspaceName,
        /// Operations that wait at the sender.
        tokens: u32,
    },
    /// Tokens that the receiver may spend.
    Lend {
        /// The workspace.
        workspace: WorkspaceName,
        /// How many.
        tokens: u32,
        /// Whether that is as many as were asked for.
        all: bool,
    },
    /// Asks to stop using a service's primary, since a new term is being prepared.
    Stop {
        /// The service.
        service: ServiceName,
        /// The new term.
        term: Term,
        /// Whether statements in progress are to end first.
        planned: bool,
    },
    /// The sender has stopped.
    Stopped {
        /// The service.
        service: ServiceName,
        /// The new term.
        term: Term,
    },
    /// The term that was prepared has begun, or will not.
    Decided {
        /// The service.
        service: ServiceName,
        /// The term.
        term: Term,
        /// Who leads it; `None` where it will not begin.
        primary: Option<DatabaseName>,
    },
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: VmName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: PeerBody,
}

/// A VM as it entered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name; the same after a restart.
    pub vm: VmName,
    /// Where it hears peers.
    pub address: SocketAddr,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub dc: DcName,
}

/// All VMs, as the store lists them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Version of the list.
    pub version: u64,
    /// The entries of VMs.
    pub records: Vec<MemberRecord>,
    /// The witnesses; `None` before the first set was written.
    pub witnesses: Option<WitnessSet>,
}
