//! How a request counts towards the service level.

use proto::{
    caller::{CallerError, ErrorKind, Outcome},
    report::Counts,
};

/// How a request counts towards the service level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered in time.
    Good,
    /// Answered late, or failed by the system.
    Bad,
    /// Its caller's own doing: malformed, not allowed, past the workspace's rate.
    Excluded,
}

/// How a request came to its end.
#[derive(Clone, Copy, Debug)]
pub enum End<'a> {
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
pub fn verdict(end: End<'_>) -> Verdict {
    let error = match end {
        End::Answered { late: false } => return Verdict::Good,
        End::Answered { late: true } | End::Abandoned => return Verdict::Bad,
        End::Error(error) => error,
    };
    match error.kind {
        ErrorKind::QueueFull | ErrorKind::Unavailable | ErrorKind::Timeout => Verdict::Bad,
        ErrorKind::BadRequest
        | ErrorKind::Unauthorized
        | ErrorKind::Forbidden
        | ErrorKind::NotFound
        | ErrorKind::TooLarge
        | ErrorKind::TooManyHeaders
        | ErrorKind::RateLimited
        | ErrorKind::TransactionEnded
        | ErrorKind::KeyReused
        | ErrorKind::Statement => Verdict::Excluded,
    }
}

/// What a request of that weight adds to its workspace's counts. Only what is known to have run has
/// weight.
pub fn counts(end: End<'_>, weight: u32) -> Counts {
    let ran = match end {
        End::Answered { .. } => true,
        End::Error(error) => error.outcome == Outcome::Failed,
        End::Abandoned => false,
    };
    let verdict = verdict(end);
    Counts {
        requests: 1,
        weight: if ran { u64::from(weight) } else { 0 },
        good: u64::from(verdict == Verdict::Good),
        bad: u64::from(verdict == Verdict::Bad),
    }
}
