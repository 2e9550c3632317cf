//! Replays traces of rate limits and connection limits against the real controllers of a fleet of VMs.
//!
//! [`world::World`] simulates the VMs, the platform, the network and the clocks. [`check`] checks which
//! requests were admitted. [`trace_events`] defines the events of a trace and replays them.

pub mod check;
pub mod network;
pub mod platform;
pub mod trace_events;
pub mod vm;
pub mod world;
