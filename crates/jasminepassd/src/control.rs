//! The control thread: feeds events to the controllers, and is the only thread that changes the
//! board.

use std::{sync::Arc, time::Duration};

use board::{Board, Catalog, DatabaseKey, QuotaView, SlotKey};
use config::Configuration;
use crossbeam_channel::{Receiver, select, tick};
use failover::{
    observe::{self, Observation},
    promotion::{PromotionController, PromotionEvent},
    timeouts::Timeouts,
};
use fleet::{
    distribution::{FleetController, FleetEffect, FleetEvent},
    placement::holds_any,
};
use model::{prelude::*, request::random_u64, session::SlotDigest};
use proto::platform::{Object, Version};
use quota::{
    apply::apply_allocation,
    events::{ObjectKind, PortionEffect, PortionEvent},
    lenders::instance_of,
    objects::VmInstance,
    portions::PortionController,
};
use tokio::sync::mpsc::UnboundedSender;

use crate::{
    app::App,
    counters::Counter,
    event::{Effect, Event},
    quota_io,
};

/// Interval of the controllers' ticks.
const TICK: Duration = Duration::from_millis(50);

/// The controllers and the board that they share.
pub struct Control {
    app: Arc<App>,
    /// Working copy of the board; published to [`App::board`] after each batch of events.
    board: Board,
    fleet: FleetController,
    portions: PortionController,
    /// When the platform's list of VMs, as last passed to `portions`, was read.
    list_read_at: MonoTime,
    promotions: PromotionController,
    next_promotion_tick: MonoTime,
    effects: UnboundedSender<Effect>,
    /// Databases whose status is queried.
    monitored: Vec<config::Database>,
}

impl Control {
    /// Creates the controllers in their initial state.
    pub fn new(app: Arc<App>, effects: UnboundedSender<Effect>) -> Control {
        let board = (*app.board()).clone();
        let me = VmInstance { vm: app.settings.vm.clone(), incarnation: app.settings.incarnation };
        let timeouts = Timeouts::new(app.settings.status_interval);
        let promotions = PromotionController::new(board.fleet.me.clone(), timeouts);
        Control {
            fleet: FleetController::new(board.fleet.own_record()),
            app,
            board,
            portions: PortionController::new(me),
            list_read_at: MonoTime::default(),
            promotions,
            next_promotion_tick: MonoTime::default(),
            effects,
            monitored: Vec::new(),
        }
    }

    /// Handles events until all senders are dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        let ticker = tick(TICK);
        loop {
            select! {
                recv(events) -> event => match event {
                    Ok(event) => self.handle(event),
                    Err(_) => return,
                },
                recv(ticker) -> _ => self.tick(),
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            self.tick_promotions();
            self.app.board.store(Arc::new(self.board.clone()));
        }
    }

