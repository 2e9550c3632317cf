//! A planned stop, in the order in which no request is cut.
//!
//! Readiness goes first, and the other VMs hear that this one leaves. For the time of the notice
//! everything is served as before, but each answer closes its connection, so that the balancer and the
//! other VMs have sent their last request when the listeners close. What is open then is finished, and
//! only then are the portions given up.

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

/// The signals of a planned stop.
pub struct Stop {
    app: Arc<App>,
    ready: Arc<AtomicBool>,
    callers: watch::Sender<bool>,
    peers: watch::Sender<bool>,
    never: watch::Sender<bool>,
}

impl Stop {
    /// A stop that has not begun.
    pub fn new(app: Arc<App>) -> Stop {
        Stop {
            app,
            ready: Arc::new(AtomicBool::new(true)),
            callers: watch::Sender::new(false),
            peers: watch::Sender::new(false),
            never: watch::Sender::new(false),
        }
    }

    /// True until the stop begins.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    /// Turns true when the callers' listener is to close.
    pub fn callers(&self) -> watch::Receiver<bool> {
        self.callers.subscribe()
    }

    /// Turns true when the peers' listener is to close.
    pub fn peers(&self) -> watch::Receiver<bool> {
        self.peers.subscribe()
    }

    /// For a listener that serves until the process ends.
    pub fn never(&self) -> watch::Receiver<bool> {
        self.never.subscribe()
    }

    /// The same listener, whose answers close their connections once the stop has begun.
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

    /// Stops, and returns when all open work is finished or its time is over.
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
        // What is not given up in time is taken back once the VM is off the list.
        quota_io::release_portions(&self.app).await;
        report_io::report_final(&self.app).await;
        slog::info!(self.app.log, "stopped"; "finished" => finished);
    }
}
