//! Plots the burn rates of the past day as SVG.

use std::fmt::Write;

use crate::burn::{ALERT_WINDOWS, BurnPoint, BurnReport, PLOT_MINUTES, WorkspaceBurn};

/// Width of the plot, in SVG units, like all other lengths here.
const WIDTH: f64 = 960.0;
const LABEL_WIDTH: f64 = 190.0;
const AXIS_HEIGHT: f64 = 24.0;
const ROW_HEIGHT: f64 = 72.0;
const ROW_PADDING: f64 = 10.0;
/// Length of the step that each point covers.
const STEP_MINUTES: u64 = 10;
const HOURS_PER_TICK: u64 = 4;

/// Returns an SVG element with one row for each workspace and a common time axis. Burn rates have a
/// logarithmic scale, which is close to linear below a rate of 0.1.
pub(crate) fn burn_plot(report: &BurnReport) -> String {
    let rows = report.workspaces.len() as f64;
    let height = rows * ROW_HEIGHT + AXIS_HEIGHT;
    let mut svg = format!(
        r#"<svg viewBox="0 0 {WIDTH} {height}" role="img" aria-label="Burn rate of each workspace over the past day">"#
    );
    let most = report.workspaces.iter().flat_map(|w| &w.points).map(|p| p.burn);
    let top = most.fold(ALERT_WINDOWS[0].threshold * 1.5, f64::max);
    let scale = Scale { first: report.now.0.saturating_sub(PLOT_MINUTES), top };
    draw_axis(&mut svg, height);
    for (at, workspace) in report.workspaces.iter().enumerate() {
        draw_row(&mut svg, workspace, at as f64 * ROW_HEIGHT, scale);
    }
    svg + "</svg>"
}

/// Maps minutes and burn rates to coordinates.
#[derive(Clone, Copy)]
struct Scale {
    /// The first minute of the plot.
    first: u64,
    /// The burn rate at the top of each row.
    top: f64,
}

impl Scale {
    fn x(self, minute: u64) -> f64 {
        let share = minute.saturating_sub(self.first) as f64 / PLOT_MINUTES as f64;
        LABEL_WIDTH + share * (WIDTH - LABEL_WIDTH)
    }

    /// Returns the height of a burn rate above the row's base line.
    fn y(self, burn: f64) -> f64 {
        let share = (1.0 + 10.0 * burn).ln() / (1.0 + 10.0 * self.top).ln();
        share * (ROW_HEIGHT - 2.0 * ROW_PADDING)
    }
}

fn draw_axis(svg: &mut String, height: f64) {
    let hours = PLOT_MINUTES / 60;
    for hour in (0..=hours).step_by(HOURS_PER_TICK as usize) {
        let x = LABEL_WIDTH + hour as f64 / hours as f64 * (WIDTH - LABEL_WIDTH);
        let label = match hours - hour {
            0 => "now".to_owned(),
            ago => format!("-{ago} h"),
        };
        let anchor = if hour == hours { "end" } else { "middle" };
        let (bottom, text_y) = (height - AXIS_HEIGHT, height - 6.0);
        // Writing to a `String` can't fail.
        let _ = write!(
            svg,
            r#"<line class="grid" x1="{x:.1}" y1="0" x2="{x:.1}" y2="{bottom}"/><text class="tick" x="{x:.1}" y="{text_y}" text-anchor="{anchor}">{label}</text>"#
        );
    }
}

fn draw_row(svg: &mut String, workspace: &WorkspaceBurn, top: f64, scale: Scale) {
    let base = top + ROW_HEIGHT - ROW_PADDING;
    let alert = workspace.windows.iter().any(|window| window.alert);
    let class = if alert { "alert" } else { "calm" };
    let (name_y, base_end) = (top + ROW_HEIGHT / 2.0, WIDTH);
    let _ = write!(
        svg,
        r#"<text class="name {class}" x="0" y="{name_y}">{}</text><line class="base" x1="{LABEL_WIDTH}" y1="{base}" x2="{base_end}" y2="{base}"/>"#,
        workspace.workspace
    );
    for (burn, label) in [(1.0, "1"), (ALERT_WINDOWS[0].threshold, "14.4")] {
        let y = base - scale.y(burn);
        let (label_x, label_y) = (LABEL_WIDTH - 6.0, y + 3.0);
        let _ = write!(
            svg,
            r#"<line class="mark" x1="{LABEL_WIDTH}" y1="{y:.1}" x2="{base_end}" y2="{y:.1}"/><text class="tick" x="{label_x}" y="{label_y:.1}" text-anchor="end">{label}</text>"#
        );
    }
    for run in contiguous_runs(&workspace.points) {
        let _ = write!(svg, r#"<path class="{class}" d="{}"/>"#, area_path(run, base, scale));
    }
}

/// Splits the points at gaps, which are steps without requests.
fn contiguous_runs(points: &[BurnPoint]) -> impl Iterator<Item = &[BurnPoint]> {
    points.chunk_by(|a, b| a.from.0 + STEP_MINUTES == b.from.0)
}

/// Returns the path data of the area under a run of points.
fn area_path(run: &[BurnPoint], base: f64, scale: Scale) -> String {
    let mut path = String::new();
    for (at, point) in run.iter().enumerate() {
        let (from, to) = (scale.x(point.from.0), scale.x(point.from.0 + STEP_MINUTES).min(WIDTH));
        let y = base - scale.y(point.burn);
        if at == 0 {
            let _ = write!(path, "M{from:.1} {base:.1}");
        }
        let _ = write!(path, "L{from:.1} {y:.1}L{to:.1} {y:.1}");
        if at + 1 == run.len() {
            let _ = write!(path, "L{to:.1} {base:.1}Z");
        }
    }
    path
}
