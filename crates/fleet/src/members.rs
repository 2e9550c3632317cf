//! Which VMs are members of the fleet: the platform's list, corrected by the VMs' own announcements.
//!
//! The list may lag, so a VM's announcement takes precedence: an incarnation that announces that it
//! leaves is leaving, and one that is not on the list yet is a member once it is heard of. An
//! incarnation that another one of the same VM has replaced never becomes a member again, however late
//! a message or a list names it.

use std::collections::VecDeque;

use board::{
    Board, VmRecords,
    fleet::{Age, VmListReading},
};
use model::{prelude::*, request::stable_hash};
use proto::platform::{VmRecord, VmState};

/// Replaced incarnations that are remembered; the oldest ones are forgotten.
const REPLACED_INSTANCES_MAX: usize = 4096;

/// One incarnation of a VM.
type Instance = (VmName, Incarnation);

/// What is known of the VMs besides the platform's newest list.
#[derive(Debug)]
pub struct Membership {
    /// The newest announcement of each VM.
    heard: FxHashMap<VmName, VmRecord>,
    /// Incarnations that have been on a list.
    once_listed: FxHashSet<Instance>,
    /// Incarnations that another one of the same VM has replaced.
    replaced: FxHashSet<Instance>,
    /// The replaced incarnations, in the order in which they were replaced.
    replaced_order: VecDeque<Instance>,
}

impl Membership {
    /// A membership in which only this VM is known.
    pub fn new(me: VmRecord) -> Membership {
        Membership {
            heard: [(me.vm.clone(), me)].into_iter().collect(),
            once_listed: FxHashSet::default(),
            replaced: FxHashSet::default(),
            replaced_order: VecDeque::new(),
        }
    }

    /// Takes a list from the platform, with its age. Returns whether the members have changed.
    pub fn apply_list(&mut self, board: &mut Board, vms: Vec<VmRecord>, read: Age) -> bool {
        if vms.is_empty() {
            return false;
        }
        let vms = VmRecords::from(vms);
        let hash = list_hash(&vms);
        let unchanged = board.fleet.listed.as_ref().is_some_and(|known| known.hash == hash);
        if !unchanged {
            self.record_listed(board, &vms);
        }
        board.fleet.listed = Some(VmListReading { vms, hash, read });
        !unchanged && self.rebuild(board)
    }

    /// Takes a VM's announcement of itself. Returns whether the members have changed.
    pub fn apply_record(&mut self, board: &mut Board, record: &VmRecord) -> bool {
        let instance = instance_of(record);
        if self.replaced.contains(&instance) || record.vm == board.fleet.me.vm {
            return false;
        }
        if let Some(known) = self.heard.get(&record.vm) {
            let leaving_already = known.state == VmState::Leaving;
            if known.incarnation == record.incarnation && (known == record || leaving_already) {
                return false;
            }
        }
        let known = board.fleet.vm(record.vm.as_str());
        if let Some(other) = known.filter(|known| known.incarnation != record.incarnation) {
            // An announcement of an incarnation that was listed before may be late; one that never was
            // listed is new.
            if self.once_listed.contains(&instance) {
                self.mark_replaced(instance);
                return false;
            }
            self.mark_replaced(instance_of(other));
        }
        self.heard.insert(record.vm.clone(), record.clone());
        self.rebuild(board)
    }

    /// Marks this VM as leaving on its own board. Until this call it remains a holder for the requests
    /// that it takes.
    pub fn mark_me_leaving(&mut self, board: &mut Board) {
        let me = board.fleet.me.record(VmState::Leaving);
        self.heard.insert(me.vm.clone(), me);
        self.rebuild(board);
    }

    /// Notes which incarnations a new list names, and which others they replace. Forgets the
    /// announcements of VMs that have left the list.
    fn record_listed(&mut self, board: &Board, vms: &[VmRecord]) {
        for record in vms {
            let known = board.fleet.vm(record.vm.as_str());
            if let Some(other) = known.filter(|known| known.incarnation != record.incarnation) {
                let older_instance = self.older_instance(record, other);
                self.mark_replaced(older_instance);
            }
            self.once_listed.insert(instance_of(record));
        }
        let named: FxHashSet<&VmName> = vms.iter().map(|r| &r.vm).collect();
        self.heard.retain(|vm, record| {
            *vm == board.fleet.me.vm
                || named.contains(vm)
                || !self.once_listed.contains(&instance_of(record))
        });
    }

    /// Which of two incarnations of a VM was replaced by the other, where `listed` is on a new list
    /// and `known` is the member. The list may be late: `listed` is the newer one only if `known` was
    /// listed before and `listed` was not.
    fn older_instance(&self, listed: &VmRecord, known: &VmRecord) -> Instance {
        let (listed, known) = (instance_of(listed), instance_of(known));
        let is_new = !self.once_listed.contains(&listed) && self.once_listed.contains(&known);
        if is_new { known } else { listed }
    }

    fn mark_replaced(&mut self, instance: Instance) {
        if self.replaced.insert(instance.clone()) {
            self.replaced_order.push_back(instance);
        }
        if self.replaced_order.len() <= REPLACED_INSTANCES_MAX {
            return;
        }
        if let Some(oldest) = self.replaced_order.pop_front() {
            self.replaced.remove(&oldest);
            self.once_listed.remove(&oldest);
        }
    }

    /// Derives the members from the list and the announcements. Returns whether they have changed.
    fn rebuild(&self, board: &mut Board) -> bool {
        let mut members: FxHashMap<&VmName, VmRecord> = FxHashMap::default();
        let listed = board.fleet.listed.iter().flat_map(|listed| listed.vms.iter());
        for record in listed.filter(|record| !self.replaced.contains(&instance_of(record))) {
            members.insert(&record.vm, record.clone());
        }
        for (vm, heard) in &self.heard {
            if self.replaced.contains(&instance_of(heard)) {
                continue;
            }
            let is_listed = |listed: &&mut VmRecord| listed.incarnation == heard.incarnation;
            if let Some(listed) = members.get_mut(vm).filter(is_listed) {
                let leaves = heard.state == VmState::Leaving;
                listed.state = if leaves { VmState::Leaving } else { listed.state };
                continue;
            }
            let was_listed = self.once_listed.contains(&instance_of(heard));
            if !was_listed || *vm == board.fleet.me.vm {
                members.insert(vm, heard.clone());
            }
        }
        let members = VmRecords::from(members.into_values().collect::<Vec<_>>());
        if members == board.fleet.vms {
            return false;
        }
        let stays = |vm: &VmName| members.iter().any(|record| record.vm == *vm);
        board.fleet.suspects.retain(|vm, _| stays(vm));
        board.fleet.vms = members;
        true
    }
}

fn instance_of(record: &VmRecord) -> Instance {
    (record.vm.clone(), record.incarnation)
}

/// Hash of a list of VMs, by which VMs recognise equal lists.
fn list_hash(vms: &[VmRecord]) -> u64 {
    let mut text = String::new();
    for record in vms {
        let state = if record.state == VmState::Live { "live" } else { "leaving" };
        let line = [record.vm.as_str(), record.dc.as_str(), &record.peer_address, state].join(" ");
        text.push_str(&line);
        text.push_str(&format!(" {}\n", record.incarnation.0));
    }
    stable_hash(&text)
}
