//! A simulated VM: its view of the cluster (the board), its promotion controller, and the writes that it
//! has not acknowledged yet.

use std::sync::Arc;

use board::{Board, Catalog, VmIdentity};
use failover::{
    observe::{self, Observation},
    promotion::{PromotionCall, PromotionController, PromotionEffect, PromotionEvent},
    timeouts::Timeouts,
};
use model::prelude::*;
use proto::{
    database::DatabaseError,
    platform::{VmRecord, VmState},
};

use super::{database::Reply, dc, name};

/// Interval at which a VM queries the status of each database.
pub const STATUS_INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Time after which the caller of a write gives up.
pub const WRITE_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);

/// A write that was sent and neither acknowledged nor given up.
#[derive(Clone, Debug)]
pub struct OpenWrite {
    /// When the caller gives up.
    pub deadline: MonoTime,
    /// Position and term of the write, once the primary replied.
    pub executed: Option<(Position, Term)>,
    /// Name of the database to which the write was sent.
    pub primary: String,
    /// Names of the members that are known to hold the write.
    pub held_by: FxHashSet<String>,
}

/// A simulated VM.
#[derive(Debug)]
pub struct VmNode {
    /// Name of the VM.
    pub name: String,
    /// What the VM knows of the configuration, the fleet and the slot.
    pub board: Board,
    /// Writes that were sent and neither acknowledged nor given up.
    pub writes: FxHashMap<RequestId, OpenWrite>,
    controller: PromotionController,
}

/// Returns the records of that many VMs, spread over three data centres.
pub fn vm_records(vms: usize) -> Vec<VmRecord> {
    let record = |number: usize| VmRecord {
        vm: name(VmName::new(format!("v{number}"))),
        incarnation: Incarnation(number as u64),
        dc: dc(number),
        peer_address: format!("v{number}"),
        state: VmState::Live,
    };
    (1..=vms).map(record).collect()
}

impl VmNode {
    /// Creates a VM that knows the list of VMs and the configuration.
    pub fn new(record: &VmRecord, vms: &[VmRecord], catalog: Arc<Catalog>) -> VmNode {
        let me = VmIdentity {
            vm: record.vm.clone(),
            incarnation: record.incarnation,
            dc: record.dc.clone(),
            peer_address: record.peer_address.clone(),
        };
        let mut board = Board::new(me.clone());
        board.fleet.vms = vms.to_vec().into();
        board.adopt(catalog);
        board.update_placement();
        VmNode {
            name: record.vm.to_string(),
            board,
            writes: FxHashMap::default(),
            controller: PromotionController::new(me, Timeouts::new(STATUS_INTERVAL)),
        }
    }

    /// Returns the name under which the VM proposes promotions.
    pub fn proposer(&self) -> String {
        self.controller.proposer()
    }

    /// Runs the controller's periodic work, and returns the calls to send.
    pub fn tick(&mut self, random: u64, now: MonoTime) -> Vec<PromotionCall> {
        self.handle_event(PromotionEvent::Tick { random }, now)
    }

    /// Passes an event to the controller, and returns the calls to send.
    pub fn handle_event(&mut self, event: PromotionEvent, now: MonoTime) -> Vec<PromotionCall> {
        let effects = self.controller.handle(&mut self.board, event, now);
        let call = |effect| match effect {
            PromotionEffect::Call(call) => Some(call),
            PromotionEffect::Promoted { .. } => None,
        };
        effects.into_iter().filter_map(call).collect()
    }

    /// Handles a database's reply to a request sent at `asked_at`, and returns the calls to send.
    pub fn handle_reply(
        &mut self,
        reply: Reply,
        from: &str,
        asked_at: MonoTime,
        now: MonoTime,
    ) -> Vec<PromotionCall> {
        match reply {
            Reply::Status(status) => {
                let database = status.database.clone();
                let observation = Observation { database, asked_at, status: Some(status) };
                observe::observe(&mut self.board, &observation, now);
                Vec::new()
            }
            Reply::Promotion(call, answer) => {
                self.handle_event(PromotionEvent::CallFinished(call, answer), now)
            }
            Reply::Executed(id, Ok(executed)) => {
                if let Some(write) = self.writes.get_mut(&id) {
                    write.executed = Some(executed);
                }
                Vec::new()
            }
            Reply::Executed(id, Err(error)) => {
                self.writes.remove(&id);
                self.learn_primary(&error);
                Vec::new()
            }
            Reply::Held(id, Ok(true)) => {
                if let Some(write) = self.writes.get_mut(&id) {
                    write.held_by.insert(from.to_owned());
                }
                Vec::new()
            }
            Reply::Held(_, Ok(false)) => Vec::new(),
            Reply::Held(id, Err(error)) => {
                // The database granted a higher term: the write can't be confirmed any more, and its outcome
                // stays unknown to the caller.
                self.writes.remove(&id);
                self.learn_primary(&error);
                Vec::new()
            }
        }
    }

    fn learn_primary(&mut self, error: &DatabaseError) {
        let (term, primary) = match error {
            DatabaseError::NotPrimary { term, primary } => (*term, primary.as_ref()),
            DatabaseError::StaleTerm { term } | DatabaseError::TermTaken { term } => (*term, None),
            _ => return,
        };
        let primary = primary.and_then(|name| self.board.catalog.database(name.as_str()));
        observe::learn_primary(&mut self.board, 0.into(), term, primary);
    }
}
