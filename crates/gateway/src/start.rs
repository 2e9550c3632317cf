//! When a statement in a database's queue is expected to start, for a queue that is longer than the database can
//! work off within the statements' time limits.

use model::prelude::*;

use crate::message::{ErrorCode, Reply, TransactionState};

/// Weight of a new measurement in the moving average of service times: the last ten or so count.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Number of measurements before the average is relied on.
const MEASUREMENTS_MIN: u32 = 10;
/// Age of the last measurement from which the average is not relied on: a database that is silent for that long
/// may have failed, and another will serve its queue.
const MEASUREMENT_AGE_MAX: DurationUs = DurationUs::from_ms(500);
/// How the text of a refusal by a holder begins. It is sent as an answer of the database, since an earlier version
/// can't decode another reason of [`crate::link::Refusal`].
const REFUSAL_TEXT: &str = "expected to start after its time limit";

/// How long a database takes for a statement, from sending it to its answer, over own connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_us: f64,
    count: u32,
    measured_at: MonoTime,
}

impl ServiceTime {
    /// Adds a measurement.
    pub fn record(&mut self, now: MonoTime, took: DurationUs) {
        let took = took.0 as f64;
        self.count = self.count.saturating_add(1);
        let weight = SERVICE_TIME_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean_us += (took - self.mean_us) * weight;
        self.measured_at = now;
    }

    /// Mean of the last measurements; `None` without any.
    pub fn mean(&self) -> Option<DurationUs> {
        (self.count > 0).then_some(DurationUs(self.mean_us as u64))
    }

    /// Time until a statement with `ahead` others before it in the queue can start, at the earliest: all of the
    /// database's slots are busy and serve this queue only. `None` without enough recent measurements.
    pub fn until_start(&self, now: MonoTime, ahead: usize, slots: u32) -> Option<DurationUs> {
        let is_known =
            self.count >= MEASUREMENTS_MIN && now.since(self.measured_at) < MEASUREMENT_AGE_MAX;
        let rounds = ahead as f64 / f64::from(slots.max(1));
        is_known.then_some(DurationUs((rounds * self.mean_us) as u64))
    }
}

/// Returns the text for a caller whose statement can't start for `wait`.
pub fn refusal_text(wait: DurationUs) -> String {
    format!("{REFUSAL_TEXT}; retry after {} ms", wait.as_ms())
}

/// Returns a holder's answer to a request that can't start for `wait` and was not sent to the database.
pub fn refusal(wait: DurationUs) -> Vec<Reply> {
    let text = refusal_text(wait).into();
    let ready = Reply::Ready { state: TransactionState::Idle, position: None };
    vec![Reply::Error { code: ErrorCode::Busy, text }, ready]
}

/// Returns the text of a holder's answer that [`refusal`] made; `None` for any other answer.
pub fn refusal_in(replies: &[Reply]) -> Option<&str> {
    match replies {
        [Reply::Error { code: ErrorCode::Busy, text }, Reply::Ready { .. }] => {
            text.starts_with(REFUSAL_TEXT).then_some(text)
        }
        _ => None,
    }
}
