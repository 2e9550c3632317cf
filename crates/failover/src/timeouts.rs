//! Timeouts and delays of failure detection and promotion.

use model::prelude::*;

/// Lower bound of [`Timeouts::status_timeout`].
const STATUS_TIMEOUT_MIN: DurationUs = DurationUs::from_ms(500);
/// Status intervals after which a member without answers counts as unresponsive.
const STATUS_TIMEOUT_INTERVALS: u64 = 4;

/// Timeouts and delays of failure detection and promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A member counts as unresponsive if the last status query that it answered was sent longer
    /// ago than this.
    pub status_timeout: DurationUs,
    /// How long a slot must be without a primary, or have a leaving one, before this VM starts a
    /// promotion. A promotion that another VM has started can complete in this time.
    pub settle_delay: DurationUs,
    /// How long a primary that no majority of the members reaches has to regain contact before it
    /// is replaced.
    pub isolation_delay: DurationUs,
    /// How long a leaving primary may keep its open transactions before it is replaced.
    pub drain_timeout: DurationUs,
    /// Delay between the proposals of VMs of consecutive ranks, so that the VMs that monitor a slot
    /// propose one after another.
    pub proposal_stagger: DurationUs,
    /// Upper bound of the random delay that is added to each proposal.
    pub proposal_jitter: DurationUs,
    /// How long a proposer waits, from the start of its attempt, for grants beyond a majority.
    pub grant_grace: DurationUs,
    /// An attempt that has not completed after this time is abandoned.
    pub attempt_timeout: DurationUs,
    /// How long a VM does not propose for the slot again after it abandoned an attempt.
    pub retry_backoff: DurationUs,
    /// Minimum interval between follow calls to the same member.
    pub follow_retry_interval: DurationUs,
}

impl Timeouts {
    /// Timeouts for members whose status is queried once per `status_interval`.
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
