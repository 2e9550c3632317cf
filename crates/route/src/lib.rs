//! Decides where a request runs: slot, database, replica freshness, retries and outcomes.
//!
//! Decisions only, on the board as it is; it sends nothing.

pub mod replica;
