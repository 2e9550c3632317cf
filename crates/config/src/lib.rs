//! The fleet configuration: its types, its checks and the questionnaire it is generated from.
//!
//! One configuration object is in force at a time. This crate parses answers into it and checks it
//! whole; it neither stores nor distributes it.

pub mod answers;
pub mod check;
mod document;
mod schema;
pub mod types;

pub use types::{
    Configuration, DataCentre, Database, Drain, KeyRecord, KeyState, PUBLIC_WORKSPACE, Route,
    RouteKind, Service, Slot, VALID_KEYS_MAX, Workspace,
};
