//! Sessions of statements before replicated databases: the decisions, without sockets or clocks.
//!
//! [`Engine`] takes what happened (a caller's message, an upstream's reply, a peer's message, a tick)
//! with the time, and queues [`Effect`]s that the process carries out. Times count suspension.

pub mod catalog;
pub mod effect;
mod engine;
pub mod failover;
pub mod fleet;
pub mod freshness;
pub mod histogram;
pub mod message;
pub mod peers;
mod pool;
mod queue;
pub mod rates;
mod session;
pub mod witnesses;

pub use effect::{CallerKey, Effect, PlatformRequest, UpstreamKey};
pub use engine::{Engine, Identity};
pub use failover::PromotionIntent;
