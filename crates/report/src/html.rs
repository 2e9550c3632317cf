//! Formats the burn report as a self-contained HTML page.

use crate::{
    burn::{BurnReport, WorkspaceBurn},
    plot, text,
};

const STYLE: &str = "\
body{font:15px/1.5 system-ui,sans-serif;max-width:980px;margin:2em auto;padding:0 1em;color:#1b2733}\
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}\
th,td{padding:.35em .6em;text-align:right;border-bottom:1px solid #d7dee5}\
th:first-child,td:first-child{text-align:left}\
td.alert,text.alert{color:#b3261e;fill:#b3261e;font-weight:600}\
svg{width:100%;height:auto;margin-top:1em}\
.grid{stroke:#e4e9ee}.base{stroke:#8796a5}.mark{stroke:#c3ccd5;stroke-dasharray:3 3}\
.tick{font-size:11px;fill:#5b6b7a}.name{font-size:13px}\
path.calm{fill:#2f6f9f;fill-opacity:.55;stroke:#2f6f9f}\
path.alert{fill:#b3261e;fill-opacity:.55;stroke:#b3261e}\
p.note{color:#5b6b7a;font-size:13px}";

/// Formats the page. `subtitle` is plain text that names the time and the source of the report.
pub fn burn_page(report: &BurnReport, subtitle: &str) -> String {
    let windows: String =
        text::window_names().iter().map(|name| format!("<th>{name}</th>")).collect();
    let rows: String = report.workspaces.iter().map(row).collect();
    let plot = plot::burn_plot(report);
    let subtitle = escape(subtitle);
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p>{subtitle}</p>\n\
         <table><thead><tr><th>workspace</th><th>objective</th><th>good</th><th>bad</th>\
         <th>budget left</th>{windows}</tr></thead>\n<tbody>{rows}</tbody></table>\n{plot}\n\
         <p class=\"note\">A burn rate of 1 uses up the error budget in exactly 28 days. Each pair of \
         windows shows the rates over the short and the long window, in red if both exceed the pair's \
         threshold. The plot has a logarithmic scale with dashed lines at 1 and 14.4. Periods without \
         requests are empty.</p>\n</body></html>\n"
    )
}

fn row(workspace: &WorkspaceBurn) -> String {
    let windows: String = workspace
        .windows
        .iter()
        .map(|window| {
            let class = if window.alert { " class=\"alert\"" } else { "" };
            format!(
                "<td{class}>{} / {}</td>",
                text::format_rate(window.short),
                text::format_rate(window.long)
            )
        })
        .collect();
    let left_class = if workspace.budget_left < 0.0 { " class=\"alert\"" } else { "" };
    format!(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td{left_class}>{}</td>{windows}</tr>\n",
        escape(workspace.workspace.as_str()),
        text::format_objective(workspace.objective_ppm),
        workspace.good,
        workspace.bad,
        text::format_percent(workspace.budget_left),
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
