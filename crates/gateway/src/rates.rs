//! Rate limits of the workspaces, divided among the VMs by demand.
//!
//! A small fraction of a rate is divided evenly and always available. One live witness, the home of
//! the workspace's rate, grants about half of the rate for short periods, in proportion to the
//! demand that each VM reports, and lends single tokens from the rest to VMs where operations wait.
//! Fixed shares would refuse operations that the whole rate allows, because a workspace's
//! operations reach the VMs unevenly and in bursts, at a few per second each. A VM without contact
//! falls back to its even share.

use std::collections::BTreeMap;

use model::prelude::*;
use quota::bucket::{MICRO, RateLimit, TokenBucket};
use serde::{Deserialize, Serialize};

use crate::catalog::Workspace;

/// Fraction of a rate that is divided evenly: what VMs without contact to the home may still admit.
const EVEN_FRACTION: f64 = 0.04;
/// Greatest fraction of a rate that is granted by demand. The home lends the rest.
const GRANTED_FRACTION: f64 = 0.55;
/// Demand from which a VM gets a grant, in operations per second. With less, most of a grant would
/// expire unused.
const GRANT_MIN_DEMAND_PER_S: f64 = 2.0;
/// Minimum time between two requests to the home for tokens of one workspace.
const BORROW_INTERVAL: DurationUs = DurationUs::from_ms(40);
/// How long the home's answer is awaited before tokens are requested again. A second request for the
/// same operations while the first one is on its way would take twice the tokens that they need.
const BORROW_TIMEOUT: DurationUs = DurationUs::from_ms(150);
/// Greatest number of tokens in one request to the home.
const BORROW_MAX_TOKENS: u32 = 64;
/// How long a home that lent fewer tokens than requested counts as having none left.
const HOME_EMPTY_BACKOFF: DurationUs = DurationUs::from_ms(300);
/// How long borrowed tokens can be spent.
const LOAN_LIFETIME: DurationUs = DurationUs::from_ms(500);
/// Demand that is assumed in addition to the reported demand, as a fraction of the rate, for VMs
/// that have not yet reported any.
const ASSUMED_DEMAND_FRACTION: f64 = 0.15;
/// How long a grant is valid; it outlasts two lost heartbeats.
pub const GRANT_LIFETIME: DurationUs = DurationUs::from_ms(1_000);
/// Time constant of the moving average of demand, in microseconds; short compared to the 5 s window
/// in which rate limits are measured.
const DEMAND_TIME_CONSTANT_US: f64 = 700_000.0;
/// Least time from the end of a run of a VM until its next run admits operations: meanwhile its part of a rate
/// was refilled and not used.
const RESTART_MIN: DurationUs = DurationUs::from_ms(500);
/// Demand below which a VM reports none, in operations per second.
const REPORTED_DEMAND_MIN_PER_S: f64 = 0.05;

/// The demand of a workspace's callers at the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace whose callers send the operations.
    pub workspace: WorkspaceName,
    /// Operations per second that callers ask for, admitted or not, as a moving average.
    pub per_s: f32,
}

/// A fraction of a workspace's rate granted to one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateGrant {
    /// The workspace whose rate is granted.
    pub workspace: WorkspaceName,
    /// The VM's share of the fraction of the rate that is granted by demand, from 0 to 1.
    pub part: f32,
}

/// A request to the home for tokens.
#[derive(Clone, Copy, Debug)]
struct BorrowRequest {
    sent_at: MonoTime,
    answered: bool,
}

