//! `report`: service-level burn and usage.

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
    force::now_s,
    reply::Reply,
    store::{read, read_object},
};

const BURN_DAYS: i32 = burn::BUDGET_DAYS as i32 + 1;

/// The burn of every workspace; as an HTML page in `file` where one is given.
pub async fn burn_report(platform: &PlatformClient, file: Option<&str>) -> Result<Reply, CtlError> {
    let (_, cfg) = read(platform).await?;
    let now_s = now_s();
    let last = newest_day(now_s);
    let ledgers = ledgers(platform, &cfg, Day(last.0 - BURN_DAYS), last).await?;
    let report = burn::burn(&cfg, &ledgers, day::minute(now_s));
    let Some(path) = file else {
        let json = serde_json::to_value(&report).unwrap_or_default();
        return Ok(Reply::new(text::burn(&report), json));
    };
    let page = html::burn(&report, &written(&cfg, report.now));
    std::fs::write(path, page).map_err(|error| CtlError::File { path: path.to_owned(), error })?;
    Ok(Reply::new(format!("{path} is written"), json!({ "file": path })))
}

fn written(cfg: &Configuration, now: Minute) -> String {
    let day = day::format(DayClock::new("UTC").day(now.0 * 60));
    let (hour, minute) = (now.0 / 60 % 24, now.0 % 60);
    let count = cfg.workspaces.len();
    format!("{count} workspaces, {day} {hour:02}:{minute:02} UTC, generation {}", cfg.generation.0)
}

/// The usage of every workspace, or of one, by business day.
pub async fn usage_report(
    platform: &PlatformClient,
    workspace: Option<&str>,
    from: Option<&str>,
    to: Option<&str>,
) -> Result<Reply, CtlError> {
    let (_, cfg) = read(platform).await?;
    let parse = |text: Option<&str>, default: Day| match text {
        Some(text) => day::parse(text).map_err(|e| CtlError::Usage(e.to_string())),
        None => Ok(default),
    };
    let last = parse(to, newest_day(now_s()))?;
    let first = parse(from, Day(last.0 - 7))?;
    let report = usage::usage(&ledgers(platform, &cfg, first, last).await?, workspace);
    let json = serde_json::to_value(&report).unwrap_or_default();
    Ok(Reply::new(text::usage(&report), json))
}

/// The newest business day of any time zone.
fn newest_day(now_s: u64) -> Day {
    DayClock::new("Pacific/Kiritimati").day(now_s)
}

async fn ledgers(
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
