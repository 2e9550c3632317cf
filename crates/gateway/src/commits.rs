//! The newest commits of a session, by service.

use std::mem;

use model::prelude::*;

use crate::catalog::Catalog;

/// A session's newest acknowledged commit at a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewestCommit {
    /// It is at this position.
    At(Position),
    /// It is after this position; the database did not say where.
    After(Position),
}

impl NewestCommit {
    /// The newest commit once another one was acknowledged with `position`.
    fn with(self, position: Option<Position>) -> NewestCommit {
        let (NewestCommit::At(before) | NewestCommit::After(before)) = self;
        match position {
            Some(position) => NewestCommit::At(position.max(before)),
            None => NewestCommit::After(before),
        }
    }
}

/// An entry of [`SessionCommits`].
#[derive(Debug)]
pub struct ServiceCommit {
    service: ServiceName,
    newest: NewestCommit,
}

/// A session's newest acknowledged commit at each service. Positions of different services are never compared.
///
/// A service that a configuration removes keeps its entry while there is room, since it may be put back. The entry
/// stays true then: the terms of a service only rise.
#[derive(Debug)]
pub enum SessionCommits {
    /// The session has committed at one service only, as most do.
    One(ServiceCommit),
    /// It has committed at any number of services.
    Several {
        /// One entry for each service.
        entries: Vec<ServiceCommit>,
        /// Whether entries were dropped, of services that were not configured.
        is_partial: bool,
    },
}

impl Default for SessionCommits {
    fn default() -> SessionCommits {
        SessionCommits::Several { entries: Vec::new(), is_partial: false }
    }
}

impl SessionCommits {
    /// Records that a commit at `service` was acknowledged, with the database's position after it if the answer had one.
    /// There are at most as many entries as services in the configuration, and one more while `service` is not there.
    pub fn note(&mut self, service: ServiceName, position: Option<Position>, catalog: &Catalog) {
        if let Some(entry) = self.entries_mut().iter_mut().find(|entry| entry.service == service) {
            entry.newest = entry.newest.with(position);
            return;
        }
        let newest = NewestCommit::After(Position::ZERO).with(position);
        let added = ServiceCommit { service, newest };
        *self = match mem::take(self) {
            SessionCommits::Several { entries, is_partial: false } if entries.is_empty() => {
                SessionCommits::One(added)
            }
            SessionCommits::One(first) => {
                SessionCommits::with_added(vec![first], false, added, catalog)
            }
            SessionCommits::Several { entries, is_partial } => {
                SessionCommits::with_added(entries, is_partial, added, catalog)
            }
        };
    }

    /// Adds an entry. Where there are as many as services in the configuration, those of other services are dropped.
    fn with_added(
        mut entries: Vec<ServiceCommit>,
        is_partial: bool,
        added: ServiceCommit,
        catalog: &Catalog,
    ) -> SessionCommits {
        let count = entries.len();
        if count >= catalog.services.len() {
            entries.retain(|entry| catalog.services.contains_key(&entry.service));
        }
        let is_partial = is_partial || entries.len() < count;
        entries.push(added);
        SessionCommits::Several { entries, is_partial }
    }

    fn entries_mut(&mut self) -> &mut [ServiceCommit] {
        match self {
            SessionCommits::One(entry) => std::slice::from_mut(entry),
            SessionCommits::Several { entries, .. } => entries,
        }
    }

    /// The newest commit at a service; `None` if there was none.
    pub fn newest(&self, service: &ServiceName) -> Option<NewestCommit> {
        let (entries, is_partial) = match self {
            SessionCommits::One(entry) => (std::slice::from_ref(entry), false),
            SessionCommits::Several { entries, is_partial } => (&**entries, *is_partial),
        };
        let entry = entries.iter().find(|entry| entry.service == *service);
        let dropped = is_partial.then_some(NewestCommit::After(Position::ZERO));
        entry.map(|entry| entry.newest).or(dropped)
    }
}
