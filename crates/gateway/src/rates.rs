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
const EVEN_PART: f64 = 0.04;
/// Most of a rate that is handed out by demand. The home lends the rest where operations wait.
const GRANTED_PART: f64 = 0.55;
/// Demand from which a VM is handed a part, in operations per second: below it, what is handed out
/// would mostly lie unused until its time is over.
const STEADY_PER_S: f64 = 2.0;
/// How often a VM asks the home for tokens of one workspace.
const BORROW_EVERY: DurationUs = DurationUs::from_ms(40);
/// Most tokens asked for at once.
const BORROW_MAX: u32 = 64;
/// How long a home that lent less than was asked is held to have nothing to lend.
const SHORT_FOR: DurationUs = DurationUs::from_ms(300);
/// How long borrowed tokens can be spent.
const LOAN_FOR: DurationUs = DurationUs::from_ms(500);
/// Part of a rate that demand is assumed to be on top of what was seen, at VMs that are asked for the
/// first time.
const ASSUMED_PART: f64 = 0.15;
/// How long a grant holds: it outlives two lost heartbeats.
pub const GRANT_FOR: DurationUs = DurationUs::from_ms(1_000);
/// Span over which demand is averaged: short against the window in which rates are judged, 5 s.
const DEMAND_SPAN_US: f64 = 700_000.0;
/// Demand below which nothing is said of it, in operations per second.
const DEMAND_MIN_PER_S: f64 = 0.05;

/// A part of a workspace's rate for one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The part of what is handed out, 0 to 1.
    pub part: f32,
}

#[derive(Debug)]
struct Account {
    rate_per_s: f64,
    burst: f64,
    bucket: TokenBucket,
    /// Operations per second asked for, averaged.
    demand: f64,
    demand_at: MonoTime,
    /// What the home granted this VM, and until when.
    granted: Option<(f64, MonoTime)>,
    /// Tokens lent to this VM, and until when they can be spent.
    borrowed: (u32, MonoTime),
    borrow_asked: Option<MonoTime>,
    /// Until when the home is held to have nothing to lend.
    short_until: MonoTime,
    /// Operations that wait here for a token.
    waiting: u32,
    /// As the home: what is left to lend.
    reserve: TokenBucket,
    /// As the home: what each VM holds, and until when.
    handed_out: BTreeMap<VmName, HandedOut>,
}

/// Parts that a VM may be using, each until its own end: it may not have heard of a later one.
#[derive(Clone, Debug, Default)]
struct HandedOut(Vec<(f64, MonoTime)>);

impl HandedOut {
    fn outstanding(&self, now: MonoTime) -> f64 {
        self.0.iter().filter(|(_, until)| *until > now).fold(0.0, |most, (part, _)| most.max(*part))
    }

    fn add(&mut self, now: MonoTime, part: f64) {
        self.0.retain(|(earlier, until)| *until > now && *earlier > part);
        self.0.push((part, now + GRANT_FOR));
    }
}

/// Rates of all workspaces on one VM.
#[derive(Debug, Default)]
pub struct Rates {
    accounts: FxHashMap<WorkspaceName, Account>,
    members: usize,
}

impl Rates {
    /// Takes the workspaces' limits.
    pub fn configure(&mut self, now: MonoTime, workspaces: &[Workspace]) {
        let limited: FxHashMap<&WorkspaceName, (f64, f64)> = workspaces
            .iter()
            .filter_map(|w| w.rate_per_s.map(|rate| (&w.name, (rate, w.burst))))
            .collect();
        self.accounts.retain(|name, _| limited.contains_key(name));
        for (name, (rate_per_s, burst)) in limited {
            let account = self.accounts.entry(name.clone()).or_insert_with(|| Account {
                rate_per_s,
                burst,
                bucket: TokenBucket::new(now),
                demand: 0.0,
                demand_at: now,
                granted: None,
                borrowed: (0, now),
                borrow_asked: None,
                short_until: now,
                waiting: 0,
                reserve: TokenBucket::new(now),
                handed_out: BTreeMap::new(),
            });
            account.rate_per_s = rate_per_s;
            account.burst = burst;
        }
        self.refresh(now);
    }

    /// Takes the number of VMs that share the rates.
    pub fn set_members(&mut self, now: MonoTime, members: usize) {
        if self.members != members {
            self.members = members;
            self.refresh(now);
        }
    }

    /// An operation of the workspace has come. `Err` says how long it would have to wait, where that is
    /// longer than `patience`: it is refused. Otherwise [`Rates::take`] says when it may go on.
    pub fn arrive(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        patience: DurationUs,
    ) -> Result<(), DurationUs> {
        let members = self.members;
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.note_demand(now);
        account.refresh(now, members);
        let wait = account.expected_wait(now);
        let is_short = account.short_until > now || account.waiting >= BORROW_MAX;
        if is_short && wait > patience {
            return Err(wait);
        }
        account.waiting += 1;
        Ok(())
    }

    /// Whether an operation that has come may go on; its token is spent.
    pub fn take(&mut self, now: MonoTime, workspace: &WorkspaceName) -> bool {
        let members = self.members;
        let Some(account) = self.accounts.get_mut(workspace) else { return true };
        account.refresh(now, members);
        let (borrowed, until) = account.borrowed;
        if borrowed > 0 && until > now {
            account.borrowed.0 -= 1;
        } else if account.bucket.try_spend(1, now).is_err() {
            return false;
        }
        account.waiting = account.waiting.saturating_sub(1);
        true
    }

