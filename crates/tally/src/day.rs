//! Business days: which day a moment belongs to in a time zone.

use jiff::{Timestamp, ToSpan, civil::Date, tz::TimeZone};
use proto::report::{Day, Minute};

const EPOCH: Date = Date::constant(1970, 1, 1);
const MINUTE_S: u64 = 60;

/// The text is not a day.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a day: write it as 2026-03-31")]
pub struct DayError {
    /// What was given.
    pub text: String,
}

/// The minute of a moment, given in seconds from 1 January 1970.
pub fn minute(unix_s: u64) -> Minute {
    Minute(unix_s / MINUTE_S)
}

/// The day as text, such as `2026-03-31`.
pub fn format(day: Day) -> String {
    let date = EPOCH.checked_add(day.0.days());
    date.map_or_else(|_| format!("day {}", day.0), |date| date.to_string())
}

/// The day that the text stands for.
pub fn parse(text: &str) -> Result<Day, DayError> {
    let date: Date = text.parse().map_err(|_| DayError { text: text.to_owned() })?;
    Ok(day_of(date))
}

fn day_of(date: Date) -> Day {
    Day(EPOCH.until(date).map_or(0, |span| span.get_days()))
}

/// The present business day of one time zone.
#[derive(Clone, Debug)]
pub struct DayClock {
    zone: TimeZone,
    day: Day,
    starts_s: u64,
    ends_s: u64,
}

impl DayClock {
    /// A clock for the time zone; an unknown one counts as UTC.
    pub fn new(zone: &str) -> DayClock {
        let zone = TimeZone::get(zone).unwrap_or(TimeZone::UTC);
        DayClock { zone, day: Day(0), starts_s: 0, ends_s: 0 }
    }

    /// The business day of a moment, given in seconds from 1 January 1970.
    pub fn day(&mut self, unix_s: u64) -> Day {
        if !(self.starts_s..self.ends_s).contains(&unix_s) {
            self.update(unix_s);
        }
        self.day
    }

    fn update(&mut self, unix_s: u64) {
        let at = Timestamp::from_second(unix_s as i64).unwrap_or(Timestamp::UNIX_EPOCH);
        let zoned = at.to_zoned(self.zone.clone());
        self.day = day_of(zoned.date());
        self.starts_s = self.start_s(zoned.date(), unix_s);
        let next = zoned.date().tomorrow();
        self.ends_s = next.map_or(unix_s, |next| self.start_s(next, unix_s));
    }

    fn start_s(&self, date: Date, otherwise: u64) -> u64 {
        let start = date.to_zoned(self.zone.clone());
        start.map_or(otherwise, |start| start.timestamp().as_second().max(0) as u64)
    }
}
