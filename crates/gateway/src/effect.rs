//! Effects: the actions that the engine requests from the process around it.

use std::net::SocketAddr;

use model::prelude::*;
use slotmap::new_key_type;

use crate::{
    PromotionIntent,
    link::LinkMessage,
    message::{Reply, UpstreamRequest},
    peers::PeerMessage,
    replicas::ReplicaRoster,
    witnesses::WitnessSet,
};

new_key_type! {
    /// Key of a caller's session.
    pub struct CallerKey;
    /// Key of a connection to an upstream.
    pub struct UpstreamKey;
    /// Key of a link to or from another VM.
    pub struct LinkKey;
}

/// An action for the process to carry out. Effects are carried out in the order they are queued.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to a caller.
    ToCaller(CallerKey, Reply),
    /// Close a caller's connection once everything has been sent.
    CloseCaller(CallerKey),
    /// Open a connection to an upstream.
    Connect(UpstreamKey, SocketAddr),
    /// Send a message to an upstream.
    ToUpstream(UpstreamKey, UpstreamRequest),
    /// Close a connection to an upstream at once.
    CloseUpstream(UpstreamKey),
    /// Open a link to a VM.
    OpenLink(LinkKey, SocketAddr),
    /// Send a message on a link.
    ToLink(LinkKey, LinkMessage),
    /// Close a link at once.
    CloseLink(LinkKey),
    /// Send a message to another VM.
    ToPeer(SocketAddr, PeerMessage),
    /// Fetch the configuration and the lists of databases and VMs from a VM that has newer ones, then
    /// call [`Engine::fetch_ended`](crate::Engine::fetch_ended).
    FetchFromPeer(SocketAddr),
    /// Call the platform.
    CallPlatform(PlatformRequest),
}

/// A call to the platform's store or to its promotion service.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// Read the fencing token, so that it can be raised without delay, and the promotions recorded with it.
    ReadToken,
    /// Raise the fencing token by a conditional update of the value that was read last, and record
    /// the intent with it, from which other VMs, and one that restarts, learn which promotions may be in
    /// progress. Not done where [`RecordedPromotion::admits`](crate::promotions::RecordedPromotion::admits) is
    /// false for the record of the service.
    RaiseToken {
        /// Number of the failover attempt, returned with the answer.
        attempt: u64,
        /// The promotion that is about to be requested.
        intent: PromotionIntent,
        /// Token of an earlier record of this VM under which no promotion can take effect.
        void: Option<u64>,
    },
    /// Record that a term was given up, once no promotion for it can take effect any more. Raises the token, so that a
    /// VM that was about to record one learns of it.
    EndPromotion {
        /// Number of the failover attempt, returned with the answer.
        attempt: u64,
        /// The service whose primary stays.
        service: ServiceName,
        /// The term that does not begin.
        term: Term,
        /// The newest term that has begun; promotions for it and for earlier ones are over.
        known_term: Term,
    },
    /// Request a promotion, unless it is later than `not_after`.
    Promote {
        /// Number of the failover attempt, returned with the answer.
        attempt: u64,
        /// The service whose primary changes.
        service: ServiceName,
        /// The database to promote.
        database: DatabaseName,
        /// The fencing token that the promotion is requested under.
        token: u64,
        /// After this time the request must not be sent.
        not_after: MonoTime,
    },
    /// Read the recorded intents of promotions.
    ReadIntents,
    /// Read the rosters of services with synchronous commits.
    ReadRosters,
    /// Replace the stored roster of a service, if it is still the one before.
    WriteRoster {
        /// The service.
        service: ServiceName,
        /// The stored roster as far as is known.
        before: ReplicaRoster,
        /// The new roster.
        roster: ReplicaRoster,
    },
    /// Register this VM: enter it in the member list.
    Enter,
    /// Replace the witness set, if the stored one is the set before it.
    SetWitnesses(WitnessSet),
    /// Remove a VM from the member list, unless it has registered again since.
    RemoveMember {
        /// Name of the VM to remove.
        vm: VmName,
        /// The newest known incarnation of the VM.
        incarnation: Incarnation,
    },
}
