//! Keeps each workspace inside its rate and burst, and each database inside its connection limit,
//! across the fleet.
//!
//! A [`portions::PortionController`] agrees on who owns which portion; [`rates::Rates`] spends and
//! transfers the tokens of those portions. Both know no clock, socket or thread.

pub mod account;
pub mod apply;
pub mod bucket;
pub mod drift;
pub mod events;
pub mod gone;
pub mod lenders;
pub mod objects;
pub mod portions;
pub mod rates;
pub mod tidy;
