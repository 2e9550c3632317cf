//! Formats reports as text tables.

use crate::{
    burn::{ALERT_WINDOWS, BurnReport, WorkspaceBurn},
    usage::UsageReport,
};

/// Formats a table whose columns are as wide as their widest cell. The first column is aligned left, the
/// others right.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let lines: Vec<&Vec<String>> = [&head].into_iter().chain(rows).collect();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: &Vec<String>| {
        let padded = cells.iter().zip(&widths).enumerate().map(|(at, (cell, width))| match at {
            0 => format!("{cell:<width$}"),
            _ => format!("{cell:>width$}"),
        });
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    lines.into_iter().map(line).collect()
}

/// Returns the names of the window pairs, such as `5m/1h`.
pub fn window_names() -> Vec<String> {
    ALERT_WINDOWS
        .iter()
        .map(|w| format!("{}/{}", format_minutes(w.short_min), format_minutes(w.long_min)))
        .collect()
}

fn format_minutes(minutes: u64) -> String {
    match minutes {
        m if m % (24 * 60) == 0 => format!("{}d", m / (24 * 60)),
        m if m % 60 == 0 => format!("{}h", m / 60),
        m => format!("{m}m"),
    }
}

/// Formats the burn report as a table. Window pairs with an alert are marked with `!`.
pub fn burn_table(report: &BurnReport) -> String {
    let names = window_names();
    let mut head = vec!["workspace", "objective", "good", "bad", "budget left"];
    head.extend(names.iter().map(String::as_str));
    let rows: Vec<Vec<String>> = report.workspaces.iter().map(burn_row).collect();
    table(&head, &rows)
}

fn burn_row(workspace: &WorkspaceBurn) -> Vec<String> {
    let mut row = vec![
        workspace.workspace.to_string(),
        format_objective(workspace.objective_ppm),
        workspace.good.to_string(),
        workspace.bad.to_string(),
        format_percent(workspace.budget_left),
    ];
    let windows = workspace.windows.iter().map(|window| {
        let mark = if window.alert { "!" } else { "" };
        format!("{mark}{}/{}", format_rate(window.short), format_rate(window.long))
    });
    row.extend(windows);
    row
}

/// Formats an objective, given in parts per million, as a percentage.
pub fn format_objective(ppm: u32) -> String {
    format!("{}%", f64::from(ppm) / 10_000.0)
}

/// Formats a share (1 is the whole) as a percentage.
pub fn format_percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Formats a burn rate with two decimals.
pub fn format_rate(rate: f64) -> String {
    format!("{rate:.2}")
}

/// Formats the usage report as a table.
pub fn usage_table(report: &UsageReport) -> String {
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|row| {
            let numbers = [row.requests, row.weight, row.good, row.bad].map(|n| n.to_string());
            [row.workspace.to_string(), row.day.clone()].into_iter().chain(numbers).collect()
        })
        .collect();
    table(&["workspace", "day", "requests", "weight", "good", "bad"], &rows)
}
