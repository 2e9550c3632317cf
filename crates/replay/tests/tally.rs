//! Recorded traces and generated schedules of usage accounting.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use replay::{
    tally::{COLLECTORS, Delivery, Step, VMS, World},
    trace::read,
};

const SEED: u64 = 23;
const TESTS: u64 = 1_500;

/// A step of a generated schedule.
#[derive(Clone, Debug)]
struct AnyStep(Step);

impl Arbitrary for AnyStep {
    fn arbitrary(g: &mut Gen) -> AnyStep {
        let (vm, to) = (usize::arbitrary(g) % VMS, usize::arbitrary(g) % COLLECTORS);
        let fate = *g
            .choose(&[Delivery::Done, Delivery::Done, Delivery::Lost, Delivery::AnswerLost])
            .expect("a non-empty list");
        let step = match u8::arbitrary(g) % 16 {
            0..4 => Step::Count {
                vm,
                workspace: usize::arbitrary(g) % 2,
                good: u64::arbitrary(g) % 5,
                bad: u64::arbitrary(g) % 2,
            },
            // A few of these steps pass midnight.
            4 => Step::Pass { minutes: 337 },
            5..8 => Step::Report { vm, to, fate },
            8 => Step::Again { report: usize::arbitrary(g), to },
            9..11 => Step::Tick { collector: to },
            11..14 => Step::Call { collector: to, fate },
            14 => Step::Restart { vm },
            _ => Step::Replace { collector: to },
        };
        AnyStep(step)
    }
}

fn replay(name: &str) {
    let lines = read::<Step>(&format!("tally/{name}.jsonl")).expect("a valid trace");
    let mut world = World::new();
    for line in lines {
        let outcome = world.apply(&line.event);
        assert_eq!(outcome, Ok(()), "{name} at {} ms: {:?}", line.at_ms, line.event);
    }
    assert_eq!(world.check_settled(), Ok(()), "{name}");
}

#[test]
fn replay_tally_traces() {
    for name in [
        "answer_lost",
        "messages_repeated_and_crossed",
        "outage_and_crash",
        "two_collectors",
        "collector_replaced",
        "midnight",
    ] {
        replay(name);
    }
}

/// Returns whether each count is stored at most once, no count of a running VM is lost, and an ended
/// incarnation lost only counts that it did not know to be stored.
fn counts_are_exact(steps: Vec<AnyStep>) -> bool {
    let mut world = World::new();
    let all_hold = steps.iter().all(|step| world.apply(&step.0).is_ok());
    all_hold && world.apply(&Step::Settle).is_ok() && world.check_settled().is_ok()
}

#[test]
fn schedule_stores_each_count_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(TESTS)
        .quickcheck(counts_are_exact as fn(Vec<AnyStep>) -> bool);
}
