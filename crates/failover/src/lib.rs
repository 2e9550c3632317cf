//! Detects that a slot has lost its primary and promotes another member.
//!
//! A slot is a replicated part of a service's data; its members are the databases that carry it.
//! [`observe`] records the members' status answers on the board, [`diagnosis`] judges from them
//! whether the primary is healthy, and [`promotion`] fences a majority of the members and promotes
//! one of them. [`attempt`] holds the state of one promotion, [`timeouts`] its time limits.

pub mod attempt;
pub mod diagnosis;
pub mod observe;
pub mod promotion;
pub mod timeouts;
