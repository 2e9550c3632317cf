//! Rates and connection shares: a fleet of the real controllers in virtual time.
//!
//! [`world::World`] plays the platform, the network and the clocks; [`check`] looks at what was
//! admitted; [`lines`] are the events of a trace.

pub mod check;
pub mod lines;
pub mod network;
pub mod platform;
pub mod vm;
pub mod world;
