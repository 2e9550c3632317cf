//! How long a statement may wait for an upstream, and who goes first.
//!
//! The load in mind is a short overload or the change of a primary: waiting pays as long as the answer
//! can still come within the statement's own time; after that, refusing at once lets the caller try
//! another VM while it has time left.

use model::prelude::*;

use crate::catalog::Route;

/// Part of a statement's time that it may wait, in percent. The rest is for running: a statement's work
/// and a round trip between regions take a tenth to a third of the usual time.
const QUEUE_WAIT_PERCENT: u64 = 70;

/// How long a statement of the route may wait before it is refused.
pub(crate) fn max_queue_wait(route: &Route) -> DurationUs {
    DurationUs(route.statement_timeout.0 * QUEUE_WAIT_PERCENT / 100)
}

/// Part of the target latency that an operation may wait for its turn in the workspace's rate, in
/// percent.
const RATE_WAIT_PERCENT: u64 = 40;

/// How long an operation of the route may wait for a token of its workspace's rate.
pub(crate) fn max_rate_wait(route: &Route) -> DurationUs {
    DurationUs(route.target_latency.0 * RATE_WAIT_PERCENT / 100)
}

/// Order in which waiting statements are served: by priority, then by how soon they are refused.
pub(crate) fn service_order(priority: u32, give_up_at: MonoTime) -> (u32, MonoTime) {
    (priority, give_up_at)
}
