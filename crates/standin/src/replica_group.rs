//! The databases of one service as a state machine without I/O, for tests of the gateway.
//!
//! The test delivers the requests of each connection and decides when replicas receive the
//! primary's log. The group records every executed statement, so that tests can compare it with the
//! responses that callers got.

use std::collections::BTreeMap;

use gateway::{
    failover::StatusRow,
    message::{
        Access, ErrorCode, ForwardedStatement, PreparedKey, PreparedStatement, Reply,
        TransactionState, UpstreamRequest,
    },
};
use model::prelude::*;

/// A commit in a member's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Term of the primary that committed it.
    pub term: Term,
    /// Statement ids of its writes.
    pub ids: Vec<Box<str>>,
}

/// Record of an executed statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// Statement id chosen by the caller.
    pub id: Box<str>,
    /// Database that executed it.
    pub database: DatabaseName,
    /// Workspace for which the connection was opened.
    pub workspace: Option<WorkspaceName>,
    /// Session variables of the connection at that time.
    pub variables: BTreeMap<Box<str>, Box<str>>,
    /// Text of the statement; a prepared statement's text is followed by its arguments.
    pub text: Box<str>,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
    /// Position of the database's log before it ran.
    pub position: Position,
}

/// One database of a [`ReplicaGroup`].
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the database.
    pub name: DatabaseName,
    /// Whether it accepts writes.
    pub is_primary: bool,
    /// Term in which it became primary, or of the last log that it received.
    pub term: Term,
    /// Commits, oldest first.
    pub log: Vec<LogEntry>,
    /// Whether replication to it is paused, until it is promoted or resumed.
    pub paused: bool,
    /// Number of further statements that it refuses as [`ErrorCode::Busy`].
    pub busy_replies: u32,
}

/// A connection's state at a member.
#[derive(Clone, Debug, Default)]
struct Session {
    workspace: Option<WorkspaceName>,
    variables: BTreeMap<Box<str>, Box<str>>,
    prepared: BTreeMap<PreparedKey, PreparedStatement>,
    /// Access mode of the open transaction; `None` outside a transaction.
    transaction: Option<Access>,
    /// Whether a statement of the open transaction failed.
    failed: bool,
    /// Ids of the writes that are not committed yet.
    writes: Vec<Box<str>>,
    /// Settings when the transaction began.
    settings_before: Option<Box<SavedSettings>>,
}

/// Session variables and prepared statements that a rollback may restore.
#[derive(Clone, Debug)]
struct SavedSettings {
    variables: BTreeMap<Box<str>, Box<str>>,
    prepared: BTreeMap<PreparedKey, PreparedStatement>,
}

/// Identifies a connection; chosen by the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The databases of one service, with an open session for each connection.
#[derive(Clone, Debug)]
pub struct ReplicaGroup {
    /// Name of the service.
    pub service: ServiceName,
    /// Databases of the group; methods take an index into this list.
    pub members: Vec<Member>,
    /// Executed statements, oldest first.
    pub runs: Vec<ExecutedStatement>,
    /// Number of commits received outside a transaction.
    pub commits_outside_transaction: usize,
    /// Whether a rollback also restores session variables and prepared statements.
    pub rollback_reverts_settings: bool,
    /// Maximum number of open connections of each member.
    pub connection_limit: usize,
    /// Number of connections refused because of the limit.
    pub refused_connections: usize,
    sessions: BTreeMap<(usize, ConnectionId), Session>,
    receipt_count: u64,
}

impl ReplicaGroup {
    /// Creates a group whose first member is the primary of term 1.
    pub fn new(service: ServiceName, names: &[DatabaseName]) -> ReplicaGroup {
        let member = |(index, name): (usize, &DatabaseName)| Member {
            name: name.clone(),
            is_primary: index == 0,
            term: Term(1),
            log: vec![LogEntry { term: Term(1), ids: Vec::new() }],
            paused: false,
            busy_replies: 0,
        };
        ReplicaGroup {
            service,
            members: names.iter().enumerate().map(member).collect(),
            runs: Vec::new(),
            commits_outside_transaction: 0,
            rollback_reverts_settings: false,
            connection_limit: usize::MAX,
            refused_connections: 0,
            sessions: BTreeMap::new(),
            receipt_count: 0,
        }
    }

    /// Returns the index of the member with this name.
    pub fn member_index(&self, name: &DatabaseName) -> Option<usize> {
        self.members.iter().position(|member| member.name == *name)
    }

    /// Returns the last position of a member's log.
    pub fn position(&self, member: usize) -> Position {
        let log = &self.members[member].log;
        let term = log.last().map_or(Term(0), |entry| entry.term);
        Position::new(term, log.len() as u64)
    }

