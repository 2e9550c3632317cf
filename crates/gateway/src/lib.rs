//! The decisions of the database gateway, without sockets or clocks: sessions, routing, pooling,
//! freshness of reads, leases and failover.
//!
//! [`Engine`] is told each event (a message of a caller, an upstream or a peer, or a tick) with the
//! current time, and queues [`Effect`]s for the process to carry out. Times are of a monotonic
//! clock that keeps running while the machine is suspended.

pub mod admission;
pub mod catalog;
pub mod commits;
pub mod contact;
pub mod effect;
mod engine;
pub mod evacuation;
pub mod failover;
pub mod fleet;
pub mod freshness;
pub mod histogram;
pub mod holders;
pub mod link;
pub mod message;
pub mod peers;
pub mod policy;
mod pool;
pub mod promotions;
mod queue;
pub mod rates;
pub mod refusals;
pub mod regions;
pub mod replicas;
mod session;
mod share;
pub mod spill;
pub mod start;
pub mod warmup;
pub mod witnesses;

pub use effect::{CallerKey, Effect, LinkKey, PlatformRequest, UpstreamKey};
pub use engine::{Engine, EvacuationStatus, Identity, OpenConnections};
pub use promotions::PromotionIntent;
