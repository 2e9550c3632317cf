//! Messages between VMs, and the leases that allow a VM to use the primaries.
//!
//! A VM may use a primary only while a majority of the witnesses, a few members that all VMs agree
//! on, was recently in contact with it. To replace a primary, a VM first gets a confirmation from a
//! majority, whose heartbeats report the new term from then on, and then waits until all earlier
//! leases have expired. Any two majorities share a witness, so every VM either learns of the new
//! term or loses its lease.
//!
//! Most VMs send heartbeats only to the witnesses of their own data centre, which bounds the number
//! of messages per VM and the traffic between regions. A witness's heartbeat states how much of its
//! own lease is left, and the receiver has a lease for that long, counted from a time before which
//! the heartbeat was certainly not sent. The witness's own lease ends no sooner, and the witness
//! reports each new term that it knows. If no witness of the own data centre answers, a VM sends
//! heartbeats to all witnesses.
//!
//! A heartbeat echoes the newest timestamp that the sender has from the receiver. From the echo the
//! receiver knows a time on its own clock before which the heartbeat was certainly not sent,
//! however long it was in transit.

use std::net::SocketAddr;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    rates::{Demand, HandedRate, RateGrant},
    witnesses::{Candidate, Capacity, WitnessSet},
};

/// Time between two heartbeats to the same VM.
///
/// A quarter of the lease, so that one lost datagram and a round trip of 50 ms don't end it.
pub const HEARTBEAT_PERIOD: DurationUs = DurationUs::from_ms(300);
/// Silence after which a member no longer counts as live.
pub const LIVENESS_TIMEOUT: DurationUs = DurationUs::from_ms(1_000);
/// Silence after which a witness of the own data centre counts as unresponsive, and a VM sends
/// heartbeats to all witnesses: one unanswered heartbeat. The VM may be without a lease until they
/// answer, for less than another heartbeat period.
pub const LOCAL_WITNESS_TIMEOUT: DurationUs = DurationUs::from_ms(450);

/// The sender's knowledge of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service that the report is about.
    pub service: ServiceName,
    /// The newest term that the sender knows.
    pub term: Term,
    /// The primary of that term; left out of most reports, since it rarely changes.
    pub primary: Option<DatabaseName>,
    /// The new term for which the sender has suspended use of the primary, if any.
    pub stopped_for: Option<SuspensionReport>,
    /// For how long the primary has failed to answer the sender; `None` while it answers.
    pub failing: Option<DurationUs>,
    /// How long ago the primary last answered the sender.
    pub answered: Option<DurationUs>,
    /// The newest position in an answer of the primary, and the time since its statement was sent.
    pub position: Option<AgedPosition>,
}

/// A new term that is being prepared, for which the sender has suspended use of the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspensionReport {
    /// The term that is being prepared.
    pub term: Term,
    /// The VM that prepares the term.
    pub by: VmName,
    /// The incarnation of that VM.
    pub run: Incarnation,
}

/// A log position that covers every commit confirmed up to some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedPosition {
    /// The log position.
    pub position: Position,
    /// How long ago that time was when the message was sent.
    pub age: DurationUs,
}

/// The sender's time, and an echo of the receiver's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamps {
    /// The sender's clock when it sent the message.
    pub sent: MonoTime,
    /// The receiver's newest timestamp that the sender has; `None` if it has none.
    pub echo: Option<Echo>,
}

/// A timestamp returned to the VM that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The returned timestamp, on the clock of the VM that sent it.
    pub stamp: MonoTime,
    /// How long the echoing VM held the timestamp before it returned it.
    pub held: DurationUs,
    /// The incarnation of the VM that sent the timestamp. Another incarnation has another clock.
    pub run: Incarnation,
}

/// What the timestamps of a heartbeat prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Whether the sender sent it after every heartbeat that arrived before it.
    pub is_newer: bool,
    /// A time on the receiver's clock before which the heartbeat was certainly not sent; `None`
    /// without a usable echo.
    pub sent_after: Option<MonoTime>,
}

