//! Usage by workspace and business day.

use std::collections::BTreeMap;

use model::prelude::*;
use proto::report::{Counts, Day};
use serde::Serialize;
use tally::day;

use crate::DatedLedger;

/// What a workspace used on a business day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UsageRow {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The business day, such as `2026-03-31`.
    pub day: String,
    /// Requests that came.
    pub requests: u64,
    /// Weight of those that ran.
    pub weight: u64,
    /// Requests answered in time.
    pub good: u64,
    /// Requests answered late or failed by the system.
    pub bad: u64,
}

/// Usage of every workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageReport {
    /// By workspace, then by day.
    pub rows: Vec<UsageRow>,
}

/// Adds up what the data centres counted; only of `workspace` where one is given.
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
