//! The operators' command-line tool, as a library so that it can be tested.
//!
//! Every command returns a [`reply::Reply`] or a [`error::CtlError`]; [`run::run`] chooses the command.
//! The tool talks to the platform alone, except `status --ops`, which asks VMs directly.

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
