//! Requests to databases that have just started: answers the load that many VMs put on a cold database, which stays
//! slow for as long as it gets more than it can run.
//!
//! Nothing is agreed on while a database warms up. Each VM has a fixed number of requests in any second, which follows
//! from the rate of the service and the part that the VM has in the lists of VMs. The numbers of all VMs that use the
//! present or the previous list sum up to no more than the rate and the slack.

use std::collections::VecDeque;

use model::prelude::*;

use crate::holders::HOLDERS_MAX;

/// Span in which the requests to a database are counted.
const SPAN: DurationUs = DurationUs::from_ms(1_000);
/// Number of requests that may be sent at once, unless a quarter of the allowance is more: a statement on a new
/// connection with a variable or two. The rest of the allowance is spread over the second, so that a statement does not
/// wait a whole second after others have used it up.
const BURST: usize = 4;
/// Requests of a usual transaction: its begin, three statements and its commit. More transactions at a time than get
/// as many a second would take each other's requests, and be rolled back without having ended: of 32 transactions for
/// which there was room, 13 were committed without a limit, 19 with two open at a time, and 27 with one.
const TRANSACTION_REQUESTS: usize = 5;
/// Number of lists of VMs that are in use at the same time: the present and the previous one.
const LISTS: usize = 2;
/// Percentage for the requests of failovers. Two VMs that are cut off from each other may each carry one out.
const FAILOVER_PERCENT: usize = 20;
/// Least number of requests for failovers: one status query, which opens a connection.
const FAILOVER_MIN: usize = 2;
/// Percentage for VMs that reach no holder.
const OUTSIDE_PERCENT: usize = 10;
/// Percentages of the holders' part for the second and third one. The rest is for the first, which all VMs use as
/// long as they reach it.
const RESERVE_PERCENT: [usize; HOLDERS_MAX - 1] = [20, 10];

/// The part that a VM has in sending requests to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The holder of this rank; 0 is the first choice.
    Holder(usize),
    /// No holder, with this rank among the others. It sends requests only where it reaches no holder.
    Outside(usize),
    /// A VM that carries out a failover. Its requests are counted apart from the others.
    Failover,
}

/// Returns how many requests a VM may send to a cold database in any second. All VMs together may send
/// `rate_per_s + slack`.
pub fn allowance(rate_per_s: f64, slack: f64, sender: Sender) -> usize {
    let per_list = (rate_per_s + slack).max(0.0) as usize / LISTS;
    let failover = (per_list * FAILOVER_PERCENT / 100).max(FAILOVER_MIN).min(per_list);
    // One request a second each.
    let outside = (per_list * OUTSIDE_PERCENT / 100).min(per_list - failover);
    let holders = per_list - failover - outside;
    match sender {
        Sender::Failover => failover,
        Sender::Outside(rank) => usize::from(rank < outside),
        Sender::Holder(0) => {
            holders - RESERVE_PERCENT.map(|percent| holders * percent / 100).iter().sum::<usize>()
        }
        Sender::Holder(rank) => {
            RESERVE_PERCENT.get(rank - 1).map_or(0, |percent| holders * percent / 100)
        }
    }
}

/// Returns how many transactions may be open at a cold database where `allowance` requests may be sent in any second.
pub fn transactions_max(allowance: usize) -> usize {
    (allowance / TRANSACTION_REQUESTS).max(1)
}

/// The requests that a VM has sent to a database within the last second.
#[derive(Clone, Debug, Default)]
pub struct RecentRequests {
    sent: VecDeque<MonoTime>,
}

impl RecentRequests {
    /// Returns how many more requests may be sent at `now`, where `allowance` may be sent in any second.
    pub fn room(&self, now: MonoTime, allowance: usize) -> usize {
        let (burst, span) = burst_of(allowance);
        let room = allowance.saturating_sub(self.sent_within(now, SPAN));
        room.min(burst.saturating_sub(self.sent_within(now, span)))
    }

    /// Whether `needed` requests, which belong together, may be sent at `now`. After a pause, they may be more than are
    /// sent at once otherwise.
    pub fn admits(&self, now: MonoTime, allowance: usize, needed: usize) -> bool {
        let (_, span) = burst_of(allowance);
        let room = allowance.saturating_sub(self.sent_within(now, SPAN));
        needed <= self.room(now, allowance) || (needed <= room && self.sent_within(now, span) == 0)
    }

    fn sent_within(&self, now: MonoTime, span: DurationUs) -> usize {
        self.sent.iter().rev().take_while(|at| now.since(**at) <= span).count()
    }

    /// Records a request that is sent at `now`.
    pub fn record(&mut self, now: MonoTime) {
        while self.sent.front().is_some_and(|at| now.since(*at) > SPAN) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// Returns how many of `allowance` requests a second may be sent at once, and the span in which no more are sent.
fn burst_of(allowance: usize) -> (usize, DurationUs) {
    let burst = allowance.min(BURST.max(allowance / 4));
    (burst, DurationUs(SPAN.0 * burst as u64 / allowance.max(1) as u64))
}

/// Whether a process that started at `started_at` may not send anything yet, since its earlier run may have used up
/// the allowance.
pub fn is_barred(started_at: MonoTime, now: MonoTime) -> bool {
    now.since(started_at) <= SPAN
}

/// How long a database is cold, according to its registry entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    incarnation: u64,
    cold_left: DurationUs,
    ends_at: MonoTime,
}

impl ColdPeriod {
    /// The period that an entry learned at `now` announces.
    pub fn new(incarnation: u64, cold_left: DurationUs, now: MonoTime) -> ColdPeriod {
        ColdPeriod { incarnation, cold_left, ends_at: now + cold_left }
    }

    /// Whether an entry says the same as that of this period, so that the period goes on as it is.
    pub fn is_of(&self, incarnation: u64, cold_left: DurationUs) -> bool {
        self.incarnation == incarnation && self.cold_left == cold_left
    }

    /// Whether the database is cold at `now`.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.ends_at
    }

    /// How much longer the database is cold at `now`.
    pub fn left(&self, now: MonoTime) -> DurationUs {
        self.ends_at.since(now)
    }
}
