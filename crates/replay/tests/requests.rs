//! Recorded traces and random schedules of requests under faults.

use model::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use replay::{
    requests::{Event, Fault, Request, RequestOutcome, World, replay},
    trace::read,
};

#[track_caller]
fn check(name: &str) {
    let lines = read::<Event>(&format!("requests/{name}.jsonl")).expect("a valid trace");
    let problems = replay(lines);
    assert!(problems.is_empty(), "{name}: {problems:#?}");
}

#[test]
fn replay_answer_lost() {
    check("answer_lost");
}

#[test]
fn replay_held_back() {
    check("held_back");
}

#[test]
fn replay_holder_killed() {
    check("holder_killed");
}

#[test]
fn replay_holder_killed_before() {
    check("holder_killed_before");
}

#[test]
fn replay_primary_lost() {
    check("primary_lost");
}

#[test]
fn replay_isolated_primary() {
    check("isolated_primary");
}

#[test]
fn replay_stale_primary() {
    check("stale_primary");
}

#[test]
fn replay_session() {
    check("session");
}

#[test]
fn request_session_ahead_of_slot_is_served() {
    let read = |name: &str, route: &str| Request {
        name: name.to_owned(),
        route: route.to_owned(),
        entry: "b-1".to_owned(),
        key: None,
        body: None,
        session: Some("s".to_owned()),
        timeout_ms: 1_000,
        outcome: None,
    };
    for (position, promoted, expected) in [
        // The position was lost with the old primary; every position of the new term covers it.
        (Position::new(Term(1), 500), true, RequestOutcome::AnsweredByReplica),
        // The databases were set up anew and their terms restarted, so that no position covers it: the
        // verified primary resets the session.
        (Position::new(Term(9), 500), false, RequestOutcome::Answered),
    ] {
        let mut world = World::new();
        world.set_session("s", position);
        if promoted {
            world.apply(Event::Promote {});
        }
        world.advance_to(MonoTime::default() + World::START + DurationUs::from_ms(500));
        assert_eq!(world.request(&read("first", "read-old")), expected, "{position}");
        let second = world.request(&read("second", "read-old"));
        assert_eq!(second, RequestOutcome::AnsweredByReplica, "{position}: the session continues");
        assert_eq!(world.healed().violations(), Vec::<String>::new());
    }
}

/// A step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Request { route: u8, entry: u8, key: u8, timeout_ms: u16 },
    Fault(u8),
    Cut(u8),
    Release(u8),
    Lag(u8),
    CatchUp(u8),
    Promote,
    Split(u8),
    Join,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match n % 20 {
            0..=6 => Step::Request {
                route: u8::arbitrary(g) % 6,
                entry: u8::arbitrary(g) % 6,
                key: u8::arbitrary(g) % 8,
                timeout_ms: 200 + u16::arbitrary(g) % 4_000,
            },
            7..=9 => Step::Fault(u8::arbitrary(g) % 6),
            10 => Step::Cut(u8::arbitrary(g) % 3),
            11 => Step::Release(u8::arbitrary(g) % 3),
            12 => Step::Lag(u8::arbitrary(g) % 3),
            13 => Step::CatchUp(u8::arbitrary(g) % 3),
            14 => Step::Promote,
            15 | 16 => Step::Split(u8::arbitrary(g) % 3),
            17 => Step::Join,
            _ => Step::Wait(u8::arbitrary(g)),
        }
    }
}

const FAULTS: [Fault; 6] = [
    Fault::LoseAnswer,
    Fault::HoldBack,
    Fault::Refuse,
    Fault::KillHolderAfter,
    Fault::KillHolderBefore,
    Fault::CutPrimaryAfter,
];

fn run(steps: &[Step]) -> Vec<String> {
    let mut world = World::new();
    let mut now = MonoTime::default() + World::START;
    let database = |n: u8| ["da", "db", "dc"][usize::from(n)].to_owned();
    for (number, step) in steps.iter().enumerate() {
        now = now + DurationUs::from_ms(20);
        match step {
            Step::Request { route, entry, key, timeout_ms } => {
                let route = ["write", "write", "write", "write-again", "read", "read-old"]
                    [usize::from(*route)];
                let is_write = route.starts_with("write");
                world.request(&Request {
                    name: format!("r{number}"),
                    route: route.to_owned(),
                    entry: ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"][usize::from(*entry)]
                        .to_owned(),
                    key: (is_write && *key < 3).then(|| format!("{route}-{key}")),
                    body: None,
                    session: Some(format!("s{}", key % 2)),
                    timeout_ms: u64::from(*timeout_ms),
                    outcome: None,
                });
            }
            Step::Fault(n) => world.apply(Event::Fault(FAULTS[usize::from(*n)])),
            Step::Cut(n) => world.apply(Event::Cut(database(*n))),
            Step::Release(n) => world.apply(Event::Release(database(*n))),
            Step::Lag(n) => world.apply(Event::Lag(database(*n))),
            Step::CatchUp(n) => world.apply(Event::CatchUp(database(*n))),
            Step::Promote => world.apply(Event::Promote {}),
            Step::Split(n) => {
                world.apply(Event::Split(["a", "b", "c"][usize::from(*n)].to_owned()))
            }
            Step::Join => world.apply(Event::Join {}),
            Step::Wait(n) => now = now + DurationUs::from_ms(10 * u64::from(*n)),
        }
        world.advance_to(now);
    }
    world.healed().violations()
}

#[test]
fn request_outcome_matches_history_under_random_faults() {
    fn holds(steps: Vec<Step>) -> TestResult {
        let violations = run(&steps);
        match violations.is_empty() {
            true => TestResult::passed(),
            false => TestResult::error(violations.join("; ")),
        }
    }
    for seed in [1, 2, 3, 4] {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, seed))
            .tests(250)
            .quickcheck(holds as fn(Vec<Step>) -> TestResult);
    }
}
