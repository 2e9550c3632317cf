//! Small stand-ins for the platform and for a replicated database, with fault switches.
//!
//! They keep the contracts of docs/protocol-platform.md and docs/protocol-database.md in memory, for
//! demos, benches and tests. Each has a control listener, which no fault switch touches. They are not
//! meant to keep anybody's data.

pub mod database;
pub mod platform;
pub mod program;
pub mod replica_group;
