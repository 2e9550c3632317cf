//! Builds the digests and answers that VMs exchange, and picks the VMs that receive them.

use board::Board;
use model::prelude::*;
use proto::{
    gossip::{Digest, ListDigest, Pull, PullReply, Rumour},
    platform::{Version, VmRecord},
};

use crate::transfer::ConfigurationHistory;

/// How long a rumour is passed on after it was first heard.
pub const RUMOUR_LIFETIME: DurationUs = DurationUs::from_ms(6_000);

/// Rumours in a digest; the most recent ones are sent.
const RUMOURS_PER_DIGEST: usize = 8;

/// The digest of what this VM knows now.
pub fn digest(board: &Board, now: MonoTime) -> Digest {
    let fleet = &board.fleet;
    Digest {
        from: fleet.own_record(),
        generation: board.catalog.cfg.generation,
        dc_object: fleet.dc_object.as_ref().map_or(Version(0), |object| object.version),
        list: fleet.listed.as_ref().map(|l| ListDigest { hash: l.hash, age: l.read.now(now) }),
        platform_age: fleet.platform_contact.map(|contact| contact.now(now)),
        heard: fleet.dc_contacts.iter().map(|(dc, age)| (dc.clone(), age.now(now))).collect(),
        rumours: recent_rumours(board, now),
    }
}

/// The answer to a pull: what this VM has that is newer.
pub fn answer_pull(
    board: &Board,
    history: &ConfigurationHistory,
    pull: &Pull,
    now: MonoTime,
) -> PullReply {
    let listed = board.fleet.listed.as_ref().filter(|_| pull.list);
    let object = board.fleet.dc_object.as_deref();
    PullReply {
        configuration: history.transfer_from(pull.have),
        list: listed.map(|l| (l.vms.to_vec(), l.read.now(now))),
        dc_object: object
            .filter(|object| pull.dc_object.is_some_and(|have| object.version > have))
            .cloned(),
    }
}

/// One of the candidates, chosen by a random number; `None` if there are none.
pub fn pick<'a>(candidates: &[&'a VmRecord], random: u64) -> Option<&'a VmRecord> {
    let at = (random >> 8).checked_rem(candidates.len() as u64)?;
    Some(candidates[at as usize])
}

/// The pseudo-random number that follows `random`.
pub fn next_random(random: u64) -> u64 {
    let mixed = (random ^ (random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb).wrapping_add(0x9e37_79b9_7f4a_7c15)
}

/// Rumours for a digest, with their ages as of now.
fn recent_rumours(board: &Board, now: MonoTime) -> Vec<Rumour> {
    let recent = board.fleet.rumours.iter().rev().take(RUMOURS_PER_DIGEST);
    let aged = recent.map(|heard| match &heard.rumour {
        Rumour::Suspect { vm, incarnation, age } => Rumour::Suspect {
            vm: vm.clone(),
            incarnation: *incarnation,
            age: DurationUs(age.0 + now.since(heard.at).0),
        },
        Rumour::Vm(record) => Rumour::Vm(record.clone()),
    });
    aged.collect()
}
