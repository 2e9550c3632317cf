//! Peer messages made without the fleet's secret are refused, and arbitrary bytes cause no panic.

use edge::peer::{PeerInstance, decode, encode, verify, verify_introduction};
use http::{HeaderMap, HeaderName, HeaderValue};
use model::{key::FleetSecret, prelude::*};
use proto::{
    peer::{PeerReply, PeerRequest},
    report::{Counts, Day, Minute, Snapshot, TallyReport, VmReport},
};
use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 43;
const TESTS: u64 = 3_000;

fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(80, SEED)).tests(TESTS).quickcheck(property);
}

fn headers(stamp: &[u8], mac: &[u8]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [("jasminepass-stamp", stamp), ("jasminepass-mac", mac)] {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    headers
}

fn is_refused(headers: &HeaderMap, body: &[u8]) -> bool {
    let secret = FleetSecret::new("a fleet secret for tests").expect("long enough");
    let vm = VmName::new("north-1").expect("a name");
    let me = PeerInstance { vm, incarnation: Incarnation(7) };
    verify(&secret, &me, headers, body).is_err()
        && verify_introduction(&secret, headers, body).is_err()
}

#[test]
fn verify_refuses_arbitrary_headers() {
    fn run(stamp: Vec<u8>, mac: Vec<u8>, body: Vec<u8>) -> bool {
        is_refused(&headers(&stamp, &mac), &body)
    }
    check(run as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn verify_refuses_well_formed_stamps_without_the_secret() {
    fn run(incarnation: u64, sequence: u64, mac: Vec<u8>, body: Vec<u8>) -> bool {
        let stamp = format!("south-1 {incarnation} {sequence}");
        let hex: String = mac.iter().map(|byte| format!("{byte:02x}")).collect();
        is_refused(&headers(stamp.as_bytes(), hex.as_bytes()), &body)
    }
    check(run as fn(u64, u64, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn decode_arbitrary_bytes_does_not_panic() {
    fn run(body: Vec<u8>) -> bool {
        let _ = decode::<PeerRequest>(&body);
        let _ = decode::<PeerReply>(&body);
        true
    }
    check(run as fn(Vec<u8>) -> bool);
}

#[test]
fn decode_damaged_message_does_not_panic() {
    fn run(at: usize, by: u8, cut: usize) -> bool {
        let mut body = encode(&report()).to_vec();
        let at = at % body.len();
        body[at] = by;
        let _ = decode::<PeerRequest>(&body);
        body.truncate(cut % body.len());
        let _ = decode::<PeerRequest>(&body);
        true
    }
    check(run as fn(usize, u8, usize) -> bool);
}

fn report() -> PeerRequest {
    let report = VmReport {
        vm: VmName::new("north-1").expect("a name"),
        incarnation: Incarnation(7),
        generation: Generation(4),
        stopping: false,
        portions: 3,
        suspects: vec![VmName::new("north-2").expect("a name")],
        slots: Vec::new(),
    };
    let workspace = WorkspaceName::new("calgary").expect("a name");
    let totals = vec![(workspace, Counts { requests: 300, weight: 900, good: 299, bad: 1 })];
    let snapshots = vec![Snapshot { day: Day(20_000), minute: Minute(29_000_000), totals }];
    PeerRequest::Report(Box::new(report), TallyReport { number: 9, snapshots })
}

#[test]
fn decode_reads_what_encode_wrote() {
    assert_eq!(decode::<PeerRequest>(&encode(&report())), Ok(report()));
}
