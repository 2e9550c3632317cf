//! Connections to upstreams: this VM's share of each database's, opened on demand.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use edge::{client::SendError, connection::Connection};
use model::prelude::*;
use pool::{
    queue::Ticket,
    scheduler::{AcquireError, Acquired, ConnectionScheduler, Released},
};
use tokio::sync::oneshot;

use crate::{clock::Clock, lock::lock};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_TIME: Duration = Duration::from_millis(50);
const IDLE_LIMIT: Duration = Duration::from_secs(30);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// What a waiting request is given: a connection, or the right to open one.
type Handed = Option<Connection>;

#[derive(Default)]
struct Inner {
    share: ConnectionScheduler,
    idle: Vec<Idle>,
    waiting: FxHashMap<Ticket, oneshot::Sender<Handed>>,
}

/// The connections of this VM to one database.
pub struct Pool {
    address: String,
    sender: String,
    clock: Clock,
    inner: Mutex<Inner>,
}

/// Why no connection was had. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeError {
    /// The database can't be reached.
    Unreachable(SendError),
    /// This VM gives none.
    Refused(AcquireError),
    /// None came free before the deadline.
    Timeout,
}

/// A place among the connections in use; freed when dropped.
struct Place {
    pool: Arc<Pool>,
    workspace: WorkspaceName,
    taken_at: MonoTime,
    freed: bool,
}

/// A connection taken from a pool; put back by [`Lease::give_back`], closed when dropped.
pub struct Lease {
    /// The connection.
    pub connection: Connection,
    /// Whether it was opened for this lease.
    pub opened: bool,
    place: Place,
}

/// A request that waits; leaves the queue when dropped.
struct Waiting {
    pool: Arc<Pool>,
    workspace: WorkspaceName,
    ticket: Ticket,
    handed: oneshot::Receiver<Handed>,
}

impl Pool {
    fn new(address: String, sender: String, clock: Clock, limit: u32) -> Pool {
        let pool = Pool { address, sender, clock, inner: Mutex::default() };
        pool.set_limit(limit);
        pool
    }

    async fn take(
        self: &Arc<Pool>,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<Lease, TakeError> {
        let connection = match self.ask(workspace, quantum, deadline)? {
            Ok(connection) => connection,
            Err(mut waiting) => {
                let left = Duration::from_micros(deadline.since(self.clock.now()).0);
                let handed = tokio::time::timeout(left, &mut waiting.handed).await;
                handed.ok().and_then(Result::ok).ok_or(TakeError::Timeout)?
            }
        };
        let place = Place {
            pool: self.clone(),
            workspace: workspace.clone(),
            taken_at: self.clock.now(),
            freed: false,
        };
        let opened = connection.is_none();
        let connection = match connection {
            Some(connection) => connection,
            None => Connection::open(&self.address, &self.sender, CONNECT_TIMEOUT)
                .await
                .map_err(TakeError::Unreachable)?,
        };
        Ok(Lease { connection, opened, place })
    }

    fn ask(
        self: &Arc<Pool>,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<Result<Handed, Waiting>, TakeError> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.drop_broken();
        let taken = inner.share.acquire(workspace, quantum, deadline, now);
        match taken.map_err(TakeError::Refused)? {
            Acquired::New => Ok(Ok(None)),
            Acquired::Idle => Ok(Ok(inner.idle.pop().map(|idle| idle.connection))),
            Acquired::Queued(ticket) => {
                let (sender, handed) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                let workspace = workspace.clone();
                Ok(Err(Waiting { pool: self.clone(), workspace, ticket, handed }))
            }
        }
    }

    fn give_back(&self, connection: Connection, workspace: &WorkspaceName, taken_at: MonoTime) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !connection.is_open() {
            inner.close_used(workspace, now);
            return;
        }
        match inner.share.release(workspace, now.since(taken_at), now) {
            Released::Handed(ticket, next) => inner.hand(ticket, &next, Some(connection), now),
            Released::Idle => inner.idle.push(Idle { connection, since: Instant::now() }),
            Released::Close => {}
        }
    }

    /// Sets how many connections there may be, and returns how many there are.
    fn set_limit(&self, limit: u32) -> u32 {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.share.set_limit(limit);
        let surplus = inner.share.surplus_idle();
        inner.close_oldest(surplus as usize);
        while let Some((ticket, workspace)) = inner.share.next_to_open(now) {
            inner.hand(ticket, &workspace, None, now);
        }
        inner.share.open_count()
    }

