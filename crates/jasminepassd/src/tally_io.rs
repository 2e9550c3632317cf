//! Counts callers' requests, and reports the counts inside the data centre and to the platform.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use board::Catalog;
use config::PUBLIC_WORKSPACE;
use fleet::access::workspace_of;
use model::prelude::*;
use proto::{
    caller::CallerError,
    report::{TallyReport, VmReport},
};
use tally::{
    book::Book,
    collector::{Collector, CollectorEffect, CollectorEvent},
    day::{self, DayClock},
    ledger::{Source, object_name},
    verdict::{End, counts},
};

use crate::{
    app::App,
    caller::{CallerAnswer, CallerHead},
    clock::unix_s,
    counters::Counter,
};

/// What this VM has counted, and what it collects from others.
#[derive(Default)]
pub struct Accounts {
    counting: Mutex<Counting>,
    collector: Mutex<Collector>,
}

#[derive(Default)]
struct Counting {
    book: Book,
    generation: Generation,
    clocks: FxHashMap<WorkspaceName, DayClock>,
}

/// A caller's request that is being served. Dropped before it is finished, it counts as abandoned.
pub struct Ticket<'a> {
    app: &'a App,
    charge: Option<(WorkspaceName, u32)>,
    deadline: MonoTime,
}

impl<'a> Ticket<'a> {
    /// A ticket for a request on the route, or on a transaction where there is none. One that no
    /// workspace can be found for is not counted.
    pub fn new(app: &'a App, head: &CallerHead, route: Option<&str>) -> Ticket<'a> {
        let charge = charge(&app.board().catalog, head, route);
        Ticket { app, charge, deadline: head.deadline }
    }

    /// Waits for the request's outcome and counts it.
    pub async fn count<T>(
        mut self,
        work: impl Future<Output = Result<CallerAnswer<T>, CallerError>>,
    ) -> Result<CallerAnswer<T>, CallerError> {
        let result = work.await;
        let late = self.app.now() > self.deadline;
        self.end(match &result {
            Ok(_) => End::Answered { late },
            Err(error) => End::Error(error),
        });
        result
    }

    fn end(&mut self, end: End<'_>) {
        if let Some((workspace, weight)) = self.charge.take() {
            self.app.accounts.count(self.app, &workspace, weight, end);
        }
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.end(End::Abandoned);
    }
}

/// Whose request it is and what it weighs. Opening and ending a transaction weighs nothing.
fn charge(
    catalog: &Catalog,
    head: &CallerHead,
    route: Option<&str>,
) -> Option<(WorkspaceName, u32)> {
    let service = catalog.service(&head.service)?;
    let route = match route {
        Some(name) => Some(&catalog.routes[catalog.route(service, name)?].cfg),
        None => None,
    };
    let workspace = match &head.key {
        // Whether the key is still trusted where the data centre is cut off is left out: a request
        // that is refused for that is the system's failure.
        Some(key) => workspace_of(catalog, key).ok()?,
        None if route.is_some_and(|route| route.open) => catalog.workspace(PUBLIC_WORKSPACE)?,
        None => return None,
    };
    let name = catalog.workspaces[workspace].cfg.name.clone();
    Some((name, route.map_or(0, |route| route.weight)))
}

impl Accounts {
    fn count(&self, app: &App, workspace: &WorkspaceName, weight: u32, end: End<'_>) {
        let now_s = unix_s();
        let mut counting = lock(&self.counting);
        let Counting { book, generation, clocks } = &mut *counting;
        let board = app.board();
        let cfg = &board.catalog.cfg;
        if *generation != cfg.generation {
            *generation = cfg.generation;
            clocks.clear();
        }
        let clock = match clocks.get_mut(workspace) {
            Some(clock) => clock,
            None => {
                let clock = day_clock(&board.catalog, workspace);
                clocks.entry(workspace.clone()).or_insert(clock)
            }
        };
        let day = clock.day(now_s);
        book.record(workspace, day, day::minute(now_s), counts(end, weight));
    }

    /// Everything that is not known to be stored.
    pub fn report(&self) -> TallyReport {
        lock(&self.counting).book.report()
    }

    /// Takes note that everything in the reports up to `number` is stored.
    pub fn stored(&self, number: u64) {
        lock(&self.counting).book.stored(number);
    }

    /// Takes the counts that a VM reported, and says up to which of its reports everything is stored.
    pub fn collect(&self, from: &VmReport, report: TallyReport) -> u64 {
        let source = Source { vm: from.vm.clone(), incarnation: from.incarnation };
        let mut collector = lock(&self.collector);
        collector.handle(CollectorEvent::Report { source: source.clone(), report });
        collector.stored(&source)
    }
}

fn day_clock(catalog: &Catalog, workspace: &WorkspaceName) -> DayClock {
    let key = catalog.workspace(workspace.as_str());
    let zone = key.and_then(|key| catalog.workspaces[key].cfg.time_zone.as_deref());
    DayClock::new(zone.unwrap_or(&catalog.cfg.time_zone))
}

/// Stores what was collected.
pub async fn store(app: &Arc<App>) {
    let mut effects = lock(&app.accounts.collector).handle(CollectorEvent::Tick);
    while let Some(effect) = effects.pop() {
        let event = carry_out(app, effect).await;
        effects.extend(lock(&app.accounts.collector).handle(event));
    }
}

async fn carry_out(app: &App, effect: CollectorEffect) -> CollectorEvent {
    app.counters.count(Counter::PlatformCalls);
    match effect {
        CollectorEffect::Read { day } => {
            match app.platform.get(&object_name(&app.settings.dc, day)).await {
                Ok(object) => {
                    CollectorEvent::Read { day, version: object.version, value: object.value }
                }
                Err(_) => CollectorEvent::NoAnswer { day },
            }
        }
        CollectorEffect::Update { day, expected, value } => {
            let name = object_name(&app.settings.dc, day);
            match app.platform.update(&name, expected, value).await {
                Ok(updated) => CollectorEvent::Updated { day, updated },
                Err(_) => CollectorEvent::NoAnswer { day },
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
