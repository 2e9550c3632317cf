//! The usage report: requests of each workspace by business day.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{Counts, Day};
use serde::Serialize;
use tally::day;

use crate::DatedLedger;

/// Usage of a workspace on a business day, in all data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UsageRow {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// The business day, such as `2026-03-31`.
    pub day: String,
    /// Requests received.
    pub requests: u64,
    /// Total weight of the requests that were executed.
    pub weight: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late, or failed for a reason that the system is responsible for.
    pub bad: u64,
}

/// Usage of workspaces by business day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageReport {
    /// One row for each workspace and day with usage, sorted by workspace, then by day.
    pub rows: Vec<UsageRow>,
}

/// Sums the counts of all data centres, of the given workspace only if `workspace` is given.
pub fn usage_report(ledgers: &[DatedLedger], workspace: Option<&str>) -> UsageReport {
    let mut sums: BTreeMap<(&WorkspaceName, Day), Counts> = BTreeMap::new();
    for (day, ledger) in ledgers {
        for (name, counted) in &ledger.workspaces {
            if workspace.is_none_or(|wanted| wanted == name.as_str()) {
                let sum = sums.entry((name, *day)).or_default();
                *sum = sum.plus(counted.total());
            }
        }
    }
    let rows = sums.into_iter().map(|((workspace, day), counts)| UsageRow {
        workspace: workspace.clone(),
        day: day::format(day),
        requests: counts.requests,
        weight: counts.weight,
        good: counts.good,
        bad: counts.bad,
    });
    UsageReport { rows: rows.collect() }
}
