//! Which commits a read has to see.

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
fn required_is_the_oldest_bound_that_is_young_enough() {
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
fn required_is_the_lower_of_two_answers_that_cross() {
    let freshness = observed(&[(2_000, 9), (2_100, 8)]);
    let required = freshness.required_position(at(2_200), DurationUs::from_ms(1_000));
    assert_eq!(required, Some(position(1, 8)));
}

#[test]
fn ended_term_is_replaced_by_the_start_of_the_running_one() {
    let mut freshness = observed(&[(1_000, 5)]);
    assert_eq!(freshness.in_current_term(position(1, 5)), Some(position(1, 5)));
    freshness.begin_term(Term(2));
    assert_eq!(freshness.in_current_term(position(1, 5)), None);
    freshness.observe(at(2_000), position(1, 5));
    assert_eq!(freshness.required_position(at(2_100), DurationUs::from_ms(1_000)), None);
    freshness.observe(at(2_000), position(2, 4));
    assert_eq!(freshness.in_current_term(position(1, 5)), Some(position(2, 4)));
}

/// Reads of a bounded age while replicas receive nothing: each sees what was acknowledged earlier.
#[test]
fn bounded_reads_see_what_is_older_than_their_age() {
    let mut world = World::new(3);
    let (writer, reader) = (world.open(0, LATEST, KEY), world.open(1, BOUNDED, KEY));
    // It knows positions from its peers only.
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
        let member = world.group.index(&run.database).expect("a member");
        for (acknowledged, commit) in &commits {
            if asked.since(*acknowledged) > DurationUs::from_ms(500) {
                assert!(world.group.holds(member, commit), "{id} at {member} lacks {commit}");
            }
        }
    }
    assert!(served >= 5, "{served} of 40");
}

/// While a connection is opened, the bound that its read relied on goes out of date.
#[test]
fn read_does_not_run_on_a_connection_that_no_longer_suits() {
    let mut world = World::new(3);
    let (writer, reader) = (world.open(0, LATEST, KEY), world.open(1, BOUNDED, KEY));
    for round in 0..3 {
        assert!(world.query(writer, &format!("w{round}"), write("1")).succeeded());
    }
    world.run_for(400);
    world.replicating = false;
    assert!(world.query(writer, "late", write("1")).succeeded());
    // The connection hangs until the bound is too old.
    world.slow_connects_ms = 650;
    world.send(reader, "r", read("1"));
    world.run_for(2_000);
    let run = world.group.runs.iter().find(|run| &*run.id == "r");
    if let Some(run) = run {
        let member = world.group.index(&run.database).expect("a member");
        assert!(world.group.holds(member, "late"), "{run:?}");
    }
}