    /// Closes connections that nobody has used for a while, but for the one used last.
    fn close_idle(&self) {
        let mut inner = self.lock();
        let newest = inner.idle.len().saturating_sub(1);
        let old = inner.idle[..newest].iter().filter(|idle| idle.since.elapsed() >= IDLE_LIMIT);
        let count = old.count();
        inner.close_oldest(count);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Gives a place in use, with its connection or without, to a waiting request.
    fn hand(
        &mut self,
        ticket: Ticket,
        workspace: &WorkspaceName,
        connection: Handed,
        now: MonoTime,
    ) {
        let sender = self.waiting.remove(&ticket);
        let handed = sender.is_some_and(|sender| sender.send(connection).is_ok());
        if !handed {
            // It has just given up: the next one gets the place.
            self.close_used(workspace, now);
        }
    }

    fn close_used(&mut self, workspace: &WorkspaceName, now: MonoTime) {
        if let Some((ticket, next)) = self.share.release_closed(workspace, now) {
            self.hand(ticket, &next, None, now);
        }
    }

    fn close_oldest(&mut self, count: usize) {
        let closed = self.idle.drain(..count).count();
        self.share.remove_idle(closed as u32);
    }

    fn drop_broken(&mut self) {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.connection.is_open());
        self.share.remove_idle((before - self.idle.len()) as u32);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        inner.waiting.remove(&self.ticket);
        inner.share.cancel(self.ticket);
        if let Ok(handed) = self.handed.try_recv() {
            // It was handed a place at the last moment.
            drop(handed);
            inner.close_used(&self.workspace, self.pool.clock.now());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.freed {
            return;
        }
        // The database must have seen the end of the connection before another is opened for it.
        let pool = self.pool.clone();
        let workspace = self.workspace.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CLOSE_TIME).await;
            let now = pool.clock.now();
            pool.lock().close_used(&workspace, now);
        });
    }
}

impl Lease {
    /// Puts the connection back for the next request. Only after a whole answer.
    pub fn give_back(self) {
        let Lease { connection, mut place, .. } = self;
        place.freed = true;
        place.pool.give_back(connection, &place.workspace, place.taken_at);
    }
}

/// Every pool of this VM.
pub struct Pools {
    sender: String,
    clock: Clock,
    by_database: Mutex<FxHashMap<DatabaseName, Arc<Pool>>>,
    limits: Mutex<FxHashMap<DatabaseName, u32>>,
}

impl Pools {
    /// No pools yet; `sender` names this VM to upstreams.
    pub fn new(sender: &VmName, clock: Clock) -> Pools {
        Pools {
            sender: sender.to_string(),
            clock,
            by_database: Mutex::default(),
            limits: Mutex::default(),
        }
    }

    /// Takes a connection to a database for a request of the workspace, waiting until the deadline.
    pub async fn take(
        &self,
        database: &config::Database,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<Lease, TakeError> {
        self.pool(database).take(workspace, quantum, deadline).await
    }

    /// Sets this VM's share of each database's connections.
    pub fn set_limits(&self, limits: FxHashMap<DatabaseName, u32>) {
        let pools = lock(&self.by_database);
        for (database, pool) in pools.iter() {
            pool.set_limit(limits.get(database).copied().unwrap_or(0));
        }
        *lock(&self.limits) = limits;
    }

    /// Connections open now, by database.
    pub fn open(&self) -> FxHashMap<DatabaseName, u32> {
        let pools = lock(&self.by_database);
        pools.iter().map(|(name, pool)| (name.clone(), pool.lock().share.open_count())).collect()
    }

    fn pool(&self, database: &config::Database) -> Arc<Pool> {
        let mut pools = lock(&self.by_database);
        let known = pools.get(&database.name);
        if let Some(pool) = known.filter(|pool| pool.address == database.address) {
            return pool.clone();
        }
        let limit = lock(&self.limits).get(&database.name).copied().unwrap_or(0);
        let pool = Pool::new(database.address.clone(), self.sender.clone(), self.clock, limit);
        let pool = Arc::new(pool);
        pools.insert(database.name.clone(), pool.clone());
        pool
    }

    /// Closes connections that nobody has used for a while.
    pub fn close_idle(&self) {
        for pool in lock(&self.by_database).values() {
            pool.close_idle();
        }
    }
}
