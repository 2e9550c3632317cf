//! Snapshots that peers fetch: only parts that are newer than theirs, and as small updates.

use node::{PartUpdate, Snapshot, SnapshotHistory, SnapshotVersions};

#[test]
fn newer_than_omits_known_versions() {
    let whole = Snapshot {
        generation: 7,
        configuration: "config".into(),
        registry: 20,
        databases: "databases".into(),
        members_version: 30,
        members: "members".into(),
        ..Snapshot::default()
    };
    let check = |known: [u64; 3], expected: [(u64, &str); 3]| {
        let [generation, registry, members] = known;
        let newer =
            whole.newer_than(SnapshotVersions { generation, registry, members, evacuations: None });
        let found = [
            (newer.generation, &newer.configuration[..]),
            (newer.registry, &newer.databases[..]),
            (newer.members_version, &newer.members[..]),
        ];
        let expected = expected.map(|(version, text)| (version, text.as_bytes()));
        assert_eq!(found, expected, "{known:?}");
    };
    check([0, 0, 0], [(7, "config"), (20, "databases"), (30, "members")]);
    check([7, 19, 30], [(0, ""), (20, "databases"), (0, "")]);
    check([6, 25, 31], [(7, "config"), (0, ""), (0, "")]);
}

/// A list of VMs as JSON, with `left_out` missing.
fn members(count: usize, left_out: Option<usize>) -> String {
    let listed = (0..count).filter(|vm| Some(*vm) != left_out);
    let entries = listed.map(|vm| {
        let (block, host) = (vm / 250, vm % 250);
        let born = 1_772_042_100_000 + vm * vm * 7_919 % 10_007;
        format!(
            r#""vm-{vm}":{{"address":"10.{block}.0.{host}:7120","incarnation":{born},"dc":"dc-{}"}}"#,
            vm % 6
        )
    });
    format!("{{{}}}", entries.collect::<Vec<_>>().join(","))
}

fn history(versions: &[(u64, String)]) -> SnapshotHistory {
    let mut history = SnapshotHistory::default();
    for (version, members) in versions {
        history.change(|snapshot| {
            (snapshot.members_version, snapshot.members) = (*version, members.clone().into());
        });
    }
    history
}

fn encoded_len(updates: &[PartUpdate]) -> usize {
    rmp_serde::to_vec(updates).expect("updates can be encoded").len()
}

/// Guards against whole lists being sent for each VM that starts: hundreds of VMs fetch them from a
/// few others.
#[test]
fn update_by_one_vm_fits_into_a_packet() {
    /// Payload of a packet, in bytes.
    const PACKET_BYTES: usize = 1_400;
    let all = members(300, None);
    let mut ahead = history(&[(7, members(300, Some(150))), (9, all.clone())]);
    let behind = history(&[(7, members(300, Some(150)))]);
    let updates = ahead.updates_since(behind.versions()).expect("an update");
    let len = encoded_len(&updates);
    assert!(len <= PACKET_BYTES, "{len} of {} bytes", all.len());
    let fetched = behind.decode(&updates).expect("a version that it has");
    assert_eq!((fetched.members_version, fetched.members), (9, all.into()));
    assert_eq!(fetched.generation, 0);
}

#[test]
fn update_of_an_unknown_version_is_whole() {
    let all = members(300, None);
    let mut ahead = history(&[(9, all.clone())]);
    let behind = history(&[(7, members(300, Some(150)))]);
    let updates = ahead.updates_since(behind.versions()).expect("an update");
    let fetched = behind.decode(&updates).expect("needs no other version");
    assert_eq!((fetched.members_version, fetched.members), (9, all.into()));
}

#[test]
fn update_is_not_decoded_with_another_document() {
    let mut ahead = history(&[(7, members(300, Some(150))), (9, members(300, None))]);
    let other = history(&[(7, members(300, Some(20)))]);
    let later = history(&[(8, members(300, Some(150)))]);
    let updates = ahead.updates_since(other.versions()).expect("an update");
    assert!(other.decode(&updates).is_err());
    assert!(later.decode(&updates).is_err(), "it never had version 7");
}

#[test]
fn update_is_based_on_each_version_that_is_kept() {
    let versions: Vec<(u64, String)> =
        (1..40).map(|v| (v, members(300, Some(v as usize)))).collect();
    let mut ahead = history(&versions);
    for (version, document) in &versions[..38] {
        let behind = history(&[(*version, document.clone())]);
        let updates = ahead.updates_since(behind.versions()).expect("an update");
        let fetched = behind.decode(&updates).expect("a version that it has");
        assert_eq!(fetched.members, versions[38].1, "from version {version}");
    }
    assert!(ahead.updates_since(ahead.versions()).expect("nothing").is_empty());
}

