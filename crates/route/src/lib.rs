//! Decides which database serves a request, when the request is sent again, and what its outcome is.
//!
//! The state machines decide from the state of the board and send nothing themselves. [`dispatch`]
//! is the side of the entry VM, which took the request from the caller; [`execution`] is the side
//! of a holder, a VM that holds connections to the database. [`outcome`] determines the outcome of
//! a write whose answer was lost, and [`transaction`] keeps track of open transactions.

pub mod budget;
pub mod dispatch;
pub mod errors;
pub mod execution;
pub mod outcome;
pub mod replica;
pub mod transaction;
