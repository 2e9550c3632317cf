//! The pool of connections to upstreams, and the choice of a connection for a statement.

use std::collections::VecDeque;

use model::prelude::*;
use slotmap::SlotMap;

use crate::{
    effect::{CallerKey, LinkKey, UpstreamKey},
    engine::ChannelKey,
    message::{PreparedKey, PreparedStatement, Reply, UpstreamRequest},
    session::SessionVariables,
};

/// What a connection is used for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Statements of sessions of this workspace; `None` for sessions of open routes.
    Statements(Option<WorkspaceName>),
    /// A single control request of the gateway, for a failover attempt or on its own.
    Control { attempt: u64, request: ControlRequest },
}

/// Who uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum User {
    /// A caller's session.
    Session(CallerKey),
    /// A peer, through a channel.
    Channel(ChannelKey),
}

/// A status query of the gateway, or a request that changes a database's role or replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControlRequest {
    Status,
    Pause(Term),
    Resume,
    Demote(Term),
}

/// The kind of request that a reply belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PendingKind {
    /// The start of the connection.
    Start,
    /// Preparation by the gateway: a variable, a prepared statement, a reset or a rollback.
    Setup,
    /// The begin of a transaction.
    Begin,
    /// The caller's statement.
    Statement,
    /// A control request of the gateway.
    Control,
}

/// A reply that has not arrived completely.
#[derive(Debug)]
pub(crate) struct PendingReply {
    pub(crate) kind: PendingKind,
    /// The request, if it prepares the connection.
    pub(crate) setup: Option<UpstreamRequest>,
    /// When the request was sent.
    pub(crate) sent_at: MonoTime,
    /// Result rows received so far.
    pub(crate) rows: Vec<Reply>,
    /// Success or error; it arrives before the message that the connection is ready again.
    pub(crate) outcome: Option<Reply>,
}

impl PendingReply {
    pub(crate) fn new(kind: PendingKind, sent_at: MonoTime) -> PendingReply {
        PendingReply { kind, setup: None, sent_at, rows: Vec::new(), outcome: None }
    }

    /// Sets the request that prepares the connection.
    pub(crate) fn with_setup(mut self, request: UpstreamRequest) -> PendingReply {
        self.setup = Some(request);
        self
    }
}

/// A connection to an upstream, or a channel to a holder that stands for one.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The link to the holder; `None` for a connection of this VM's own.
    pub(crate) link: Option<LinkKey>,
    pub(crate) database: DatabaseName,
    /// The incarnation of the database that the connection was opened to.
    pub(crate) incarnation: u64,
    pub(crate) purpose: Purpose,
    /// Whether the upstream has accepted the connection.
    pub(crate) started: bool,
    /// Whether its user has an open transaction on it.
    pub(crate) in_transaction: bool,
    /// Who it is assigned to; `None` if it is free or used for control.
    pub(crate) user: Option<User>,
    /// Variables and prepared statements that the upstream has confirmed and that were not reset since.
    pub(crate) variables: SessionVariables,
    pub(crate) prepared: FxHashSet<PreparedKey>,
    /// Whether a variable or a prepared statement was set inside the open transaction.
    pub(crate) set_in_transaction: bool,
    /// Whether the variables and prepared statements that the upstream has set are unknown.
    pub(crate) state_unknown: bool,
    /// Replies to come, in the order of their requests.
    pub(crate) pending: VecDeque<PendingReply>,
    /// Whether a reply is overdue and was counted as a failure of the database.
    pub(crate) is_silent: bool,
    pub(crate) opened_at: MonoTime,
    pub(crate) idle_since: MonoTime,
}

impl Connection {
    /// A connection of this VM's own that is being opened.
    pub(crate) fn new(
        database: DatabaseName,
        incarnation: u64,
        purpose: Purpose,
        now: MonoTime,
    ) -> Connection {
        Connection {
            link: None,
            database,
            incarnation,
            purpose,
            started: false,
            in_transaction: false,
            set_in_transaction: false,
            state_unknown: false,
            user: None,
            variables: SessionVariables::new(),
            prepared: FxHashSet::default(),
            pending: VecDeque::new(),
            is_silent: false,
            opened_at: now,
            idle_since: now,
        }
    }

