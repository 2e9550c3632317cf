//! Membership, holder placement and distribution of the configuration.
//!
//! This crate decides whom to ask and what to believe; the daemon sends and receives.

pub mod access;
pub mod distribution;
pub mod gossip;
pub mod members;
pub mod placement;
pub mod transfer;
pub mod watchers;
