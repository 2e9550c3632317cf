//! Connections to upstreams: a bounded number for each database, opened on demand.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use edge::{client::SendError, connection::Connection};
use model::prelude::*;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_LIMIT: Duration = Duration::from_secs(30);

struct Idle {
    connection: Connection,
    since: Instant,
}

/// The connections of this VM to one database.
pub struct Pool {
    address: String,
    sender: String,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Idle>>,
}

/// Why no connection was had. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeError {
    /// The database can't be reached.
    Unreachable(SendError),
    /// None came free before the deadline.
    Timeout,
}

/// A connection taken from a pool; put back by [`Lease::give_back`], closed when dropped.
pub struct Lease {
    /// The connection.
    pub connection: Connection,
    /// Whether it was opened for this lease.
    pub opened: bool,
    pool: Arc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    fn new(address: String, sender: String, share: usize) -> Pool {
        Pool { address, sender, permits: Arc::new(Semaphore::new(share)), idle: Mutex::default() }
    }

    async fn take(self: &Arc<Pool>) -> Result<Lease, SendError> {
        let closed = |_| SendError::NotSent {
            address: self.address.clone(),
            reason: "the pool is closed".to_owned(),
        };
        let permit = self.permits.clone().acquire_owned().await.map_err(closed)?;
        let (connection, opened) = match self.take_idle() {
            Some(connection) => (connection, false),
            None => (Connection::open(&self.address, &self.sender, CONNECT_TIMEOUT).await?, true),
        };
        Ok(Lease { connection, opened, pool: self.clone(), _permit: permit })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(entry) = idle.pop() {
            if entry.connection.is_open() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Closes connections that nobody has used for a while, but for the one used last.
    fn close_idle(&self) {
        let mut idle = self.idle();
        let newest = idle.pop();
        idle.retain(|entry| entry.since.elapsed() < IDLE_LIMIT);
        idle.extend(newest);
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Puts the connection back for the next request. Only after a whole answer.
    pub fn give_back(self) {
        self.pool.idle().push(Idle { connection: self.connection, since: Instant::now() });
    }
}

/// Every pool of this VM.
pub struct Pools {
    sender: String,
    by_database: Mutex<FxHashMap<DatabaseName, Arc<Pool>>>,
}

impl Pools {
    /// No pools yet; `sender` names this VM to upstreams.
    pub fn new(sender: &VmName) -> Pools {
        Pools { sender: sender.to_string(), by_database: Mutex::default() }
    }

    /// Takes a connection to a database for a request of the workspace, waiting until the deadline.
    pub async fn take(
        &self,
        database: &config::Database,
        share: usize,
        _workspace: &WorkspaceName,
        deadline: tokio::time::Instant,
    ) -> Result<Lease, TakeError> {
        let pool = self.pool(database, share);
        match tokio::time::timeout_at(deadline, pool.take()).await {
            Ok(taken) => taken.map_err(TakeError::Unreachable),
            Err(_) => Err(TakeError::Timeout),
        }
    }

    fn pool(&self, database: &config::Database, share: usize) -> Arc<Pool> {
        let mut pools = self.lock();
        if let Some(pool) =
            pools.get(&database.name).filter(|pool| pool.address == database.address)
        {
            return pool.clone();
        }
        let pool = Arc::new(Pool::new(database.address.clone(), self.sender.clone(), share));
        pools.insert(database.name.clone(), pool.clone());
        pool
    }

    /// Closes connections that nobody has used for a while.
    pub fn close_idle(&self) {
        for pool in self.lock().values() {
            pool.close_idle();
        }
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<DatabaseName, Arc<Pool>>> {
        self.by_database.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
