//! Business days: the calendar day of a moment in a time zone, and its text form.

use jiff::{Timestamp, ToSpan, civil::Date, tz::TimeZone};
use proto::report::{Day, Minute};

const EPOCH: Date = Date::constant(1970, 1, 1);
const MINUTE_S: u64 = 60;

/// A text that is not a date of the form `2026-03-31`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a day: write it as 2026-03-31")]
pub struct DayError {
    /// The rejected text.
    pub text: String,
}

/// The minute of a moment, given in seconds since the Unix epoch.
pub fn minute(unix_s: u64) -> Minute {
    Minute(unix_s / MINUTE_S)
}

/// Formats a day, such as `2026-03-31`.
pub fn format(day: Day) -> String {
    let date = EPOCH.checked_add(day.0.days());
    date.map_or_else(|_| format!("day {}", day.0), |date| date.to_string())
}

/// Parses a day of the form `2026-03-31`.
pub fn parse(text: &str) -> Result<Day, DayError> {
    let date: Date = text.parse().map_err(|_| DayError { text: text.to_owned() })?;
    Ok(day_of(date))
}

fn day_of(date: Date) -> Day {
    Day(EPOCH.until(date).map_or(0, |span| span.get_days()))
}

/// Converts moments to business days of one time zone, and caches the bounds of the last day.
#[derive(Clone, Debug)]
pub struct DayClock {
    zone: TimeZone,
    day: Day,
    /// Start of `day`, in seconds since the Unix epoch.
    starts_s: u64,
    /// End of `day`, exclusive, in seconds since the Unix epoch.
    ends_s: u64,
}

impl DayClock {
    /// Creates a clock for a time zone. An unknown name counts as UTC.
    pub fn new(zone: &str) -> DayClock {
        let zone = TimeZone::get(zone).unwrap_or(TimeZone::UTC);
        DayClock { zone, day: Day(0), starts_s: 0, ends_s: 0 }
    }

    /// The business day of a moment, given in seconds since the Unix epoch.
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
