//! A load generator with percentiles.
//!
//! [`closed`] and [`open`] drive whatever they are given; they know nothing of the system under load.
//! [`http`] sends requests to callers' listeners, [`fault`] makes a process fail during a load, and
//! [`plan`] describes both for the program `jasminepass-load`.

pub mod closed;
pub mod fault;
pub mod http;
pub mod open;
pub mod plan;
pub mod recorder;
pub mod schedule;