    /// Makes it a channel on a link.
    pub(crate) fn with_link(mut self, link: LinkKey) -> Connection {
        self.link = Some(link);
        self
    }

    /// Whether a statement can start on it now.
    pub(crate) fn is_free(&self) -> bool {
        self.started && self.user.is_none() && self.pending.is_empty()
    }

    pub(crate) fn serves(&self, workspace: &Option<WorkspaceName>) -> bool {
        matches!(&self.purpose, Purpose::Statements(own) if own == workspace)
    }

    pub(crate) fn is_for_statements(&self) -> bool {
        matches!(self.purpose, Purpose::Statements(_))
    }

    /// Returns the requests that give the connection the variables and the prepared statement. The
    /// connection is reset first if it has other variables; inside a transaction, which can't be
    /// reset, variables are only ever added.
    pub(crate) fn preparation(
        &self,
        variables: &SessionVariables,
        prepared: Option<&(PreparedKey, PreparedStatement)>,
    ) -> Vec<UpstreamRequest> {
        let mut requests = Vec::new();
        let resets = self.needs_reset(variables);
        if resets {
            requests.push(UpstreamRequest::Reset);
        }
        for (name, value) in variables {
            if resets || self.variables.get(name) != Some(value) {
                requests.push(UpstreamRequest::Set { name: name.clone(), value: value.clone() });
            }
        }
        if let Some((key, statement)) = prepared
            && (resets || !self.prepared.contains(key))
        {
            requests.push(UpstreamRequest::Prepare { key: *key, statement: statement.clone() });
        }
        requests
    }

    /// Records what a request of [`Connection::preparation`] has set.
    pub(crate) fn confirm(&mut self, request: UpstreamRequest) {
        match request {
            UpstreamRequest::Reset => {
                self.state_unknown = false;
                self.variables.clear();
                self.prepared.clear();
            }
            UpstreamRequest::Set { name, value } => drop(self.variables.insert(name, value)),
            UpstreamRequest::Prepare { key, .. } => drop(self.prepared.insert(key)),
            _ => {}
        }
    }

    fn needs_reset(&self, variables: &SessionVariables) -> bool {
        self.state_unknown || self.variables.keys().any(|name| !variables.contains_key(name))
    }

    /// Number of requests that [`Connection::preparation`] returns.
    pub(crate) fn setup_requests(
        &self,
        variables: &SessionVariables,
        prepared: Option<PreparedKey>,
    ) -> usize {
        if self.needs_reset(variables) {
            return 1 + variables.len() + usize::from(prepared.is_some());
        }
        self.setup_cost(variables, prepared)
    }

    /// Cost of [`Connection::preparation`]; 0 if nothing has to be sent.
    fn setup_cost(&self, variables: &SessionVariables, prepared: Option<PreparedKey>) -> usize {
        let foreign = self.variables.keys().any(|name| !variables.contains_key(name));
        let missing = variables
            .iter()
            .filter(|(name, value)| self.variables.get(*name) != Some(value))
            .count();
        let unprepared = prepared.is_some_and(|key| !self.prepared.contains(&key));
        usize::from(foreign) * 2 + missing + usize::from(unprepared)
    }
}

/// All connections of this VM to upstreams.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) connections: SlotMap<UpstreamKey, Connection>,
    /// Keys of the connections to each database.
    by_database: FxHashMap<DatabaseName, Vec<UpstreamKey>>,
    prepared_keys: FxHashMap<PreparedStatement, PreparedKey>,
}

impl Pool {
    pub(crate) fn insert(&mut self, connection: Connection) -> UpstreamKey {
        let database = connection.database.clone();
        let key = self.connections.insert(connection);
        self.by_database.entry(database).or_default().push(key);
        key
    }

