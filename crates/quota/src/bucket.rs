//! A token bucket on the process's own clock, in integers.

use model::prelude::*;

/// Parts of a token in which a bucket counts.
pub const MICRO: u64 = 1_000_000;

/// What a bucket may admit: a portion of a workspace's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Portion {
    /// Millionths of a token per second.
    pub rate_micro_per_s: u64,
    /// Millionths of a token held at most.
    pub burst_micro: u64,
}

impl Portion {
    /// The share `part / whole` of a rate and a burst in tokens, rounded down.
    pub fn new(rate_per_s: u32, burst: u32, part: u64, whole: u64) -> Portion {
        let share = |tokens: u32| {
            let micro = u128::from(tokens) * u128::from(MICRO) * u128::from(part);
            micro.checked_div(u128::from(whole)).unwrap_or(0) as u64
        };
        Portion { rate_micro_per_s: share(rate_per_s), burst_micro: share(burst) }
    }
}

/// A token bucket. It starts empty, so that a portion that moves brings no burst with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    portion: Portion,
    level_micro: u64,
    refilled_at: MonoTime,
}

impl Bucket {
    /// An empty bucket without a portion.
    pub fn new(now: MonoTime) -> Bucket {
        Bucket { portion: Portion::default(), level_micro: 0, refilled_at: now }
    }

    /// Changes the portion; what the new burst does not cover is dropped.
    pub fn set_portion(&mut self, portion: Portion, now: MonoTime) {
        self.refill(now);
        self.portion = portion;
        self.level_micro = self.level_micro.min(portion.burst_micro);
    }

    /// Takes the tokens of a request of the weight, or says how long they will take to come.
    pub fn try_spend(&mut self, weight: u32, now: MonoTime) -> Result<(), DurationUs> {
        self.refill(now);
        let need = u64::from(weight) * MICRO;
        if need <= self.level_micro {
            self.level_micro -= need;
            return Ok(());
        }
        Err(self.time_to_gain(need - self.level_micro))
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled_at).0;
        let gained =
            u128::from(elapsed) * u128::from(self.portion.rate_micro_per_s) / u128::from(MICRO);
        if gained == 0 {
            // Too little time for a millionth of a token: let it add up.
            return;
        }
        let level = u128::from(self.level_micro) + gained;
        self.level_micro = level.min(u128::from(self.portion.burst_micro)) as u64;
        self.refilled_at = now;
    }

    fn time_to_gain(&self, micro: u64) -> DurationUs {
        let rate = u128::from(self.portion.rate_micro_per_s);
        let us = (u128::from(micro) * u128::from(MICRO)).checked_div(rate);
        DurationUs(us.map_or(MICRO, |us| us as u64 + 1))
    }
}
