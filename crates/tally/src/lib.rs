//! Usage and service-level accounting: how many requests each workspace made, and how many of them
//! were answered in time.
//!
//! The [`recorder::UsageRecorder`] of each VM counts requests and reports its running counts to one
//! VM of the data centre. The [`collector::Collector`] of that VM merges the reports into one
//! [`ledger::DayLedger`] per data centre and business day, which the platform stores. The counts of
//! one incarnation of a VM only grow, and two values of a count merge to the greater one. Lost,
//! repeated, late and reordered messages and updates therefore don't distort the counts.
//!
//! The crate does no I/O and reads no clock.

pub mod collector;
pub mod day;
pub mod ledger;
pub mod recorder;
pub mod sli;
pub mod status;
