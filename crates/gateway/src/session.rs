//! A caller's session: values, prepared statements and at most one transaction.

use std::collections::{BTreeMap, VecDeque};

use model::prelude::*;

use crate::{
    effect::UpstreamKey,
    engine::Authorization,
    message::{Access, PreparedStatement, Reply, Statement, TransactionState},
};

/// Statements that a session may send ahead of their answers.
pub(crate) const PIPELINE_MAX: usize = 64;
/// Values or prepared statements that a session may hold.
pub(crate) const SESSION_ENTRIES_MAX: usize = 256;

/// Session values by name.
pub(crate) type SessionVariables = BTreeMap<Box<str>, Box<str>>;

/// Where a transaction of a session stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Transaction {
    /// There is none.
    None,
    /// Begun, but no statement of it has run: no upstream is held.
    Begun { access: Access },
    /// It runs on the connection.
    Pinned { access: Access, upstream: UpstreamKey },
    /// It failed; no upstream is held. `untold` where the caller has not heard of it yet.
    Failed { unreported: bool },
}

impl Transaction {
    pub(crate) fn state(&self) -> TransactionState {
        match self {
            Transaction::None => TransactionState::Idle,
            Transaction::Begun { .. } | Transaction::Pinned { .. } => TransactionState::Open,
            Transaction::Failed { .. } => TransactionState::Failed,
        }
    }
}

/// A statement that waits for its turn in the session.
#[derive(Debug)]
pub(crate) struct QueuedStatement {
    pub(crate) id: Box<str>,
    pub(crate) statement: Option<Statement>,
    pub(crate) arrived: MonoTime,
}

/// How far the current statement has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No upstream has been found yet.
    Waiting,
    /// The connection is being opened for it.
    Connecting(UpstreamKey),
    /// The transaction is being opened for it.
    Beginning(UpstreamKey),
    /// It was sent.
    Running(UpstreamKey),
    /// It was answered, but whether the primary still led is not sure yet.
    Unconfirmed,
}

impl Stage {
    /// The connection that the statement is busy with.
    pub(crate) fn upstream(self) -> Option<UpstreamKey> {
        match self {
            Stage::Connecting(key) | Stage::Beginning(key) | Stage::Running(key) => Some(key),
            Stage::Waiting | Stage::Unconfirmed => None,
        }
    }
}

/// A successful answer of a primary that is not passed on yet.
#[derive(Debug)]
pub(crate) struct UnconfirmedAnswer {
    pub(crate) service: ServiceName,
    pub(crate) database: DatabaseName,
    /// The term in which the statement was sent.
    pub(crate) term: Term,
    pub(crate) rows: Vec<Reply>,
    pub(crate) position: Option<Position>,
    pub(crate) writes: bool,
}

/// The statement that the session is busy with.
#[derive(Debug)]
pub(crate) struct CurrentStatement {
    pub(crate) id: Box<str>,
    pub(crate) statement: Statement,
    pub(crate) arrived: MonoTime,
    /// When it is refused if it has not been sent.
    pub(crate) refuse_at: MonoTime,
    /// When the caller is told that no answer came.
    pub(crate) timeout_at: MonoTime,
    pub(crate) stage: Stage,
    /// Upstreams that it was sent to.
    pub(crate) tries: u32,
    /// The service's term when it was last sent.
    pub(crate) sent_in_term: Term,
    /// Not tried again before this moment.
    pub(crate) retry_at: MonoTime,
    pub(crate) unconfirmed: Option<UnconfirmedAnswer>,
    /// Whether it waits for a token of its workspace's rate.
    pub(crate) needs_token: bool,
}

impl CurrentStatement {
    /// Whether its time is up.
    pub(crate) fn is_overdue(&self, now: MonoTime) -> bool {
        match self.stage {
            Stage::Waiting | Stage::Connecting(_) => now >= self.refuse_at,
            Stage::Beginning(_) | Stage::Running(_) | Stage::Unconfirmed => now >= self.timeout_at,
        }
    }
}

/// A session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) host: Box<str>,
    pub(crate) credential: Option<Box<str>>,
    pub(crate) started: bool,
    /// Whether its start waits for the configuration.
    pub(crate) start_deferred: bool,
    /// What the operation in progress may use: changes apply from the next one.
    pub(crate) authorization: Option<Authorization>,
    pub(crate) variables: SessionVariables,
    pub(crate) prepared: FxHashMap<Box<str>, PreparedStatement>,
    pub(crate) transaction: Transaction,
    pub(crate) last_commit: Option<Position>,
    /// Service under which `last_commit` was made: positions of another say nothing here.
    pub(crate) commit_service: Option<ServiceName>,
    pub(crate) wrote_in_transaction: bool,
    pub(crate) current: Option<CurrentStatement>,
    pub(crate) queued: VecDeque<QueuedStatement>,
    pub(crate) last_active: MonoTime,
}

impl Session {
    pub(crate) fn new(now: MonoTime) -> Session {
        Session {
            host: "".into(),
            credential: None,
            started: false,
            start_deferred: false,
            authorization: None,
            variables: SessionVariables::new(),
            prepared: FxHashMap::default(),
            transaction: Transaction::None,
            last_commit: None,
            commit_service: None,
            wrote_in_transaction: false,
            current: None,
            queued: VecDeque::new(),
            last_active: now,
        }
    }

    /// Whether nothing is outstanding: a close would cut nothing.
    pub(crate) fn is_idle(&self) -> bool {
        self.current.is_none() && self.queued.is_empty() && self.transaction == Transaction::None
    }
}
