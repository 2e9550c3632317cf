//! Carries out the effects of the rate limiter and the portion controller: calls to the platform,
//! messages to other VMs, and decisions for waiting requests.

use std::{sync::Arc, time::Duration};

use edge::peer::PeerInstance;
use model::prelude::*;
use proto::{
    peer::{PeerReply, PeerRequest},
    tokens::{TokenLoan, TokenLoanRequest, TokenReply, TokenRequest},
};
use quota::{
    events::{ObjectKind, PortionEffect, PortionEvent},
    objects::VmInstance,
    rate_limiter::{Admission, RateEffect},
    workspace_limiter::Ticket,
};
use tokio::sync::oneshot;

use crate::{app::App, counters::Counter, event::Event, quota_state::Decision};

/// How long a stopping VM waits until its portions are released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of probes, and of messages whose reply is not used.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests tokens for a request of this weight. If the request has to wait, the receiver yields
/// the decision.
pub fn admit(
    app: &App,
    workspace: &WorkspaceName,
    weight: u32,
) -> (Admission, oneshot::Receiver<Decision>) {
    let (sender, decision) = oneshot::channel();
    let mut effects = Vec::new();
    let mut rate_limiter = app.quota.rate_limiter();
    let admission = rate_limiter.admit(workspace, weight, app.now(), &mut effects);
    if let Admission::Waiting(ticket) = admission {
        // Register the request while the rate limiter is locked, so that no decision is missed.
        app.quota.waiting().insert(ticket, sender);
    }
    drop(rate_limiter);
    carry_out(app, effects);
    (admission, decision)
}

/// Removes a request that has stopped waiting.
pub fn cancel(app: &App, workspace: &WorkspaceName, ticket: Ticket) {
    app.quota.rate_limiter().cancel(workspace, ticket);
    app.quota.waiting().remove(&ticket);
}

/// Answers a token request of another VM.
pub fn handle_request(app: &App, req: &TokenRequest) -> TokenReply {
    app.quota.rate_limiter().handle_request(req, app.now())
}

/// Carries out effects of the rate limiter.
pub fn carry_out(app: &App, effects: Vec<RateEffect>) {
    for effect in effects {
        match effect {
            RateEffect::Grant(ticket) => deliver_decision(app, ticket, Ok(())),
            RateEffect::Refuse(ticket, wait) => deliver_decision(app, ticket, Err(wait)),
            RateEffect::Ask { to, ask, timeout } => spawn(app, async move |app| {
                ask_for_tokens(&app, &to, ask, timeout).await;
            }),
            RateEffect::Send { to, message } => spawn(app, async move |app| {
                // If the message is lost, its tokens stay unused until the loan would have expired.
                send(&app, &to, message, MESSAGE_TIMEOUT).await;
            }),
            RateEffect::Probe(to) => spawn(app, async move |app| {
                let sent_at = app.now();
                if send(&app, &to, TokenRequest::Probe, MESSAGE_TIMEOUT).await.is_some() {
                    app.quota.rate_limiter().record_contact(sent_at);
                }
            }),
            RateEffect::Wake(workspace, at) => spawn(app, async move |app| {
                tokio::time::sleep(app.time_until(at)).await;
                let mut effects = Vec::new();
                app.quota.rate_limiter().wake(&workspace, app.now(), &mut effects);
                carry_out(&app, effects);
            }),
        }
    }
}

/// Carries out an effect of the portion controller, and reports the result to it.
pub async fn call_platform(app: Arc<App>, effect: PortionEffect) {
    let sent_at = app.now();
    let event = match effect {
        PortionEffect::ReadObject(object) => {
            match app.platform.get(&object_name(&app, object)).await {
                Ok(read) => {
                    PortionEvent::ObjectRead { object, version: read.version, value: read.value }
                }
                Err(_) => PortionEvent::ReadFailed(object),
            }
        }
        PortionEffect::UpdateObject { object, expected, value } => {
            match app.platform.update(&object_name(&app, object), expected, value).await {
                Ok(updated) => PortionEvent::UpdateAnswered { object, updated },
                Err(_) => PortionEvent::UpdateFailed(object),
            }
        }
        PortionEffect::AllocationChanged => return,
    };
    app.counters.count(Counter::PlatformCalls);
    let failed = matches!(event, PortionEvent::ReadFailed(_) | PortionEvent::UpdateFailed(_));
    if !failed {
        app.quota.rate_limiter().record_contact(sent_at);
    }
    app.send_event(Event::Portions(event));
}

/// Releases the portions and connections that this VM owns, so that other VMs can use them at once.
/// Waits until that is done, or for `RELEASE_TIMEOUT`.
pub async fn release_portions(app: &App) {
    app.send_event(Event::Portions(PortionEvent::Drained));
    let deadline = tokio::time::Instant::now() + RELEASE_TIMEOUT;
    while app.board().quota.owns_anything && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(RELEASE_CHECK_INTERVAL).await;
    }
}

fn object_name(app: &App, object: ObjectKind) -> String {
    match object {
        ObjectKind::Dc => format!("dc/{}", app.settings.dc),
        ObjectKind::Shares => "shares".to_owned(),
    }
}

async fn ask_for_tokens(app: &App, to: &VmInstance, ask: TokenLoanRequest, timeout: DurationUs) {
    let (workspace, id) = (ask.workspace.clone(), ask.id);
    app.counters.count(Counter::TokenAsks);
    let timeout = Duration::from_micros(timeout.0);
    let reply = send(app, to, TokenRequest::Ask(ask), timeout).await;
    let loan: Option<TokenLoan> = match reply {
        Some(TokenReply::Loan(loan)) => Some(loan),
        _ => None,
    };
    let mut effects = Vec::new();
    app.quota.rate_limiter().handle_loan_reply(&workspace, id, loan, app.now(), &mut effects);
    carry_out(app, effects);
}

async fn send(
    app: &App,
    to: &VmInstance,
    req: TokenRequest,
    timeout: Duration,
) -> Option<TokenReply> {
    let board = app.board();
    let vm = board.fleet.vm(to.vm.as_str()).filter(|vm| vm.incarnation == to.incarnation)?;
    let instance = PeerInstance { vm: to.vm.clone(), incarnation: to.incarnation };
    let req = PeerRequest::Tokens(req);
    match app.peers.call(&instance, &vm.peer_address, &req, timeout).await {
        Ok(PeerReply::Tokens(reply)) => Some(reply),
        _ => None,
    }
}

fn deliver_decision(app: &App, ticket: Ticket, decision: Decision) {
    let waiting = app.quota.waiting().remove(&ticket);
    if let Some(waiting) = waiting {
        // If the request has stopped waiting, its tokens are lost.
        let _ = waiting.send(decision);
    }
}

fn spawn<F>(app: &App, f: impl FnOnce(Arc<App>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    if let Some(app) = app.weak_self.upgrade() {
        app.runtime.clone().spawn(f(app));
    }
}
