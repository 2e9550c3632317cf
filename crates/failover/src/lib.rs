//! Decides when a slot has lost its primary and drives the promotion of another.
//!
//! So far it only keeps the board's view of terms, primaries and positions.

pub mod observe;
