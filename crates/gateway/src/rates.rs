//! Each workspace's rate, divided over the VMs by their demand.
//!
//! A small part of a rate is split evenly and always there. One live VM, the workspace's home, hands
//! out about half of it for short spans, by what each VM says that it is asked for, and lends single tokens
//! from the rest to VMs where operations wait. The load in mind: a workspace's operations reach VMs
//! unevenly and in clumps, at a few a second each, so that fixed parts would refuse what the whole
//! allows. A VM that hears nothing falls back to its even part.

use std::collections::BTreeMap;

use model::prelude::*;
use quota::bucket::{MICRO, RateLimit, TokenBucket};
use serde::{Deserialize, Serialize};

use crate::{catalog::Workspace, peers::Demand};

/// Part of a rate that is split evenly: what a VM that is cut off may go on admitting.
const EVEN_FRACTION: f64 = 0.04;
/// Most of a rate that is handed out by demand. The home lends the rest where operations wait.
const GRANTED_FRACTION: f64 = 0.55;
/// Demand from which a VM is handed a part, in operations per second: below it, what is handed out
/// would mostly lie unused until its time is over.
const GRANT_MIN_DEMAND_PER_S: f64 = 2.0;
/// How often a VM asks the home for tokens of one workspace.
const BORROW_INTERVAL: DurationUs = DurationUs::from_ms(40);
/// Most tokens asked for at once.
const BORROW_MAX_TOKENS: u32 = 64;
/// How long a home that lent less than was asked is held to have nothing to lend.
const HOME_EMPTY_BACKOFF: DurationUs = DurationUs::from_ms(300);
/// How long borrowed tokens can be spent.
const LOAN_LIFETIME: DurationUs = DurationUs::from_ms(500);
/// Part of a rate that demand is assumed to be on top of what was seen, at VMs that are asked for the
/// first time.
const ASSUMED_DEMAND_FRACTION: f64 = 0.15;
/// How long a grant holds: it outlives two lost heartbeats.
pub const GRANT_LIFETIME: DurationUs = DurationUs::from_ms(1_000);
/// Span over which demand is averaged: short against the window in which rates are judged, 5 s.
const DEMAND_TIME_CONSTANT_US: f64 = 700_000.0;
/// Demand below which nothing is said of it, in operations per second.
const REPORTED_DEMAND_MIN_PER_S: f64 = 0.05;

/// A part of a workspace's rate for one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateGrant {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The part of what is handed out, 0 to 1.
    pub part: f32,
}

#[derive(Debug)]
struct WorkspaceLimiter {
    rate_per_s: f64,
    burst: f64,
    bucket: TokenBucket,
    /// Operations per second asked for, averaged.
    demand: f64,
    demand_updated_at: MonoTime,
    /// What the home granted this VM, and until when.
    granted: Option<(f64, MonoTime)>,
    /// Tokens lent to this VM, and until when they can be spent.
    borrowed: (u32, MonoTime),
    borrow_asked_at: Option<MonoTime>,
    /// Until when the home is held to have nothing to lend.
    home_empty_until: MonoTime,
    /// Operations that wait here for a token.
    waiting: u32,
    /// As the home: what is left to lend.
    lendable: TokenBucket,
    /// As the home: what each VM holds, and until when.
    outstanding_grants: BTreeMap<VmName, OutstandingGrants>,
}

/// Parts that a VM may be using, each until its own end: it may not have heard of a later one.
#[derive(Clone, Debug, Default)]
struct OutstandingGrants(Vec<(f64, MonoTime)>);

impl OutstandingGrants {
    fn live_fraction(&self, now: MonoTime) -> f64 {
        self.0.iter().filter(|(_, until)| *until > now).fold(0.0, |most, (part, _)| most.max(*part))
    }

    fn add(&mut self, now: MonoTime, part: f64) {
        self.0.retain(|(earlier, until)| *until > now && *earlier > part);
        self.0.push((part, now + GRANT_LIFETIME));
    }
}

/// Rates of all workspaces on one VM.
#[derive(Debug, Default)]
pub struct RateLimiter {
    limiters: FxHashMap<WorkspaceName, WorkspaceLimiter>,
    vm_count: usize,
}

