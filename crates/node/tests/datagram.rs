//! Messages between VMs of different builds.

use gateway::{
    peers::{Heartbeat, PeerBody, PeerMessage, ServiceReport, Timestamps},
    rates::{Demand, RateGrant},
};
use model::prelude::*;
use node::datagram;
use serde::{Deserialize, Serialize};

/// A heartbeat of the build before evacuations.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierHeartbeat {
    stamps: Timestamps,
    generation: u64,
    registry: u64,
    services: Vec<ServiceReport>,
    demands: Vec<Demand>,
    grants: Vec<RateGrant>,
    terms_total: u64,
    members: u64,
    witness_step: u64,
    lease_left: Option<DurationUs>,
    live_witnesses: u16,
    spare: Option<VmName>,
    wants_notes: bool,
    reaches_store: bool,
    stopping: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum EarlierBody {
    Heartbeat(EarlierHeartbeat),
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierMessage {
    from: VmName,
    incarnation: Incarnation,
    body: EarlierBody,
}

fn message(evacuations: u64) -> PeerMessage {
    let heartbeat = Heartbeat {
        stamps: Timestamps { sent: MonoTime(5), echo: None },
        generation: 1,
        registry: 2,
        services: Vec::new(),
        demands: Vec::new(),
        grants: Vec::new(),
        terms_total: 3,
        members: 4,
        witness_step: 1,
        lease_left: Some(DurationUs(700)),
        live_witnesses: 5,
        spare: None,
        wants_notes: false,
        reaches_store: true,
        stopping: true,
        evacuations,
    };
    let from = VmName::new("vm-1").expect("a name");
    PeerMessage { from, incarnation: Incarnation(7), body: PeerBody::Heartbeat(heartbeat) }
}

#[test]
fn heartbeat_round_trip() {
    for evacuations in [0, 1, 3 << 40 | 17, u64::MAX] {
        let bytes = datagram::encode(&message(evacuations)).expect("it can be encoded");
        assert_eq!(datagram::decode(&bytes).expect("it can be decoded"), message(evacuations));
    }
}

/// The reason why the version is not a field of the encoded heartbeat.
#[test]
fn rmp_serde_refuses_a_struct_with_more_fields() {
    let longer = rmp_serde::to_vec(&(1, 2, 3)).expect("it can be encoded");
    assert!(rmp_serde::from_slice::<(u8, u8)>(&longer).is_err());
}

/// Guards against VMs of an earlier build that lose their leases while a fleet is updated, because they can't decode
/// heartbeats. They decode datagrams with `rmp_serde::from_slice`.
#[test]
fn heartbeat_with_evacuations_decoded_by_earlier_build() {
    let bytes = datagram::encode(&message(9)).expect("it can be encoded");
    let earlier: EarlierMessage = rmp_serde::from_slice(&bytes).expect("it can be decoded");
    let EarlierBody::Heartbeat(heartbeat) = earlier.body;
    assert_eq!((heartbeat.members, heartbeat.stopping), (4, true));
}

#[test]
fn heartbeat_of_earlier_build_decoded() {
    let bytes = datagram::encode(&message(0)).expect("it can be encoded");
    let earlier: EarlierMessage = rmp_serde::from_slice(&bytes).expect("it can be decoded");
    let bytes = rmp_serde::to_vec(&earlier).expect("it can be encoded");
    assert_eq!(datagram::decode(&bytes).expect("it can be decoded"), message(0));
}

/// Guards against a malformed datagram that ends the process, and a later build's extension that is refused.
#[test]
fn bytes_behind_a_heartbeat_never_panic() {
    let bytes = datagram::encode(&message(0)).expect("it can be encoded");
    for tail in [&[0xc1][..], &[0xdf, 0xff, 0xff, 0xff, 0xff], &[0x81, 0xa1, b'x']] {
        assert!(datagram::decode(&[&bytes[..], tail].concat()).is_err(), "{tail:?}");
    }
    let later = [&bytes[..], &[0x81, 0xa3, b'n', b'e', b'w', 0x01]].concat();
    assert_eq!(datagram::decode(&later).expect("it can be decoded"), message(0));
    for len in 0..bytes.len() {
        assert!(datagram::decode(&bytes[..len]).is_err(), "{len}");
    }
}
