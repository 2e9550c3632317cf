//! How long a statement may wait for an upstream, and in which order waiting statements are served.
//!
//! During a short overload or a failover, waiting is better than an error as long as the answer can
//! still arrive within the statement's timeout. Later, an immediate refusal lets the caller try
//! another VM while it has time left.

use model::prelude::*;

use crate::catalog::Route;

/// Percentage of a statement's timeout that it may wait. The rest is for running it: its work and a
/// round trip between regions usually take a tenth to a third of the timeout.
const QUEUE_WAIT_PERCENT: u64 = 70;

/// How long a statement of the route may wait for an upstream before it is refused.
pub(crate) fn max_queue_wait(route: &Route) -> DurationUs {
    DurationUs(route.statement_timeout.0 * QUEUE_WAIT_PERCENT / 100)
}

/// Percentage of the target latency that an operation may wait for a token.
const RATE_WAIT_PERCENT: u64 = 40;

/// How long an operation of the route may wait for a token of its workspace's rate.
pub(crate) fn max_rate_wait(route: &Route) -> DurationUs {
    DurationUs(route.target_latency.0 * RATE_WAIT_PERCENT / 100)
}

/// Sort key of statements that wait in an open transaction. They go first, so that transactions that have begun end
/// before others begin: in turns, none would end in time.
pub(crate) const IN_TRANSACTION: (u32, MonoTime) = (0, MonoTime(0));

/// Sort key of waiting statements: by priority, then by when they are refused.
pub(crate) fn sort_key(priority: u32, refuse_at: MonoTime) -> (u32, MonoTime) {
    (priority, refuse_at)
}
