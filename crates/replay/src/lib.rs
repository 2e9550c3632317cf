//! Simulations in virtual time that replay recorded traces against the state machines of the proxy.
//!
//! A trace is a file of JSON Lines under `traces/`: each line has a virtual time and one event, which
//! either changes the simulated system (a fault, a request) or states what must hold by then. Each
//! module has the events and the simulated system (`World`) of one subsystem. Nothing here uses a real
//! clock, socket or thread, so that a run is repeatable.

pub mod failover;
pub mod fleet;
pub mod quota;
pub mod requests;
pub mod tally;
pub mod trace;
