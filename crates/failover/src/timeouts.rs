//! Time limits of the promotion.

use model::prelude::*;

const STATUS_TIMEOUT_MIN: DurationUs = DurationUs::from_ms(500);
const STATUS_TIMEOUT_INTERVALS: u64 = 4;

/// How long the promotion waits for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A member that has not answered for this long is silent.
    pub status_timeout: DurationUs,
    /// How long a slot must have been without a primary, so that a promotion under way can end.
    pub settle_delay: DurationUs,
    /// How long a primary that no majority hears is given to be heard again.
    pub isolation_delay: DurationUs,
    /// How long a primary that is leaving may go on with open transactions.
    pub drain_timeout: DurationUs,
    /// By how much later each rank proposes than the one before.
    pub proposal_stagger: DurationUs,
    /// Greatest random delay of a proposal.
    pub proposal_jitter: DurationUs,
    /// How long a proposer that has a majority waits for the other members' grants.
    pub grant_grace: DurationUs,
    /// When an attempt that is not over has failed.
    pub attempt_timeout: DurationUs,
    /// How long a proposer that failed keeps quiet.
    pub retry_backoff: DurationUs,
    /// How soon a member that does not follow is told again.
    pub follow_retry_interval: DurationUs,
}

impl Timeouts {
    /// Limits for members that are asked for their status this often.
    pub fn new(status_interval: DurationUs) -> Timeouts {
        let status_timeout =
            STATUS_TIMEOUT_MIN.max(DurationUs(STATUS_TIMEOUT_INTERVALS * status_interval.0));
        Timeouts {
            status_timeout,
            settle_delay: DurationUs::from_ms(300),
            isolation_delay: status_timeout,
            drain_timeout: DurationUs::from_ms(1_500),
            proposal_stagger: DurationUs::from_ms(150),
            proposal_jitter: DurationUs::from_ms(60),
            grant_grace: DurationUs::from_ms(50),
            attempt_timeout: DurationUs::from_ms(1_000),
            retry_backoff: DurationUs::from_ms(300),
            follow_retry_interval: DurationUs::from_ms(500),
        }
    }
}
