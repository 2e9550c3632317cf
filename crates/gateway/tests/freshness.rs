//! The position that a read has to see.

mod world;

use gateway::freshness::ServiceFreshness;
use model::prelude::*;
use world::{BOUNDED, Endpoint, KEY, LATEST, World, read, write};

fn at(ms: u64) -> MonoTime {
    MonoTime(0) + DurationUs::from_ms(ms)
}

fn position(term: u64, index: u64) -> Position {
    Position::new(Term(term), index)
}

fn observed(samples: &[(u64, u64)]) -> ServiceFreshness {
    let mut freshness = ServiceFreshness::default();
    freshness.begin_term(Term(1));
    for (ms, index) in samples {
        freshness.observe(at(*ms), position(1, *index));
    }
    freshness
}

#[test]
fn required_position_is_the_oldest_bound_within_the_age() {
    let check = |now, age, expected: Option<u64>| {
        let freshness = observed(&[(1_000, 5), (2_000, 9), (3_000, 12)]);
        let required = freshness.required_position(at(now), DurationUs::from_ms(age));
        assert_eq!(required, expected.map(|index| position(1, index)), "at {now} within {age}");
    };
    check(3_100, 2_500, Some(5));
    check(3_100, 1_500, Some(9));
    check(3_100, 1_000, Some(12));
    check(5_000, 1_000, None);
}

#[test]
fn required_position_is_the_lower_of_two_reordered_answers() {
    let freshness = observed(&[(2_000, 9), (2_100, 8)]);
    let required = freshness.required_position(at(2_200), DurationUs::from_ms(1_000));
    assert_eq!(required, Some(position(1, 8)));
}

#[test]
fn in_current_term_maps_earlier_terms_to_the_lowest_position() {
    let mut freshness = observed(&[(1_000, 5)]);
    assert_eq!(freshness.in_current_term(position(1, 5)), Some(position(1, 5)));
    freshness.begin_term(Term(2));
    assert_eq!(freshness.in_current_term(position(1, 5)), None);
    freshness.observe(at(2_000), position(1, 5));
    assert_eq!(freshness.required_position(at(2_100), DurationUs::from_ms(1_000)), None);
    freshness.observe(at(2_000), position(2, 4));
    assert_eq!(freshness.in_current_term(position(1, 5)), Some(position(2, 4)));
}

/// Guards against reads that miss a commit older than their bound, while replicas receive nothing.
#[test]
fn bounded_read_sees_commits_older_than_its_age() {
    let mut world = World::new(3);
    let (writer, reader) = (world.open(0, LATEST, KEY), world.open(1, BOUNDED, KEY));
    // The reader's VM learns positions from its peers only.
    world.cut(Endpoint::Vm(1), Endpoint::Database(0));
    let mut commits: Vec<(MonoTime, String)> = Vec::new();
    let mut served = 0;
    for round in 0..40 {
        world.replicating = round % 20 < 3;
        let id = format!("w{round}");
        assert!(world.query(writer, &id, write("1")).succeeded());
        commits.push((world.now, id));
        world.run_for(100);
        let asked = world.now;
        let id = format!("r{round}");
        if !world.query(reader, &id, read("1")).succeeded() {
            continue;
        }
        served += 1;
        let run = world.group.runs.iter().find(|run| *run.id == *id).expect("it ran");
        let member = world.group.member_index(&run.database).expect("a member");
        for (acknowledged, commit) in &commits {
            if asked.since(*acknowledged) > DurationUs::from_ms(500) {
                assert!(world.group.has_write(member, commit), "{id} at {member} lacks {commit}");
            }
        }
    }
    assert!(served >= 5, "{served} of 40");
}

/// Guards against a stale read when its connection takes so long to open that the bound it was
/// chosen by has become too old.
#[test]
fn read_does_not_run_on_a_connection_to_a_stale_replica() {
    let mut world = World::new(3);
    let (writer, reader) = (world.open(0, LATEST, KEY), world.open(1, BOUNDED, KEY));
    for round in 0..3 {
        assert!(world.query(writer, &format!("w{round}"), write("1")).succeeded());
    }
    world.run_for(400);
    world.replicating = false;
    assert!(world.query(writer, "late", write("1")).succeeded());
    // The connection is not accepted until the bound is too old.
    world.slow_connects_ms = 650;
    world.send(reader, "r", read("1"));
    world.run_for(2_000);
    let run = world.group.runs.iter().find(|run| &*run.id == "r");
    if let Some(run) = run {
        let member = world.group.member_index(&run.database).expect("a member");
        assert!(world.group.has_write(member, "late"), "{run:?}");
    }
}