/// The rate limit of one workspace at this VM.
#[derive(Debug)]
struct WorkspaceLimiter {
    /// The whole rate of the workspace, in operations per second.
    rate_per_s: f64,
    /// The whole burst of the workspace, in operations.
    burst: f64,
    /// Tokens of this VM's even share and grant.
    bucket: TokenBucket,
    /// Moving average of the operations per second that callers ask for, admitted or not.
    demand: f64,
    demand_updated_at: MonoTime,
    /// The home's grants to this VM.
    granted: OutstandingGrants,
    /// Tokens lent to this VM, and until when they can be spent.
    borrowed: (u32, MonoTime),
    /// The last request to the home.
    borrow_request: Option<BorrowRequest>,
    /// Until when the home counts as having no tokens left.
    home_empty_until: MonoTime,
    /// Number of operations that wait here for a token.
    waiting: u32,
    /// Tokens left to lend, if this VM is the home.
    lendable: TokenBucket,
    /// Grants to each VM, if this VM is the home.
    outstanding_grants: BTreeMap<VmName, OutstandingGrants>,
}

/// The grants that a VM may be using, each a share and its expiry. An earlier grant counts until it
/// expires, for the home since the VM may not have received a later one, and for the VM since nobody else
/// may use it meanwhile.
#[derive(Clone, Debug, Default)]
struct OutstandingGrants(Vec<(f64, MonoTime)>);

impl OutstandingGrants {
    fn live_fraction(&self, now: MonoTime) -> f64 {
        self.0.iter().filter(|(_, until)| *until > now).fold(0.0, |most, (part, _)| most.max(*part))
    }

    fn add(&mut self, now: MonoTime, part: f64, until: MonoTime) {
        self.0.retain(|(earlier, expires)| *expires > now && (*earlier > part || *expires > until));
        self.0.push((part, until));
    }
}

/// The rate limits of all workspaces at one VM.
#[derive(Debug, Default)]
pub struct RateLimiter {
    limiters: FxHashMap<WorkspaceName, WorkspaceLimiter>,
    vm_count: usize,
}

impl RateLimiter {
    /// Replaces the rate and burst of all workspaces.
    pub fn configure(&mut self, now: MonoTime, workspaces: &[Workspace]) {
        let limited: FxHashMap<&WorkspaceName, (f64, f64)> = workspaces
            .iter()
            .filter_map(|w| w.rate_per_s.map(|rate| (&w.name, (rate, w.burst))))
            .collect();
        self.limiters.retain(|name, _| limited.contains_key(name));
        for (name, (rate_per_s, burst)) in limited {
            let limiter = self.limiters.entry(name.clone()).or_insert_with(|| WorkspaceLimiter {
                rate_per_s,
                burst,
                bucket: TokenBucket::new(now),
                demand: 0.0,
                demand_updated_at: now,
                granted: OutstandingGrants::default(),
                borrowed: (0, now),
                borrow_request: None,
                home_empty_until: now,
                waiting: 0,
                lendable: bucket_after_start(now, rate_per_s, burst),
                outstanding_grants: BTreeMap::new(),
            });
            limiter.rate_per_s = rate_per_s;
            limiter.burst = burst;
        }
        self.refresh(now);
    }

    /// Sets the number of VMs that share the rates.
    pub fn set_vm_count(&mut self, now: MonoTime, vm_count: usize) {
        if self.vm_count != vm_count {
            self.vm_count = vm_count;
            self.refresh(now);
        }
    }

    /// Counts an operation of the workspace as waiting for a token, to be taken with
    /// [`RateLimiter::try_take`].
    ///
    /// # Errors
    /// Returns the expected wait if it exceeds `max_wait` and the home is not expected to lend more
    /// tokens; the operation is to be refused.
    pub fn enqueue(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        max_wait: DurationUs,
    ) -> Result<(), DurationUs> {
        let vm_count = self.vm_count;
        let Some(limiter) = self.limiters.get_mut(workspace) else { return Ok(()) };
        limiter.record_demand(now);
        limiter.refresh(now, vm_count);
        let wait = limiter.expected_wait(now);
        let home_is_empty = limiter.home_empty_until > now || limiter.waiting >= BORROW_MAX_TOKENS;
        if home_is_empty && wait > max_wait {
            return Err(wait);
        }
        limiter.waiting += 1;
        Ok(())
    }

