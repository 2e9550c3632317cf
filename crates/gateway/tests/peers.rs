//! Dating what peers say, and leases.

use gateway::{
    peers::{Echo, Heard, LEASE, MemberList, MemberRecord, Roster, Stamps},
    witnesses::WitnessSet,
};
use model::prelude::*;

const RUN: Incarnation = Incarnation(7);

fn at(ms: u64) -> MonoTime {
    MonoTime(0) + DurationUs::from_ms(ms)
}

fn vm(index: usize) -> VmName {
    VmName::new(format!("vm-{index}")).expect("a name")
}

fn roster(members: usize) -> Roster {
    let dc = DcName::new("dc-a").expect("a name");
    let record = |index: usize| MemberRecord {
        vm: vm(index),
        address: ([10, 0, 0, index as u8], 7000).into(),
        incarnation: Incarnation(1),
        dc: dc.clone(),
    };
    let mut roster = Roster::new(vm(0), RUN, dc.clone());
    let records: Vec<MemberRecord> = (0..members).map(record).collect();
    let vms = records.iter().map(|record| (&record.vm, &record.dc));
    let witnesses = Some(WitnessSet::default().choose_next(vms));
    roster.set_members(at(0), &MemberList { version: 1, records, witnesses });
    roster
}

fn hear(roster: &mut Roster, now: MonoTime, from: usize, echo: Echo) -> Option<Heard> {
    hear_with_step(roster, now, from, echo, 1)
}

fn hear_with_step(
    roster: &mut Roster,
    now: MonoTime,
    from: usize,
    echo: Echo,
    step: u64,
) -> Option<Heard> {
    let stamps = Stamps { sent: now, echo: Some(echo) };
    roster.hear(now, &vm(from), Incarnation(1), stamps, step)
}

#[test]
fn what_is_said_is_dated_by_the_echo_of_this_run() {
    let check = |echo: Echo, expected: Option<MonoTime>| {
        let heard = hear(&mut roster(3), at(20_000), 1, echo).expect("a member");
        assert_eq!(heard.said_after, expected, "{echo:?}");
    };
    let held = DurationUs::from_ms(100);
    check(Echo { stamp: at(19_700), held, run: RUN }, Some(at(19_800)));
    // The clock of the run before stood elsewhere.
    check(Echo { stamp: at(19_700), held, run: Incarnation(6) }, None);
    check(Echo { stamp: at(25_000), held, run: RUN }, None);
}

#[test]
fn lease_is_that_of_the_majority() {
    let mut roster = roster(5);
    let held = DurationUs(0);
    assert_eq!(roster.lease_until(at(10_000)), None);
    hear(&mut roster, at(10_000), 1, Echo { stamp: at(9_900), held, run: RUN });
    assert_eq!(roster.lease_until(at(10_000)), None, "two of five");
    hear(&mut roster, at(10_000), 2, Echo { stamp: at(9_700), held, run: Incarnation(6) });
    assert_eq!(roster.lease_until(at(10_000)), None, "the third spoke to another run");
    hear(&mut roster, at(10_001), 2, Echo { stamp: at(9_700), held, run: RUN });
    assert_eq!(roster.lease_until(at(10_001)), Some(at(9_700) + LEASE));
    hear(&mut roster, at(10_002), 3, Echo { stamp: at(9_950), held, run: RUN });
    assert_eq!(roster.lease_until(at(10_002)), Some(at(9_900) + LEASE));
}

#[test]
fn nobody_has_a_lease_before_the_members_are_known() {
    let roster = Roster::new(vm(0), RUN, DcName::new("dc-a").expect("a name"));
    assert_eq!(roster.lease_until(at(1_000)), None);
}

#[test]
fn lease_counts_no_witness_that_uses_a_later_set() {
    let mut roster = roster(5);
    let (now, held) = (at(10_000), DurationUs(0));
    let echo = Echo { stamp: at(9_900), held, run: RUN };
    hear(&mut roster, now, 1, echo);
    hear_with_step(&mut roster, now, 2, echo, 2);
    assert_eq!(roster.lease_until(now), None, "the third may have promised something since");
    hear(&mut roster, now, 3, echo);
    assert_eq!(roster.lease_until(now), Some(at(9_900) + LEASE));
}