    pub(crate) fn remove(&mut self, key: UpstreamKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        if let Some(keys) = self.by_database.get_mut(&connection.database) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_database.remove(&connection.database);
            }
        }
        Some(connection)
    }

    /// All connections to a database.
    pub(crate) fn connections_to(
        &self,
        database: &DatabaseName,
    ) -> impl Iterator<Item = (UpstreamKey, &Connection)> {
        let keys = self.by_database.get(database).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| Some((*key, self.connections.get(*key)?)))
    }

    /// The number of a prepared statement, a new one if it has none yet.
    pub(crate) fn prepared_key(&mut self, statement: &PreparedStatement) -> PreparedKey {
        let next = PreparedKey(self.prepared_keys.len() as u32);
        *self.prepared_keys.entry(statement.clone()).or_insert(next)
    }

    /// The free connection to the database, over the link or of this VM's own, that needs the least
    /// preparation for a statement of the workspace.
    pub(crate) fn best_free(
        &self,
        database: &DatabaseName,
        link: Option<LinkKey>,
        workspace: &Option<WorkspaceName>,
        variables: &SessionVariables,
        prepared: Option<PreparedKey>,
    ) -> Option<UpstreamKey> {
        self.connections_to(database)
            .filter(|(_, c)| c.link == link && c.is_free() && c.serves(workspace))
            .min_by_key(|(_, c)| {
                (c.setup_cost(variables, prepared), std::cmp::Reverse(c.idle_since))
            })
            .map(|(key, _)| key)
    }

    /// The own connections to a database.
    fn own_connections_to(
        &self,
        database: &DatabaseName,
    ) -> impl Iterator<Item = (UpstreamKey, &Connection)> {
        self.connections_to(database).filter(|(_, c)| c.link.is_none())
    }

    /// The free own connection to the database that has been idle longest, for any workspace.
    pub(crate) fn longest_idle(&self, database: &DatabaseName) -> Option<UpstreamKey> {
        self.own_connections_to(database)
            .filter(|(_, c)| c.is_free() && c.is_for_statements())
            .min_by_key(|(_, c)| c.idle_since)
            .map(|(key, _)| key)
    }

    /// Whether an own connection for the workspace will soon be free: it runs a statement outside a
    /// transaction.
    pub(crate) fn is_soon_free(
        &self,
        database: &DatabaseName,
        workspace: &Option<WorkspaceName>,
    ) -> bool {
        self.own_connections_to(database)
            .any(|(_, c)| c.serves(workspace) && c.started && !c.in_transaction)
    }

    /// Whether a connection to the database is being opened.
    pub(crate) fn is_opening(&self, database: &DatabaseName) -> bool {
        self.own_connections_to(database).any(|(_, c)| !c.started)
    }

    /// Number of own connections to the database, including those being opened.
    pub(crate) fn count(&self, database: &DatabaseName) -> usize {
        self.own_connections_to(database).count()
    }

    /// Number of connections to the database that are not free, channels included.
    pub(crate) fn busy_count(&self, database: &DatabaseName) -> usize {
        self.connections_to(database).filter(|(_, c)| !c.is_free()).count()
    }

    /// Number of own connections on which the database is accepting the connection or runs a request. A preparation
    /// occupies none of its slots.
    pub(crate) fn running_count(&self, database: &DatabaseName) -> usize {
        let is_running = |c: &Connection| c.pending.iter().any(|p| p.kind != PendingKind::Setup);
        self.own_connections_to(database).filter(|(_, c)| is_running(c)).count()
    }

    /// Number of own connections that are being prepared or rolled back.
    pub(crate) fn preparing_count(&self, database: &DatabaseName) -> usize {
        let is_preparing = |c: &Connection| {
            c.pending.front().is_some_and(|pending| pending.kind == PendingKind::Setup)
        };
        self.own_connections_to(database).filter(|(_, c)| is_preparing(c)).count()
    }
}
