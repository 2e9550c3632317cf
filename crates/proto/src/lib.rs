//! Message types exchanged between callers, VMs, upstreams and the platform.
//!
//! This crate only defines the types; encoding and transport are in the `edge` crate.

pub mod caller;
pub mod database;
pub mod gossip;
pub mod peer;
pub mod platform;
pub mod report;
pub mod tokens;
