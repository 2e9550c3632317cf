//! Rates and connection shares: a fleet of the real controllers in virtual time.
//!
//! [`world::World`] plays the platform, the network and the clocks; [`check`] looks at what was
//! admitted; [`trace_events`] are the events of a trace.

pub mod check;
pub mod network;
pub mod platform;
pub mod trace_events;
pub mod vm;
pub mod world;
