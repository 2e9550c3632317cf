//! Stand-ins for the platform and for replicated databases, with fault switches, for demos,
//! benchmarks and tests.
//!
//! [`platform`] and [`database`] implement docs/protocol-platform.md and docs/protocol-database.md
//! as HTTP servers. Each has a control listener that sets fault switches and is not affected by
//! them. [`replica_group`] is a database group without I/O, driven by tests of the gateway. All
//! state is in memory and lost when the process ends.

pub mod database;
pub mod platform;
pub mod program;
pub mod replica_group;