/// The regular report of a VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's time and the echo of the receiver's.
    pub stamps: Timestamps,
    /// Generation of the sender's configuration.
    pub generation: u64,
    /// Version of the sender's database list.
    pub registry: u64,
    /// What the sender knows of the services, as far as it fits into a message.
    pub services: Vec<ServiceReport>,
    /// Demand at the sender for workspaces whose home, as explained in [`crate::rates`], is the
    /// receiver.
    pub demands: Vec<Demand>,
    /// The receiver's grants of rates whose home is the sender.
    pub grants: Vec<RateGrant>,
    /// Sum of the terms of all services. A VM with a lower sum than a witness has missed a change.
    pub terms_total: u64,
    /// Version of the sender's member list.
    pub members: u64,
    /// Step of the sender's witness set.
    pub witness_step: u64,
    /// If the sender is a witness: how much is left of the lease granted by the other witnesses.
    pub lease_left: Option<DurationUs>,
    /// The witnesses that are live for the sender, as a bit set: the lowest bit is the first
    /// witness by name. The upper eight bits are, in the same order, those that are known to the sender to
    /// understand classes of priorities in [`Demand`] and [`PeerBody::Borrow`]; versions that don't understand
    /// them ignore these bits.
    pub live_witnesses: u16,
    /// A reachable VM that could become a witness; `None` if the witness set is full.
    pub spare: Option<VmName>,
    /// Whether the sender wants reports on all services, not only news.
    pub wants_notes: bool,
    /// Whether the store answers the sender, without which it can't replace a primary.
    pub reaches_store: bool,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// Version of the sender's list of evacuations. A build that does not know the field could not decode a
    /// heartbeat with it, so it is sent behind the message instead.
    #[serde(skip)]
    pub evacuations: u64,
}

/// The content of a message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// The regular report of the sender.
    Heartbeat(Heartbeat),
    /// A database refused the sender a connection because it has too many: the receiver closes one
    /// that it does not use. Sent by versions without holders.
    Short {
        /// The database that refused the connection.
        database: DatabaseName,
    },
    /// Asks the home of a workspace's rate for tokens.
    Borrow {
        /// The workspace that the tokens are for.
        workspace: WorkspaceName,
        /// Number of tokens: operations that wait at the sender.
        tokens: u32,
        /// The part of each class of priorities, the most urgent first. Empty where the sender does not
        /// distinguish them, and towards a home of a version that could not decode it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        by_class: Vec<u32>,
    },
    /// Lends tokens to the receiver.
    Lend {
        /// The workspace that the tokens are for.
        workspace: WorkspaceName,
        /// Number of tokens lent.
        tokens: u32,
        /// Whether these are as many as the receiver asked for.
        all: bool,
    },
    /// Asks the receiver to suspend use of a service's primary, because a new term is being
    /// prepared.
    Stop {
        /// The service whose primary is to be replaced.
        service: ServiceName,
        /// The term that is being prepared.
        term: Term,
        /// Whether the primary still serves, so that transactions in progress may end first.
        planned: bool,
    },
    /// Confirms that the sender has suspended use of a service's primary.
    Stopped {
        /// The service whose primary is to be replaced.
        service: ServiceName,
        /// The term that is being prepared.
        term: Term,
    },
    /// Ends a suspension: the new term has begun, or will not begin.
    Decided {
        /// The service whose primary was to be replaced.
        service: ServiceName,
        /// The term that was being prepared.
        term: Term,
        /// The primary of the term; `None` if the term will not begin.
        primary: Option<DatabaseName>,
    },
    /// A request for tokens that a VM sent to the sender, which is not the home, in the meaning of
    /// [`PeerBody::Borrow`]. It is not forwarded again.
    BorrowFor {
        /// The VM to lend to.
        vm: VmName,
        /// The workspace whose operations wait.
        workspace: WorkspaceName,
        /// Number of tokens.
        tokens: u32,
        /// The part of each class of priorities.
        by_class: Vec<u32>,
    },
    /// Passes rates on whose home the sender was, and the receiver is now. Versions that don't understand it wait until
    /// the sender's grants have expired.
    HandOver {
        /// The rates.
        rates: Vec<HandedRate>,
    },
    /// A term was given up, as the sender has just recorded in the store: what earlier runs and lost VMs prepared for it
    /// is over. Versions that don't understand it report it, so that it is given up again, until they restart.
    Ended {
        /// The service whose primary stays.
        service: ServiceName,
        /// The term that does not begin.
        term: Term,
    },
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The VM that sends the message.
    pub from: VmName,
    /// The incarnation of that VM.
    pub incarnation: Incarnation,
    /// The content of the message.
    pub body: PeerBody,
}

/// The entry of a VM in the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the VM, which stays the same after a restart.
    pub vm: VmName,
    /// The address at which the VM receives peer messages.
    pub address: SocketAddr,
    /// The incarnation of the VM that wrote the entry.
    pub incarnation: Incarnation,
    /// The data centre that the VM is in.
    pub dc: DcName,
    /// Whether it accepts links, so that it can hold connections for other VMs.
    pub accepts_links: bool,
    /// Its processor time.
    pub capacity: Capacity,
}

impl<'a> From<&'a MemberRecord> for Candidate<'a> {
    fn from(record: &'a MemberRecord) -> Candidate<'a> {
        Candidate { vm: &record.vm, dc: &record.dc, capacity: record.capacity }
    }
}

/// The member list and the witness set, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// Version of the list; rises with each change.
    pub version: u64,
    /// The entries of all VMs.
    pub records: Vec<MemberRecord>,
    /// The witness set; `None` before the first set has been written.
    pub witnesses: Option<WitnessSet>,
}
