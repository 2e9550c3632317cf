//! Connections to upstreams, and which of them suits a statement.

use std::collections::VecDeque;

use model::prelude::*;
use slotmap::SlotMap;

use crate::{
    effect::{CallerKey, UpstreamKey},
    message::{PreparedKey, PreparedStatement, Reply, UpstreamRequest},
    session::SessionVariables,
};

/// What a connection was opened for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Statements of a workspace's sessions; `None` for those of open routes.
    Statements(Option<WorkspaceName>),
    /// A question or an order of the gateway's own.
    Control { attempt: u64, request: ControlRequest },
}

/// A question or an order of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControlRequest {
    Status,
    Pause(Term),
    Resume,
    Demote(Term),
}

/// What an answer still to come belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PendingKind {
    /// The opening of the connection.
    Start,
    /// A value, a prepared statement, a reset or a roll-back of the gateway's own.
    Setup,
    /// The opening of a transaction.
    Begin,
    /// The user's statement.
    Statement,
    /// A question or an order of the gateway's own.
    Control,
}

/// An answer still to come.
#[derive(Debug)]
pub(crate) struct PendingReply {
    pub(crate) kind: PendingKind,
    pub(crate) sent_at: MonoTime,
    pub(crate) rows: Vec<Reply>,
    /// The last message before the connection is ready again.
    pub(crate) outcome: Option<Reply>,
}

/// A connection to an upstream.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) database: DatabaseName,
    pub(crate) incarnation: u64,
    pub(crate) purpose: Purpose,
    /// Whether the upstream has accepted it.
    pub(crate) started: bool,
    /// Whether its holder has a transaction open there.
    pub(crate) in_transaction: bool,
    /// The session that holds it.
    pub(crate) holder: Option<CallerKey>,
    pub(crate) variables: SessionVariables,
    pub(crate) prepared: FxHashSet<PreparedKey>,
    /// Whether a value or a prepared statement was set inside the open transaction.
    pub(crate) set_in_transaction: bool,
    /// Whether its values and prepared statements are not known for sure.
    pub(crate) state_unknown: bool,
    pub(crate) pending: VecDeque<PendingReply>,
    pub(crate) opened_at: MonoTime,
    pub(crate) idle_since: MonoTime,
}

impl Connection {
    /// Whether a statement of the workspace can start on it now.
    pub(crate) fn is_free(&self) -> bool {
        self.started && self.holder.is_none() && self.pending.is_empty()
    }

    pub(crate) fn serves(&self, workspace: &Option<WorkspaceName>) -> bool {
        matches!(&self.purpose, Purpose::Statements(own) if own == workspace)
    }

    pub(crate) fn is_for_statements(&self) -> bool {
        matches!(self.purpose, Purpose::Statements(_))
    }

    /// What has to be sent so that the connection has the values and the shape, and records that it
    /// was. A transaction in progress can't be reset; there values are only ever added.
    pub(crate) fn prepare_for(
        &mut self,
        variables: &SessionVariables,
        prepared: Option<(PreparedKey, &PreparedStatement)>,
    ) -> Vec<UpstreamRequest> {
        let mut requests = Vec::new();
        if self.state_unknown || self.variables.keys().any(|name| !variables.contains_key(name)) {
            requests.push(UpstreamRequest::Reset);
            self.state_unknown = false;
            self.variables.clear();
            self.prepared.clear();
        }
        for (name, value) in variables {
            if self.variables.get(name) != Some(value) {
                requests.push(UpstreamRequest::Set { name: name.clone(), value: value.clone() });
                self.variables.insert(name.clone(), value.clone());
            }
        }
        if let Some((key, statement)) = prepared
            && self.prepared.insert(key)
        {
            requests.push(UpstreamRequest::Prepare { key, statement: statement.clone() });
        }
        self.set_in_transaction |= self.in_transaction && !requests.is_empty();
        requests
    }

    /// How much has to be changed before the connection has the values: 0 is best.
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

/// All connections of this VM.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) connections: SlotMap<UpstreamKey, Connection>,
    /// Keys of the connections to each database.
    by_database: FxHashMap<DatabaseName, Vec<UpstreamKey>>,
    prepared_keys: FxHashMap<PreparedStatement, PreparedKey>,
}

impl Pool {
    /// Adds a connection.
    pub(crate) fn insert(&mut self, connection: Connection) -> UpstreamKey {
        let database = connection.database.clone();
        let key = self.connections.insert(connection);
        self.by_database.entry(database).or_default().push(key);
        key
    }

    /// Takes a connection out.
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

    /// The connections to a database.
    pub(crate) fn connections_to(
        &self,
        database: &DatabaseName,
    ) -> impl Iterator<Item = (UpstreamKey, &Connection)> {
        let keys = self.by_database.get(database).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| Some((*key, self.connections.get(*key)?)))
    }

    /// The shared name of a shape.
    pub(crate) fn prepared_key(&mut self, statement: &PreparedStatement) -> PreparedKey {
        let next = PreparedKey(self.prepared_keys.len() as u32);
        *self.prepared_keys.entry(statement.clone()).or_insert(next)
    }

    /// The free connection to the database that needs the fewest changes.
    pub(crate) fn best_free(
        &self,
        database: &DatabaseName,
        workspace: &Option<WorkspaceName>,
        variables: &SessionVariables,
        prepared: Option<PreparedKey>,
    ) -> Option<UpstreamKey> {
        self.connections_to(database)
            .filter(|(_, c)| c.is_free() && c.serves(workspace))
            .min_by_key(|(_, c)| {
                (c.setup_cost(variables, prepared), std::cmp::Reverse(c.idle_since))
            })
            .map(|(key, _)| key)
    }

    /// The free connection to the database that has been idle longest, of whatever workspace.
    pub(crate) fn longest_idle(&self, database: &DatabaseName) -> Option<UpstreamKey> {
        self.connections_to(database)
            .filter(|(_, c)| c.is_free() && c.is_for_statements())
            .min_by_key(|(_, c)| c.idle_since)
            .map(|(key, _)| key)
    }

    /// Whether a single statement of the workspace runs on a connection to the database.
    pub(crate) fn is_soon_free(
        &self,
        database: &DatabaseName,
        workspace: &Option<WorkspaceName>,
    ) -> bool {
        self.connections_to(database)
            .any(|(_, c)| c.serves(workspace) && c.started && !c.in_transaction)
    }

    /// Whether a connection to the database is being opened.
    pub(crate) fn is_opening(&self, database: &DatabaseName) -> bool {
        self.connections_to(database).any(|(_, c)| !c.started)
    }

    /// Connections to the database, those being opened among them.
    pub(crate) fn count(&self, database: &DatabaseName) -> usize {
        self.connections_to(database).count()
    }

    /// Connections to the database that a statement or transaction holds.
    pub(crate) fn busy_count(&self, database: &DatabaseName) -> usize {
        self.connections_to(database).filter(|(_, c)| !c.is_free()).count()
    }
}
