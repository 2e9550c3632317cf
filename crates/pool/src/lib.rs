//! Shares the connections to one database fairly among workspaces.
//!
//! A [`scheduler::ConnectionScheduler`] counts one VM's connections to a database and decides which
//! waiting request gets the next one. A [`queue::FairQueue`] orders the waiting requests, and
//! [`usage::Usage`] reserves free connections for active workspaces. None of them uses sockets,
//! clocks or threads.

pub mod queue;
pub mod scheduler;
pub mod usage;
