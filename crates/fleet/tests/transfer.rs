//! Transfers of configurations between VMs.

use config::{Configuration, KeyRecord, KeyState};
use fleet::transfer::{ConfigurationHistory, TransferError, apply_transfer};
use model::{key::KeyHash, prelude::*};
use proto::gossip::Transfer;

fn configuration(generation: u64) -> Configuration {
    let key = |number: u64| KeyRecord {
        name: KeyName::new(format!("k{number}")).expect("a name"),
        workspace: WorkspaceName::new("w").expect("a name"),
        hash: KeyHash(format!("{:064x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        state: if number < generation { KeyState::Withdrawn } else { KeyState::Valid },
    };
    let generation_number = Generation(generation);
    Configuration {
        generation: generation_number,
        change_id: generation,
        keys: (0..200).map(key).collect(),
        ..Configuration::empty()
    }
}

fn outgoing(generations: std::ops::RangeInclusive<u64>) -> ConfigurationHistory {
    generations.fold(ConfigurationHistory::empty(), |out, g| out.with_next(configuration(g)))
}

fn bytes(transfer: &Transfer) -> usize {
    match transfer {
        Transfer::Whole(bytes) => bytes.len(),
        Transfer::Changes(changes) => changes.iter().map(|change| change.patch.len()).sum(),
    }
}

#[test]
fn transfer_from_sends_changes_where_it_can() {
    for (in_force, have, changes) in [
        (1..=9, 8, Some(1)),
        (1..=9, 5, Some(4)),
        (1..=9, 0, None),
        (4..=9, 3, None),
        (1..=60, 10, None),
        (1..=60, 50, Some(10)),
    ] {
        let newest = *in_force.end();
        let transfer = outgoing(in_force).transfer_from(Generation(have)).expect("something newer");
        let found = match &transfer {
            Transfer::Whole(_) => None,
            Transfer::Changes(changes) => Some(changes.len()),
        };
        assert_eq!(found, changes, "from {have} to {newest}");
        let made = apply_transfer(&configuration(have), &transfer).expect("the transfer applies");
        assert_eq!(made, configuration(newest));
        assert!(changes.is_none_or(|n| bytes(&transfer) < n * 200), "{} bytes", bytes(&transfer));
    }
}

#[test]
fn transfer_from_sends_nothing_to_vms_as_new() {
    for have in [9, 10] {
        assert!(outgoing(1..=9).transfer_from(Generation(have)).is_none());
    }
}

#[test]
fn apply_transfer_rejects_mismatched_changes() {
    let transfer = outgoing(1..=9).transfer_from(Generation(8)).expect("something newer");
    let mut other = configuration(8);
    other.keys[150].state = KeyState::Withdrawn;
    for current in [configuration(7), other] {
        assert!(matches!(apply_transfer(&current, &transfer), Err(TransferError::Mismatch)));
    }
    let garbage = Transfer::Whole(vec![1, 2, 3].into());
    assert!(matches!(
        apply_transfer(&configuration(8), &garbage),
        Err(TransferError::Unreadable(_))
    ));
}
