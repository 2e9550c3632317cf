//! Keeps each workspace inside its rate and burst, and each database inside its connection limit,
//! across the fleet.
//!
//! A [`portions::PortionController`] agrees on who owns which portion; [`rate_limiter::RateLimiter`] spends and
//! transfers the tokens of those portions. Both know no clock, socket or thread.

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
