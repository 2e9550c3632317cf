//! Tests of the service level indicator, business days, usage recorders and ledgers.

use model::prelude::*;
use proto::{
    caller::{CallerError, ErrorKind},
    report::{Counts, Day, Minute, Snapshot},
};
use tally::{
    day::{self, DayClock},
    ledger::{COARSE_MINUTES, DayLedger, FINE_MINUTES, Source},
    recorder::{UNSTORED_MINUTES_MAX, UsageRecorder},
    sli::{RequestEnd, counts},
};

const DAY: Day = Day(20_000);

fn workspace() -> WorkspaceName {
    WorkspaceName::new("calgary").expect("a name")
}

fn source(incarnation: u64) -> Source {
    let vm = VmName::new("north-1").expect("a name");
    Source { vm, incarnation: Incarnation(incarnation) }
}

#[test]
fn counts_follow_the_end_of_a_request() {
    let refused = |kind| CallerError::not_run(kind, "");
    let check = |end: RequestEnd<'_>, expected: [u64; 4]| {
        assert_eq!(<[u64; 4]>::from(counts(end, 5)), expected, "{end:?}");
    };
    check(RequestEnd::Answered { late: false }, [1, 5, 1, 0]);
    check(RequestEnd::Answered { late: true }, [1, 5, 0, 1]);
    check(RequestEnd::Abandoned, [1, 0, 0, 1]);
    check(RequestEnd::Error(&refused(ErrorKind::Unavailable)), [1, 0, 0, 1]);
    check(RequestEnd::Error(&refused(ErrorKind::QueueFull)), [1, 0, 0, 1]);
    check(RequestEnd::Error(&CallerError::unknown(ErrorKind::Timeout, "")), [1, 0, 0, 1]);
    check(RequestEnd::Error(&refused(ErrorKind::RateLimited)), [1, 0, 0, 0]);
    check(RequestEnd::Error(&refused(ErrorKind::BadRequest)), [1, 0, 0, 0]);
    check(RequestEnd::Error(&CallerError::failed("duplicate")), [1, 5, 0, 0]);
}

#[test]
fn day_turns_at_midnight_of_the_zone() {
    for (zone, unix_s, expected) in [
        ("UTC", 1_774_915_199, "2026-03-30"),
        ("UTC", 1_774_915_200, "2026-03-31"),
        // Summer time began there two days earlier.
        ("Europe/Helsinki", 1_774_904_399, "2026-03-30"),
        ("Europe/Helsinki", 1_774_904_400, "2026-03-31"),
        // No summer time there.
        ("America/Regina", 1_774_936_799, "2026-03-30"),
        ("America/Regina", 1_774_936_800, "2026-03-31"),
        ("nowhere", 0, "1970-01-01"),
    ] {
        let mut clock = DayClock::new(zone);
        assert_eq!(day::format(clock.day(unix_s)), expected, "{zone} {unix_s}");
        clock.day(unix_s + 86_400);
        assert_eq!(day::format(clock.day(unix_s)), expected, "back again: {zone} {unix_s}");
    }
}

#[test]
fn day_parse_reads_what_text_writes() {
    for number in [-1, 0, 1, 20_000, 40_000] {
        assert_eq!(day::parse(&day::format(Day(number))), Ok(Day(number)));
    }
    assert!(day::parse("yesterday").is_err());
}

#[test]
fn recorder_reports_until_it_is_stored() {
    let good = Counts { requests: 1, weight: 1, good: 1, bad: 0 };
    let mut recorder = UsageRecorder::default();
    recorder.record(&workspace(), DAY, Minute(1), good);
    let first = recorder.report();
    assert_eq!(first.snapshots.len(), 1);
    // Counted after the report was made, so storing that report doesn't store it.
    recorder.record(&workspace(), DAY, Minute(1), good);
    recorder.mark_stored(first.number);
    let second = recorder.report();
    assert_eq!(second.snapshots[0].totals[0].1.requests, 2);
    recorder.mark_stored(second.number);
    assert!(!recorder.has_unstored());
    assert_eq!(recorder.total(&workspace(), DAY).requests, 2);
}

#[test]
fn recorder_stays_bounded_and_keeps_its_totals() {
    let good = Counts { requests: 1, weight: 2, good: 1, bad: 0 };
    let mut recorder = UsageRecorder::default();
    for minute in 0..10 * UNSTORED_MINUTES_MAX as u64 {
        recorder.record(&workspace(), DAY, Minute(minute), good);
    }
    let report = recorder.report();
    assert!(report.snapshots.len() <= UNSTORED_MINUTES_MAX, "{}", report.snapshots.len());
    let mut ledger = DayLedger::default();
    for snapshot in &report.snapshots {
        ledger.apply(&source(1), snapshot);
    }
    assert_eq!(ledger.total(&workspace()).requests, 10 * UNSTORED_MINUTES_MAX as u64);
}

#[test]
fn ledger_merges_old_minutes_without_losing_counts() {
    let mut ledger = DayLedger::default();
    for minute in 0..1_000 {
        let counts = Counts { requests: minute + 1, weight: 0, good: minute + 1, bad: 0 };
        let totals = vec![(workspace(), counts)];
        ledger.apply(&source(1), &Snapshot { day: DAY, minute: Minute(minute), totals });
    }
    let cells = &ledger.workspaces[&workspace()].cells;
    assert_eq!(cells.iter().map(|cell| cell.good).sum::<u64>(), 1_000);
    let most = FINE_MINUTES + COARSE_MINUTES + 1_000 / COARSE_MINUTES + 1;
    assert!(cells.len() as u64 <= most, "{} cells", cells.len());
    assert!(cells.windows(2).all(|pair| pair[0].from.0 + pair[0].span <= pair[1].from.0));
}

#[test]
fn ledger_is_stored_and_read_back() {
    let mut ledger = DayLedger::default();
    let counts = Counts { requests: 4, weight: 9, good: 2, bad: 1 };
    let totals = vec![(workspace(), counts)];
    ledger.apply(&source(3), &Snapshot { day: DAY, minute: Minute(7), totals });
    let value = serde_json::to_value(&ledger).expect("an object");
    let expected = serde_json::json!({"workspaces": {"calgary": {
        "by_source": {"north-1.3": [4, 9, 2, 1]}, "cells": [[7, 1, 2, 1]],
    }}});
    assert_eq!(value, expected);
    assert_eq!(serde_json::from_value::<DayLedger>(value).expect("a ledger"), ledger);
}
