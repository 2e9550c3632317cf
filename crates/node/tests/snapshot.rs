//! A snapshot fetched by a peer contains only the parts that are newer than the peer's.

use node::{Snapshot, SnapshotVersions};

#[test]
fn newer_than_omits_known_versions() {
    let whole = Snapshot {
        generation: 7,
        configuration: "config".into(),
        registry: 20,
        databases: "databases".into(),
        members_version: 30,
        members: "members".into(),
    };
    let check = |known: [u64; 3], expected: [(u64, &str); 3]| {
        let [generation, registry, members] = known;
        let newer = whole.newer_than(SnapshotVersions { generation, registry, members });
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
