//! Encoding of messages between VMs as datagrams.
//!
//! Builds may differ for as long as a fleet is updated. `rmp-serde` refuses a struct with more fields than it knows,
//! so a message keeps its fields, and what later builds add is a second value behind it, which earlier builds don't
//! read. The second value is encoded with field names, so that fields can be added to it.

use gateway::peers::{PeerBody, PeerMessage};
use serde::{Deserialize, Serialize};

/// What later builds have added to heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
struct HeartbeatExtension {
    /// Version of the sender's list of evacuations.
    evacuations: u64,
}

/// Encodes a message.
///
/// # Errors
/// A part of the message can't be encoded.
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut datagram = rmp_serde::to_vec(message)?;
    if let PeerBody::Heartbeat(heartbeat) = &message.body {
        let extension = HeartbeatExtension { evacuations: heartbeat.evacuations };
        if extension != HeartbeatExtension::default() {
            rmp_serde::encode::write_named(&mut datagram, &extension)?;
        }
    }
    Ok(datagram)
}

/// Decodes a message of a build that may be earlier or later than this one.
///
/// # Errors
/// The bytes are not a message, or what follows it is not an extension.
pub fn decode(datagram: &[u8]) -> Result<PeerMessage, rmp_serde::decode::Error> {
    let mut rest = datagram;
    let mut message: PeerMessage = rmp_serde::from_read(&mut rest)?;
    if let PeerBody::Heartbeat(heartbeat) = &mut message.body
        && !rest.is_empty()
    {
        let HeartbeatExtension { evacuations } = rmp_serde::from_slice(rest)?;
        heartbeat.evacuations = evacuations;
    }
    Ok(message)
}
