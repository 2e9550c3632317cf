//! The operators' command-line tool `jasminepassctl`, as a library so that tests can call its commands.
//!
//! [`run::run`] dispatches the parsed command line; every command returns a [`reply::Reply`] or an
//! [`error::CtlError`]. The tool sends requests to the platform only, except for `status --ops`, which
//! queries VMs directly.

pub mod answers;
pub mod apply;
pub mod command;
pub mod drain;
pub mod error;
pub mod key;
pub mod plan;
pub mod reply;
pub mod reports;
pub mod rollout;
pub mod run;
pub mod status;
pub mod store;
