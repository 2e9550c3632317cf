//! State shared by the listeners and background tasks of the daemon.

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

/// Shared state of the daemon.
pub struct App {
    /// Reference to this value, for spawned tasks that outlive a borrow of it.
    pub weak_self: Weak<App>,
    /// Spawns tasks from threads outside the runtime, such as the control thread.
    pub runtime: Handle,
    /// Settings of this process.
    pub settings: Settings,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// The board as the control thread last published it.
    pub board: ArcSwap<Board>,
    /// Rate limiter of this VM and the requests that wait for its decision.
    pub quota: QuotaState,
    /// Bounds the retries that this VM makes.
    pub retry_budget: Mutex<RetryBudget>,
    /// Running and pending checks that a primary is still the current one.
    pub verification_rounds: VerificationRounds,
    /// Transactions that are open on this VM.
    pub transactions: OpenTransactions,
    /// Connection pools of the upstreams.
    pub pools: Pools,
    /// Current configuration and recent changes, from which pulls of other VMs are answered.
    pub configuration_history: ArcSwap<ConfigurationHistory>,
    /// Whether this VM is one of those that read the platform's objects and pass them on.
    pub watching: watch::Sender<bool>,
    /// Detects replayed peer messages.
    pub replay_guard: Mutex<ReplayGuard>,
    /// Client for the peer listeners of other VMs.
    pub peers: PeerClient,
    /// Client for the admin addresses of upstreams.
    pub admin_client: Client,
    /// Client for the platform's object store and VM list.
    pub platform: PlatformClient,
    /// Sends events to the control thread.
    pub events: Sender<Event>,
    /// Request counts of the workspaces on this VM, and those collected from other VMs.
    pub tallies: Tallies,
    /// Status reports that VMs of the data centre sent to this VM.
    pub status_reports: StatusReports,
    /// Counters of this process, for operators and StatsD.
    pub counters: Counters,
    /// Logger of this process.
    pub log: Logger,
}

impl App {
    /// Current time of the process's monotonic clock.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Converts a time of the process's clock to the runtime's clock. A past time becomes now.
    pub fn instant(&self, at: MonoTime) -> Instant {
        Instant::now() + self.time_until(at)
    }

    /// Time from now until `at`, or zero if `at` has passed.
    pub fn time_until(&self, at: MonoTime) -> Duration {
        Duration::from_micros(at.since(self.now()).0)
    }

    /// Snapshot of the board as last published.
    pub fn board(&self) -> Arc<Board> {
        self.board.load_full()
    }

    /// Queues an event for the control thread.
    pub fn send_event(&self, event: Event) {
        // Sending can't fail: the control thread runs until the process exits.
        let _ = self.events.send(event);
    }

    /// Locks the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Locks the replay guard.
    pub fn replay_guard(&self) -> MutexGuard<'_, ReplayGuard> {
        lock(&self.replay_guard)
    }

    /// Name and incarnation under which other VMs address this one.
    pub fn peer_instance(&self) -> PeerInstance {
        PeerInstance { vm: self.settings.vm.clone(), incarnation: self.settings.incarnation }
    }
}
