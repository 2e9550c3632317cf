//! Keeps each workspace inside its rate and burst across the fleet.
//!
//! A [`bucket::Bucket`] admits requests on one VM; [`seats::SeatController`] divides each data centre's
//! share of the rates among its VMs, by conditional updates of one object.

pub mod bucket;
pub mod seats;
