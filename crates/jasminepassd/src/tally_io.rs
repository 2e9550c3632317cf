//! Counts callers' requests, and reports the counts inside the data centre and to the platform.

use std::sync::Arc;

use board::Catalog;
use config::PUBLIC_WORKSPACE;
use fleet::access::workspace_of_key;
use model::prelude::*;
use proto::caller::CallerError;
use tally::{
    collector::{CollectorEffect, CollectorEvent},
    ledger::object_name,
    sli::RequestEnd,
};

use crate::{
    app::App,
    caller_request::{CallerAnswer, RequestHead},
    counters::Counter,
};

/// A caller's request that is being served. Dropped before it is finished, it counts as abandoned.
pub struct RequestTally<'a> {
    app: &'a App,
    charge: Option<(WorkspaceName, u32)>,
    deadline: MonoTime,
}

impl<'a> RequestTally<'a> {
    /// A ticket for a request on the route, or on a transaction where there is none. One that no
    /// workspace can be found for is not counted.
    pub fn new(app: &'a App, head: &RequestHead, route: Option<&str>) -> RequestTally<'a> {
        let charge = charge(&app.board().catalog, head, route);
        RequestTally { app, charge, deadline: head.deadline }
    }

    /// Waits for the request's outcome and counts it.
    pub async fn count<T>(
        mut self,
        work: impl Future<Output = Result<CallerAnswer<T>, CallerError>>,
    ) -> Result<CallerAnswer<T>, CallerError> {
        let result = work.await;
        let late = self.app.now() > self.deadline;
        self.record(match &result {
            Ok(_) => RequestEnd::Answered { late },
            Err(error) => RequestEnd::Error(error),
        });
        result
    }

    fn record(&mut self, end: RequestEnd<'_>) {
        if let Some((workspace, weight)) = self.charge.take() {
            self.app.tallies.count(&self.app.board(), &workspace, weight, end);
        }
    }
}

impl Drop for RequestTally<'_> {
    fn drop(&mut self) {
        self.record(RequestEnd::Abandoned);
    }
}

/// Whose request it is and what it weighs. Opening and ending a transaction weighs nothing.
fn charge(
    catalog: &Catalog,
    head: &RequestHead,
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
        Some(key) => workspace_of_key(catalog, key).ok()?,
        None if route.is_some_and(|route| route.open) => catalog.workspace(PUBLIC_WORKSPACE)?,
        None => return None,
    };
    let name = catalog.workspaces[workspace].cfg.name.clone();
    Some((name, route.map_or(0, |route| route.weight)))
}

/// Stores what was collected.
pub async fn store(app: &Arc<App>) {
    let mut effects = app.tallies.collector().handle(CollectorEvent::Tick);
    while let Some(effect) = effects.pop() {
        let event = carry_out(app, effect).await;
        effects.extend(app.tallies.collector().handle(event));
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
