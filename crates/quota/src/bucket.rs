//! A token bucket on the process's own clock, in integers, that can lend tokens.

use std::collections::VecDeque;

use model::prelude::*;

/// Parts of a token in which a bucket counts.
pub const MICRO: u64 = 1_000_000;

/// What a bucket may admit: a portion of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// Millionths of a token per second.
    pub rate_micro_per_s: u64,
    /// Millionths of a token held at most.
    pub burst_micro: u64,
}

impl RateLimit {
    /// The share `part / whole` of a rate and a burst in tokens, rounded down.
    pub fn new(rate_per_s: u32, burst: u32, part: u64, whole: u64) -> RateLimit {
        let share = |tokens: u32| {
            let micro = u128::from(tokens) * u128::from(MICRO) * u128::from(part);
            micro.checked_div(u128::from(whole)).unwrap_or(0) as u64
        };
        RateLimit { rate_micro_per_s: share(rate_per_s), burst_micro: share(burst) }
    }
}

/// Tokens that another VM may still spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Loan {
    number: u64,
    micro: u64,
    until: MonoTime,
}

/// A token bucket. It starts empty, so that a portion that moves brings no burst with it.
///
/// Lent tokens count as present until the borrower can't spend them any more: what is held and what
/// is lent never pass the burst together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    limit: RateLimit,
    level_micro: u64,
    /// Millionths of a millionth that a refill left over.
    remainder: u64,
    refilled_at: MonoTime,
    /// Sorted by the time of their end.
    loans: VecDeque<Loan>,
    lent_micro: u64,
    last_loan: u64,
}

impl TokenBucket {
    /// An empty bucket without a portion.
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

    /// Changes the portion; what the new burst does not cover is dropped.
    pub fn set_limit(&mut self, limit: RateLimit, now: MonoTime) {
        self.refill(now);
        self.limit = limit;
        self.level_micro = self.level_micro.min(self.capacity_micro());
    }

    /// The portion.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Millionths of a token that can be spent now.
    pub fn level_micro(&mut self, now: MonoTime) -> u64 {
        self.refill(now);
        self.level_micro
    }

    /// Takes the tokens of a request of the weight, or says how long they will take to come.
    pub fn try_spend(&mut self, weight: u32, now: MonoTime) -> Result<(), DurationUs> {
        let need = u64::from(weight) * MICRO;
        let taken = self.take_up_to(need, now);
        if taken == need {
            return Ok(());
        }
        self.level_micro += taken;
        Err(self.refill_time(need - taken))
    }

    /// Takes as much as there is, at most `want_micro`.
    pub fn take_up_to(&mut self, want_micro: u64, now: MonoTime) -> u64 {
        self.refill(now);
        let taken = want_micro.min(self.level_micro);
        self.level_micro -= taken;
        taken
    }

    /// Takes tokens for another VM, which may spend them until `until` and not after. Returns the
    /// number of the loan and what it comes to.
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

    /// The borrower can't spend a loan any more, and has not spent `unused_micro` of it.
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

    fn capacity_micro(&self) -> u64 {
        self.limit.burst_micro.saturating_sub(self.lent_micro)
    }

    fn refill_time(&self, micro: u64) -> DurationUs {
        let rate = u128::from(self.limit.rate_micro_per_s);
        let us = (u128::from(micro) * u128::from(MICRO)).checked_div(rate);
        DurationUs(us.map_or(MICRO, |us| us as u64 + 1))
    }
}
