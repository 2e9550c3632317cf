//! What the engine asks the process to do.

use std::net::SocketAddr;

use model::prelude::*;
use slotmap::new_key_type;

use crate::{
    PromotionIntent,
    message::{Reply, UpstreamRequest},
    peers::PeerMessage,
    witnesses::WitnessSet,
};

new_key_type! {
    /// A caller's session.
    pub struct CallerKey;
    /// A connection to an upstream.
    pub struct UpstreamKey;
}

/// Something to be done outside. Effects are carried out in their order.
#[derive(Debug)]
pub enum Effect {
    /// Send to a caller.
    ToCaller(CallerKey, Reply),
    /// Close a caller's connection once everything has been sent.
    CloseCaller(CallerKey),
    /// Open a connection to an upstream.
    Connect(UpstreamKey, SocketAddr),
    /// Send to an upstream.
    ToUpstream(UpstreamKey, UpstreamRequest),
    /// Close a connection to an upstream at once.
    CloseUpstream(UpstreamKey),
    /// Send to a peer.
    ToPeer(SocketAddr, PeerMessage),
    /// Fetch configuration and databases from a peer that knows newer ones.
    FetchFromPeer(SocketAddr),
    /// Ask the platform for something.
    CallPlatform(PlatformRequest),
}

/// What only the platform's store or its call for promotions can do.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// Read the token of promotions, so that it can be raised soon.
    ReadToken,
    /// Raise the token of promotions by a conditional update of the value that was read last, and note
    /// the intent with it: a VM that starts anew learns from it what may be under way.
    RaiseToken {
        /// Names the attempt in the answer.
        attempt: u64,
        /// What is about to be ordered.
        intent: PromotionIntent,
    },
    /// Order a promotion, unless it is later than `not_after`.
    Promote {
        /// Names the attempt in the answer.
        attempt: u64,
        /// The service.
        service: ServiceName,
        /// The database that is to lead.
        database: DatabaseName,
        /// The token.
        token: u64,
        /// After this moment the order must not leave.
        not_after: MonoTime,
    },
    /// Read which promotions were ordered so far.
    ReadIntents,
    /// Enter this VM in the list of VMs.
    Enter,
    /// Replace the set of witnesses, if it is still at the step before.
    SetWitnesses(WitnessSet),
    /// Take a VM out of the list, if it has not entered itself again since.
    RemoveMember {
        /// The VM.
        vm: VmName,
        /// Its last run that is known.
        incarnation: Incarnation,
    },
}