    /// Spends a token for a waiting operation; returns whether there was one. Always succeeds for a
    /// workspace without a limit.
    pub fn try_take(&mut self, now: MonoTime, workspace: &WorkspaceName) -> bool {
        let vm_count = self.vm_count;
        let Some(limiter) = self.limiters.get_mut(workspace) else { return true };
        limiter.refresh(now, vm_count);
        let (borrowed, until) = limiter.borrowed;
        if borrowed > 0 && until > now {
            limiter.borrowed.0 -= 1;
        } else if limiter.bucket.try_spend(1, now).is_err() {
            return false;
        }
        limiter.waiting = limiter.waiting.saturating_sub(1);
        true
    }

    /// Removes a waiting operation without spending a token.
    pub fn cancel(&mut self, workspace: &WorkspaceName) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.waiting = limiter.waiting.saturating_sub(1);
        }
    }

    /// Number of tokens to request from the home now, if any.
    pub fn tokens_to_borrow(&mut self, now: MonoTime, workspace: &WorkspaceName) -> Option<u32> {
        let limiter = self.limiters.get_mut(workspace)?;
        let is_due = limiter.borrow_request.is_none_or(|request| {
            let pause = if request.answered { BORROW_INTERVAL } else { BORROW_TIMEOUT };
            now.since(request.sent_at) >= pause
        });
        if limiter.waiting == 0 || !is_due {
            return None;
        }
        limiter.borrow_request = Some(BorrowRequest { sent_at: now, answered: false });
        Some(limiter.waiting.min(BORROW_MAX_TOKENS))
    }

    /// As the home: spends up to `asked` tokens for another VM and returns how many.
    pub fn lend(&mut self, now: MonoTime, workspace: &WorkspaceName, asked: u32) -> u32 {
        let Some(limiter) = self.limiters.get_mut(workspace) else { return 0 };
        limiter.refresh(now, self.vm_count);
        let mut lent = 0;
        while lent < asked.min(BORROW_MAX_TOKENS) && limiter.lendable.try_spend(1, now).is_ok() {
            lent += 1;
        }
        lent
    }

    /// Adds tokens lent by the home; `all` says whether they are as many as requested.
    pub fn receive_loan(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        tokens: u32,
        all: bool,
    ) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            if let Some(request) = &mut limiter.borrow_request {
                request.answered = true;
            }
            if !all {
                limiter.home_empty_until = now + HOME_EMPTY_BACKOFF;
            }
            let held = if limiter.borrowed.1 > now { limiter.borrowed.0 } else { 0 };
            limiter.borrowed = (held + tokens, now + LOAN_LIFETIME);
        }
    }

    /// The demand at this VM, for the workspaces where it is worth reporting.
    pub fn demands(&mut self, now: MonoTime) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (workspace, limiter) in &mut self.limiters {
            limiter.decay(now);
            if limiter.demand >= REPORTED_DEMAND_MIN_PER_S {
                demands.push(Demand { workspace: workspace.clone(), per_s: limiter.demand as f32 });
            }
        }
        demands
    }

    /// The demand for a workspace at this VM, in operations per second; 0 if it is too low to
    /// report.
    pub fn demand_for(&mut self, now: MonoTime, workspace: &WorkspaceName) -> f64 {
        let Some(limiter) = self.limiters.get_mut(workspace) else { return 0.0 };
        limiter.decay(now);
        if limiter.demand >= REPORTED_DEMAND_MIN_PER_S { limiter.demand } else { 0.0 }
    }

    /// As the home of `workspace`: grants `vm` a share by the demand of that VM and of all VMs, in
    /// operations per second. Shares of all valid grants never exceed 1 in total.
    pub fn grant(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        vm: &VmName,
        demand_of_vm: f64,
        demand_of_all: f64,
    ) -> Option<RateGrant> {
        let vm_count = self.vm_count;
        let limiter = self.limiters.get_mut(workspace)?;
        let assumed = limiter.rate_per_s * ASSUMED_DEMAND_FRACTION;
        let is_steady = demand_of_vm >= GRANT_MIN_DEMAND_PER_S;
        let target = if is_steady { demand_of_vm / (demand_of_all + assumed) } else { 0.0 };
        let others: f64 = limiter
            .outstanding_grants
            .iter()
            .filter(|(other, _)| *other != vm)
            .map(|(_, grants)| grants.live_fraction(now))
            .sum();
        let part = target.min(1.0 - others).max(0.0);
        let until = now + GRANT_LIFETIME;
        limiter.outstanding_grants.entry(vm.clone()).or_default().add(now, part, until);
        limiter.refresh(now, vm_count);
        Some(RateGrant { workspace: workspace.clone(), part: part as f32 })
    }

    /// Accepts grants from the home, which were sent at `sent_after` or later on this VM's clock.
    pub fn accept_grants(&mut self, now: MonoTime, sent_after: MonoTime, grants: &[RateGrant]) {
        for grant in grants {
            if let Some(limiter) = self.limiters.get_mut(&grant.workspace) {
                let until = sent_after + GRANT_LIFETIME;
                limiter.granted.add(now, f64::from(grant.part), until);
                limiter.refresh(now, self.vm_count);
            }
        }
    }

    fn refresh(&mut self, now: MonoTime) {
        for limiter in self.limiters.values_mut() {
            limiter.refresh(now, self.vm_count);
        }
    }
}

