//! Runs a gateway engine with real I/O: listeners, connections, datagrams between VMs and timers.
//!
//! The engine and its connections run on one thread. A [`Codec`] defines the wire protocol towards
//! callers and upstreams. The program around a [`Node`] supplies the configuration and carries out
//! calls to the platform, which it receives as [`Command`]s.

pub mod clock;
pub mod codec;
mod connection;
pub mod datagram;
mod links;
mod node;
pub mod ops;
mod peers;
mod snapshot;

pub use codec::Codec;
pub use node::{Command, Node, Settings};
pub use peers::{Fetched, SharedSnapshot, fetch_snapshot};
pub use snapshot::{Part, PartUpdate, Snapshot, SnapshotHistory, SnapshotVersions};