    /// Copies the primary's log and term to a replica, unless it is paused or in a newer term.
    pub fn replicate(&mut self, primary: usize, replica: usize) {
        let source = &self.members[primary];
        let (log, term) = (source.log.clone(), source.term);
        let target = &mut self.members[replica];
        if target.paused || target.term > term {
            return;
        }
        target.log = log;
        target.term = term;
    }

    /// Makes a member the primary of the next term, with the log that it has. A primary stays as it
    /// is.
    pub fn promote(&mut self, name: &DatabaseName) {
        let Some(index) = self.member_index(name) else { return };
        let newest = self.members.iter().map(|member| member.term).max().unwrap_or(Term(0));
        let member = &mut self.members[index];
        if !member.is_primary {
            member.is_primary = true;
            member.paused = false;
            member.term = newest.next();
        }
    }

    /// Returns whether a member's log contains the write `id`.
    pub fn has_write(&self, member: usize, id: &str) -> bool {
        self.members[member].log.iter().any(|entry| entry.ids.iter().any(|own| &**own == id))
    }

    /// Closes a connection, which rolls its transaction back.
    pub fn close(&mut self, member: usize, connection: ConnectionId) {
        self.sessions.remove(&(member, connection));
    }

    /// Executes a request. `Err` holds the replies to send before the connection is closed.
    pub fn execute(
        &mut self,
        member: usize,
        connection: ConnectionId,
        request: UpstreamRequest,
    ) -> Result<Vec<Reply>, Vec<Reply>> {
        let key = (member, connection);
        if let UpstreamRequest::Start { service, workspace, database } = request {
            let open = self.sessions.keys().filter(|(at, _)| *at == member).count();
            if service != self.service || database != self.members[member].name {
                return Err(vec![error(ErrorCode::Misrouted)]);
            }
            if open >= self.connection_limit {
                self.refused_connections += 1;
                return Err(vec![error(ErrorCode::TooMany)]);
            }
            self.sessions.insert(key, Session { workspace, ..Session::default() });
            return Ok(vec![self.ready(key)]);
        }
        let Some(mut session) = self.sessions.remove(&key) else { return Err(Vec::new()) };
        let mut replies = match self.run(member, &mut session, request) {
            Ok(replies) => replies,
            Err(code) => {
                session.failed |= session.transaction.is_some() && code != ErrorCode::Busy;
                vec![error(code)]
            }
        };
        self.sessions.insert(key, session);
        replies.push(self.ready(key));
        Ok(replies)
    }

    /// Answers a request with an error instead of executing it. An open transaction fails.
    pub fn refuse(
        &mut self,
        member: usize,
        connection: ConnectionId,
        code: ErrorCode,
    ) -> Vec<Reply> {
        let key = (member, connection);
        let Some(session) = self.sessions.get_mut(&key) else { return Vec::new() };
        session.failed |= session.transaction.is_some();
        vec![error(code), self.ready(key)]
    }

    fn ready(&self, key: (usize, ConnectionId)) -> Reply {
        let session = &self.sessions[&key];
        let state = match (session.transaction, session.failed) {
            (None, _) => TransactionState::Idle,
            (Some(_), false) => TransactionState::Open,
            (Some(_), true) => TransactionState::Failed,
        };
        Reply::Ready { state, position: Some(self.position(key.0)) }
    }

    fn run(
        &mut self,
        member: usize,
        session: &mut Session,
        request: UpstreamRequest,
    ) -> Result<Vec<Reply>, ErrorCode> {
        let done = || Ok(vec![Reply::Complete { receipt: None }]);
        match request {
            UpstreamRequest::Start { .. } => Err(ErrorCode::Malformed),
            UpstreamRequest::Begin { access, after } => {
                self.check_position(member, after)?;
                if access == Access::Write && !self.members[member].is_primary {
                    return Err(ErrorCode::ReadOnly);
                }
                session.transaction = Some(access);
                session.failed = false;
                session.writes.clear();
                let (variables, prepared) = (session.variables.clone(), session.prepared.clone());
                session.settings_before = Some(Box::new(SavedSettings { variables, prepared }));
                done()
            }
            UpstreamRequest::Rollback => {
                session.transaction = None;
                if let Some(settings_before) =
                    session.settings_before.take().filter(|_| self.rollback_reverts_settings)
                {
                    session.variables = settings_before.variables;
                    session.prepared = settings_before.prepared;
                }
                session.writes.clear();
                done()
            }
            UpstreamRequest::Set { name, value } => {
                session.variables.insert(name, value);
                done()
            }
            UpstreamRequest::Prepare { key, statement } => {
                session.prepared.insert(key, statement);
                done()
            }
            UpstreamRequest::Reset => {
                session.variables.clear();
                session.prepared.clear();
                done()
            }
            UpstreamRequest::Status => Ok(self.status(member)),
            UpstreamRequest::Pause(term) => {
                self.members[member].paused |= term > self.members[member].term;
                Ok(self.status(member))
            }
            UpstreamRequest::Resume => {
                self.members[member].paused = false;
                Ok(self.status(member))
            }
            UpstreamRequest::Demote(term) => {
                let state = &mut self.members[member];
                state.is_primary &= state.term >= term;
                Ok(self.status(member))
            }
            UpstreamRequest::Forward { id, after, statement } => {
                self.forward(member, session, id, after, statement)
            }
        }
    }

