//! Decides when a slot has lost its primary and drives the promotion of another.
//!
//! [`observe`] keeps the board's view of terms, primaries, positions and freshness; [`diagnosis`]
//! says what is wrong with a slot; [`promotion`] fences a majority and promotes one member.

pub mod attempt;
pub mod diagnosis;
pub mod observe;
pub mod promotion;
pub mod timeouts;
