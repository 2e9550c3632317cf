//! Decides where a request runs: slot, database, replica freshness, retries and outcomes.
//!
//! Decisions only, on the board as it is; it sends nothing. [`attempt`] is the entry VM's part,
//! [`execution`] the holder's, [`outcome`] finds out what became of a write, [`transaction`] keeps the
//! book of open transactions.

pub mod budget;
pub mod dispatch;
pub mod errors;
pub mod execution;
pub mod outcome;
pub mod replica;
pub mod transaction;
