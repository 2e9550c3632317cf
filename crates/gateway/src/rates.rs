//! Each workspace's rate, divided over the VMs by their demand.
//!
//! A small part of a rate is split evenly and always there. One live VM, the workspace's home, hands
//! out the rest for short spans, by what each VM says that it is asked for, and never more than the
//! whole. A VM that hears nothing falls back to its even part.

use std::collections::BTreeMap;

use model::prelude::*;
use quota::bucket::{Bucket, MICRO, Portion};
use serde::{Deserialize, Serialize};

use crate::{catalog::Workspace, peers::Demand};

/// Part of a rate that is split evenly: what a VM that is cut off may go on admitting.
const EVEN_PART: f64 = 0.2;
/// Part of a rate that demand is assumed to be on top of what was seen, split evenly, so that a VM
/// that is asked for the first time has something.
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
    bucket: Bucket,
    /// Operations per second asked for, averaged.
    demand: f64,
    demand_at: MonoTime,
    /// What the home granted this VM, and until when.
    granted: Option<(f64, MonoTime)>,
    /// As the home: what each VM holds, and until when.
    handed_out: BTreeMap<VmName, HandedOut>,
}

#[derive(Clone, Copy, Debug)]
struct HandedOut {
    part: f64,
    until: MonoTime,
    /// A larger part that may still be in use.
    earlier: f64,
    earlier_until: MonoTime,
}

impl HandedOut {
    fn outstanding(&self, now: MonoTime) -> f64 {
        let earlier = if self.earlier_until > now { self.earlier } else { 0.0 };
        let part = if self.until > now { self.part } else { 0.0 };
        part.max(earlier)
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
                bucket: Bucket::new(now),
                demand: 0.0,
                demand_at: now,
                granted: None,
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

    /// Admits an operation, or says how long to wait.
    pub fn admit(&mut self, now: MonoTime, workspace: &WorkspaceName) -> Result<(), DurationUs> {
        let members = self.members;
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.note_demand(now);
        account.refresh(now, members);
        account.bucket.try_spend(1, now)
    }

    /// What this VM is asked for.
    pub fn demands(&mut self, now: MonoTime) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.decay(now);
            if account.demand >= DEMAND_MIN_PER_S {
                demands
                    .push(Demand { workspace: workspace.clone(), per_s: account.demand as f32 });
            }
        }
        demands
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
        let members = self.members.max(1) as f64;
        let account = self.accounts.get_mut(workspace)?;
        let assumed = account.rate_per_s * ASSUMED_PART;
        let target = (demand_of_vm + assumed / members) / (demand_of_all + assumed).max(1e-9);
        let others: f64 = account
            .handed_out
            .iter()
            .filter(|(other, _)| *other != vm)
            .map(|(_, part)| part.outstanding(now))
            .sum();
        let part = target.min(1.0 - others).max(0.0);
        let until = now + GRANT_FOR;
        let before = account.handed_out.get(vm).copied();
        let (earlier, earlier_until) = match before {
            Some(b) if b.outstanding(now) > part => {
                let until = if b.part > part { b.until } else { b.earlier_until };
                (b.outstanding(now), until)
            }
            _ => (0.0, now),
        };
        let handed_out = HandedOut { part, until, earlier, earlier_until };
        account.handed_out.insert(vm.clone(), handed_out);
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

    /// Names of all workspaces with a limit.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceName> {
        self.accounts.keys()
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
        let part = EVEN_PART / members.max(1) as f64 + (1.0 - EVEN_PART) * granted;
        let portion = Portion {
            rate_micro_per_s: (self.rate_per_s * part * MICRO as f64) as u64,
            burst_micro: (self.burst * part * MICRO as f64) as u64,
        };
        if portion != self.bucket.portion() {
            self.bucket.set_portion(portion, now);
        }
    }
}
