//! Starts a daemon's listeners and tasks, and stops them in order.

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
    counters::{Counters, Reporter},
    drain, effects,
    event::Event,
    fleet_io, logging,
    open_transactions::OpenTransactions,
    ops, peer,
    pools::Pools,
    quota_state::QuotaState,
    report_io,
    rounds::Verifier,
    settings::Settings,
    stop::Stop,
    transactions, verifier, watch as platform_watch,
};

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a daemon until it is told to stop.
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
    let (verifier, claims) = Verifier::new();
    let app = new_app(settings, &peer_address.to_string(), events_tx, verifier, log);

    let control = Control::new(app.clone(), effects_tx);
    thread::Builder::new().name("control".to_owned()).spawn(move || control.run(&events_rx))?;
    tokio::spawn(effects::run(app.clone(), effects_rx));
    tokio::spawn(platform_watch::configuration(app.clone()));
    tokio::spawn(platform_watch::vms(app.clone()));
    tokio::spawn(platform_watch::dc_object(app.clone()));
    tokio::spawn(fleet_io::introduce(app.clone()));
    tokio::spawn(keep_house(app.clone()));
    tokio::spawn(report_io::run(app.clone()));
    tokio::spawn(transactions::keep_sweeping(app.clone()));
    tokio::spawn(verifier::run(app.clone(), claims));

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
    verifier: Verifier,
    log: slog::Logger,
) -> Arc<App> {
    let client = Client::new(settings.vm.as_str());
    let receiver = PeerInstance { vm: settings.vm.clone(), incarnation: settings.incarnation };
    let identity = VmIdentity {
        vm: settings.vm.clone(),
        incarnation: settings.incarnation,
        dc: settings.dc.clone(),
        peer_address: peer_address.to_owned(),
    };
    let owner = VmInstance { vm: settings.vm.clone(), incarnation: settings.incarnation };
    let clock = Clock::new();
    Arc::new_cyclic(|me| App {
        me: me.clone(),
        runtime: tokio::runtime::Handle::current(),
        clock,
        board: ArcSwap::from_pointee(Board::new(identity)),
        quota: QuotaState::new(owner),
        retries: Default::default(),
        verifier,
        transactions: OpenTransactions::new(settings.transaction_limits),
        pools: Pools::new(&settings.vm, clock),
        outgoing: ArcSwap::from_pointee(ConfigurationHistory::empty()),
        watching: watch::Sender::new(false),
        replay: Mutex::default(),
        peers: PeerClient::new(client.clone(), settings.fleet_secret.clone(), receiver),
        platform: PlatformClient::new(client.clone(), settings.platform.to_string()),
        admin: client,
        events,
        accounts: Default::default(),
        status_desk: Default::default(),
        counters: Counters::default(),
        log,
        settings,
    })
}

async fn bind(setting: &str, address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let problem = || format!("{setting} {address} can't be used: choose a free port of this VM");
    TcpListener::bind(address).await.wrap_err_with(problem)
}

async fn keep_house(app: Arc<App>) {
    let mut reporter = app.settings.statsd.and_then(|address| Reporter::new(address).ok());
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
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
        _ = drain::asked_for(app) => {}
    }
    Ok(())
}