impl WorkspaceLimiter {
    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.demand_updated_at).0 as f64;
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT_US).exp();
        self.demand_updated_at = now;
    }

    fn record_demand(&mut self, now: MonoTime) {
        self.decay(now);
        self.demand += 1e6 / DEMAND_TIME_CONSTANT_US;
    }

    fn refresh(&mut self, now: MonoTime, vm_count: usize) {
        let granted = self.granted.live_fraction(now);
        let fraction = EVEN_FRACTION / vm_count.max(1) as f64 + GRANTED_FRACTION * granted;
        let (rate, burst) = (self.rate_per_s, self.burst);
        set_fraction(&mut self.bucket, rate, burst, fraction, now);
        let outstanding_grants: f64 =
            self.outstanding_grants.values().map(|grants| grants.live_fraction(now)).sum();
        let lendable = 1.0 - EVEN_FRACTION - GRANTED_FRACTION * outstanding_grants;
        set_fraction(&mut self.lendable, rate, burst, lendable, now);
    }

    /// Expected wait of a new operation for a token, at this VM's share of the whole rate.
    fn expected_wait(&mut self, now: MonoTime) -> DurationUs {
        let level = self.bucket.level_micro(now);
        let need = u64::from(self.waiting + 1) * MICRO;
        // The home lends this VM at least the same share of the rest.
        let rate = self.bucket.limit().rate_micro_per_s.max(1);
        let rate = (rate as f64 / (EVEN_FRACTION + GRANTED_FRACTION)) as u64;
        let missing = u128::from(need.saturating_sub(level));
        DurationUs((missing * u128::from(MICRO) / u128::from(rate)) as u64)
    }
}

/// Returns a bucket with the tokens that were refilled while this VM was starting.
fn bucket_after_start(now: MonoTime, rate_per_s: f64, burst: f64) -> TokenBucket {
    let ended = MonoTime(now.0.saturating_sub(RESTART_MIN.0));
    let mut bucket = TokenBucket::new(ended);
    set_fraction(&mut bucket, rate_per_s, burst, 1.0, ended);
    bucket
}

fn set_fraction(
    bucket: &mut TokenBucket,
    rate_per_s: f64,
    burst: f64,
    fraction: f64,
    now: MonoTime,
) {
    let limit = RateLimit {
        rate_micro_per_s: (rate_per_s * fraction * MICRO as f64) as u64,
        burst_micro: (burst * fraction * MICRO as f64).max(MICRO as f64) as u64,
    };
    if limit != bucket.limit() {
        bucket.set_limit(limit, now);
    }
}
