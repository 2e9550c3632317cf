//! Resources that VMs share: workspaces' rates, and connections that a peer of an earlier version needs.

use model::prelude::*;
use slog::debug;

use super::{Engine, Waiter};
use crate::{
    peers::PeerBody,
    rates::{Demand, RateGrant},
};

/// Idle time from which a connection is closed for a peer that needs one.
const RELEASE_MIN_IDLE: DurationUs = DurationUs::from_ms(60);

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
        let mut short: Vec<WorkspaceName> = Vec::new();
        for waiter in &self.waiting {
            let Waiter::Session(key) = *waiter else { continue };
            let Some(session) = self.sessions.get(key) else { continue };
            let waits = session.current.as_ref().is_some_and(|current| current.needs_token);
            let workspace = session.authorization.as_ref().and_then(|auth| auth.workspace.as_ref());
            if let Some(workspace) = workspace.filter(|_| waits)
                && !short.contains(workspace)
            {
                short.push(workspace.clone());
            }
        }
        for workspace in short {
            let Some(tokens) = self.rates.tokens_to_borrow(now, &workspace) else { continue };
            let home = self.fleet.home_of(now, &workspace);
            if home == self.id.vm {
                // Without a lease, another VM may be the home.
                if self.has_lease() {
                    let lent = self.rates.lend(now, &workspace, tokens);
                    self.rates.receive_loan(now, &workspace, lent, lent >= tokens);
                }
            } else {
                self.send_to_vm(&home, PeerBody::Borrow { workspace, tokens });
            }
        }
    }

    pub(super) fn lend_tokens(&mut self, to: &VmName, workspace: WorkspaceName, asked: u32) {
        if !self.has_lease() {
            return;
        }
        let tokens = self.rates.lend(self.now, &workspace, asked);
        self.send_to_vm(to, PeerBody::Lend { workspace, tokens, all: tokens >= asked });
    }

    pub(super) fn grant_to_self(&mut self, demands: &[Demand]) {
        let me = self.id.vm.clone();
        let grants = self.grant_rates(&me, demands);
        self.rates.accept_grants(self.now, self.now, &grants);
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
        let now = self.now;
        let mut grants = Vec::new();
        for Demand { workspace, per_s } in demands {
            if self.fleet.home_of(now, workspace) != self.id.vm {
                continue;
            }
            let others = self.fleet.members().filter(|(vm, _)| self.fleet.is_live(now, vm));
            let others: f64 = others.map(|(_, member)| member.demand_for(workspace)).sum();
            let all = self.rates.demand_for(now, workspace) + others;
            grants.extend(self.rates.grant(now, workspace, vm, f64::from(*per_s), all));
        }
        grants
    }
}
