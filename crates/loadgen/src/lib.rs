//! A load generator with percentiles.
//!
//! It drives whatever it is given; it knows nothing of the system under load.

pub mod closed;
