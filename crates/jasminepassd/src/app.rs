//! What the listeners and background tasks of one daemon share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use board::Board;
use crossbeam_channel::Sender;
use edge::{
    client::Client,
    peer::{Peers, Receiver},
    platform::Platform,
};
use model::prelude::*;
use quota::bucket::Bucket;
use slog::Logger;

use crate::{
    clock::Clock, control::Event, counters::Counters, pools::Pools, report_io::StatusDesk,
    settings::Settings, tally_io::Accounts,
};

/// One daemon.
pub struct App {
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// The board as the control thread last published it.
    pub board: ArcSwap<Board>,
    /// Each workspace's bucket on this VM.
    pub buckets: Mutex<FxHashMap<WorkspaceName, Bucket>>,
    /// Connections to upstreams.
    pub pools: Pools,
    /// Client of other VMs.
    pub peers: Peers,
    /// Client of upstreams' admin addresses.
    pub admin: Client,
    /// Client of the platform.
    pub platform: Platform,
    /// Events for the control thread.
    pub events: Sender<Event>,
    /// What this VM has counted for workspaces.
    pub accounts: Accounts,
    /// What VMs of the data centre reported to this one.
    pub status_desk: StatusDesk,
    /// Counters.
    pub counters: Counters,
    /// The log.
    pub log: Logger,
}

impl App {
    /// The present moment.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The board as last published.
    pub fn board(&self) -> Arc<Board> {
        self.board.load_full()
    }

    /// Tells the control thread.
    pub fn tell(&self, event: Event) {
        // The control thread ends only with the process.
        let _ = self.events.send(event);
    }

    /// The buckets, for this thread alone.
    pub fn buckets(&self) -> MutexGuard<'_, FxHashMap<WorkspaceName, Bucket>> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who this VM is to other VMs.
    pub fn receiver(&self) -> Receiver {
        Receiver { vm: self.settings.vm.clone(), incarnation: self.settings.incarnation }
    }
}
