//! The fleet's configuration: its types, its checks, and its generation from the operators'
//! answers.
//!
//! Operators describe the fleet in an answers file (TOML), from which this crate generates a
//! complete [`Configuration`]. Every change replaces the whole configuration by one of the next
//! generation. Storing and distributing it is left to other crates.

pub mod answers;
pub mod check;
mod document;
mod schema;
pub mod types;

pub use types::{
    Configuration, DataCentre, Database, Drain, KeyRecord, KeyState, PUBLIC_WORKSPACE, Route,
    RouteKind, Service, Slot, VALID_KEYS_MAX, Workspace,
};
