//! Dating of peer messages, and leases.

use std::{net::SocketAddr, sync::Arc};

use gateway::{
    Effect, Engine, Identity,
    catalog::{Catalog, ServiceLimits},
    fleet::FleetView,
    peers::{
        Echo, Heartbeat, HeartbeatTiming, MemberList, MemberRecord, PeerBody, PeerMessage,
        Timestamps,
    },
    policy::Policy,
    witnesses::{Candidate, Capacity, LEASE_DURATION, WitnessSet},
};
use model::prelude::*;
use slog::{Discard, Logger, o};

const RUN: Incarnation = Incarnation(7);

fn at(ms: u64) -> MonoTime {
    MonoTime(0) + DurationUs::from_ms(ms)
}

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm-{index}")).expect("a name")
}

/// A list of VMs in one data centre, of which as many as possible are witnesses.
fn list(members: usize) -> MemberList {
    let dc = DcName::new("dc-a").expect("a name");
    let record = |index: usize| MemberRecord {
        accepts_links: true,
        vm: vm(index),
        address: ([10, 0, 0, index as u8], 7000).into(),
        incarnation: Incarnation(1),
        dc: dc.clone(),
        capacity: Capacity::default(),
    };
    let records: Vec<MemberRecord> = (0..members).map(record).collect();
    let vms = records.iter().map(Candidate::from);
    let witnesses = Some(WitnessSet::default().choose_next(vms));
    MemberList { version: 1, records, witnesses }
}

fn fleet(members: usize) -> FleetView {
    let mut fleet = FleetView::new(vm(0), RUN, DcName::new("dc-a").expect("a name"));
    fleet.set_members(at(0), &list(members));
    fleet
}

fn receive(
    fleet: &mut FleetView,
    now: MonoTime,
    from: usize,
    echo: Echo,
) -> Option<HeartbeatTiming> {
    receive_with_step(fleet, now, from, echo, 1)
}

fn receive_with_step(
    fleet: &mut FleetView,
    now: MonoTime,
    from: usize,
    echo: Echo,
    step: u64,
) -> Option<HeartbeatTiming> {
    let stamps = Timestamps { sent: now, echo: Some(echo) };
    fleet.record_timestamps(now, &vm(from), Incarnation(1), stamps, step)
}

#[test]
fn record_timestamps_dates_by_the_echo_of_this_incarnation() {
    let check = |echo: Echo, expected: Option<MonoTime>| {
        let timing = receive(&mut fleet(3), at(20_000), 1, echo).expect("a member");
        assert_eq!(timing.sent_after, expected, "{echo:?}");
    };
    let held = DurationUs::from_ms(100);
    check(Echo { stamp: at(19_700), held, run: RUN }, Some(at(19_800)));
    // The clock of another incarnation has another origin.
    check(Echo { stamp: at(19_700), held, run: Incarnation(6) }, None);
    check(Echo { stamp: at(25_000), held, run: RUN }, None);
}

#[test]
fn lease_is_that_of_the_majority() {
    let mut fleet = fleet(5);
    let held = DurationUs(0);
    assert_eq!(fleet.lease_until(at(10_000)), None);
    receive(&mut fleet, at(10_000), 1, Echo { stamp: at(9_900), held, run: RUN });
    assert_eq!(fleet.lease_until(at(10_000)), None, "only two of five, with this VM");
    receive(&mut fleet, at(10_000), 2, Echo { stamp: at(9_700), held, run: Incarnation(6) });
    assert_eq!(fleet.lease_until(at(10_000)), None, "the third echoed another incarnation");
    receive(&mut fleet, at(10_001), 2, Echo { stamp: at(9_700), held, run: RUN });
    assert_eq!(fleet.lease_until(at(10_001)), Some(at(9_700) + LEASE_DURATION));
    receive(&mut fleet, at(10_002), 3, Echo { stamp: at(9_950), held, run: RUN });
    assert_eq!(fleet.lease_until(at(10_002)), Some(at(9_900) + LEASE_DURATION));
}

#[test]
fn lease_requires_a_member_list() {
    let fleet = FleetView::new(vm(0), RUN, DcName::new("dc-a").expect("a name"));
    assert_eq!(fleet.lease_until(at(1_000)), None);
}

#[test]
fn lease_ignores_witnesses_on_a_later_set() {
    let mut fleet = fleet(5);
    let (now, held) = (at(10_000), DurationUs(0));
    let echo = Echo { stamp: at(9_900), held, run: RUN };
    receive(&mut fleet, now, 1, echo);
    receive_with_step(&mut fleet, now, 2, echo, 2);
    assert_eq!(
        fleet.lease_until(now),
        None,
        "the third may have made a promise under the later set"
    );
    receive(&mut fleet, now, 3, echo);
    assert_eq!(fleet.lease_until(now), Some(at(9_900) + LEASE_DURATION));
}

fn heartbeat(lease_left: Option<DurationUs>) -> Heartbeat {
    Heartbeat {
        stamps: Timestamps { sent: at(0), echo: None },
        generation: 1,
        registry: 1,
        services: Vec::new(),
        demands: Vec::new(),
        grants: Vec::new(),
        terms_total: 0,
        members: 1,
        witness_step: 1,
        lease_left,
        live_witnesses: 0,
        spare: None,
        wants_notes: false,
        reaches_store: true,
        stopping: false,
        evacuations: 0,
    }
}

