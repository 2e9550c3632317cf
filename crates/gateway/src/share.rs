//! A VM's share of a workspace's rate, which may be much less than one token.
//!
//! A bucket that holds at least one token for each VM would add up to a token times the number of VMs beyond
//! the burst. Where its share of the burst is less than one token, a VM holds a whole token for only that part
//! of the time: a gained token expires, and VMs gain theirs at different times. The expected number of tokens in the
//! fleet is then the same as if fractions of tokens could be held.

use model::prelude::*;
use quota::bucket::MICRO;

/// Shortest time for which a gained token can be spent, however small the burst is.
const HOLD_MIN: DurationUs = DurationUs::from_ms(500);

/// Tokens of a VM's share of a rate.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    rate_micro_per_s: u64,
    /// Share of the burst, which may be less than a token.
    capacity_micro: u64,
    /// Microtokens gained and not spent; a token can be spent once they are a whole one.
    level_micro: u64,
    /// Part of a microtoken left over by the last refill, in millionths.
    remainder: u64,
    refilled_at: MonoTime,
}

impl Share {
    /// Creates a share of nothing. `phase` is the part of a token that counts as gained, from 0 to 1; it differs from
    /// VM to VM.
    pub fn new(now: MonoTime, phase: f64) -> Share {
        Share {
            rate_micro_per_s: 0,
            capacity_micro: 0,
            level_micro: (phase.clamp(0.0, 1.0) * (MICRO - 1) as f64) as u64,
            remainder: 0,
            refilled_at: now,
        }
    }

    /// Changes the share to `fraction` of a rate and a burst. What it can't hold any more is dropped.
    pub fn set(&mut self, rate_per_s: f64, burst: f64, fraction: f64, now: MonoTime) {
        self.refill(now);
        self.rate_micro_per_s = (rate_per_s * fraction * MICRO as f64) as u64;
        self.capacity_micro = (burst * fraction * MICRO as f64) as u64;
        if self.capacity_micro < MICRO {
            let held = rate_per_s * fraction * HOLD_MIN.0 as f64;
            self.capacity_micro = self.capacity_micro.max((held as u64).min(MICRO));
        }
        self.drop_excess();
    }

    /// Refill rate, in microtokens per second.
    pub fn rate_micro_per_s(&self) -> u64 {
        self.rate_micro_per_s
    }

    /// Most tokens that can be held on average.
    pub fn capacity(&self) -> f64 {
        self.capacity_micro as f64 / MICRO as f64
    }

    /// Microtokens gained and not spent.
    pub fn level_micro(&mut self, now: MonoTime) -> u64 {
        self.refill(now);
        self.level_micro
    }

    /// Spends a token; returns whether there was one.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        self.refill(now);
        let has_token = self.level_micro >= MICRO;
        if has_token {
            self.level_micro -= MICRO;
        }
        has_token
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled_at).0;
        let gained =
            u128::from(elapsed) * u128::from(self.rate_micro_per_s) + u128::from(self.remainder);
        let level = u128::from(self.level_micro) + gained / u128::from(MICRO);
        self.level_micro = u64::try_from(level).unwrap_or(u64::MAX);
        self.remainder = (gained % u128::from(MICRO)) as u64;
        self.refilled_at = self.refilled_at.max(now);
        self.drop_excess();
    }

    fn drop_excess(&mut self) {
        if self.capacity_micro >= MICRO {
            self.level_micro = self.level_micro.min(self.capacity_micro);
            return;
        }
        let expired = self.level_micro.saturating_sub(MICRO + self.capacity_micro).div_ceil(MICRO);
        self.level_micro -= expired * MICRO;
    }
}