    /// An operation that has come will not go on.
    pub fn withdraw(&mut self, workspace: &WorkspaceName) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Tokens to ask the home for, if it is time.
    pub fn to_borrow(&mut self, now: MonoTime, workspace: &WorkspaceName) -> Option<u32> {
        let account = self.accounts.get_mut(workspace)?;
        let is_due = account.borrow_asked.is_none_or(|at| now.since(at) >= BORROW_EVERY);
        if account.waiting == 0 || !is_due {
            return None;
        }
        account.borrow_asked = Some(now);
        Some(account.waiting.min(BORROW_MAX))
    }

    /// As the home: tokens lent to a VM that asked for some.
    pub fn lend(&mut self, now: MonoTime, workspace: &WorkspaceName, asked: u32) -> u32 {
        let Some(account) = self.accounts.get_mut(workspace) else { return 0 };
        account.refresh(now, self.members);
        let mut lent = 0;
        while lent < asked.min(BORROW_MAX) && account.reserve.try_spend(1, now).is_ok() {
            lent += 1;
        }
        lent
    }

    /// The home has lent tokens; `all` says whether that is as many as were asked for.
    pub fn borrow(&mut self, now: MonoTime, workspace: &WorkspaceName, tokens: u32, all: bool) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            if !all {
                account.short_until = now + SHORT_FOR;
            }
            let held = if account.borrowed.1 > now { account.borrowed.0 } else { 0 };
            account.borrowed = (held + tokens, now + LOAN_FOR);
        }
    }

    /// What this VM is asked for.
    pub fn demands(&mut self, now: MonoTime) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.decay(now);
            if account.demand >= DEMAND_MIN_PER_S {
                demands.push(Demand { workspace: workspace.clone(), per_s: account.demand as f32 });
            }
        }
        demands
    }

    /// What this VM is asked for by a workspace, in operations per second; nothing of what is too little
    /// to say.
    pub fn demand_for(&mut self, now: MonoTime, workspace: &WorkspaceName) -> f64 {
        let Some(account) = self.accounts.get_mut(workspace) else { return 0.0 };
        account.decay(now);
        if account.demand >= DEMAND_MIN_PER_S { account.demand } else { 0.0 }
    }

    /// As the home of `workspace`: the part for `vm`, given all VMs' demands.
    pub fn hand_out(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceName,
        vm: &VmName,
        demand_of_vm: f64,
        demand_of_all: f64,
    ) -> Option<Grant> {
        let members = self.members;
        let account = self.accounts.get_mut(workspace)?;
        let assumed = account.rate_per_s * ASSUMED_PART;
        let is_steady = demand_of_vm >= STEADY_PER_S;
        let target = if is_steady { demand_of_vm / (demand_of_all + assumed) } else { 0.0 };
        let others: f64 = account
            .handed_out
            .iter()
            .filter(|(other, _)| *other != vm)
            .map(|(_, part)| part.outstanding(now))
            .sum();
        let part = target.min(1.0 - others).max(0.0);
        account.handed_out.entry(vm.clone()).or_default().add(now, part);
        account.refresh(now, members);
        Some(Grant { workspace: workspace.clone(), part: part as f32 })
    }

    /// Takes what the home said at `said_at`, on this VM's clock, or later.
    pub fn accept(&mut self, now: MonoTime, said_at: MonoTime, grants: &[Grant]) {
        for grant in grants {
            if let Some(account) = self.accounts.get_mut(&grant.workspace) {
                account.granted = Some((f64::from(grant.part), said_at + GRANT_FOR));
                account.refresh(now, self.members);
            }
        }
    }

    fn refresh(&mut self, now: MonoTime) {
        for account in self.accounts.values_mut() {
            account.refresh(now, self.members);
        }
    }
}

impl Account {
    fn decay(&mut self, now: MonoTime) {
        let elapsed = now.since(self.demand_at).0 as f64;
        self.demand *= (-elapsed / DEMAND_SPAN_US).exp();
        self.demand_at = now;
    }

    fn note_demand(&mut self, now: MonoTime) {
        self.decay(now);
        self.demand += 1e6 / DEMAND_SPAN_US;
    }

    fn refresh(&mut self, now: MonoTime, members: usize) {
        let granted = self.granted.filter(|(_, until)| *until > now).map_or(0.0, |(part, _)| part);
        let part = EVEN_PART / members.max(1) as f64 + GRANTED_PART * granted;
        let (rate, burst) = (self.rate_per_s, self.burst);
        set_part(&mut self.bucket, rate, burst, part, now);
        let handed_out: f64 = self.handed_out.values().map(|part| part.outstanding(now)).sum();
        let reserve = 1.0 - EVEN_PART - GRANTED_PART * handed_out;
        set_part(&mut self.reserve, rate, burst, reserve, now);
    }

    /// How long an operation that comes now waits for its token, if the home lends none.
    fn expected_wait(&mut self, now: MonoTime) -> DurationUs {
        let level = self.bucket.level_micro(now);
        let need = u64::from(self.waiting + 1) * MICRO;
        // The home lends a VM what it would get of the rest by demand, or more.
        let rate = self.bucket.limit().rate_micro_per_s.max(1);
        let rate = (rate as f64 / (EVEN_PART + GRANTED_PART)) as u64;
        let missing = u128::from(need.saturating_sub(level));
        DurationUs((missing * u128::from(MICRO) / u128::from(rate)) as u64)
    }
}

fn set_part(bucket: &mut TokenBucket, rate_per_s: f64, burst: f64, part: f64, now: MonoTime) {
    let portion = RateLimit {
        rate_micro_per_s: (rate_per_s * part * MICRO as f64) as u64,
        burst_micro: (burst * part * MICRO as f64).max(MICRO as f64) as u64,
    };
    if portion != bucket.limit() {
        bucket.set_limit(portion, now);
    }
}
