//! Resources that VMs share: workspaces' rates, and connections that a peer of an earlier version needs.

use std::collections::BTreeMap;

use model::prelude::*;
use slog::{debug, info};

use super::{Engine, Waiter};
use crate::{
    admission::{ByClass, CLASSES, class_of},
    fleet::home_among,
    peers::PeerBody,
    rates::{Demand, HandedRate, Predecessor, RateGrant},
};

/// Idle time from which a connection is closed for a peer that needs one.
const RELEASE_MIN_IDLE: DurationUs = DurationUs::from_ms(60);

/// Most rates in one message to a successor, so that it stays below a kilobyte.
const HANDED_RATES_MAX: usize = 16;

impl Engine {
    /// Closes the connection to the database that has been idle longest, for a peer that needs one.
    pub(super) fn release_idle_connection(&mut self, database: &DatabaseName) {
        let Some(key) = self.pool.longest_idle(database) else { return };
        let idle = self.now.since(self.pool.connections[key].idle_since);
        if idle >= RELEASE_MIN_IDLE {
            debug!(self.log, "connection closed for a peer"; "database" => %database,
                "idle_ms" => idle.as_ms());
            self.close_connection(key);
        }
    }

    /// Asks the home VMs of workspaces whose operations wait here to lend tokens.
    pub(super) fn borrow_tokens(&mut self) {
        let now = self.now;
        let by_priority = self.id.policy.rates_by_priority;
        // Operations of each class that can still use a token when the home's answer arrives. A token for one
        // that was refused meanwhile would go to a less urgent one.
        let mut short: Vec<(WorkspaceName, ByClass<u32>)> = Vec::new();
        for waiter in &self.waiting {
            let Waiter::Session(key) = *waiter else { continue };
            let Some(session) = self.sessions.get(key) else { continue };
            let Some(current) = session.current.as_ref().filter(|c| c.needs_token) else {
                continue;
            };
            let Some(auth) = &session.authorization else { continue };
            let Some(workspace) = &auth.workspace else { continue };
            let index = short.iter().position(|(name, _)| name == workspace);
            let index = index.unwrap_or_else(|| {
                let in_time = if by_priority { [0; CLASSES] } else { [u32::MAX; CLASSES] };
                short.push((workspace.clone(), in_time));
                short.len() - 1
            });
            let (arrived, refuse_at) = (current.arrived, current.refuse_at);
            if by_priority && self.rates.may_borrow(now, workspace, arrived, refuse_at) {
                short[index].1[class_of(auth.route.priority)] += 1;
            }
        }
        for (workspace, in_time) in short {
            let request = self.rates.tokens_to_borrow(now, &workspace, &in_time);
            let Some(request) = request else { continue };
            let tokens = request.tokens;
            let home = self.fleet.home_of(now, &workspace);
            if home == self.id.vm {
                // Without a lease, another VM may be the home.
                if self.has_lease() {
                    let by_class = &request.by_class;
                    let lent = self.rates.lend_by_class(now, &workspace, &home, by_class);
                    self.rates.receive_loan(now, &workspace, lent, lent >= tokens);
                }
            } else {
                let knows = self.fleet.knows_classes(now, &home) && by_priority;
                let by_class = if knows { request.by_class.to_vec() } else { Vec::new() };
                self.send_to_vm(&home, PeerBody::Borrow { workspace, tokens, by_class });
            }
        }
    }

    /// Handles a request for tokens. The sender may see another set of witnesses, or others as live, than this VM; if
    /// this one is not the home, it passes the request on.
    pub(super) fn handle_borrow(
        &mut self,
        from: &VmName,
        workspace: WorkspaceName,
        tokens: u32,
        by_class: Vec<u32>,
    ) {
        let home = self.fleet.home_of(self.now, &workspace);
        if home == self.id.vm {
            return self.lend_tokens(from, workspace, tokens, &by_class);
        }
        self.counts.tokens_not_home += u64::from(tokens);
        let vm = from.clone();
        self.send_to_vm(&home, PeerBody::BorrowFor { vm, workspace, tokens, by_class });
    }

    /// Lends tokens to a VM that asked for them, each class in `by_class`. A request without classes counts as
    /// one of the most urgent class: it comes from an earlier version, and some of its operations may be.
    pub(super) fn lend_tokens(
        &mut self,
        to: &VmName,
        workspace: WorkspaceName,
        asked: u32,
        by_class: &[u32],
    ) {
        if !self.has_lease() {
            return;
        }
        self.follow_homes();
        if self.fleet.home_of(self.now, &workspace) != self.id.vm {
            // Two VMs each take the other for the home; the sender asks again.
            return self.send_to_vm(to, PeerBody::Lend { workspace, tokens: 0, all: true });
        }
        let mut classes = [0_u32; CLASSES];
        for (index, count) in by_class.iter().enumerate() {
            let class = &mut classes[index.min(CLASSES - 1)];
            *class = class.saturating_add(*count);
        }
        if by_class.is_empty() {
            classes[0] = asked;
        }
        let tokens = self.rates.lend_by_class(self.now, &workspace, to, &classes);
        self.send_to_vm(to, PeerBody::Lend { workspace, tokens, all: tokens >= asked });
    }

