//! Connection pools of the upstreams. Each opens connections on demand, up to this VM's share of
//! the database's connections.

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
/// Delay before a closed connection is replaced, so that the database has noticed that it is
/// closed.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// What a request receives: an idle connection, or `None` for the right to open a new one.
type Handoff = Option<Connection>;

#[derive(Default)]
struct Inner {
    scheduler: ConnectionScheduler,
    /// Idle connections, the one used last at the end.
    idle: Vec<Idle>,
    /// Senders that hand connections to the queued requests.
    waiting: FxHashMap<Ticket, oneshot::Sender<Handoff>>,
}

/// Pool of this VM's connections to one database.
pub struct Pool {
    address: String,
    /// Name of this VM, sent to the upstream.
    sender: String,
    clock: Clock,
    inner: Mutex<Inner>,
}

/// Reason why no connection could be acquired. Nothing was sent to the database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseError {
    /// No connection to the database could be opened.
    Unreachable(SendError),
    /// The scheduler refused the request.
    Refused(AcquireError),
    /// No connection became free before the deadline.
    Timeout,
}

/// The right to use one connection of the pool. When dropped, the connection counts as closed
/// unless it was released.
struct Permit {
    pool: Arc<Pool>,
    workspace: WorkspaceName,
    acquired_at: MonoTime,
    released: bool,
}

/// A connection acquired from a pool. [`Lease::release`] returns it; dropping the lease closes it.
pub struct Lease {
    /// The acquired connection.
    pub connection: Connection,
    /// Whether the connection was opened for this lease, rather than reused.
    pub opened: bool,
    permit: Permit,
}

/// A queued request. It leaves the queue when dropped.
struct Waiter {
    pool: Arc<Pool>,
    workspace: WorkspaceName,
    ticket: Ticket,
    handoff: oneshot::Receiver<Handoff>,
}

impl Pool {
    fn new(address: String, sender: String, clock: Clock, limit: u32) -> Pool {
        let pool = Pool { address, sender, clock, inner: Mutex::default() };
        pool.set_limit(limit);
        pool
    }

    async fn acquire(
        self: &Arc<Pool>,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<Lease, LeaseError> {
        let connection = match self.try_acquire(workspace, quantum, deadline)? {
            Ok(connection) => connection,
            Err(mut waiting) => {
                let left = Duration::from_micros(deadline.since(self.clock.now()).0);
                let handoff = tokio::time::timeout(left, &mut waiting.handoff).await;
                handoff.ok().and_then(Result::ok).ok_or(LeaseError::Timeout)?
            }
        };
        let permit = Permit {
            pool: self.clone(),
            workspace: workspace.clone(),
            acquired_at: self.clock.now(),
            released: false,
        };
        let opened = connection.is_none();
        let connection = match connection {
            Some(connection) => connection,
            None => Connection::open(&self.address, &self.sender, CONNECT_TIMEOUT)
                .await
                .map_err(LeaseError::Unreachable)?,
        };
        Ok(Lease { connection, opened, permit })
    }

    fn try_acquire(
        self: &Arc<Pool>,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<Result<Handoff, Waiter>, LeaseError> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.drop_broken();
        let acquired = inner.scheduler.acquire(workspace, quantum, deadline, now);
        match acquired.map_err(LeaseError::Refused)? {
            Acquired::New => Ok(Ok(None)),
            Acquired::Idle => Ok(Ok(inner.idle.pop().map(|idle| idle.connection))),
            Acquired::Queued(ticket) => {
                let (sender, handoff) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                let workspace = workspace.clone();
                Ok(Err(Waiter { pool: self.clone(), workspace, ticket, handoff }))
            }
        }
    }

    fn release(&self, connection: Connection, workspace: &WorkspaceName, acquired_at: MonoTime) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !connection.is_open() {
            inner.close_used(workspace, now);
            return;
        }
        match inner.scheduler.release(workspace, now.since(acquired_at), now) {
            Released::Handed(ticket, next) => inner.hand_over(ticket, &next, Some(connection), now),
            Released::Idle => inner.idle.push(Idle { connection, since: Instant::now() }),
            Released::Close => {}
        }
    }

