//! Tests of the schedule, the recorder and the plan of an open loop.

use std::time::Duration;

use loadgen::{
    plan::Plan,
    recorder::{ANSWERED, Gap, Recorder},
    schedule::{Arrivals, Schedule},
};

const SEED: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn schedule_keeps_rate_and_shares() {
    for arrivals in [Arrivals::Even, Arrivals::Poisson] {
        let due: Vec<_> = Schedule::new(arrivals, 1_000.0, &[3, 0, 1], SEED)
            .take_while(|slot| slot.at < Duration::from_secs(10))
            .collect();
        assert!(due.len().abs_diff(10_000) < 300, "{arrivals:?}: {}", due.len());
        let first = due.iter().filter(|slot| slot.mix == 0).count() as f64 / due.len() as f64;
        assert!((first - 0.75).abs() < 0.02, "{arrivals:?}: {first}");
        assert!(due.iter().all(|slot| slot.mix != 1));
        assert!(due.windows(2).all(|pair| pair[0].at <= pair[1].at));
    }
}

#[test]
fn record_measures_latency_from_the_intended_time() {
    let mut recorder = Recorder::new("w");
    // A stall of one second delays every request that was due during it.
    for due in (0..1_000).step_by(10) {
        recorder.record("r", ANSWERED, ms(due), ms(1_000));
    }
    let report = recorder.finish(ms(1_000));
    assert!(report.answered.p50_us.abs_diff(505_000) < 10_000, "{:?}", report.answered);
    assert_eq!(report.longest_gap, Gap { from_ms: 0, length_ms: 1_000 });
}

#[test]
fn finish_reports_the_longest_gap() {
    for (successes, expected) in [
        (vec![], (0, 1_000)),
        (vec![100, 200, 900], (200, 700)),
        (vec![700, 900], (0, 700)),
        (vec![100, 300], (300, 700)),
    ] {
        let mut recorder = Recorder::new("w");
        for at in successes {
            recorder.record("r", ANSWERED, ms(at), ms(at));
            recorder.record("r", "unavailable/not_run", ms(at), ms(at + 1));
        }
        let gap = recorder.finish(ms(1_000)).longest_gap;
        assert_eq!((gap.from_ms, gap.length_ms), expected);
    }
}

#[test]
fn parse_names_the_invalid_setting() {
    const PLAN: &str = r#"
entries = ["127.0.0.1:1"]
span_ms = 10

[[workspaces]]
name = "w"
per_second = 1.0

[[workspaces.routes]]
route = "s/r"
share = 1
statement = "get"

[[faults]]
at_ms = 5
action = "freeze"
pid = 12
for_ms = 3
"#;
    assert!(Plan::parse(PLAN).is_ok(), "{:?}", Plan::parse(PLAN));
    for (find, replace, expected) in [
        (r#"["127.0.0.1:1"]"#, "[]", "entries is empty"),
        ("per_second = 1.0", "per_second = 0.0", "per_second above 0"),
        ("share = 1", "share = 0", "share above 0"),
        ("span_ms", "spam_ms", "spam_ms"),
        (r#""freeze""#, r#""burn""#, "burn"),
    ] {
        let error = Plan::parse(&PLAN.replace(find, replace)).expect_err(expected);
        assert!(format!("{error:#}").contains(expected), "{error:#}");
    }
}