/// Two listings of several pages may give the same version with different contents.
#[test]
fn update_has_the_newest_document_of_a_version() {
    let mut ahead = history(&[(9, members(300, Some(20)))]);
    let none = SnapshotHistory::default();
    ahead.updates_since(none.versions()).expect("an update");
    ahead.change(|snapshot| snapshot.members = members(300, None).into());
    let updates = ahead.updates_since(none.versions()).expect("an update");
    assert_eq!(none.decode(&updates).expect("whole").members, members(300, None));
}

/// Routes of a configuration as JSON, with hosts that don't compress well.
fn routes(count: u64) -> String {
    let route = |number: u64| {
        let host = format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        format!(
            r#"{{"host":"{host}","type":"read_your_writes","service":"ledger-{}","timeoutMs":{},
            "targetLatencyMs":600,"maxAttempts":2,"maxStalenessMs":2500,"priority":1,"public":false}}"#,
            number % 8,
            900 + number % 40,
        )
    };
    format!("[{}]", (0..count).map(route).collect::<Vec<_>>().join(","))
}

fn configured(versions: &[(u64, String)]) -> SnapshotHistory {
    let mut history = SnapshotHistory::default();
    for (generation, configuration) in versions {
        history.change(|snapshot| {
            (snapshot.generation, snapshot.configuration) =
                (*generation, configuration.clone().into());
        });
    }
    history
}

/// Guards against a large configuration being sent whole to every VM for each small change.
#[test]
fn update_of_a_large_configuration_by_one_route_fits_into_a_packet() {
    /// Payload of a packet, in bytes.
    const PACKET_BYTES: usize = 1_400;
    let (before, after) = (routes(4_300), routes(4_301));
    let mut ahead = configured(&[(19, before.clone()), (22, after.clone())]);
    let behind = configured(&[(19, before)]);
    let updates = ahead.updates_since(behind.versions()).expect("an update");
    let len = encoded_len(&updates);
    assert!(len <= PACKET_BYTES, "{len} of {} bytes", after.len());
    let fetched = behind.decode(&updates).expect("a version that it has");
    assert_eq!((fetched.generation, fetched.configuration), (22, after.into()));
}

/// Guards against a peer of an earlier build that gets a part which it can't decode, and against a newer build that
/// does not get it.
#[test]
fn evacuations_only_sent_to_builds_that_know_them() {
    let mut history = history(&[(5, members(3, None))]);
    history.change(|snapshot| {
        (snapshot.evacuations_version, snapshot.evacuations) = (9, r#"{"dc-b":null}"#.into());
    });
    let decoded = |history: &mut SnapshotHistory, known| {
        let updates = history.updates_since(known).expect("updates");
        let bytes = rmp_serde::to_vec(&updates).expect("updates can be encoded");
        let received: Vec<PartUpdate> = rmp_serde::from_slice(&bytes).expect("updates");
        (received.len(), SnapshotHistory::default().decode(&received).expect("decoded"))
    };
    let earlier = SnapshotVersions { evacuations: None, ..SnapshotVersions::NONE };
    let (parts, snapshot) = decoded(&mut history, earlier);
    assert_eq!((parts, snapshot.members_version, snapshot.evacuations_version), (1, 5, 0));
    let (parts, snapshot) = decoded(&mut history, SnapshotVersions::NONE);
    assert_eq!((parts, snapshot.evacuations_version), (2, 9));
    assert_eq!(snapshot.evacuations, &br#"{"dc-b":null}"#[..]);
    let known = SnapshotVersions { evacuations: Some(9), members: 5, ..SnapshotVersions::NONE };
    assert_eq!(decoded(&mut history, known).0, 0);
}

/// Guards against a whole snapshot, which only builds without updates fetch, that has more fields than they know.
#[test]
fn whole_snapshot_keeps_its_six_fields() {
    let whole = Snapshot {
        generation: 7,
        configuration: "config".into(),
        evacuations_version: 9,
        evacuations: "{}".into(),
        ..Snapshot::default()
    };
    let bytes = rmp_serde::to_vec(&whole).expect("it can be encoded");
    type Earlier = (u64, Vec<u8>, u64, Vec<u8>, u64, Vec<u8>);
    let earlier: Earlier = rmp_serde::from_slice(&bytes).expect("an earlier build decodes it");
    assert_eq!((earlier.0, &earlier.1[..]), (7, &b"config"[..]));
}
