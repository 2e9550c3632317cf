//! A simulated VM: the real controllers of rates and connections, on a clock of their own.

use std::sync::Arc;

use board::{Board, Catalog, VmIdentity, VmRecords};
use model::prelude::*;
use proto::platform::{VmRecord, VmState};
use quota::{
    apply::apply_allocation,
    events::{PortionEffect, PortionEvent},
    lenders::instance_of,
    objects::VmInstance,
    portions::PortionController,
    rate_limiter::{RateEffect, RateLimiter},
};

use super::world::Event;

/// An instance of a VM, from one start to the next.
#[derive(Debug)]
pub struct Vm {
    /// Name and incarnation.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub dc: DcName,
    /// What the VM knows of the configuration and the fleet.
    pub board: Board,
    /// Controller of the VM's portions of rates and connections.
    pub portions: PortionController,
    /// Rate limiters of all workspaces.
    pub rate_limiter: RateLimiter,
    /// Number of open connections, by database.
    pub open_connections: FxHashMap<DatabaseName, u32>,
    /// Events that are queued while the VM is paused; absent while it runs.
    pub paused: Option<Vec<Event>>,
    /// Number of messages and replies sent to other VMs.
    pub messages_sent: u64,
    started_at: MonoTime,
}

impl Vm {
    /// Creates a VM that starts now and has the given configuration.
    pub fn new(instance: VmInstance, dc: DcName, catalog: Arc<Catalog>, now: MonoTime) -> Vm {
        let me = VmIdentity {
            vm: instance.vm.clone(),
            incarnation: instance.incarnation,
            dc: dc.clone(),
            peer_address: String::new(),
        };
        let mut board = Board::new(me);
        board.adopt(catalog);
        board.update_placement();
        Vm {
            portions: PortionController::new(instance.clone()),
            rate_limiter: RateLimiter::new(instance.clone()),
            instance,
            dc,
            board,
            open_connections: FxHashMap::default(),
            paused: None,
            messages_sent: 0,
            started_at: now,
        }
    }

    /// Converts virtual time to the VM's own clock, which begins at its start.
    pub fn local_time(&self, now: MonoTime) -> MonoTime {
        MonoTime(now.since(self.started_at).0)
    }

    /// Returns the VM's record for the platform's list.
    pub fn record(&self, state: VmState) -> VmRecord {
        VmRecord {
            vm: self.instance.vm.clone(),
            incarnation: self.instance.incarnation,
            dc: self.dc.clone(),
            peer_address: String::new(),
            state,
        }
    }

    /// Passes an event to the portion controller, and applies its allocation to the rate limiter if it
    /// changed. Returns all effects.
    pub fn handle(&mut self, event: PortionEvent, now: MonoTime) -> Vec<PortionEffect> {
        let local = self.local_time(now);
        let effects = self.portions.handle(&self.board, event, local);
        if effects.contains(&PortionEffect::AllocationChanged) {
            apply_allocation(&self.board, &self.portions, &mut self.rate_limiter, local);
        }
        effects
    }

    /// Runs the periodic work of both controllers.
    pub fn tick(&mut self, now: MonoTime) -> (Vec<PortionEffect>, Vec<RateEffect>) {
        let ((), rate_effects) =
            self.with_rate_limiter(now, |limiter, now, effects| limiter.tick(now, effects));
        let event = PortionEvent::Tick {
            open_connections: self.open_connections.clone(),
            lent: self.rate_limiter.take_lent(),
        };
        (self.handle(event, now), rate_effects)
    }

    /// Handles a list of VMs read from the platform.
    pub fn set_list(&mut self, list: Vec<VmRecord>, now: MonoTime) -> Vec<PortionEffect> {
        let instances = list.iter().map(instance_of).collect();
        let list = VmRecords::from(list);
        if !list.is_empty() && list != self.board.fleet.vms {
            self.board.fleet.vms = list;
            self.board.update_placement();
            let local = self.local_time(now);
            apply_allocation(&self.board, &self.portions, &mut self.rate_limiter, local);
        }
        let read_at = self.local_time(now);
        self.handle(PortionEvent::ListRead { instances, read_at }, now)
    }

    /// Calls `f` with the rate limiter, the time on the VM's clock, and a list for the effects. Returns
    /// the result of `f` and the effects.
    pub fn with_rate_limiter<T>(
        &mut self,
        now: MonoTime,
        f: impl FnOnce(&mut RateLimiter, MonoTime, &mut Vec<RateEffect>) -> T,
    ) -> (T, Vec<RateEffect>) {
        let mut effects = Vec::new();
        let local = self.local_time(now);
        let result = f(&mut self.rate_limiter, local, &mut effects);
        (result, effects)
    }

    /// Opens all connections that the current allocation allows.
    pub fn open_allowed_connections(&mut self) {
        for (database, limit) in &self.portions.allocation().connections {
            let open = self.open_connections.entry(database.clone()).or_default();
            *open = (*open).max(*limit);
        }
    }

    /// Closes connections that exceed the current allocation.
    pub fn close_excess_connections(&mut self) {
        let allowed = &self.portions.allocation().connections;
        for (database, open) in &mut self.open_connections {
            *open = (*open).min(allowed.get(database).copied().unwrap_or(0));
        }
    }
}
