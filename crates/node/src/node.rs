//! Connects the engine to its sockets and timers: passes events to it and applies its effects.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::BytesMut;
use edge::client::Client;
use eyre::WrapErr;
use gateway::{
    CallerKey, Effect, Engine, LinkKey, PlatformRequest, PromotionIntent, UpstreamKey,
    catalog::Catalog,
    failover::PromotionOutcome,
    peers::MemberList,
    promotions::{EndOutcome, RecordedPromotion, TokenOutcome},
    replicas::ReplicaRoster,
};
use model::prelude::*;
use slog::{Logger, info, warn};
use slotmap::SecondaryMap;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{Semaphore, mpsc},
    task::spawn_local,
};

use crate::{
    clock,
    codec::Codec,
    connection::{self, Connection, ReadOutcome},
    datagram,
    links::{self, IncomingLink},
    ops,
    peers::{self, DATAGRAM_MAX_BYTES, Fetched, SharedSnapshot},
    snapshot::Snapshot,
};

/// Time after which a connection with unacknowledged bytes to an upstream is closed.
const UPSTREAM_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a link with unacknowledged bytes is closed.
const LINK_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a connection with unacknowledged bytes to a caller is closed.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next attempt after accepting a connection failed, usually for lack of free file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum interval between two log records about datagrams that could not be sent.
const LOSS_LOG_INTERVAL: DurationUs = DurationUs::from_ms(1_000);
/// File descriptors that callers can't use: those for listeners, upstreams, links, peers and the store.
const DESCRIPTORS_RESERVED: usize = 800;

/// Addresses and limits of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address for datagrams and HTTP requests of other VMs.
    pub peers: SocketAddr,
    /// Maximum number of open file descriptors of the process.
    pub descriptors_max: usize,
}

/// Requests of a node to the program that runs it.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make a call to the platform.
    CallPlatform(PlatformRequest),
    /// Apply the parts of a peer's snapshot that are newer than this VM's state.
    ApplySnapshot {
        /// Address of the peer.
        peer: SocketAddr,
        /// What it sent.
        snapshot: Snapshot,
    },
}

/// Fetches of peers' snapshots since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FetchCounts {
    pub(crate) completed: u64,
    pub(crate) failed: u64,
    /// Size of what was received by the completed ones.
    pub(crate) received_bytes: u64,
}

/// A running gateway engine with its sockets. Cheap to clone.
pub struct Node<C> {
    inner: Rc<Inner<C>>,
}

impl<C> Clone for Node<C> {
    fn clone(&self) -> Self {
        Node { inner: self.inner.clone() }
    }
}

struct Inner<C> {
    codec: C,
    log: Logger,
    engine: RefCell<Engine>,
    callers: RefCell<SecondaryMap<CallerKey, Rc<Connection>>>,
    upstreams: RefCell<SecondaryMap<UpstreamKey, Rc<Connection>>>,
    links: RefCell<SecondaryMap<LinkKey, Rc<Connection>>>,
    /// Name of this VM.
    vm: VmName,
    datagrams: UdpSocket,
    client: Client,
    snapshot: SharedSnapshot,
    commands: mpsc::UnboundedSender<Command>,
    /// Whether [`Node::apply_effects`] is running, so that a nested call returns at once.
    applying_effects: Cell<bool>,
    /// A semaphore without permits, closed once callers are no longer accepted.
    accepting: Semaphore,
    /// Fetches from peers since the start.
    fetches: Cell<FetchCounts>,
    /// Number of datagrams that could not be sent since the start.
    lost_datagrams: Cell<u64>,
    /// Time of the last log record about such a datagram.
    loss_logged_at: Cell<Option<MonoTime>>,
}

