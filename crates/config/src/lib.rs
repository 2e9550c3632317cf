//! The fleet configuration: its types, its checks and the questionnaire it is generated from.
//!
//! One configuration object is in force at a time. This crate parses answers into it and checks it
//! whole; it neither stores nor distributes it.

pub mod answers;
pub mod check;
pub mod types;

pub use types::{
    Configuration, DataCentre, Database, KeyRecord, KeyState, Route, RouteKind, Service, Slot,
    Workspace,
};
