//! A caller's session: its variables, prepared statements and transaction.

use std::collections::{BTreeMap, VecDeque};

use model::prelude::*;

use crate::{
    commits::SessionCommits,
    effect::UpstreamKey,
    engine::Authorization,
    message::{Access, PreparedStatement, Reply, Statement, TransactionState},
};

/// Greatest number of statements that a session may send ahead of their answers.
pub(crate) const PIPELINE_MAX: usize = 64;
/// Greatest number of variables, and of prepared statements, of a session.
pub(crate) const SESSION_ENTRIES_MAX: usize = 256;

/// Session variables by name.
pub(crate) type SessionVariables = BTreeMap<Box<str>, Box<str>>;

/// The transaction of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Transaction {
    /// No transaction is open.
    None,
    /// Begun by the caller, but no statement of it has run: the begin is sent to an upstream with
    /// the first one.
    Begun { access: Access },
    /// Open on this connection, which the session holds.
    Pinned { access: Access, upstream: UpstreamKey },
    /// Failed, and no connection is held. `unreported` if no error has told the caller so yet.
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

/// A statement that waits until the session's earlier ones are answered.
#[derive(Debug)]
pub(crate) struct QueuedStatement {
    /// The caller's identifier of this attempt.
    pub(crate) id: Box<str>,
    /// `None` if the text could not be parsed.
    pub(crate) statement: Option<Statement>,
    pub(crate) arrived: MonoTime,
}

/// The progress of the current statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for a connection.
    Waiting,
    /// Its connection is being opened.
    Connecting(UpstreamKey),
    /// The connection is being given the session's variables and the prepared statement that it executes.
    Preparing(UpstreamKey),
    /// Its transaction is being begun on the connection.
    Beginning(UpstreamKey),
    /// It was sent over the connection.
    Running(UpstreamKey),
    /// It was answered by the primary, but a newer term may have begun before: the answer is held
    /// until this VM's lease shows that none has.
    Unconfirmed,
}

impl Stage {
    /// The connection that the statement occupies.
    pub(crate) fn upstream(self) -> Option<UpstreamKey> {
        match self {
            Stage::Connecting(key)
            | Stage::Preparing(key)
            | Stage::Beginning(key)
            | Stage::Running(key) => Some(key),
            Stage::Waiting | Stage::Unconfirmed => None,
        }
    }
}

/// A successful answer that is held back until it is certain that its database was still the
/// primary.
#[derive(Debug)]
pub(crate) struct UnconfirmedAnswer {
    pub(crate) service: ServiceName,
    /// The database that answered.
    pub(crate) database: DatabaseName,
    /// The service's term when the statement was sent.
    pub(crate) term: Term,
    pub(crate) rows: Vec<Reply>,
    /// The log position in the answer.
    pub(crate) position: Option<Position>,
    /// Whether the statement wrote, or committed a transaction that did.
    pub(crate) writes: bool,
}

/// The statement that the session is processing.
#[derive(Debug)]
pub(crate) struct CurrentStatement {
    /// The caller's identifier of this attempt.
    pub(crate) id: Box<str>,
    pub(crate) statement: Statement,
    pub(crate) arrived: MonoTime,
    /// When it is refused if it has not been sent by then.
    pub(crate) refuse_at: MonoTime,
    /// When the caller gets a timeout error if there is no answer by then.
    pub(crate) timeout_at: MonoTime,
    pub(crate) stage: Stage,
    /// Number of times that it was sent to an upstream.
    pub(crate) tries: u32,
    /// Whether a connection had to be prepared for it.
    pub(crate) needed_preparation: bool,
    /// Number of connections whose preparation failed.
    pub(crate) failed_preparations: u32,
    /// The holder that it was last sent through; `None` if it was not sent through one.
    pub(crate) holder: Option<VmName>,
    /// The service's term when it was last sent.
    pub(crate) sent_in_term: Term,
    /// It is not sent again before this time.
    pub(crate) retry_at: MonoTime,
    /// The answer that is held back while the stage is [`Stage::Unconfirmed`].
    pub(crate) unconfirmed: Option<UnconfirmedAnswer>,
    /// Whether it waits for a token of its workspace's rate.
    pub(crate) needs_token: bool,
    /// Whether it was counted as held back by the limit of a cold database.
    pub(crate) held_back: bool,
}

impl CurrentStatement {
    /// Whether its time limit has passed.
    pub(crate) fn is_overdue(&self, now: MonoTime) -> bool {
        match self.stage {
            Stage::Waiting | Stage::Connecting(_) => now >= self.refuse_at,
            Stage::Preparing(_) | Stage::Beginning(_) | Stage::Running(_) | Stage::Unconfirmed => {
                now >= self.timeout_at
            }
        }
    }
}

/// The state of a caller's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) host: Box<str>,
    pub(crate) credential: Option<Box<str>>,
    /// Whether the caller was told that the session has started.
    pub(crate) started: bool,
    /// Whether the answer to its start waits for the first configuration.
    pub(crate) start_deferred: bool,
    /// The route and workspace of the operation in progress; changes apply from the next operation.
    pub(crate) authorization: Option<Authorization>,
    pub(crate) variables: SessionVariables,
    pub(crate) prepared: FxHashMap<Box<str>, PreparedStatement>,
    pub(crate) transaction: Transaction,
    pub(crate) commits: SessionCommits,
    /// Whether a statement that writes was sent in the open transaction.
    pub(crate) wrote_in_transaction: bool,
    pub(crate) current: Option<CurrentStatement>,
    pub(crate) queued: VecDeque<QueuedStatement>,
    /// Whether the queued statements start only with the next one, which was read together with them.
    pub(crate) awaits_more: bool,
    /// When the caller last sent a message or a statement was last answered.
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
            commits: SessionCommits::default(),
            wrote_in_transaction: false,
            current: None,
            queued: VecDeque::new(),
            awaits_more: false,
            last_active: now,
        }
    }

    /// Whether no statement is in progress or queued and no transaction is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.current.is_none() && self.queued.is_empty() && self.transaction == Transaction::None
    }

    /// Whether the current statement or a queued one is a `COMMIT`.
    pub(crate) fn has_read_commit(&self) -> bool {
        let current = self.current.as_ref().map(|current| &current.statement);
        let queued = self.queued.iter().filter_map(|queued| queued.statement.as_ref());
        current.into_iter().chain(queued).any(|statement| *statement == Statement::Commit)
    }
}
