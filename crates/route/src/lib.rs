//! Decides where a request runs: slot, database, replica freshness, retries and outcomes.
//!
//! Decisions only, on the board as it is; it sends nothing. [`attempt`] is the entry VM's part,
//! [`execution`] the holder's, [`outcome`] finds out what became of a write, [`transaction`] keeps the
//! book of open transactions.

pub mod attempt;
pub mod budget;
pub mod execution;
pub mod outcome;
pub mod refusal;
pub mod replica;
pub mod transaction;
