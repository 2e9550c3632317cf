//! Starts the listeners and background tasks of the daemon, and stops them in order.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use arc_swap::ArcSwap;
use board::{Board, VmIdentity};
use edge::{
    client::Client,
    peer::{PeerClient, PeerInstance},
    platform::PlatformClient,
    server::{Limits, serve},
};
use eyre::WrapErr;
use fleet::transfer::ConfigurationHistory;
use quota::objects::VmInstance;
use serde_json::json;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
};

use crate::{
    app::App,
    caller,
    clock::Clock,
    control::Control,
    counters::{Counters, StatsdReporter},
    drain, effects,
    event::Event,
    fleet_io, logging,
    open_transactions::OpenTransactions,
    ops, peer, platform_watch,
    pools::Pools,
    quota_state::QuotaState,
    report_io,
    rounds::VerificationRounds,
    settings::Settings,
    stop::Stop,
    transactions, verifier,
};

const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the daemon until a signal or the configuration stops it. Prints the listeners' addresses to
/// standard output as a JSON object once they are open.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let log = logging::logger(&settings);
    let callers = bind("--listen", settings.listen).await?;
    let peers = bind("--peer-listen", settings.peer_listen).await?;
    let operators = bind("--ops-listen", settings.ops_listen).await?;
    let peer_address = settings.peer_address.unwrap_or(peers.local_addr()?);
    let addresses = json!({
        "listen": callers.local_addr()?, "peer": peer_address,
        "peer_listen": peers.local_addr()?, "ops": operators.local_addr()?,
    });
    let (events_tx, events_rx) = crossbeam_channel::unbounded();
    let (effects_tx, effects_rx) = mpsc::unbounded_channel();
    let (verification_rounds, round_starts) = VerificationRounds::new();
    let app = new_app(settings, &peer_address.to_string(), events_tx, verification_rounds, log);

    let control = Control::new(app.clone(), effects_tx);
    thread::Builder::new().name("control".to_owned()).spawn(move || control.run(&events_rx))?;
    tokio::spawn(effects::run(app.clone(), effects_rx));
    tokio::spawn(platform_watch::configuration(app.clone()));
    tokio::spawn(platform_watch::vms(app.clone()));
    tokio::spawn(platform_watch::dc_object(app.clone()));
    tokio::spawn(fleet_io::introduce(app.clone()));
    tokio::spawn(run_maintenance(app.clone()));
    tokio::spawn(report_io::run(app.clone()));
    tokio::spawn(transactions::run_sweeps(app.clone()));
    tokio::spawn(verifier::run(app.clone(), round_starts));

    let stop = Stop::new(app.clone());
    let ops_app = ops::router(ops::Ops::new(app.clone(), stop.ready()));
    tokio::spawn(serve(operators, ops_app, Limits::INTERNAL, ops::NOT_HTTP, stop.never()));
    let peer_app = peer::router(app.clone());
    let peer_server =
        tokio::spawn(serve(peers, peer_app, Limits::INTERNAL, peer::NOT_HTTP, stop.peers()));
    let limits = caller::limits(app.settings.max_connections);
    let caller_app = stop.closing_connections(caller::router(app.clone()));
    let caller_server =
        tokio::spawn(serve(callers, caller_app, limits, caller::NOT_HTTP, stop.callers()));

    println!("{addresses}");
    slog::info!(app.log, "started"; "addresses" => addresses.to_string());
    wait_for_stop(&app).await?;
    stop.run(caller_server, peer_server).await;
    Ok(())
}

fn new_app(
    settings: Settings,
    peer_address: &str,
    events: crossbeam_channel::Sender<Event>,
    verification_rounds: VerificationRounds,
    log: slog::Logger,
) -> Arc<App> {
    let client = Client::new(settings.vm.as_str());
    let peer_instance = PeerInstance { vm: settings.vm.clone(), incarnation: settings.incarnation };
    let identity = VmIdentity {
        vm: settings.vm.clone(),
        incarnation: settings.incarnation,
        dc: settings.dc.clone(),
        peer_address: peer_address.to_owned(),
    };
    let instance = VmInstance { vm: settings.vm.clone(), incarnation: settings.incarnation };
    let clock = Clock::new();
    Arc::new_cyclic(|weak_self| App {
        weak_self: weak_self.clone(),
        runtime: tokio::runtime::Handle::current(),
        clock,
        board: ArcSwap::from_pointee(Board::new(identity)),
        quota: QuotaState::new(instance),
        retry_budget: Default::default(),
        verification_rounds,
        transactions: OpenTransactions::new(settings.transaction_limits),
        pools: Pools::new(&settings.vm, clock),
        configuration_history: ArcSwap::from_pointee(ConfigurationHistory::empty()),
        watching: watch::Sender::new(false),
        replay_guard: Mutex::default(),
        peers: PeerClient::new(client.clone(), settings.fleet_secret.clone(), peer_instance),
        platform: PlatformClient::new(client.clone(), settings.platform.to_string()),
        admin_client: client,
        events,
        tallies: Default::default(),
        status_reports: Default::default(),
        counters: Counters::default(),
        log,
        settings,
    })
}

async fn bind(setting: &str, address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let problem = || format!("{setting} {address} can't be used: choose a free port of this VM");
    TcpListener::bind(address).await.wrap_err_with(problem)
}

async fn run_maintenance(app: Arc<App>) {
    let mut reporter = app.settings.statsd.and_then(|address| StatsdReporter::new(address).ok());
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        app.pools.close_idle();
        if let Some(reporter) = &mut reporter {
            reporter.report(&app.counters);
        }
    }
}

async fn wait_for_stop(app: &App) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = drain::requested(app) => {}
    }
    Ok(())
}
