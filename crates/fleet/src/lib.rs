//! Membership, holder placement and distribution of the configuration.
//!
//! This crate decides which VMs to call and which information to accept; the daemon sends and
//! receives.

pub mod access;
pub mod distribution;
pub mod gossip;
pub mod members;
pub mod placement;
pub mod transfer;
pub mod watchers;
