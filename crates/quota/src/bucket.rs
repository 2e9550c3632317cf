//! A token bucket in integer arithmetic, driven by the caller's clock, that can lend tokens to other
//! VMs.

use std::collections::VecDeque;

use model::prelude::*;

/// Microtokens per token, and microseconds per second. Buckets count in microtokens.
pub const MICRO: u64 = 1_000_000;

/// A rate and a burst: those of a whole workspace, or one VM's portion of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// Refill rate, in microtokens per second.
    pub rate_micro_per_s: u64,
    /// Most tokens that a bucket may hold, in microtokens.
    pub burst_micro: u64,
}

impl RateLimit {
    /// The share `part / whole` of a rate in tokens per second and of a burst in tokens, rounded down.
    /// Zero if `whole` is zero.
    pub fn new(rate_per_s: u32, burst: u32, part: u64, whole: u64) -> RateLimit {
        let share = |tokens: u32| {
            let micro = u128::from(tokens) * u128::from(MICRO) * u128::from(part);
            micro.checked_div(u128::from(whole)).unwrap_or(0) as u64
        };
        RateLimit { rate_micro_per_s: share(rate_per_s), burst_micro: share(burst) }
    }
}

/// Tokens lent to another VM that it may not have spent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loan {
    number: u64,
    micro: u64,
    /// When the borrower can no longer spend them, on this VM's clock.
    until: MonoTime,
}

/// A token bucket that can lend tokens. It starts empty, so that a portion that moves to another VM
/// does not bring a full burst with it.
///
/// Lent tokens take up capacity until the borrower can no longer spend them: the level and the
/// outstanding loans together never exceed the burst.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    limit: RateLimit,
    level_micro: u64,
    /// Fraction of a microtoken left over by the last refill, in millionths of a microtoken.
    remainder: u64,
    refilled_at: MonoTime,
    /// Outstanding loans, sorted by `until`.
    loans: VecDeque<Loan>,
    /// Sum of the outstanding loans, in microtokens.
    lent_micro: u64,
    /// Number of the latest loan; the first one is 1.
    last_loan: u64,
}

impl TokenBucket {
    /// An empty bucket whose rate and burst are zero.
    pub fn new(now: MonoTime) -> TokenBucket {
        TokenBucket {
            limit: RateLimit::default(),
            level_micro: 0,
            remainder: 0,
            refilled_at: now,
            loans: VecDeque::new(),
            lent_micro: 0,
            last_loan: 0,
        }
    }

    /// Changes rate and burst. Tokens above the new capacity are dropped.
    pub fn set_limit(&mut self, limit: RateLimit, now: MonoTime) {
        self.refill(now);
        self.limit = limit;
        self.level_micro = self.level_micro.min(self.capacity_micro());
    }

    /// The current rate and burst.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Microtokens that can be spent now.
    pub fn level_micro(&mut self, now: MonoTime) -> u64 {
        self.refill(now);
        self.level_micro
    }

    /// Takes `weight` tokens. If there are too few, takes none and returns the time until the missing
    /// ones are refilled.
    pub fn try_spend(&mut self, weight: u32, now: MonoTime) -> Result<(), DurationUs> {
        let need = u64::from(weight) * MICRO;
        let taken = self.take_up_to(need, now);
        if taken == need {
            return Ok(());
        }
        self.level_micro += taken;
        Err(self.refill_time(need - taken))
    }

    /// Takes up to `want_micro` microtokens and returns how many it took.
    pub fn take_up_to(&mut self, want_micro: u64, now: MonoTime) -> u64 {
        self.refill(now);
        let taken = want_micro.min(self.level_micro);
        self.level_micro -= taken;
        taken
    }

    /// Adds microtokens that another bucket of the same rate has given up, as many as there is room for.
    pub fn put(&mut self, micro: u64, now: MonoTime) {
        self.refill(now);
        self.level_micro += micro.min(self.capacity_micro().saturating_sub(self.level_micro));
    }

    /// Lends up to `want_micro` microtokens to another VM, which may spend them until `until`. Returns
    /// the loan's number and its microtokens, both zero if there was nothing to lend.
    pub fn lend(&mut self, want_micro: u64, now: MonoTime, until: MonoTime) -> (u64, u64) {
        let micro = self.take_up_to(want_micro, now);
        if micro == 0 {
            return (0, 0);
        }
        self.last_loan += 1;
        let loan = Loan { number: self.last_loan, micro, until };
        let at = self.loans.partition_point(|other| other.until <= until);
        self.loans.insert(at, loan);
        self.lent_micro += micro;
        (loan.number, micro)
    }

    /// Ends a loan early: the borrower spends no more of it and returns `unused_micro` microtokens.
    /// Does nothing if the loan has already ended.
    pub fn settle(&mut self, number: u64, unused_micro: u64, now: MonoTime) {
        self.refill(now);
        let Some(at) = self.loans.iter().position(|loan| loan.number == number) else {
            return;
        };
        let Some(loan) = self.loans.remove(at) else {
            return;
        };
        self.lent_micro -= loan.micro;
        let returned = unused_micro.min(loan.micro);
        self.level_micro += returned.min(self.capacity_micro().saturating_sub(self.level_micro));
    }

    /// Refills up to `now`. Each loan that has expired frees its capacity as of the time when it
    /// expired.
    fn refill(&mut self, now: MonoTime) {
        while let Some(loan) = self.loans.front().copied().filter(|loan| loan.until <= now) {
            self.refill_until(loan.until);
            self.lent_micro -= loan.micro;
            self.loans.pop_front();
        }
        self.refill_until(now);
    }

    fn refill_until(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled_at).0;
        let gained = u128::from(elapsed) * u128::from(self.limit.rate_micro_per_s)
            + u128::from(self.remainder);
        let level = u128::from(self.level_micro) + gained / u128::from(MICRO);
        self.level_micro = level.min(u128::from(self.capacity_micro())) as u64;
        self.remainder = (gained % u128::from(MICRO)) as u64;
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Most microtokens that the bucket may hold now: the burst without the outstanding loans.
    fn capacity_micro(&self) -> u64 {
        self.limit.burst_micro.saturating_sub(self.lent_micro)
    }

    /// Time in which `micro` microtokens are refilled; one second if the rate is zero.
    fn refill_time(&self, micro: u64) -> DurationUs {
        let rate = u128::from(self.limit.rate_micro_per_s);
        let us = (u128::from(micro) * u128::from(MICRO)).checked_div(rate);
        DurationUs(us.map_or(MICRO, |us| us as u64 + 1))
    }
}
