//! HTTP listeners and clients at the rim of a process.
//!
//! Everything here moves bytes and reports how far a request got; nothing here decides where a
//! request goes or whether it is tried again.

pub mod client;
pub mod connection;
pub mod peer;
pub mod platform;
pub mod replay;
pub mod server;
