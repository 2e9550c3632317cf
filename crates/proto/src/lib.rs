//! Messages between callers, VMs, upstreams and the platform.
//!
//! Only their shapes: this crate encodes nothing and sends nothing.

pub mod caller;
pub mod database;
pub mod gossip;
pub mod peer;
pub mod platform;
pub mod report;
pub mod tokens;
