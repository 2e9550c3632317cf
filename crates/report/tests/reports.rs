//! Tests of burn rates, usage, text tables and the HTML page.

use config::{Configuration, answers::generate};
use model::prelude::*;
use proto::report::{Counts, Day, Minute, Snapshot};
use report::{
    DatedLedger,
    burn::{BurnReport, WorkspaceBurn, burn_report},
    html, text,
    usage::usage_report,
};
use tally::ledger::{DayLedger, Source};

const NOW: u64 = 29_000_000;
const HOUR: u64 = 60;
const DAY: u64 = 24 * HOUR;

fn cfg() -> Configuration {
    let text = include_str!("../../../examples/quoting.toml");
    generate(text, &Configuration::empty(), 1).expect("valid answers")
}

/// Returns a ledger of `calgary-dealer`, whose objective is 99.9%. Each item of `served` holds minutes
/// before [`NOW`], good requests and bad requests.
fn ledger(served: &[(u64, u64, u64)]) -> DatedLedger {
    let workspace = WorkspaceName::new("calgary-dealer").expect("a name");
    let source = Source { vm: VmName::new("v").expect("a name"), incarnation: Incarnation(1) };
    let mut ledger = DayLedger::default();
    let mut sum = Counts::default();
    for &(ago, good, bad) in served {
        sum = sum.plus(Counts { requests: good + bad, weight: 3 * good, good, bad });
        let totals = vec![(workspace.clone(), sum)];
        ledger.apply(&source, &Snapshot { day: Day(9), minute: Minute(NOW - ago), totals });
    }
    (Day(9), ledger)
}

fn calgary(report: &BurnReport) -> &WorkspaceBurn {
    report.workspaces.iter().find(|w| w.workspace.as_str() == "calgary-dealer").expect("there")
}

#[test]
fn burn_report_computes_rates_and_alerts() {
    // `expected` holds the rates over the short and the long window of each pair.
    let check = |served: &[(u64, u64, u64)], expected: [(f64, f64); 4], alerts: [bool; 4]| {
        let report = burn_report(&cfg(), &[ledger(served)], Minute(NOW));
        for (at, window) in calgary(&report).windows.iter().enumerate() {
            let (short, long) = expected[at];
            let near = (window.short - short).abs() < 0.01 && (window.long - long).abs() < 0.01;
            assert!(near, "{served:?}, pair {at}: {window:?}");
            assert_eq!(window.alert, alerts[at], "{served:?}, pair {at}: {window:?}");
        }
    };
    check(&[], [(0.0, 0.0); 4], [false; 4]);
    check(&[(1, 1_000, 0)], [(0.0, 0.0); 4], [false; 4]);
    // One bad request in a thousand uses up the budget at a rate of 1.
    check(&[(1, 999, 1)], [(1.0, 1.0); 4], [false; 4]);
    check(&[(1, 980, 20)], [(20.0, 20.0); 4], [true; 4]);
    // A short failure among many good requests exceeds no long window's threshold.
    check(
        &[(20, 99_000, 0), (1, 980, 20)],
        [(20.0, 0.2), (0.2, 0.2), (0.2, 0.2), (0.2, 0.2)],
        [false; 4],
    );
    // The failure ended more than 30 minutes ago: the two shortest windows raise no alert any more.
    check(
        &[(40, 900, 100), (1, 1_000, 0)],
        [(0.0, 50.0), (0.0, 50.0), (50.0, 50.0), (50.0, 50.0)],
        [false, false, true, true],
    );
}

#[test]
fn burn_report_budget_covers_four_weeks() {
    let check = |served: &[(u64, u64, u64)], expected: f64| {
        let report = burn_report(&cfg(), &[ledger(served)], Minute(NOW));
        let left = calgary(&report).budget_left;
        assert!((left - expected).abs() < 1e-6, "{served:?}: {left}");
    };
    check(&[], 1.0);
    check(&[(5, 1_000_000, 0)], 1.0);
    check(&[(5, 999_500, 500)], 0.5);
    check(&[(5, 999_000, 1_000)], 0.0);
    check(&[(5, 998_000, 2_000)], -1.0);
    check(&[(29 * DAY, 0, 1_000), (5, 999_500, 500)], 0.5);
}

#[test]
fn burn_report_sums_data_centres() {
    let ledgers = [ledger(&[(2, 990, 10)]), ledger(&[(2, 1_000, 0)])];
    let report = burn_report(&cfg(), &ledgers, Minute(NOW));
    let workspace = calgary(&report);
    assert_eq!((workspace.good, workspace.bad), (1_990, 10));
    assert!((workspace.windows[0].short - 5.0).abs() < 0.01, "{workspace:?}");
    assert_eq!(workspace.points.len(), 1);
}

#[test]
fn usage_report_sums_by_workspace_and_day() {
    let other_day = (Day(10), ledger(&[(1, 7, 0)]).1);
    let ledgers = [ledger(&[(2, 10, 1)]), ledger(&[(2, 5, 0)]), other_day];
    let rows = usage_report(&ledgers, None).rows;
    let seen: Vec<_> =
        rows.iter().map(|r| (r.day.as_str(), r.requests, r.weight, r.good, r.bad)).collect();
    assert_eq!(seen, [("1970-01-10", 16, 45, 15, 1), ("1970-01-11", 7, 21, 7, 0)]);
    assert_eq!(usage_report(&ledgers, Some("regina-dealer")).rows, Vec::new());
    assert_eq!(usage_report(&ledgers, Some("calgary-dealer")).rows, rows);
    let expected = "workspace              day  requests  weight  good  bad\n";
    assert!(text::usage_table(&usage_report(&ledgers, None)).starts_with(expected));
}

#[test]
fn burn_report_renders_as_table_and_page() {
    let served: Vec<_> =
        (0..HOUR).rev().map(|ago| (ago + 1, 97, if ago < 20 { 3 } else { 0 })).collect();
    let report = burn_report(&cfg(), &[ledger(&served)], Minute(NOW));
    let table = text::burn_table(&report);
    let row = table.lines().find(|line| line.starts_with("calgary-dealer")).expect("a row");
    assert!(row.contains("99.9%") && row.contains("  30.00/10.38  !20.88/10.20"), "{row}");
    let page = html::burn_page(&report, "of a <test>");
    for expected in ["<svg ", "calgary-dealer", "of a &lt;test&gt;", "class=\"alert\""] {
        assert!(page.contains(expected), "{expected}");
    }
    for foreign in ["http:", "https:", "<script", "<link", "src="] {
        assert!(!page.contains(foreign), "the page needs {foreign}");
    }
}
