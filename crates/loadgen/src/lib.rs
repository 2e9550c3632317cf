//! A load generator that reports latency percentiles, outcomes and gaps in service.
//!
//! [`closed`] and [`open`] are the closed-loop and open-loop drivers; they don't depend on the system
//! under load. [`http`] sends requests to a fleet's listeners for callers, [`fault`] injects faults
//! into processes during a load, and [`plan`] reads both from a TOML file for the program
//! `jasminepass-load`.

pub mod closed;
pub mod fault;
pub mod http;
pub mod open;
pub mod plan;
pub mod recorder;
pub mod schedule;
