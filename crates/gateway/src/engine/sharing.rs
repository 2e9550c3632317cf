//! Resources that VMs share: workspaces' rates, and the connections that a database accepts.

use model::prelude::*;
use slog::debug;

use super::Engine;
use crate::{
    peers::{Demand, PeerBody},
    rates::RateGrant,
};

/// Number of peers that are asked to close a connection at a time.
const ASKED_PEERS: usize = 3;
/// How long a database's connections count as scarce after it refused one: several times the interval
/// between refusals while there are too many.
const SCARCITY_PERIOD: DurationUs = DurationUs::from_ms(5_000);
/// Idle time from which a connection is closed for a peer that needs one.
const RELEASE_MIN_IDLE: DurationUs = DurationUs::from_ms(60);

impl Engine {
    /// Records that a database refused some VM a connection because too many were open.
    pub(super) fn mark_connections_scarce(&mut self, database: &DatabaseName) {
        if let Some(state) = self.databases.get_mut(database) {
            state.scarce_until = self.now + SCARCITY_PERIOD;
        }
    }

    /// Asks some peers to close a connection to a database that refused this VM one.
    pub(super) fn ask_peers_for_connection(&mut self, database: &DatabaseName) {
        let addresses: Vec<_> = self.fleet.members().map(|(_, member)| member.address).collect();
        if addresses.is_empty() {
            return;
        }
        // The time varies which peers are asked.
        let first = self.now.0 as usize % addresses.len();
        for step in 0..ASKED_PEERS.min(addresses.len()) {
            let database = database.clone();
            let address = addresses[(first + step) % addresses.len()];
            self.send_to_peer(address, PeerBody::Short { database });
        }
    }

    /// Closes the connection to the database that has been idle longest, for a peer that needs one.
    pub(super) fn release_idle_connection(&mut self, database: &DatabaseName) {
        self.mark_connections_scarce(database);
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
        for key in &self.waiting {
            let Some(session) = self.sessions.get(*key) else { continue };
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
                let lent =
                    if self.has_lease() { self.rates.lend(now, &workspace, tokens) } else { 0 };
                self.rates.receive_loan(now, &workspace, lent, lent >= tokens);
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