    /// The bits of [`crate::peers::Heartbeat::live_witnesses`] by which this VM announces that it and others
    /// understand classes; none where priorities don't count.
    pub(super) fn announced_classes(&self) -> u16 {
        match self.id.policy.rates_by_priority {
            true => self.fleet.witnesses_with_classes(),
            false => 0,
        }
    }

    /// The demand to report to a peer: that of workspaces whose home it is, by class if it understands them.
    pub(super) fn demands_for(&mut self, to: &VmName, demands: &[Demand]) -> Vec<Demand> {
        let now = self.now;
        let knows_classes = self.fleet.knows_classes(now, to);
        let demands = demands.iter().filter(|d| self.fleet.home_of(now, &d.workspace) == *to);
        let mut demands: Vec<Demand> = demands.cloned().collect();
        if !knows_classes {
            demands.iter_mut().for_each(|demand| demand.by_class.clear());
        }
        demands
    }

    /// Takes over the rates whose home this VM becomes: another witness was the home before, or may have been while
    /// this VM had no lease.
    pub(super) fn follow_homes(&mut self) {
        let now = self.now;
        let has_lease = self.has_lease();
        let had_lease = match self.had_lease_as_home {
            // Before the first start of the fleet no VM can have lent anything.
            None => self.id.first_start,
            Some(had_lease) => had_lease,
        };
        if has_lease && !had_lease {
            let others_served = self.others_had_lease.unwrap_or(false);
            if self.fleet.self_is_witness() {
                info!(self.log, "may be the home of rates again"; "step" => self.witness_step(),
                    "others_served" => others_served);
            }
            self.rates.take_over_all(now, Predecessor::new(!others_served));
        }
        if had_lease && !has_lease {
            self.others_had_lease = None;
        }
        if has_lease || self.had_lease_as_home.is_some() {
            self.had_lease_as_home = Some(has_lease);
        }
        let Some([before, after]) = self.fleet.take_home_change(now) else { return };
        if !before.contains(&self.id.vm) && !after.contains(&self.id.vm) {
            return;
        }
        let (mut taken, mut left) = (0, 0);
        let mut handed: BTreeMap<VmName, Vec<HandedRate>> = BTreeMap::new();
        for workspace in &self.catalog.workspaces {
            let was = home_among(&before, &workspace.name);
            let is = home_among(&after, &workspace.name);
            if is == Some(&self.id.vm)
                && let Some(was) = was.filter(|vm| **vm != self.id.vm)
            {
                let predecessor = Predecessor::new(self.fleet.is_silent(now, was));
                self.rates.take_over(now, &workspace.name, predecessor);
                taken += 1;
            }
            if was == Some(&self.id.vm)
                && let Some(is) = is.filter(|vm| **vm != self.id.vm)
            {
                left += 1;
                // Without a lease, this VM can't know what others have lent.
                let rate = self.rates.hand_over(now, &workspace.name).filter(|_| has_lease);
                handed.entry(is.clone()).or_default().extend(rate);
            }
        }
        for (vm, rates) in handed {
            for rates in rates.chunks(HANDED_RATES_MAX) {
                self.send_to_vm(&vm, PeerBody::HandOver { rates: rates.to_vec() });
            }
        }
        if taken + left > 0 {
            info!(self.log, "homes of rates changed"; "taken_over" => taken, "left" => left,
                "witnesses_before" => before.len(), "witnesses" => after.len(),
                "step" => self.witness_step());
        }
    }

    pub(super) fn grant_to_self(&mut self, demands: &[Demand]) {
        let me = self.id.vm.clone();
        let grants = self.grant_rates(&me, demands);
        self.rates.accept_grants(self.now, &me, self.now, &grants);
    }

    /// Returns a peer's grants of rates for the demand that it last reported.
    pub(super) fn grants_for(&mut self, vm: &VmName) -> Vec<RateGrant> {
        let demands = self.fleet.demands_of(vm).to_vec();
        self.grant_rates(vm, &demands)
    }

    /// Returns a VM's grants of rates for the workspaces whose home is this VM.
    fn grant_rates(&mut self, vm: &VmName, demands: &[Demand]) -> Vec<RateGrant> {
        if !self.has_lease() {
            return Vec::new();
        }
        self.follow_homes();
        let now = self.now;
        let mut grants = Vec::new();
        for demand in demands {
            let workspace = &demand.workspace;
            if self.fleet.home_of(now, workspace) != self.id.vm {
                continue;
            }
            let others = self.fleet.members().filter(|(vm, _)| self.fleet.is_live(now, vm));
            let mut all = self.rates.demand_for(now, workspace);
            for (_, member) in others {
                let more = member.demand_for(workspace);
                (0..CLASSES).for_each(|class| all[class] += more[class]);
            }
            grants.extend(self.rates.grant(now, workspace, vm, &demand.classes(), &all));
        }
        grants
    }
}