    fn check_position(&self, member: usize, after: Option<Position>) -> Result<(), ErrorCode> {
        match after {
            Some(after) if self.position(member) < after => Err(ErrorCode::Lagging),
            _ => Ok(()),
        }
    }

    fn forward(
        &mut self,
        member: usize,
        session: &mut Session,
        id: Box<str>,
        after: Option<Position>,
        statement: ForwardedStatement,
    ) -> Result<Vec<Reply>, ErrorCode> {
        if session.failed && session.transaction.is_some() {
            return Err(ErrorCode::Malformed);
        }
        let state = &mut self.members[member];
        if state.busy_replies > 0 {
            state.busy_replies -= 1;
            return Err(ErrorCode::Busy);
        }
        self.check_position(member, after)?;
        let is_primary = self.members[member].is_primary;
        if session.transaction == Some(Access::Write) && !is_primary {
            return Err(ErrorCode::ReadOnly);
        }
        let (access, text): (Access, Box<str>) = match statement {
            ForwardedStatement::Plain(text) if text.starts_with("WRITE") => (Access::Write, text),
            ForwardedStatement::Plain(text) => (Access::Read, text),
            ForwardedStatement::Execute { key, arguments } => {
                let prepared = session.prepared.get(&key).ok_or(ErrorCode::NoSuchStatement)?;
                (prepared.access, format!("{} {arguments}", prepared.text).into())
            }
            ForwardedStatement::Commit => return Ok(self.commit(member, session)),
        };
        if access == Access::Write && !is_primary {
            return Err(ErrorCode::ReadOnly);
        }
        self.runs.push(ExecutedStatement {
            id: id.clone(),
            database: self.members[member].name.clone(),
            workspace: session.workspace.clone(),
            variables: session.variables.clone(),
            text,
            in_transaction: session.transaction.is_some(),
            position: self.position(member),
        });
        if access == Access::Write {
            session.writes.push(id.clone());
            if session.transaction.is_none() {
                self.append(member, session);
            }
        }
        self.receipt_count += 1;
        let receipt = format!("{}.{}", self.members[member].name, self.receipt_count);
        Ok(vec![Reply::Row(id), Reply::Complete { receipt: Some(receipt.into()) }])
    }

    fn commit(&mut self, member: usize, session: &mut Session) -> Vec<Reply> {
        self.commits_outside_transaction += usize::from(session.transaction.take().is_none());
        if !session.writes.is_empty() {
            self.append(member, session);
        }
        self.receipt_count += 1;
        let receipt = format!("{}.{}", self.members[member].name, self.receipt_count);
        vec![Reply::Complete { receipt: Some(receipt.into()) }]
    }

    fn append(&mut self, member: usize, session: &mut Session) {
        let state = &mut self.members[member];
        let ids = std::mem::take(&mut session.writes);
        state.log.push(LogEntry { term: state.term, ids });
    }

    fn status(&self, member: usize) -> Vec<Reply> {
        let state = &self.members[member];
        let role = if state.is_primary { "primary" } else { "replica" };
        let row = format!("{role} {} {}", state.term, self.position(member));
        vec![Reply::Row(row.into()), Reply::Complete { receipt: None }]
    }
}

/// Parses a status row that a group sends in reply to [`UpstreamRequest::Status`]. Returns `None`
/// if it is malformed.
pub fn parse_status_row(text: &str) -> Option<StatusRow> {
    let mut fields = text.split(' ');
    let is_primary = fields.next()? == "primary";
    let term = Term(fields.next()?.parse().ok()?);
    let (log_term, index) = fields.next()?.split_once('.')?;
    let received = Position::new(Term(log_term.parse().ok()?), index.parse().ok()?);
    Some(StatusRow { is_primary, term, received })
}

fn error(code: ErrorCode) -> Reply {
    Reply::Error { code, text: "".into() }
}
