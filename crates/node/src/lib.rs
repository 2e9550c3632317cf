//! Runs a gateway engine: listeners, connections, datagrams between VMs, timers.
//!
//! Everything runs on one thread. What a deployment speaks on the wire is a [`Codec`]; where
//! configuration comes from and how promotions are ordered is up to the program, through [`Node`].

pub mod clock;
pub mod codec;
mod connection;
mod node;
pub mod ops;
mod peers;

pub use codec::Codec;
pub use node::{Command, Node, Settings};
pub use peers::{Snapshot, SnapshotVersions};
