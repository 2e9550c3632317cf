//! Replays recorded traces against the controllers.
//!
//! A trace is a file of JSON Lines under `traces/`: each line has a virtual time and one event, which
//! is either fed to the controllers under test or states what they must have done by then. Each area
//! has a module with its events and its world; nothing here uses a real clock, socket or thread.

pub mod failover;
pub mod fleet;
pub mod quota;
pub mod requests;
pub mod tally;
pub mod trace;
