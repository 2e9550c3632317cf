//! Service-level burn: how fast each workspace uses up its error budget.
//!
//! A burn rate of 1 uses up the budget exactly within the budget's period. An alert needs a high rate
//! over a long window, so that a blip raises none, and over a short one, so that it ends soon after the
//! trouble does.

use config::{Configuration, Workspace};
use model::prelude::*;
use proto::report::Minute;
use serde::Serialize;
use tally::ledger::{COARSE_MINUTES, TimeBucket};

use crate::DatedLedger;

/// Days over which the error budget counts.
pub const BUDGET_DAYS: u64 = 28;
/// Length of the plotted past.
pub const PLOT_MINUTES: u64 = 24 * 60;

const PPM: f64 = 1_000_000.0;

/// A pair of windows and the burn rate above which both raise an alert.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowPair {
    /// Length of the short window, in minutes.
    pub short_min: u64,
    /// Length of the long window, in minutes.
    pub long_min: u64,
    /// Burn rate above which there is an alert.
    pub threshold: f64,
}

/// The pairs of windows, the most urgent first.
pub const ALERT_WINDOWS: [WindowPair; 4] = [
    WindowPair { short_min: 5, long_min: 60, threshold: 14.4 },
    WindowPair { short_min: 30, long_min: 6 * 60, threshold: 6.0 },
    WindowPair { short_min: 2 * 60, long_min: 24 * 60, threshold: 3.0 },
    WindowPair { short_min: 6 * 60, long_min: 3 * 24 * 60, threshold: 1.0 },
];

/// Burn of a workspace over a pair of windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The windows.
    #[serde(flatten)]
    pub pair: WindowPair,
    /// Burn rate over the short window.
    pub short: f64,
    /// Burn rate over the long window.
    pub long: f64,
    /// Whether both are above the threshold.
    pub alert: bool,
}

/// Burn rate over some minutes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnPoint {
    /// The first of the minutes.
    pub from: Minute,
    /// Burn rate.
    pub burn: f64,
}

/// Burn of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkspaceBurn {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Share of requests that must be answered in time, in parts per million.
    pub objective_ppm: u32,
    /// Requests answered in time, over the budget's period.
    pub good: u64,
    /// Requests answered late or failed by the system, over the budget's period.
    pub bad: u64,
    /// Share of the error budget that is left: 1 all of it, 0 none, less than 0 overdrawn.
    pub budget_left: f64,
    /// The pairs of windows.
    pub windows: Vec<WindowBurn>,
    /// Burn over the past day, in steps of ten minutes. Steps without requests are left out.
    pub points: Vec<BurnPoint>,
}

/// Burn of every workspace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// The present minute.
    pub now: Minute,
    /// Each workspace, in the order of the configuration.
    pub workspaces: Vec<WorkspaceBurn>,
}

/// Works out the burn of every workspace of the configuration.
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

/// Good and bad requests of the cells that begin within the last `minutes`, the present one included.
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
