//! Links between VMs in the simulation.

use std::net::SocketAddr;

use gateway::{
    LinkKey, holders,
    link::{LinkMessage, LinkParameters},
};

use super::{Endpoint, Event, ONE_WAY_DELAY_US, World, database_name, dc, vm_address, vm_name};

/// Time after which a VM notices that a link across a cut path has ended, in microseconds.
const CUT_LINK_TIMEOUT_US: u64 = 3_000_000;

impl World {
    /// Number of requests to databases that went through holders, at all VMs.
    pub fn forwarded(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counts().forwarded).sum()
    }

    /// Number of connections that all VMs have opened to databases.
    pub fn connections_opened(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counts().connections_opened).sum()
    }

    /// The VM that holds a database's connections, as long as it is reached.
    pub fn holder(&self, database: usize) -> usize {
        let vms: Vec<_> = (0..self.engines.len()).filter(|vm| dc(*vm) == dc(database)).collect();
        let names: Vec<_> = vms.iter().map(|vm| vm_name(*vm)).collect();
        let first = holders::choose(&database_name(database), names.iter()).remove(0);
        vms.into_iter().find(|vm| vm_name(*vm) == first).expect("a VM of the data centre")
    }

    pub(super) fn open_link(&mut self, from: usize, key: LinkKey, address: SocketAddr) {
        let to = (0..self.engines.len()).find(|index| vm_address(*index) == address);
        let Some(to) = to else { return };
        self.schedule(self.link_delay_us(from, to), Event::LinkConnects { from, to, key });
    }

    pub(super) fn accept_link(&mut self, from: usize, to: usize, key: LinkKey) {
        if self.frozen.contains(&to) || self.is_cut(Endpoint::Vm(from), Endpoint::Vm(to)) {
            return;
        }
        let (now, address) = (self.now, vm_address(from));
        let mut parameters = LinkParameters::new(vm_name(from));
        parameters.load_reports = !self.vms_of_earlier_build.contains(&from);
        let mut accepted = None;
        self.drive(to, |engine| accepted = engine.link_accepted(now, &parameters, address.ip()));
        let Some(other) = accepted else {
            return self.schedule(ONE_WAY_DELAY_US, Event::LinkClosed { vm: from, key });
        };
        self.links.insert((from, key), (to, other));
        self.links.insert((to, other), (from, key));
        self.schedule(self.link_delay_us(to, from), Event::LinkOpened { vm: from, key });
        let early = self.unsent.remove(&(from, key)).unwrap_or_default();
        for message in early {
            self.send_on_link(from, key, message);
        }
    }

    /// Delivers a message, unless the path is cut. The rest of a link on which one was lost is lost, too.
    pub(super) fn send_on_link(&mut self, vm: usize, key: LinkKey, message: LinkMessage) {
        if let LinkMessage::Load { .. } = message {
            self.load_reports.push((vm, self.links.get(&(vm, key)).map(|(to, _)| *to)));
            if self.loses_load_reports {
                return;
            }
        }
        let Some((to, other)) = self.links.get(&(vm, key)).copied() else {
            self.unsent.entry((vm, key)).or_default().push(message);
            return;
        };
        let cut = self.is_cut(Endpoint::Vm(vm), Endpoint::Vm(to));
        if cut {
            self.broken_links.insert((vm, key));
        }
        if !self.broken_links.contains(&(vm, key)) {
            let us = self.link_delay_us(vm, to);
            self.schedule(us, Event::LinkMessage { vm: to, key: other, message });
        }
    }

    pub(super) fn close_link(&mut self, vm: usize, key: LinkKey) {
        let Some((to, other)) = self.links.remove(&(vm, key)) else { return };
        self.links.remove(&(to, other));
        let cut = self.is_cut(Endpoint::Vm(vm), Endpoint::Vm(to));
        let us = if cut { CUT_LINK_TIMEOUT_US } else { self.link_delay_us(vm, to) };
        self.schedule(us, Event::LinkClosed { vm: to, key: other });
    }

    /// Closes both ends of all links of a VM that has ended.
    pub(super) fn close_links_of(&mut self, vm: usize) {
        let ends: Vec<LinkKey> =
            self.links.keys().filter(|(at, _)| *at == vm).map(|(_, key)| *key).collect();
        for key in ends {
            self.close_link(vm, key);
        }
    }

    fn link_delay_us(&self, from: usize, to: usize) -> u64 {
        self.one_way_us(Endpoint::Vm(from), Endpoint::Vm(to))
    }
}