impl<C: Codec> Node<C> {
    /// Binds the listeners and starts serving on the current thread's `LocalSet`. The caller must
    /// carry out the commands from the returned channel.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(
        settings: &Settings,
        codec: C,
        engine: Engine,
        client: Client,
        log: Logger,
    ) -> eyre::Result<(Node<C>, mpsc::UnboundedReceiver<Command>)> {
        let (commands, received) = mpsc::unbounded_channel();
        let bind = |what: &str, address| format!("{what} address {address} can't be bound");
        let datagrams =
            UdpSocket::bind(settings.peers).await.wrap_err_with(|| bind("peer", settings.peers))?;
        let internal = TcpListener::bind(settings.peers)
            .await
            .wrap_err_with(|| bind("peer", settings.peers))?;
        let callers = TcpListener::bind(settings.callers)
            .await
            .wrap_err_with(|| bind("caller", settings.callers))?;
        let snapshot: SharedSnapshot = SharedSnapshot::default();
        let (accepted, incoming_links) = mpsc::unbounded_channel();
        tokio::spawn(ops::serve_forever(internal, peers::routes(snapshot.clone(), accepted)));
        let node = Node {
            inner: Rc::new(Inner {
                codec,
                log,
                callers: RefCell::default(),
                upstreams: RefCell::default(),
                links: RefCell::default(),
                vm: engine.vm().clone(),
                engine: RefCell::new(engine),
                datagrams,
                client,
                snapshot,
                commands,
                applying_effects: Cell::new(false),
                accepting: Semaphore::new(0),
                fetches: Cell::default(),
                lost_datagrams: Cell::new(0),
                loss_logged_at: Cell::new(None),
            }),
        };
        let callers_max = settings.descriptors_max.saturating_sub(DESCRIPTORS_RESERVED).max(64);
        spawn_local(node.clone().accept(callers, callers_max));
        spawn_local(node.clone().accept_links(incoming_links));
        spawn_local(node.clone().receive_datagrams());
        spawn_local(node.clone().run_ticks());
        Ok((node, received))
    }

    /// Calls `look` with the engine.
    pub fn with_engine<T>(&self, look: impl FnOnce(&Engine) -> T) -> T {
        look(&self.inner.engine.borrow())
    }

    /// Replaces the configuration, unless `catalog` is older; see [`Engine::set_catalog`].
    pub fn set_catalog(&self, catalog: Arc<Catalog>) {
        self.drive(|engine, now| engine.set_catalog(now, catalog));
    }

    /// Replaces the list of databases; see [`Engine::set_databases`].
    pub fn set_databases(&self, version: u64, databases: Vec<gateway::catalog::Database>) {
        self.drive(|engine, now| engine.set_databases(now, version, databases));
    }

    /// Replaces the list of VMs; see [`Engine::set_members`].
    pub fn set_members(&self, list: &MemberList) {
        self.drive(|engine, now| engine.set_members(now, list));
    }

    /// Replaces the list of evacuations; see [`Engine::set_evacuations`].
    pub fn set_evacuations(&self, version: u64, dcs: Vec<DcName>) {
        self.drive(|engine, now| engine.set_evacuations(now, version, dcs));
    }

    /// Records whether a call to the store was answered.
    pub fn note_store_result(&self, answered: bool) {
        self.drive(|engine, now| engine.note_store_result(now, answered));
    }

    /// Records that the list of VMs contains this VM from `version` on.
    pub fn registered(&self, version: u64) {
        self.drive(|engine, now| engine.registered(now, version));
    }

    /// Returns the snapshot that peers fetch from this VM.
    pub fn snapshot(&self) -> Snapshot {
        peers::lock(&self.inner.snapshot).current().clone()
    }

    /// Changes the snapshot that peers fetch from this VM.
    pub fn update_snapshot(&self, change: impl FnOnce(&mut Snapshot)) {
        peers::lock(&self.inner.snapshot).change(change);
    }

    /// Sets the promotions that were requested before this process started; see
    /// [`Engine::set_intents`].
    pub fn set_intents(&self, recorded: &[(ServiceName, RecordedPromotion)]) {
        self.drive(|engine, now| engine.set_intents(now, recorded));
    }

    /// Takes the recorded promotions that were read for a failover.
    pub fn token_read(&self, recorded: &[(ServiceName, RecordedPromotion)]) {
        self.drive(|engine, now| engine.token_read(now, recorded));
    }

    /// Handles the outcome of raising the fencing token for `intent`. `sent` is when the update was sent.
    pub fn token_raised(
        &self,
        attempt: u64,
        intent: &PromotionIntent,
        outcome: TokenOutcome,
        sent: MonoTime,
    ) {
        self.drive(|engine, now| engine.token_raised(now, attempt, intent, outcome, sent));
    }

    /// Takes the rosters in the store.
    pub fn set_rosters(&self, rosters: &FxHashMap<ServiceName, ReplicaRoster>) {
        self.drive(|engine, now| engine.set_rosters(now, rosters));
    }

    /// Handles the outcome of recording that a term of a service was given up.
    pub fn promotion_ended(
        &self,
        attempt: u64,
        service: &ServiceName,
        term: Term,
        outcome: EndOutcome,
    ) {
        self.drive(|engine, now| engine.promotion_ended(now, attempt, service, term, outcome));
    }

    /// Handles the outcome of a promotion request to the platform.
    pub fn promotion_answered(&self, attempt: u64, outcome: PromotionOutcome) {
        self.drive(|engine, now| engine.promotion_answered(now, attempt, outcome));
    }

    /// Stops the node and returns once nothing is outstanding, or when [`STOP_PERCENT`] of `grace`, the time from
    /// SIGTERM to SIGKILL, have passed. Callers are still accepted until load balancers have noticed that this VM is
    /// not ready.
    pub async fn stop(&self, grace: Duration) {
        self.drive(|engine, now| engine.stop(now));
        let began = tokio::time::Instant::now();
        let accept_for = ACCEPT_AFTER_STOP.min(grace / 2);
        let end = grace * STOP_PERCENT / 100;
        let mut ends_work = false;
        while began.elapsed() < end {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
            if !ends_work && began.elapsed() >= grace / 2 {
                ends_work = true;
                let left = DurationUs(end.saturating_sub(began.elapsed()).as_micros() as u64);
                self.drive(|engine, now| engine.end_work(now, now + left));
            }
            if began.elapsed() >= accept_for {
                self.inner.accepting.close();
                self.drive(Engine::close_sessions_after_answers);
                if self.with_engine(Engine::is_stopped) {
                    break;
                }
            }
        }
        self.drive(Engine::answer_outstanding);
        info!(self.inner.log, "no longer serving"; "took_ms" => began.elapsed().as_millis() as u64,
            "sessions_cut" => self.with_engine(|engine| engine.load().0));
        // Leaves time to send the last replies before the process exits.
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }

    /// Passes an event to the engine and applies the resulting effects.
    fn drive(&self, event: impl FnOnce(&mut Engine, MonoTime)) {
        event(&mut self.inner.engine.borrow_mut(), clock::now());
        self.apply_effects();
    }

    /// Applies the engine's effects until there are none left. A nested call leaves its effects to
    /// the outer call.
    fn apply_effects(&self) {
        if self.inner.applying_effects.replace(true) {
            return;
        }
        let mut touched = Vec::new();
        loop {
            let effects = self.inner.engine.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                touched.extend(self.apply_effect(effect));
            }
        }
        self.inner.applying_effects.set(false);
        // Flushes each connection once for all its messages.
        touched.sort_by_key(Rc::as_ptr);
        touched.dedup_by_key(|conn| Rc::as_ptr(conn));
        for conn in touched {
            conn.flush();
        }
    }

    /// Applies an effect. Returns the connection to flush, if the effect wrote to one.
    fn apply_effect(&self, effect: Effect) -> Option<Rc<Connection>> {
        let inner = &self.inner;
        match effect {
            Effect::ToCaller(key, reply) => {
                let conn = inner.callers.borrow().get(key)?.clone();
                conn.write(|out| inner.codec.encode_reply(&reply, out));
                return Some(conn);
            }
            Effect::CloseCaller(key) => {
                let conn = inner.callers.borrow_mut().remove(key)?;
                conn.close_after_flush();
                return Some(conn);
            }
            Effect::Connect(key, address) => {
                let conn = Connection::new(None);
                inner.upstreams.borrow_mut().insert(key, conn.clone());
                spawn_local(self.clone().run_upstream(key, conn, address));
            }
            Effect::ToUpstream(key, request) => {
                let conn = inner.upstreams.borrow().get(key)?.clone();
                conn.write(|out| inner.codec.encode_request(&request, out));
                return Some(conn);
            }
            Effect::CloseUpstream(key) => {
                inner.upstreams.borrow_mut().remove(key)?.close_now();
            }
            Effect::OpenLink(key, address) => {
                let conn = Connection::new(None);
                inner.links.borrow_mut().insert(key, conn.clone());
                spawn_local(self.clone().run_link(key, conn, address));
            }
            Effect::ToLink(key, message) => {
                let conn = inner.links.borrow().get(key)?.clone();
                conn.write(|out| {
                    if let Err(e) = links::encode(&message, out) {
                        warn!(inner.log, "message on a link not encoded"; "error" => e);
                    }
                });
                return Some(conn);
            }
            Effect::CloseLink(key) => {
                inner.links.borrow_mut().remove(key)?.close_now();
            }
            Effect::ToPeer(address, message) => self.send_datagram(address, &message),
            Effect::FetchFromPeer(address) => {
                spawn_local(self.clone().fetch(address));
            }
            Effect::CallPlatform(request) => self.command(Command::CallPlatform(request)),
        }
        None
    }

    fn command(&self, command: Command) {
        if self.inner.commands.send(command).is_err() {
            warn!(self.inner.log, "command dropped: the program is stopping");
        }
    }

    fn send_datagram(&self, address: SocketAddr, message: &gateway::peers::PeerMessage) {
        let inner = &self.inner;
        let error = match datagram::encode(message) {
            Ok(datagram) => inner.datagrams.try_send_to(&datagram, address).err(),
            Err(e) => Some(io::Error::other(e)),
        };
        let Some(error) = error else { return };
        // A lost message is not sent again, because the engine repeats its messages. Waiting for a
        // full socket buffer would delay everything else.
        let lost = inner.lost_datagrams.get() + 1;
        inner.lost_datagrams.set(lost);
        let now = clock::now();
        if inner.loss_logged_at.get().is_none_or(|at| now.since(at) >= LOSS_LOG_INTERVAL) {
            inner.loss_logged_at.set(Some(now));
            warn!(inner.log, "message to a peer not sent"; "peer" => %address, "error" => %error,
                "lost_so_far" => lost);
        }
    }

    /// Returns the numbers of fetches from peers since the start.
    pub(crate) fn fetches(&self) -> FetchCounts {
        self.inner.fetches.get()
    }

    /// Returns the number of datagrams to peers that could not be sent since the start.
    pub(crate) fn lost_datagrams(&self) -> u64 {
        self.inner.lost_datagrams.get()
    }

    /// Fetches the newer parts of a peer's snapshot and passes them to the program.
    async fn fetch(self, peer: SocketAddr) {
        let Inner { client, snapshot, log, .. } = &*self.inner;
        let began = clock::now();
        let fetched = peers::fetch_snapshot(client, peer, snapshot, log).await;
        let took_ms = clock::now().since(began).as_ms();
        let mut counts = self.inner.fetches.get();
        match fetched {
            Ok(Fetched { snapshot, received_bytes }) => {
                info!(log, "state fetched"; "peer" => %peer, "bytes" => received_bytes,
                    "took_ms" => took_ms);
                counts.completed += 1;
                counts.received_bytes += received_bytes as u64;
                self.command(Command::ApplySnapshot { peer, snapshot });
            }
            Err(e) => {
                info!(log, "state not fetched"; "peer" => %peer, "error" => %e,
                    "took_ms" => took_ms);
                counts.failed += 1;
            }
        }
        self.inner.fetches.set(counts);
        self.drive(Engine::fetch_ended);
    }

    /// Accepts callers until [`Node::stop`] closes the semaphore.
    async fn accept(self, listener: TcpListener, callers_max: usize) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // The semaphore has no permits, so this returns only once it is closed.
                _ = self.inner.accepting.acquire() => return
            };
            let full = self.inner.callers.borrow().len() >= callers_max;
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if full || connection::configure_socket(&stream, CALLER_USER_TIMEOUT).is_err() {
                info!(self.inner.log, "caller refused"; "full" => full);
                continue;
            }
            spawn_local(self.clone().run_caller(stream));
        }
    }

    async fn run_caller(self, stream: TcpStream) {
        let stream = Rc::new(stream);
        let conn = Connection::new(Some(stream.clone()));
        let key = self.inner.engine.borrow_mut().caller_opened(clock::now());
        self.inner.callers.borrow_mut().insert(key, conn.clone());
        conn.run(stream, |buf| self.on_caller_data(key, buf)).await;
        self.inner.callers.borrow_mut().remove(key);
        self.drive(|engine, now| engine.caller_closed(now, key));
    }

    fn on_caller_data(&self, key: CallerKey, buf: &mut BytesMut) -> ReadOutcome {
        let messages: Vec<_> = std::iter::from_fn(|| self.inner.codec.decode_caller(buf)).collect();
        if !messages.is_empty() {
            self.drive(|engine, now| engine.caller_messages(now, key, messages));
        }
        ReadOutcome::Continue
    }

    async fn run_upstream(self, key: UpstreamKey, conn: Rc<Connection>, address: SocketAddr) {
        let opened = async {
            let stream = conn.connect(address).await?;
            connection::configure_socket(&stream, UPSTREAM_USER_TIMEOUT)?;
            Ok::<_, io::Error>(stream)
        };
        match opened.await {
            Ok(stream) => conn.run(stream, |buf| self.on_upstream_data(key, buf)).await,
            Err(e) => {
                info!(self.inner.log, "upstream not reached"; "address" => %address, "error" => %e);
            }
        }
        self.inner.upstreams.borrow_mut().remove(key);
        self.drive(|engine, now| engine.upstream_closed(now, key));
    }

    fn on_upstream_data(&self, key: UpstreamKey, buf: &mut BytesMut) -> ReadOutcome {
        loop {
            match self.inner.codec.decode_reply(buf) {
                Ok(Some(reply)) => {
                    self.drive(|engine, now| engine.upstream_reply(now, key, reply));
                }
                Ok(None) => return ReadOutcome::Continue,
                Err(_) => {
                    warn!(self.inner.log, "invalid message from an upstream");
                    return ReadOutcome::Close;
                }
            }
        }
    }

    /// Runs links that peers open, until the node is dropped.
    async fn accept_links(self, mut incoming: mpsc::UnboundedReceiver<IncomingLink>) {
        while let Some(IncomingLink { parameters, stream }) = incoming.recv().await {
            let Ok(from) = stream.peer_ip() else { continue };
            let accepted =
                self.inner.engine.borrow_mut().link_accepted(clock::now(), &parameters, from);
            let Some(key) = accepted else {
                info!(self.inner.log, "link refused: not a member"; "vm" => %parameters.vm,
                    "from" => %from);
                continue;
            };
            let conn = Connection::new(None);
            self.inner.links.borrow_mut().insert(key, conn.clone());
            self.apply_effects();
            let node = self.clone();
            spawn_local(async move {
                if let Err(e) = connection::configure_socket(&stream.stream, LINK_USER_TIMEOUT) {
                    info!(node.inner.log, "socket of a link not configured"; "error" => %e);
                }
                let tcp = conn.attach(stream.stream);
                let early = BytesMut::from(stream.early);
                conn.run_after(early, tcp, |buf| node.on_link_data(key, buf)).await;
                node.end_link(key);
            });
        }
    }

    async fn run_link(self, key: LinkKey, conn: Rc<Connection>, address: SocketAddr) {
        let opened = async {
            let stream = conn.unless_closed(links::connect(address, &self.inner.vm)).await?;
            connection::configure_socket(&stream.stream, LINK_USER_TIMEOUT)?;
            Ok::<_, io::Error>(stream)
        };
        match opened.await {
            Ok(stream) => {
                let tcp = conn.attach(stream.stream);
                self.drive(|engine, now| engine.link_opened(now, key));
                let early = BytesMut::from(stream.early);
                conn.run_after(early, tcp, |buf| self.on_link_data(key, buf)).await;
            }
            Err(e) => {
                info!(self.inner.log, "link not opened"; "address" => %address, "error" => %e)
            }
        }
        self.end_link(key);
    }

    fn on_link_data(&self, key: LinkKey, buf: &mut BytesMut) -> ReadOutcome {
        loop {
            match links::decode(buf) {
                Ok(Some(message)) => {
                    self.drive(|engine, now| engine.link_message(now, key, message));
                }
                Ok(None) => return ReadOutcome::Continue,
                Err(e) => {
                    warn!(self.inner.log, "invalid message on a link"; "error" => e);
                    return ReadOutcome::Close;
                }
            }
        }
    }

    fn end_link(&self, key: LinkKey) {
        self.inner.links.borrow_mut().remove(key);
        self.drive(|engine, now| engine.link_closed(now, key));
    }

    async fn receive_datagrams(self) {
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let received = self.inner.datagrams.recv_from(&mut buf).await;
            let Ok((len, from)) = received else { continue };
            match datagram::decode(&buf[..len]) {
                Ok(message) => self.drive(|engine, now| engine.peer_message(now, from, message)),
                Err(e) => {
                    info!(self.inner.log, "invalid datagram"; "from" => %from, "error" => %e);
                }
            }
        }
    }

    async fn run_ticks(self) {
        loop {
            self.drive(Engine::tick);
            let pause = self.with_engine(|engine| engine.next_tick(clock::now()));
            tokio::time::sleep(Duration::from_micros(pause.0)).await;
        }
    }
}

/// Time for which callers are still accepted after a stop: load balancers check readiness once a
/// second and react to the second failure.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Percentage of the time from SIGTERM to SIGKILL after which a stop ends with what is outstanding; the rest is for
/// leaving the list of VMs.
const STOP_PERCENT: u32 = 91;
/// Interval at which [`Node::stop`] checks whether the engine has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
