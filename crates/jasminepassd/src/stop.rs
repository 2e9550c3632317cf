//! A planned stop, in an order that interrupts no request:
//!
//! 1. The readiness check fails, and the other VMs are told that this one is leaving.
//! 2. For the notice time all requests are served, but each response closes its connection, so that
//!    balancers and other VMs have sent their last request by the end of it.
//! 3. Open transactions end, then the listeners close and finish the requests in progress.
//! 4. This VM's portions of the rates are released, and the last report is sent.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use axum::{
    Router,
    extract::Request,
    http::{HeaderValue, header},
    middleware::{self, Next},
};
use fleet::distribution::FleetEvent;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{app::App, event::Event, quota_io, report_io, transactions};

/// Carries out a planned stop, and signals its progress to the listeners.
pub struct Stop {
    app: Arc<App>,
    ready: Arc<AtomicBool>,
    callers: watch::Sender<bool>,
    peers: watch::Sender<bool>,
    never: watch::Sender<bool>,
}

impl Stop {
    /// Creates a stop that has not begun.
    pub fn new(app: Arc<App>) -> Stop {
        Stop {
            app,
            ready: Arc::new(AtomicBool::new(true)),
            callers: watch::Sender::new(false),
            peers: watch::Sender::new(false),
            never: watch::Sender::new(false),
        }
    }

    /// Flag that is true until the stop begins.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    /// Signal that becomes true when the callers' listener must close.
    pub fn callers(&self) -> watch::Receiver<bool> {
        self.callers.subscribe()
    }

    /// Signal that becomes true when the peers' listener must close.
    pub fn peers(&self) -> watch::Receiver<bool> {
        self.peers.subscribe()
    }

    /// Signal that never becomes true, for a listener that serves until the process exits.
    pub fn never(&self) -> watch::Receiver<bool> {
        self.never.subscribe()
    }

    /// Wraps a router so that its responses close their connections once the stop has begun.
    pub fn closing_connections(&self, router: Router) -> Router {
        let ready = self.ready.clone();
        router.layer(middleware::from_fn(move |req: Request, next: Next| {
            let ready = ready.clone();
            async move {
                let mut response = next.run(req).await;
                if !ready.load(Ordering::Relaxed) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response
            }
        }))
    }

    /// Carries out the stop. Requests and transactions that are still open when the time of the
    /// setting `drain_limit` has passed are aborted.
    pub async fn run(self, caller_server: JoinHandle<()>, peer_server: JoinHandle<()>) {
        slog::info!(self.app.log, "stopping");
        self.ready.store(false, Ordering::Relaxed);
        self.app.send_event(Event::Fleet(FleetEvent::Leaving));
        sleep(self.app.settings.stop_notice).await;
        let drained = async {
            transactions::wait_until_none(&self.app).await;
            self.callers.send_replace(true);
            let _ = caller_server.await;
            self.peers.send_replace(true);
            let _ = peer_server.await;
        };
        let finished = timeout(self.app.settings.drain_limit, drained).await.is_ok();
        self.app.send_event(Event::Fleet(FleetEvent::Stopping));
        // Portions that are not released in time are reclaimed once the VM is off the platform's
        // list.
        quota_io::release_portions(&self.app).await;
        report_io::report_final(&self.app).await;
        slog::info!(self.app.log, "stopped"; "finished" => finished);
    }
}