impl RateLimiter {
    /// Takes the workspaces' limits.
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
                granted: None,
                borrowed: (0, now),
                borrow_asked_at: None,
                home_empty_until: now,
                waiting: 0,
                lendable: TokenBucket::new(now),
                outstanding_grants: BTreeMap::new(),
            });
            limiter.rate_per_s = rate_per_s;
            limiter.burst = burst;
        }
        self.refresh(now);
    }

    /// Takes the number of VMs that share the rates.
    pub fn set_vm_count(&mut self, now: MonoTime, vm_count: usize) {
        if self.vm_count != vm_count {
            self.vm_count = vm_count;
            self.refresh(now);
        }
    }

    /// An operation of the workspace has come. `Err` says how long it would have to wait, where that is
    /// longer than `patience`: it is refused. Otherwise [`Rates::take`] says when it may go on.
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

    /// Whether an operation that has come may go on; its token is spent.
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

    /// An operation that has come will not go on.
    pub fn cancel(&mut self, workspace: &WorkspaceName) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.waiting = limiter.waiting.saturating_sub(1);
        }
    }

    /// Tokens to ask the home for, if it is time.
    pub fn tokens_to_borrow(&mut self, now: MonoTime, workspace: &WorkspaceName) -> Option<u32> {
        let limiter = self.limiters.get_mut(workspace)?;
        let is_due = limiter.borrow_asked_at.is_none_or(|at| now.since(at) >= BORROW_INTERVAL);
        if limiter.waiting == 0 || !is_due {
            return None;
        }
        limiter.borrow_asked_at = Some(now);
        Some(limiter.waiting.min(BORROW_MAX_TOKENS))
    }

    /// As the home: tokens lent to a VM that asked for some.
    pub fn lend(&mut self, now: MonoTime, workspace: &WorkspaceName, asked: u32) -> u32 {
        let Some(limiter) = self.limiters.get_mut(workspace) else { return 0 };
        limiter.refresh(now, self.vm_count);
        let mut lent = 0;
        while lent < asked.min(BORROW_MAX_TOKENS) && limiter.lendable.try_spend(1, now).is_ok() {
            lent += 1;
        }
        lent
    }

    /// The home has lent tokens; `all` says whether that is as many as were asked for.
    pub fn receive_loan(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        tokens: u32,
        all: bool,
    ) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            if !all {
                limiter.home_empty_until = now + HOME_EMPTY_BACKOFF;
            }
            let held = if limiter.borrowed.1 > now { limiter.borrowed.0 } else { 0 };
            limiter.borrowed = (held + tokens, now + LOAN_LIFETIME);
        }
    }

    /// What this VM is asked for.
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

    /// What this VM is asked for by a workspace, in operations per second; nothing of what is too little
    /// to say.
    pub fn demand_for(&mut self, now: MonoTime, workspace: &WorkspaceName) -> f64 {
        let Some(limiter) = self.limiters.get_mut(workspace) else { return 0.0 };
        limiter.decay(now);
        if limiter.demand >= REPORTED_DEMAND_MIN_PER_S { limiter.demand } else { 0.0 }
    }

    /// As the home of `workspace`: the part for `vm`, given all VMs' demands.
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
        limiter.outstanding_grants.entry(vm.clone()).or_default().add(now, part);
        limiter.refresh(now, vm_count);
        Some(RateGrant { workspace: workspace.clone(), part: part as f32 })
    }

    /// Takes what the home said at `said_at`, on this VM's clock, or later.
    pub fn accept_grants(&mut self, now: MonoTime, said_at: MonoTime, grants: &[RateGrant]) {
        for grant in grants {
            if let Some(limiter) = self.limiters.get_mut(&grant.workspace) {
                limiter.granted = Some((f64::from(grant.part), said_at + GRANT_LIFETIME));
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
        let granted = self.granted.filter(|(_, until)| *until > now).map_or(0.0, |(part, _)| part);
        let part = EVEN_FRACTION / vm_count.max(1) as f64 + GRANTED_FRACTION * granted;
        let (rate, burst) = (self.rate_per_s, self.burst);
        set_fraction(&mut self.bucket, rate, burst, part, now);
        let outstanding_grants: f64 =
            self.outstanding_grants.values().map(|grants| grants.live_fraction(now)).sum();
        let lendable = 1.0 - EVEN_FRACTION - GRANTED_FRACTION * outstanding_grants;
        set_fraction(&mut self.lendable, rate, burst, lendable, now);
    }

    /// How long an operation that comes now waits for its token, if the home lends none.
    fn expected_wait(&mut self, now: MonoTime) -> DurationUs {
        let level = self.bucket.level_micro(now);
        let need = u64::from(self.waiting + 1) * MICRO;
        // The home lends a VM what it would get of the rest by demand, or more.
        let rate = self.bucket.limit().rate_micro_per_s.max(1);
        let rate = (rate as f64 / (EVEN_FRACTION + GRANTED_FRACTION)) as u64;
        let missing = u128::from(need.saturating_sub(level));
        DurationUs((missing * u128::from(MICRO) / u128::from(rate)) as u64)
    }
}

fn set_fraction(bucket: &mut TokenBucket, rate_per_s: f64, burst: f64, part: f64, now: MonoTime) {
    let portion = RateLimit {
        rate_micro_per_s: (rate_per_s * part * MICRO as f64) as u64,
        burst_micro: (burst * part * MICRO as f64).max(MICRO as f64) as u64,
    };
    if portion != bucket.limit() {
        bucket.set_limit(portion, now);
    }
}
