//! Shares the connections to one database fairly among workspaces.
//!
//! A [`share::Share`] counts one VM's connections to a database and decides which waiting request gets
//! the next; a [`queue::FairQueue`] keeps the order, [`usage::Usage`]
//! what is kept free for whom. They know no socket, clock or thread.

pub mod queue;
pub mod scheduler;
pub mod usage;
