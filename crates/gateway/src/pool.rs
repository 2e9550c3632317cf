//! Connections to upstreams, and which of them suits a statement.

use std::collections::VecDeque;

use model::prelude::*;
use slotmap::SlotMap;

use crate::{
    effect::{CallerKey, UpstreamKey},
    message::{Reply, Shape, ShapeKey, UpstreamRequest},
    session::Values,
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
pub(crate) enum Awaited {
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
pub(crate) struct Outstanding {
    pub(crate) awaited: Awaited,
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
    pub(crate) values: Values,
    pub(crate) prepared: FxHashSet<ShapeKey>,
    /// Whether a value or a prepared statement was set inside the open transaction.
    pub(crate) set_in_transaction: bool,
    /// Whether its values and prepared statements are not known for sure.
    pub(crate) uncertain: bool,
    pub(crate) outstanding: VecDeque<Outstanding>,
    pub(crate) opened_at: MonoTime,
    pub(crate) idle_since: MonoTime,
    pub(crate) last_heard: MonoTime,
}

impl Connection {
    /// Whether a statement of the workspace can start on it now.
    pub(crate) fn is_free(&self) -> bool {
        self.started && self.holder.is_none() && self.outstanding.is_empty()
    }

    pub(crate) fn serves(&self, workspace: &Option<WorkspaceName>) -> bool {
        matches!(&self.purpose, Purpose::Statements(own) if own == workspace)
    }

    pub(crate) fn is_for_statements(&self) -> bool {
        matches!(self.purpose, Purpose::Statements(_))
    }

    /// What has to be sent so that the connection has the values and the shape, and records that it
    /// was. A transaction in progress can't be reset; there values are only ever added.
    pub(crate) fn fit(
        &mut self,
        values: &Values,
        shape: Option<(ShapeKey, &Shape)>,
    ) -> Vec<UpstreamRequest> {
        let mut requests = Vec::new();
        if self.uncertain || self.values.keys().any(|name| !values.contains_key(name)) {
            requests.push(UpstreamRequest::Reset);
            self.uncertain = false;
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                requests.push(UpstreamRequest::Set { name: name.clone(), value: value.clone() });
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some((key, shape)) = shape
            && self.prepared.insert(key)
        {
            requests.push(UpstreamRequest::Prepare { key, shape: shape.clone() });
        }
        self.set_in_transaction |= self.in_transaction && !requests.is_empty();
        requests
    }

    /// How much has to be changed before the connection has the values: 0 is best.
    fn misfit(&self, values: &Values, shape: Option<ShapeKey>) -> usize {
        let foreign = self.values.keys().any(|name| !values.contains_key(name));
        let missing =
            values.iter().filter(|(name, value)| self.values.get(*name) != Some(value)).count();
        let unprepared = shape.is_some_and(|key| !self.prepared.contains(&key));
        usize::from(foreign) * 2 + missing + usize::from(unprepared)
    }
}

/// All connections of this VM.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) connections: SlotMap<UpstreamKey, Connection>,
    shapes: FxHashMap<Shape, ShapeKey>,
}

impl Pool {
    /// The shared name of a shape.
    pub(crate) fn shape_key(&mut self, shape: &Shape) -> ShapeKey {
        let next = ShapeKey(self.shapes.len() as u32);
        *self.shapes.entry(shape.clone()).or_insert(next)
    }

    /// The free connection to the database that needs the fewest changes.
    pub(crate) fn best_free(
        &self,
        database: &DatabaseName,
        workspace: &Option<WorkspaceName>,
        values: &Values,
        shape: Option<ShapeKey>,
    ) -> Option<UpstreamKey> {
        self.connections
            .iter()
            .filter(|(_, c)| c.is_free() && c.database == *database && c.serves(workspace))
            .min_by_key(|(_, c)| (c.misfit(values, shape), std::cmp::Reverse(c.idle_since)))
            .map(|(key, _)| key)
    }

    /// The free connection to the database that has been idle longest, of whatever workspace.
    pub(crate) fn longest_idle(&self, database: &DatabaseName) -> Option<UpstreamKey> {
        self.connections
            .iter()
            .filter(|(_, c)| c.is_free() && c.database == *database && c.is_for_statements())
            .min_by_key(|(_, c)| c.idle_since)
            .map(|(key, _)| key)
    }

    /// Whether a single statement of the workspace runs on a connection to the database.
    pub(crate) fn soon_free(
        &self,
        database: &DatabaseName,
        workspace: &Option<WorkspaceName>,
    ) -> bool {
        self.connections.values().any(|c| {
            c.database == *database && c.serves(workspace) && c.started && !c.in_transaction
        })
    }

    /// Whether a connection to the database is being opened.
    pub(crate) fn is_opening(&self, database: &DatabaseName) -> bool {
        self.connections.values().any(|c| c.database == *database && !c.started)
    }

    /// Connections to the database, those being opened among them.
    pub(crate) fn count(&self, database: &DatabaseName) -> usize {
        self.connections.values().filter(|c| c.database == *database).count()
    }

    /// Connections to the database that a statement or transaction holds.
    pub(crate) fn busy(&self, database: &DatabaseName) -> usize {
        self.connections.values().filter(|c| c.database == *database && !c.is_free()).count()
    }
}
