//! HTTP listeners and clients.
//!
//! This crate transports messages and reports how far a failed request got. It does not decide
//! where a request goes or whether it is retried.

pub mod client;
pub mod connection;
pub mod one_shot;
pub mod peer;
pub mod platform;
pub mod replay;
pub mod server;
pub mod upgrade;
