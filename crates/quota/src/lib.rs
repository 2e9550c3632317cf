//! Enforces each workspace's rate and burst, and each database's connection limit, across the fleet.
//!
//! A [`portions::PortionController`] agrees with the other VMs on who owns which portion of each rate;
//! a [`rate_limiter::RateLimiter`] spends, lends and borrows the tokens of those portions. Both are
//! pure state machines: the caller passes in time and events and carries out the effects that they
//! return.

pub mod absence;
pub mod apply;
pub mod bucket;
pub mod events;
pub mod lenders;
pub mod objects;
pub mod portions;
pub mod rate_limiter;
pub mod rebalance;
pub mod reconcile;
pub mod workspace_limiter;
