//! Pulls of newer data from other VMs.

use board::{Board, VmIdentity};
use fleet::distribution::{FleetController, FleetEffect, FleetEvent};
use fleet::gossip::digest;
use model::prelude::*;
use proto::platform::{VmRecord, VmState};

fn record(vm: &str) -> VmRecord {
    VmRecord {
        vm: VmName::new(vm).expect("a name"),
        incarnation: Incarnation(1),
        dc: DcName::new("a").expect("a name"),
        peer_address: format!("{vm}:1"),
        state: VmState::Live,
    }
}

fn board(me: &VmRecord) -> Board {
    Board::new(VmIdentity {
        vm: me.vm.clone(),
        incarnation: me.incarnation,
        dc: me.dc.clone(),
        peer_address: me.peer_address.clone(),
    })
}

/// Guards against a second transfer of a document beside the first, which halves the bandwidth of both, and
/// against a VM that pulls nothing any more after a failed pull.
#[test]
fn pull_is_repeated_only_after_its_end() {
    let (me, peer) = (record("me"), record("peer"));
    let mut mine = board(&me);
    let mut controller = FleetController::new(me);
    let mut theirs = digest(&board(&peer), MonoTime(0));
    theirs.generation = Generation(5);
    let mut pulls_at = |event: FleetEvent, ms: u64| {
        let now = MonoTime(0) + DurationUs::from_ms(ms);
        let effects = controller.handle(&mut mine, event, now, 1);
        effects.iter().filter(|effect| matches!(effect, FleetEffect::Pull(..))).count()
    };
    let ahead = || FleetEvent::DigestReceived(Box::new(theirs.clone()));
    assert_eq!(pulls_at(ahead(), 0), 1);
    assert_eq!(pulls_at(FleetEvent::Tick, 3_000), 0);
    assert_eq!(pulls_at(ahead(), 3_000), 0, "the first answer may still be arriving");
    assert_eq!(pulls_at(FleetEvent::PullFailed, 3_100), 0);
    assert_eq!(pulls_at(ahead(), 3_200), 1);
}
