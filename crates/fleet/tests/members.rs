//! Members of the fleet, derived from late lists and late announcements of VMs.

use board::{Board, VmIdentity, fleet::Age};
use fleet::members::Membership;
use model::prelude::*;
use proto::platform::{VmRecord, VmState};

/// What a VM learns: a list (`L`) or a VM's announcement of itself (`H`). VMs are written as
/// `name/incarnation`, with `-` appended if they are leaving.
enum Step {
    L(&'static str),
    H(&'static str),
}

use Step::{H, L};

fn record(text: &str) -> VmRecord {
    let leaves = text.ends_with('-');
    let (vm, run) = text.trim_end_matches('-').split_once('/').expect("name/incarnation");
    VmRecord {
        vm: VmName::new(vm).expect("a name"),
        incarnation: Incarnation(run.parse().expect("a number")),
        dc: DcName::new("a").expect("a name"),
        peer_address: format!("{vm}:{run}"),
        state: if leaves { VmState::Leaving } else { VmState::Live },
    }
}

fn text(record: &VmRecord) -> String {
    let leaves = if record.state == VmState::Leaving { "-" } else { "" };
    format!("{}/{}{leaves}", record.vm, record.incarnation.0)
}

fn check(steps: &[Step], expected: &str) {
    let me = record("me/1");
    let mut board = Board::new(VmIdentity {
        vm: me.vm.clone(),
        incarnation: me.incarnation,
        dc: me.dc.clone(),
        peer_address: me.peer_address.clone(),
    });
    let mut members = Membership::new(me);
    for (at, step) in steps.iter().enumerate() {
        match step {
            L(list) => {
                let vms = list.split(' ').map(record).collect();
                members.apply_list(&mut board, vms, Age::zero(MonoTime(at as u64)));
            }
            H(word) => {
                members.apply_record(&mut board, &record(word));
            }
        }
    }
    let found: Vec<String> = board.fleet.vms.iter().map(text).collect();
    assert_eq!(found.join(" "), expected);
}

#[test]
fn members_are_the_list_and_this_vm() {
    check(&[], "me/1");
    check(&[L("a/1 b/1")], "a/1 b/1 me/1");
    check(&[L("a/1 b/1 me/1"), L("b/1 me/1")], "b/1 me/1");
}

#[test]
fn members_include_announced_vms_not_yet_listed() {
    check(&[L("me/1"), H("a/1")], "a/1 me/1");
    check(&[L("me/1"), H("a/1"), L("b/1 me/1")], "a/1 b/1 me/1");
    check(&[H("a/1"), L("a/1 me/1"), L("b/1 me/1")], "b/1 me/1");
    check(&[L("a/1 me/1"), L("b/1 me/1"), H("a/1")], "b/1 me/1");
}

#[test]
fn members_that_announced_to_leave_are_leaving() {
    check(&[L("a/1 me/1"), H("a/1-")], "a/1- me/1");
    check(&[L("a/1 me/1"), H("a/1-"), H("a/1")], "a/1- me/1");
    check(&[L("a/1 me/1"), H("a/1-"), L("a/1 b/1 me/1")], "a/1- b/1 me/1");
    check(&[L("a/1- me/1"), H("a/1")], "a/1- me/1");
}

#[test]
fn members_exclude_replaced_incarnations_for_good() {
    check(&[L("a/7 me/1"), H("a/2")], "a/2 me/1");
    check(&[L("a/7 me/1"), H("a/2"), H("a/7")], "a/2 me/1");
    check(&[L("a/7 me/1"), H("a/2"), L("a/7 b/1 me/1")], "a/2 b/1 me/1");
    check(&[L("a/7 me/1"), L("a/2 me/1"), H("a/7")], "a/2 me/1");
    check(&[L("a/7 me/1"), L("a/2 me/1"), L("a/7 me/1")], "me/1");
    check(&[H("a/2"), L("a/7 me/1")], "a/2 me/1");
    check(&[L("a/7 me/1"), L("me/1"), H("a/2"), H("a/7-")], "a/2 me/1");
    check(&[L("a/7 me/1"), L("me/1"), H("a/2"), H("a/7-"), L("a/2 me/1")], "a/2 me/1");
    check(&[L("a/7 me/1"), L("me/1"), H("a/2"), L("a/7 me/1")], "a/2 me/1");
    check(&[L("a/7 me/1"), L("me/1"), H("a/2"), L("a/7 me/1"), L("a/2 me/1")], "a/2 me/1");
}