#[test]
fn lease_through_a_witness_counts_from_the_proven_send_time() {
    let left = Some(DurationUs::from_ms(700));
    let check = |from: usize, sent_after, left, expected: Option<MonoTime>| {
        let mut fleet = fleet(12);
        fleet.record_heartbeat(&vm(from), sent_after, heartbeat(left));
        assert_eq!(fleet.lease_until(at(10_000)), expected, "VM {from}, {sent_after:?}, {left:?}");
    };
    let witnesses = fleet(12).witnesses().vms.clone();
    let witness = (1..12).find(|index| witnesses.contains(&vm(*index))).expect("a witness");
    let other = (1..12).find(|index| !witnesses.contains(&vm(*index))).expect("no witness");
    check(witness, Some(at(9_800)), left, Some(at(10_500)));
    check(witness, None, left, None);
    check(witness, Some(at(9_800)), None, None);
    check(other, Some(at(9_800)), left, None);
}

/// The engine of the first of three VMs, at 1 s.
fn engine_of_three() -> Engine {
    engine_with_policy(Policy::default())
}

fn engine_with_policy(policy: Policy) -> Engine {
    let id = Identity {
        vm: vm(0),
        incarnation: RUN,
        dc: DcName::new("dc-a").expect("a name"),
        regions: FxHashMap::default(),
        first_start: true,
        policy,
        decode_status: |_| None,
    };
    let mut engine = Engine::new(id, Logger::root(Discard, o!()), at(1_000));
    engine.set_members(at(1_000), &list(3));
    engine
}

/// Delivers a message of another VM to an engine.
fn deliver(engine: &mut Engine, now: MonoTime, from: usize, body: PeerBody) {
    let source = SocketAddr::from(([10, 0, 0, from as u8], 7000));
    let message = PeerMessage { from: vm(from), incarnation: Incarnation(1), body };
    engine.peer_message(now, source, message);
}

/// Guards against a heartbeat that leaves out a promise: its receiver may rely on the lease in it.
#[test]
fn heartbeat_reports_all_promises() {
    let service = |index: usize| ServiceName::new(format!("svc-{index}")).expect("a name");
    let limits = ServiceLimits { connections: 10, ..ServiceLimits::default() };
    let services = (0..40).map(|index| (service(index), limits)).collect();
    let catalog = Catalog { generation: 1, services, ..Catalog::default() };
    let mut engine = engine_of_three();
    engine.set_catalog(at(1_000), Arc::new(catalog));
    for index in 0..30 {
        let body = PeerBody::Stop { service: service(index), term: Term(1), planned: false };
        deliver(&mut engine, at(1_100), 1, body);
    }
    engine.take_effects();
    engine.tick(at(1_500));
    let promises: Vec<usize> = engine
        .take_effects()
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::ToPeer(_, PeerMessage { body: PeerBody::Heartbeat(heartbeat), .. }) => {
                let notes = heartbeat.services.iter();
                Some(notes.filter(|note| note.stopped_for.is_some()).count())
            }
            _ => None,
        })
        .collect();
    assert_eq!(promises, [30, 30]);
}

/// Guards against a VM that fetches the same list several times over a busy link.
#[test]
fn only_one_fetch_from_a_peer_is_in_progress() {
    let mut engine = engine_of_three();
    let fetches_at = |engine: &mut Engine, ms: u64| {
        for from in [1, 2] {
            let stamps = Timestamps { sent: at(ms), echo: None };
            let newer = Heartbeat { members: 2, stamps, ..heartbeat(None) };
            deliver(engine, at(ms), from, PeerBody::Heartbeat(newer));
        }
        let effects = engine.take_effects();
        effects.iter().filter(|effect| matches!(effect, Effect::FetchFromPeer(_))).count()
    };
    assert_eq!(fetches_at(&mut engine, 2_000), 1);
    assert_eq!(fetches_at(&mut engine, 2_900), 0, "the first one is in progress");
    engine.fetch_ended(at(3_000));
    assert_eq!(fetches_at(&mut engine, 3_000), 1);
}

/// Guards against lists of evacuations that are fetched again and again, and newer ones that are not.
#[test]
fn newer_evacuations_are_fetched_where_the_deployment_has_them() {
    let fetches = |evacuation_bound, evacuations| {
        let mut engine = engine_with_policy(Policy { evacuation_bound, ..Policy::default() });
        engine.set_evacuations(at(1_000), 5, Vec::new());
        let stamps = Timestamps { sent: at(2_000), echo: None };
        let announced =
            Heartbeat { evacuations, stamps, generation: 0, registry: 0, ..heartbeat(None) };
        deliver(&mut engine, at(2_000), 1, PeerBody::Heartbeat(announced));
        engine.take_effects().iter().any(|effect| matches!(effect, Effect::FetchFromPeer(_)))
    };
    let bound = Some(DurationUs::from_ms(5_000));
    assert!(fetches(bound, 6));
    assert!(!fetches(bound, 5));
    assert!(!fetches(None, 6));
}
