//! Databases that don't carry out single requests.

use gateway::message::{ErrorCode, ForwardedStatement, UpstreamRequest};

use super::World;

/// A kind of request to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Reset,
    Set,
    Prepare,
    Rollback,
    Begin,
    Statement,
    Commit,
}

impl RequestKind {
    fn of(request: &UpstreamRequest) -> Option<RequestKind> {
        match request {
            UpstreamRequest::Reset => Some(RequestKind::Reset),
            UpstreamRequest::Set { .. } => Some(RequestKind::Set),
            UpstreamRequest::Prepare { .. } => Some(RequestKind::Prepare),
            UpstreamRequest::Rollback => Some(RequestKind::Rollback),
            UpstreamRequest::Begin { .. } => Some(RequestKind::Begin),
            UpstreamRequest::Forward { statement: ForwardedStatement::Commit, .. } => {
                Some(RequestKind::Commit)
            }
            UpstreamRequest::Forward { .. } => Some(RequestKind::Statement),
            _ => None,
        }
    }
}

/// What a database does instead of carrying out a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultOutcome {
    Error(ErrorCode),
    Silence,
    Close,
}

/// Requests that a database does not carry out.
#[derive(Clone, Copy, Debug)]
pub struct RequestFault {
    pub database: usize,
    pub kind: RequestKind,
    /// How many requests of the kind are carried out before.
    pub skipped: usize,
    /// How many are not carried out.
    pub count: usize,
    pub outcome: FaultOutcome,
}

impl RequestFault {
    /// All further requests of the kind at the first database.
    pub fn new(kind: RequestKind, outcome: FaultOutcome) -> RequestFault {
        RequestFault { database: 0, kind, skipped: 0, count: usize::MAX, outcome }
    }

    /// Only `count` requests, after `skipped` others.
    pub fn with_count(self, skipped: usize, count: usize) -> RequestFault {
        RequestFault { skipped, count, ..self }
    }
}

impl World {
    /// Returns what the database does instead of carrying out the request.
    pub(super) fn take_fault(
        &mut self,
        database: usize,
        request: &UpstreamRequest,
    ) -> Option<FaultOutcome> {
        let kind = RequestKind::of(request)?;
        let mut faults = self.request_faults.iter_mut();
        let fault = faults.find(|f| f.database == database && f.kind == kind && f.count > 0)?;
        if fault.skipped > 0 {
            fault.skipped -= 1;
            return None;
        }
        fault.count -= 1;
        Some(fault.outcome)
    }
}
