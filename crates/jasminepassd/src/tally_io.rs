//! Counts callers' requests for the service level, and stores collected counts on the platform.

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

/// Counts one caller's request when it ends. If dropped before that, the request counts as
/// abandoned.
pub struct RequestTally<'a> {
    app: &'a App,
    /// Workspace that the request counts for, and the route's weight. `None` if it isn't counted or
    /// was counted already.
    charge: Option<(WorkspaceName, u32)>,
    deadline: MonoTime,
}

impl<'a> RequestTally<'a> {
    /// Creates the tally of a request on the route, or of the begin or end of a transaction if
    /// `route` is `None`. A request is not counted if its workspace can't be determined.
    pub fn new(app: &'a App, head: &RequestHead, route: Option<&str>) -> RequestTally<'a> {
        let charge = charge(&app.board().catalog, head, route);
        RequestTally { app, charge, deadline: head.deadline }
    }

    /// Awaits the request's result and counts it.
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

/// Workspace that a request counts for, and its weight. Opening and ending a transaction have
/// weight 0.
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
        // Don't check whether the key is still trusted while the data centre is cut off: a request
        // that is refused for that reason counts as a failure of the system.
        Some(key) => workspace_of_key(catalog, key).ok()?,
        None if route.is_some_and(|route| route.open) => catalog.workspace(PUBLIC_WORKSPACE)?,
        None => return None,
    };
    let name = catalog.workspaces[workspace].cfg.name.clone();
    Some((name, route.map_or(0, |route| route.weight)))
}

/// Stores the collected counts on the platform.
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
