//! Membership, holder placement and distribution of the configuration.
//!
//! Decisions only: whom to ask and what to believe. Sending and receiving is the daemon's.

pub mod access;
pub mod distribution;
pub mod gossip;
pub mod members;
pub mod placement;
pub mod transfer;
pub mod watchers;