    /// Sets the maximum number of connections, and returns the number of open ones.
    fn set_limit(&self, limit: u32) -> u32 {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.scheduler.set_limit(limit);
        let surplus = inner.scheduler.surplus_idle();
        inner.close_oldest(surplus as usize);
        while let Some((ticket, workspace)) = inner.scheduler.next_to_open(now) {
            inner.hand_over(ticket, &workspace, None, now);
        }
        inner.scheduler.open_count()
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`, except the one used last.
    fn close_idle(&self) {
        let mut inner = self.lock();
        let newest = inner.idle.len().saturating_sub(1);
        let old = inner.idle[..newest].iter().filter(|idle| idle.since.elapsed() >= IDLE_TIMEOUT);
        let count = old.count();
        inner.close_oldest(count);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Hands a connection, or the right to open one, to a waiting request.
    fn hand_over(
        &mut self,
        ticket: Ticket,
        workspace: &WorkspaceName,
        connection: Handoff,
        now: MonoTime,
    ) {
        let sender = self.waiting.remove(&ticket);
        let accepted = sender.is_some_and(|sender| sender.send(connection).is_ok());
        if !accepted {
            // The request stopped waiting: its turn passes to the next one.
            self.close_used(workspace, now);
        }
    }

    fn close_used(&mut self, workspace: &WorkspaceName, now: MonoTime) {
        if let Some((ticket, next)) = self.scheduler.release_closed(workspace, now) {
            self.hand_over(ticket, &next, None, now);
        }
    }

    fn close_oldest(&mut self, count: usize) {
        let closed = self.idle.drain(..count).count();
        self.scheduler.remove_idle(closed as u32);
    }

    fn drop_broken(&mut self) {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.connection.is_open());
        self.scheduler.remove_idle((before - self.idle.len()) as u32);
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        inner.waiting.remove(&self.ticket);
        inner.scheduler.cancel(self.ticket);
        if let Ok(handoff) = self.handoff.try_recv() {
            // The request was handed a connection just before it stopped waiting.
            drop(handoff);
            inner.close_used(&self.workspace, self.pool.clock.now());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        // The database must notice that the connection is closed before another one replaces it, or
        // it would count both against its limit.
        let pool = self.pool.clone();
        let workspace = self.workspace.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CLOSE_DELAY).await;
            let now = pool.clock.now();
            pool.lock().close_used(&workspace, now);
        });
    }
}

impl Lease {
    /// Returns the connection to the pool. Call this only after a complete answer was read from it.
    pub fn release(self) {
        let Lease { connection, mut permit, .. } = self;
        permit.released = true;
        permit.pool.release(connection, &permit.workspace, permit.acquired_at);
    }
}

/// Connection pools of all databases.
pub struct Pools {
    sender: String,
    clock: Clock,
    by_database: Mutex<FxHashMap<DatabaseName, Arc<Pool>>>,
    limits: Mutex<FxHashMap<DatabaseName, u32>>,
}

impl Pools {
    /// Creates an empty set of pools; `sender` is the name of this VM, sent to upstreams.
    pub fn new(sender: &VmName, clock: Clock) -> Pools {
        Pools {
            sender: sender.to_string(),
            clock,
            by_database: Mutex::default(),
            limits: Mutex::default(),
        }
    }

    /// Acquires a connection to a database for a request of the workspace, waiting until the
    /// deadline. `quantum` is the workspace's weight in the fair queue.
    pub async fn acquire(
        &self,
        database: &config::Database,
        workspace: &WorkspaceName,
        quantum: u32,
        deadline: MonoTime,
    ) -> Result<Lease, LeaseError> {
        self.pool(database).acquire(workspace, quantum, deadline).await
    }

    /// Sets the maximum number of connections to each database; 0 for databases not in `limits`.
    pub fn set_limits(&self, limits: FxHashMap<DatabaseName, u32>) {
        let pools = lock(&self.by_database);
        for (database, pool) in pools.iter() {
            pool.set_limit(limits.get(database).copied().unwrap_or(0));
        }
        *lock(&self.limits) = limits;
    }

    /// Number of open connections by database.
    pub fn open_counts(&self) -> FxHashMap<DatabaseName, u32> {
        let pools = lock(&self.by_database);
        pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.lock().scheduler.open_count()))
            .collect()
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

    /// Closes connections that have been idle for a while.
    pub fn close_idle(&self) {
        for pool in lock(&self.by_database).values() {
            pool.close_idle();
        }
    }
}
