//! What the listeners and background tasks of one daemon share.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;
use board::Board;
use crossbeam_channel::Sender;
use edge::{
    client::Client,
    peer::{PeerClient, PeerInstance},
    platform::PlatformClient,
    replay::ReplayGuard,
};
use fleet::transfer::ConfigurationHistory;
use model::prelude::*;
use route::budget::RetryBudget;
use slog::Logger;
use tokio::{runtime::Handle, sync::watch, time::Instant};

use crate::{
    clock::Clock, counters::Counters, event::Event, lock::lock,
    open_transactions::OpenTransactions, pools::Pools, quota_state::QuotaState,
    rounds::VerificationRounds, settings::Settings, status_reports::StatusReports,
    tallies::Tallies,
};

/// One daemon.
pub struct App {
    /// Itself, for tasks that outlive a call.
    pub weak_self: Weak<App>,
    /// Runs such tasks, from whatever thread.
    pub runtime: Handle,
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// The board as the control thread last published it.
    pub board: ArcSwap<Board>,
    /// Each workspace's tokens on this VM.
    pub quota: QuotaState,
    /// Retries that this VM may still make.
    pub retry_budget: Mutex<RetryBudget>,
    /// Asks whether primaries are still the current ones.
    pub verification_rounds: VerificationRounds,
    /// The transactions that are open here.
    pub transactions: OpenTransactions,
    /// Connections to upstreams.
    pub pools: Pools,
    /// What other VMs may pull of the configuration.
    pub configuration_history: ArcSwap<ConfigurationHistory>,
    /// Whether this VM watches the platform.
    pub watching: watch::Sender<bool>,
    /// Peer messages received.
    pub replay_guard: Mutex<ReplayGuard>,
    /// Client of other VMs.
    pub peers: PeerClient,
    /// Client of upstreams' admin addresses.
    pub admin_client: Client,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Events for the control thread.
    pub events: Sender<Event>,
    /// What this VM has counted for workspaces.
    pub tallies: Tallies,
    /// What VMs of the data centre reported to this one.
    pub status_reports: StatusReports,
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

    /// The moment on the runtime's clock.
    pub fn instant(&self, at: MonoTime) -> Instant {
        Instant::now() + self.time_until(at)
    }

    /// The time until then; none where it has passed.
    pub fn time_until(&self, at: MonoTime) -> Duration {
        Duration::from_micros(at.since(self.now()).0)
    }

    /// The board as last published.
    pub fn board(&self) -> Arc<Board> {
        self.board.load_full()
    }

    /// Tells the control thread.
    pub fn send_event(&self, event: Event) {
        // The control thread ends only with the process.
        let _ = self.events.send(event);
    }

    /// The retry budget, for this thread alone.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// The record of peer messages received, for this thread alone.
    pub fn replay_guard(&self) -> MutexGuard<'_, ReplayGuard> {
        lock(&self.replay_guard)
    }

    /// Who this VM is to other VMs.
    pub fn receiver(&self) -> PeerInstance {
        PeerInstance { vm: self.settings.vm.clone(), incarnation: self.settings.incarnation }
    }
}
