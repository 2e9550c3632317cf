//! The burn report: how fast each workspace uses up its error budget.
//!
//! The burn rate is the share of bad requests divided by the share that the objective allows; at a rate of
//! 1, the budget lasts exactly for the budget period. Alerts use pairs of windows: the long window must
//! exceed the threshold, so that a short failure raises no alert, and so must the short window, so that the
//! alert ends soon after the failure.

use config::{Configuration, Workspace};
use model::prelude::*;
use proto::report::Minute;
use serde::Serialize;
use tally::ledger::{COARSE_MINUTES, TimeBucket};

use crate::DatedLedger;

/// Length of the error budget's period, in days.
pub const BUDGET_DAYS: u64 = 28;
/// Length of the plotted period, in minutes.
pub const PLOT_MINUTES: u64 = 24 * 60;

const PPM: f64 = 1_000_000.0;

/// A pair of windows of an alert, with the burn rate that both must exceed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowPair {
    /// Length of the short window, in minutes.
    pub short_min: u64,
    /// Length of the long window, in minutes.
    pub long_min: u64,
    /// Burn rate that both windows must exceed to raise an alert.
    pub threshold: f64,
}

/// Window pairs of the alerts, most urgent first.
pub const ALERT_WINDOWS: [WindowPair; 4] = [
    WindowPair { short_min: 5, long_min: 60, threshold: 14.4 },
    WindowPair { short_min: 30, long_min: 6 * 60, threshold: 6.0 },
    WindowPair { short_min: 2 * 60, long_min: 24 * 60, threshold: 3.0 },
    WindowPair { short_min: 6 * 60, long_min: 3 * 24 * 60, threshold: 1.0 },
];

/// Burn rates of a workspace over a pair of windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The windows and their threshold.
    #[serde(flatten)]
    pub pair: WindowPair,
    /// Burn rate over the short window.
    pub short: f64,
    /// Burn rate over the long window.
    pub long: f64,
    /// Whether both rates exceed the threshold.
    pub alert: bool,
}

/// Burn rate over one step of the plot, which is [`COARSE_MINUTES`] long.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnPoint {
    /// First minute of the step.
    pub from: Minute,
    /// Burn rate over the step.
    pub burn: f64,
}

/// Burn of a workspace's error budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkspaceBurn {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Share of requests that must be answered in time, in parts per million.
    pub objective_ppm: u32,
    /// Requests answered in time within the budget period.
    pub good: u64,
    /// Requests within the budget period that were answered late, or failed for a reason that the system is
    /// responsible for.
    pub bad: u64,
    /// Share of the error budget that is left: 1 is all of it, 0 is none, and less is overspent.
    pub budget_left: f64,
    /// Burn rates over each pair of [`ALERT_WINDOWS`], in the same order.
    pub windows: Vec<WindowBurn>,
    /// Burn rates over the past day, oldest first. Steps without requests are left out.
    pub points: Vec<BurnPoint>,
}

/// Burn of all workspaces.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// The minute for which the report was made.
    pub now: Minute,
    /// Burn of each workspace, in the order of the configuration.
    pub workspaces: Vec<WorkspaceBurn>,
}

/// Computes the burn of every workspace of the configuration at the minute `now`.
pub fn burn_report(cfg: &Configuration, ledgers: &[DatedLedger], now: Minute) -> BurnReport {
    let workspaces = cfg.workspaces.iter().map(|w| workspace_burn(w, ledgers, now)).collect();
    BurnReport { now, workspaces }
}

fn workspace_burn(workspace: &Workspace, ledgers: &[DatedLedger], now: Minute) -> WorkspaceBurn {
    let of_days = ledgers.iter().filter_map(|(_, day)| day.workspaces.get(&workspace.name));
    let cells: Vec<TimeBucket> = of_days.flat_map(|ledger| ledger.cells.iter().copied()).collect();
    let objective = f64::from(workspace.objective_ppm) / PPM;
    let over = |minutes: u64| burn_rate(sum_requests(&cells, now, minutes), objective);
    let windows = ALERT_WINDOWS.map(|pair| {
        let (short, long) = (over(pair.short_min), over(pair.long_min));
        let alert = short > pair.threshold && long > pair.threshold;
        WindowBurn { pair, short, long, alert }
    });
    let (good, bad) = sum_requests(&cells, now, BUDGET_DAYS * 24 * 60);
    WorkspaceBurn {
        workspace: workspace.name.clone(),
        objective_ppm: workspace.objective_ppm,
        good,
        bad,
        budget_left: 1.0 - burn_rate((good, bad), objective),
        windows: windows.to_vec(),
        points: burn_points(&cells, now, objective),
    }
}

/// Sums the good and the bad requests of the buckets that begin within the last `minutes`, including `now`.
fn sum_requests(cells: &[TimeBucket], now: Minute, minutes: u64) -> (u64, u64) {
    let first = (now.0 + 1).saturating_sub(minutes);
    let within = cells.iter().filter(|cell| (first..=now.0).contains(&cell.from.0));
    within.fold((0, 0), |(good, bad), cell| (good + cell.good, bad + cell.bad))
}

fn burn_rate((good, bad): (u64, u64), objective: f64) -> f64 {
    match good + bad {
        0 => 0.0,
        all => bad as f64 / all as f64 / (1.0 - objective),
    }
}

fn burn_points(cells: &[TimeBucket], now: Minute, objective: f64) -> Vec<BurnPoint> {
    let step = |minute: u64| minute - minute % COARSE_MINUTES;
    let first = step(now.0.saturating_sub(PLOT_MINUTES));
    let steps = (first..=now.0).step_by(COARSE_MINUTES as usize);
    let points = steps.filter_map(|from| {
        let within = cells.iter().filter(|cell| step(cell.from.0) == from);
        let (good, bad) = within.fold((0, 0), |(g, b), cell| (g + cell.good, b + cell.bad));
        (good + bad > 0)
            .then(|| BurnPoint { from: Minute(from), burn: burn_rate((good, bad), objective) })
    });
    points.collect()
}