    fn tick(&mut self) {
        self.handle_fleet(FleetEvent::Tick);
        self.tick_portions();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fleet(event) => self.handle_fleet(event),
            Event::Observed(observation) => self.observe(&observation),
            Event::PrimarySeen { slot, term, primary } => {
                self.learn_primary(slot, term, primary.as_ref())
            }
            Event::Portions(event) => self.handle_portions(event),
            Event::Promotion(event) => self.handle_promotion(event),
        }
    }

    fn handle_fleet(&mut self, event: FleetEvent) {
        let now = self.app.now();
        self.record_contact(&event);
        let effects = self.fleet.handle(&mut self.board, event, now, random_u64());
        for effect in effects {
            match effect {
                FleetEffect::AdoptConfiguration(cfg) => self.adopt_configuration(*cfg),
                FleetEffect::MembersChanged => self.handle_members_changed(),
                FleetEffect::DcObjectChanged(Object { version, value }) => {
                    let object = ObjectKind::Dc;
                    self.handle_portions(PortionEvent::ObjectRead { object, version, value });
                }
                effect => self.send_effect(Effect::Fleet(effect)),
            }
        }
        self.forward_vm_list(now);
    }

    /// Records in the rate limiter that the platform or another VM of this data centre was reached.
    fn record_contact(&self, event: &FleetEvent) {
        let contact_at = match event {
            FleetEvent::PlatformAnswered(sent_at) => *sent_at,
            FleetEvent::DigestAnswered { sent_at, digest }
                if digest.from.dc == self.app.settings.dc =>
            {
                *sent_at
            }
            _ => return,
        };
        self.app.quota.rate_limiter().record_contact(contact_at);
    }

    /// Passes each newer reading of the platform's list of VMs to the portion controller.
    fn forward_vm_list(&mut self, now: MonoTime) {
        let Some(listed) = &self.board.fleet.listed else {
            return;
        };
        let read_at = now - listed.read.now(now);
        if read_at > self.list_read_at {
            self.list_read_at = read_at;
            let instances = listed.vms.iter().map(instance_of).collect();
            self.handle_portions(PortionEvent::ListRead { instances, read_at });
        }
    }

    fn adopt_configuration(&mut self, cfg: Configuration) {
        if cfg.generation <= self.board.catalog.cfg.generation {
            return;
        }
        slog::info!(self.app.log, "configuration in force"; "generation" => cfg.generation.0);
        self.app.counters.count(Counter::Configurations);
        self.app
            .configuration_history
            .store(Arc::new(self.app.configuration_history.load().with_next(cfg.clone())));
        self.board.adopt(Arc::new(Catalog::new(cfg)));
        self.board.update_placement();
        self.update_allocation();
        self.update_monitored();
        // Publish the board first: a request whose transaction ends because its key was withdrawn
        // must find the key withdrawn.
        self.app.board.store(Arc::new(self.board.clone()));
        // Roll back transactions of withdrawn keys at once.
        for _ in 0..self.app.transactions.sweep(&self.board, self.app.now()) {
            self.app.counters.count(Counter::TransactionsExpired);
        }
    }

    fn handle_members_changed(&mut self) {
        slog::info!(self.app.log, "VMs changed"; "vms" => self.board.fleet.vms.len());
        self.board.update_placement();
        self.update_allocation();
        self.update_monitored();
    }

    fn observe(&mut self, observation: &Observation) {
        let before = self.primaries();
        observe::observe(&mut self.board, observation, self.app.now());
        self.log_primary_changes(&before);
    }

    fn tick_promotions(&mut self) {
        let now = self.app.now();
        if now >= self.next_promotion_tick {
            self.next_promotion_tick = now + DurationUs::from_ms(TICK.as_millis() as u64);
            self.handle_promotion(PromotionEvent::Tick { random: random_u64() });
        }
    }

    fn handle_promotion(&mut self, event: PromotionEvent) {
        let before = self.primaries();
        for effect in self.promotions.handle(&mut self.board, event, self.app.now()) {
            self.send_effect(Effect::Promotion(effect));
        }
        self.log_primary_changes(&before);
    }

    fn primaries(&self) -> Vec<(Term, Option<DatabaseKey>)> {
        self.board.slots.iter().map(|s| (s.term, s.primary)).collect()
    }

    fn log_primary_changes(&self, before: &[(Term, Option<DatabaseKey>)]) {
        for (slot, before) in before.iter().enumerate() {
            let slot = SlotKey::from(slot);
            let state = &self.board.slots[slot];
            if (state.term, state.primary) == *before {
                continue;
            }
            self.app.counters.count(Counter::PrimaryChanges);
            let primary =
                state.primary.map(|key| self.board.catalog.databases[key].name.to_string());
            let name = self.board.catalog.slots[slot].name.to_string();
            slog::info!(self.app.log, "primary changed"; "slot" => name, "term" => state.term.0, "primary" => primary);
        }
    }

    fn learn_primary(&mut self, slot: SlotDigest, term: Term, primary: Option<&DatabaseName>) {
        let catalog = &self.board.catalog;
        let Some(slot) = catalog.slot_by_digest(slot) else {
            return;
        };
        let primary = primary.and_then(|name| catalog.database(name.as_str()));
        observe::learn_primary(&mut self.board, slot, term, primary);
    }

    fn handle_portions(&mut self, event: PortionEvent) {
        for effect in self.portions.handle(&self.board, event, self.app.now()) {
            match effect {
                PortionEffect::AllocationChanged => self.update_allocation(),
                effect => self.send_effect(Effect::Portions(effect)),
            }
        }
    }

    fn tick_portions(&mut self) {
        let now = self.app.now();
        let mut effects = Vec::new();
        let mut rate_limiter = self.app.quota.rate_limiter();
        rate_limiter.tick(now, &mut effects);
        let lent = rate_limiter.take_lent();
        drop(rate_limiter);
        quota_io::carry_out(&self.app, effects);
        self.handle_portions(PortionEvent::Tick {
            open_connections: self.app.pools.open_counts(),
            lent,
        });
    }

    /// Applies this VM's portions of the rates and its connection limits.
    fn update_allocation(&mut self) {
        let allocation = self.portions.allocation();
        let connections = allocation.connections.iter().map(|(name, count)| (name.clone(), *count));
        self.app.pools.set_limits(connections.collect());
        self.board.quota = Arc::new(quota_view(&self.portions));
        let now = self.app.now();
        apply_allocation(&self.board, &self.portions, &mut self.app.quota.rate_limiter(), now);
    }

    /// Monitors all databases of each service that this VM holds connections for.
    fn update_monitored(&mut self) {
        let catalog = &self.board.catalog;
        let held_services =
            catalog.services.iter().filter(|s| holds_any(&self.board, &s.databases));
        let databases =
            held_services.flat_map(|s| &s.databases).map(|&d| catalog.databases[d].cfg.clone());
        let databases: Vec<config::Database> = databases.collect();
        if databases != self.monitored {
            self.monitored.clone_from(&databases);
            self.send_effect(Effect::Monitor(databases));
        }
    }

    fn send_effect(&self, effect: Effect) {
        // Sending can't fail: the receiver runs until the process exits.
        let _ = self.effects.send(effect);
    }
}

fn quota_view(portions: &PortionController) -> QuotaView {
    let allocation = portions.allocation();
    QuotaView {
        version: portions.object().map_or(Version(0), |(version, _)| version),
        portions: allocation.parts.clone(),
        owns_anything: portions.owns_anything(),
        connections: allocation.connections.clone(),
    }
}
