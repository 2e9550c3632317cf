//! The VMs that come and go, and what the store and the call for promotions do for them.

use std::collections::BTreeSet;

use gateway::{
    Request, UpstreamKey,
    peers::{MemberList, MemberRecord, PeerBody, PeerMessage},
};
use model::prelude::*;

use super::{
    Happening, Link, ONE_WAY_US, PROMOTE_US, STORE_US, World, database_name, dc, service,
    vm_address, vm_name,
};

impl World {
    pub fn members(&self) -> Vec<MemberRecord> {
        let record = |vm| MemberRecord {
            vm: vm_name(vm),
            address: vm_address(vm),
            incarnation: Incarnation(0),
            dc: dc(vm),
        };
        (0..self.engines.len()).map(record).collect()
    }

    /// Lets a VM read the list of VMs, and keeps a watch that misses nothing while the store is reached.
    pub(super) fn read_list(&mut self, vm: usize) {
        if !self.storeless.contains(&vm) {
            self.take_list(vm, self.list.clone());
        }
    }

    pub(super) fn take_list(&mut self, vm: usize, list: MemberList) {
        if list.version > self.lists[vm].version {
            let now = self.now;
            self.lists[vm] = list.clone();
            self.drive(vm, |engine| engine.set_members(now, &list));
        }
    }

    /// Changes the list of VMs in the store; those that follow it are told.
    pub fn change_list(&mut self, change: impl FnOnce(&mut MemberList)) {
        change(&mut self.list);
        self.list.version += 1;
        for vm in 0..self.engines.len() {
            self.later(STORE_US, Happening::Members { vm });
        }
    }

    /// Has another VM announce a term to a VM.
    pub fn announce(&mut self, vm: usize, term: u64, primary: usize) {
        let primary = Some(database_name(primary));
        let body = PeerBody::Decided { service: service(), term: Term(term), primary };
        let from = vm_name((vm + 1) % self.engines.len());
        let message = PeerMessage { from, incarnation: Incarnation(0), body };
        let now = self.now;
        self.drive(vm, |engine| engine.peer_message(now, message));
    }

    /// VMs that are witnesses, as the store has it.
    pub fn witnesses(&self) -> BTreeSet<usize> {
        let set = self.list.witnesses.as_ref().map(|set| set.vms.clone()).unwrap_or_default();
        (0..self.engines.len()).filter(|vm| set.contains(&vm_name(*vm))).collect()
    }

    /// Ends a VM for good, without a word.
    pub fn lose_vm(&mut self, vm: usize) {
        self.freeze(vm);
        let links: Vec<(usize, UpstreamKey)> =
            self.links.keys().filter(|(at, _)| *at == vm).copied().collect();
        for link in links {
            if let Some(Link { database, id, .. }) = self.links.remove(&link) {
                self.group.close(database, id);
            }
        }
    }

    /// Asks a VM to end; it does three seconds later, and takes itself out of the list.
    pub fn stop_vm(&mut self, vm: usize) {
        let now = self.now;
        self.drive(vm, |engine| engine.stop(now));
    }

    pub fn end_stopped_vm(&mut self, vm: usize) {
        self.lose_vm(vm);
        let name = vm_name(vm);
        self.change_list(|list| list.records.retain(|record| record.vm != name));
    }

    pub(super) fn ask_platform(&mut self, vm: usize, request: Request) {
        if self.storeless.contains(&vm) {
            self.turned_away += 1;
            self.later(STORE_US, Happening::NoStore { vm });
            if let Request::RaiseToken { attempt, .. } = request {
                let (token, sent) = (None, self.now);
                self.later(STORE_US, Happening::Token { vm, attempt, token, sent });
            }
            return;
        }
        match request {
            Request::RaiseToken { attempt, .. } => {
                self.token += 1;
                let (token, sent) = (Some(self.token), self.now);
                self.later(STORE_US, Happening::Token { vm, attempt, token, sent });
            }
            Request::Promote { attempt, database, token, not_after, .. } => {
                if self.now <= not_after {
                    self.orders.push((vm, token));
                    self.later(PROMOTE_US, Happening::Promote { database });
                    self.later(ONE_WAY_US, Happening::Ordered { vm, attempt });
                }
            }
            Request::SetWitnesses(set) => {
                let step = self.list.witnesses.as_ref().map_or(0, |present| present.step);
                if set.step == step + 1 {
                    self.change_list(|list| list.witnesses = Some(set));
                }
            }
            Request::RemoveMember { vm, .. } => {
                self.change_list(|list| list.records.retain(|record| record.vm != vm));
            }
            Request::Enter => {
                let record = self.members().remove(vm);
                self.change_list(|list| list.records.push(record));
                let (now, version) = (self.now, self.list.version);
                self.drive(vm, |engine| engine.joined(now, version));
            }
            Request::ReadToken | Request::ReadIntents => {}
        }
    }
}
