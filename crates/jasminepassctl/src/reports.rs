//! `report`: reports the burn of error budgets, and usage by business day.

use config::Configuration;
use edge::platform::PlatformClient;
use proto::report::{Day, Minute};
use report::{DatedLedger, burn, html, text, usage};
use serde_json::json;
use tally::{
    day::{self, DayClock},
    ledger::{DayLedger, object_name},
};

use crate::{
    error::CtlError,
    reply::Reply,
    rollout::now_s,
    store::{read_configuration, read_object},
};

/// Number of days before the latest one whose ledgers are read for the burn report. One more than the
/// budget period has, since that rarely begins at the start of a business day.
const BURN_LEDGER_DAYS: i32 = burn::BUDGET_DAYS as i32 + 1;

/// Reports the burn of every workspace, as an HTML page in `file` if that is given.
pub async fn burn_report(platform: &PlatformClient, file: Option<&str>) -> Result<Reply, CtlError> {
    let (_, cfg) = read_configuration(platform).await?;
    let now_s = now_s();
    let last = latest_day(now_s);
    let ledgers = read_ledgers(platform, &cfg, Day(last.0 - BURN_LEDGER_DAYS), last).await?;
    let report = burn::burn_report(&cfg, &ledgers, day::minute(now_s));
    let Some(path) = file else {
        let json = serde_json::to_value(&report).unwrap_or_default();
        return Ok(Reply::new(text::burn_table(&report), json));
    };
    let page = html::burn_page(&report, &page_subtitle(&cfg, report.now));
    std::fs::write(path, page).map_err(|error| CtlError::File { path: path.to_owned(), error })?;
    Ok(Reply::new(format!("{path} is written"), json!({ "file": path })))
}

fn page_subtitle(cfg: &Configuration, now: Minute) -> String {
    let day = day::format(DayClock::new("UTC").day(now.0 * 60));
    let (hour, minute) = (now.0 / 60 % 24, now.0 % 60);
    let count = cfg.workspaces.len();
    format!("{count} workspaces, {day} {hour:02}:{minute:02} UTC, generation {}", cfg.generation.0)
}

/// Reports the usage of every workspace, or of the given one, by business day from `from` to `to`
/// inclusive. `to` is today by default, and `from` a week before `to`.
pub async fn usage_report(
    platform: &PlatformClient,
    workspace: Option<&str>,
    from: Option<&str>,
    to: Option<&str>,
) -> Result<Reply, CtlError> {
    let (_, cfg) = read_configuration(platform).await?;
    let parse = |text: Option<&str>, default: Day| match text {
        Some(text) => day::parse(text).map_err(|e| CtlError::Usage(e.to_string())),
        None => Ok(default),
    };
    let last = parse(to, latest_day(now_s()))?;
    let first = parse(from, Day(last.0 - 7))?;
    let report = usage::usage_report(&read_ledgers(platform, &cfg, first, last).await?, workspace);
    let json = serde_json::to_value(&report).unwrap_or_default();
    Ok(Reply::new(text::usage_table(&report), json))
}

/// Returns the latest business day that has begun in any time zone. Kiritimati is the first, at UTC+14.
fn latest_day(now_s: u64) -> Day {
    DayClock::new("Pacific/Kiritimati").day(now_s)
}

async fn read_ledgers(
    platform: &PlatformClient,
    cfg: &Configuration,
    first: Day,
    last: Day,
) -> Result<Vec<DatedLedger>, CtlError> {
    let mut ledgers = Vec::new();
    for number in first.0..=last.0 {
        for dc in &cfg.data_centres {
            let name = object_name(&dc.name, Day(number));
            if let (_, Some(ledger)) = read_object::<DayLedger>(platform, &name).await? {
                ledgers.push((Day(number), ledger));
            }
        }
    }
    Ok(ledgers)
}
