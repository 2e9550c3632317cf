//! Time limits of the promotion.

use model::prelude::*;

const SILENT_LEAST: DurationUs = DurationUs::from_ms(500);
const SILENT_INTERVALS: u64 = 4;

/// How long the promotion waits for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A member that has not answered for this long is silent.
    pub silent: DurationUs,
    /// How long a slot must have been without a primary, so that a promotion under way can end.
    pub settle: DurationUs,
    /// How long a primary that no majority hears is given to be heard again.
    pub unheard: DurationUs,
    /// How long a primary that is leaving may go on with open transactions.
    pub drain: DurationUs,
    /// By how much later each rank proposes than the one before.
    pub stagger: DurationUs,
    /// Greatest random delay of a proposal.
    pub jitter: DurationUs,
    /// How long a proposer that has a majority waits for the other members' grants.
    pub grace: DurationUs,
    /// When an attempt that is not over has failed.
    pub attempt: DurationUs,
    /// How long a proposer that failed keeps quiet.
    pub quiet: DurationUs,
    /// How soon a member that does not follow is told again.
    pub heal: DurationUs,
}

impl Limits {
    /// Limits for members that are asked for their status this often.
    pub fn new(status_interval: DurationUs) -> Limits {
        let silent = SILENT_LEAST.max(DurationUs(SILENT_INTERVALS * status_interval.0));
        Limits {
            silent,
            settle: DurationUs::from_ms(300),
            unheard: silent,
            drain: DurationUs::from_ms(1_500),
            stagger: DurationUs::from_ms(150),
            jitter: DurationUs::from_ms(60),
            grace: DurationUs::from_ms(50),
            attempt: DurationUs::from_ms(1_000),
            quiet: DurationUs::from_ms(300),
            heal: DurationUs::from_ms(500),
        }
    }
}
