//! The service level indicator: classifies ended requests as good, bad or excluded.

use proto::{
    caller::{CallerError, ErrorKind, Outcome},
    report::Counts,
};

/// How a request counts towards its workspace's service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SliClass {
    /// The request was answered in time.
    Good,
    /// The request was answered late, or failed for a reason that the system is responsible for.
    Bad,
    /// The request failed for a reason that the caller is responsible for, such as a malformed
    /// request, a missing permission or an exceeded rate. It counts as neither good nor bad.
    Excluded,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub enum RequestEnd<'a> {
    /// The request was answered.
    Answered {
        /// Whether the deadline had passed by then.
        late: bool,
    },
    /// The request was answered by an error.
    Error(&'a CallerError),
    /// The caller disconnected before there was an answer.
    Abandoned,
}

/// Classifies a request by its end.
pub fn classify(end: RequestEnd<'_>) -> SliClass {
    let error = match end {
        RequestEnd::Answered { late: false } => return SliClass::Good,
        RequestEnd::Answered { late: true } | RequestEnd::Abandoned => return SliClass::Bad,
        RequestEnd::Error(error) => error,
    };
    match error.kind {
        ErrorKind::QueueFull | ErrorKind::Unavailable | ErrorKind::Timeout => SliClass::Bad,
        ErrorKind::BadRequest
        | ErrorKind::Unauthorized
        | ErrorKind::Forbidden
        | ErrorKind::NotFound
        | ErrorKind::TooLarge
        | ErrorKind::TooManyHeaders
        | ErrorKind::RateLimited
        | ErrorKind::TransactionEnded
        | ErrorKind::KeyReused
        | ErrorKind::Statement => SliClass::Excluded,
    }
}

/// The counts that a request of the given weight adds to its workspace. The weight counts only if
/// the request is known to have run.
pub fn counts(end: RequestEnd<'_>, weight: u32) -> Counts {
    let ran = match end {
        RequestEnd::Answered { .. } => true,
        RequestEnd::Error(error) => error.outcome == Outcome::Failed,
        RequestEnd::Abandoned => false,
    };
    let class = classify(end);
    Counts {
        requests: 1,
        weight: if ran { u64::from(weight) } else { 0 },
        good: u64::from(class == SliClass::Good),
        bad: u64::from(class == SliClass::Bad),
    }
}
