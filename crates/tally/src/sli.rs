//! How a request counts towards the service level.

use proto::{
    caller::{CallerError, ErrorKind, Outcome},
    report::Counts,
};

/// How a request counts towards the service level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SliClass {
    /// Answered in time.
    Good,
    /// Answered late, or failed by the system.
    Bad,
    /// Its caller's own doing: malformed, not allowed, past the workspace's rate.
    Excluded,
}

/// How a request came to its end.
#[derive(Clone, Copy, Debug)]
pub enum RequestEnd<'a> {
    /// It was answered; `late` if past its deadline.
    Answered {
        /// Whether its deadline had passed.
        late: bool,
    },
    /// It got an error.
    Error(&'a CallerError),
    /// Its caller went away before there was an answer.
    Abandoned,
}

/// How a request with that end counts towards the service level.
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

/// What a request of that weight adds to its workspace's counts. Only what is known to have run has
/// weight.
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
