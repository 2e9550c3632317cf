//! Usage and service-level accounting.
//!
//! Each VM keeps a [`recorder::UsageRecorder`] of running counts and reports them to one VM of its
//! data centre, whose [`collector::Collector`] merges them into one [`ledger::DayLedger`] per data centre and business day
//! on the platform. Counts of one incarnation of a VM only grow and merge by the greater value, so that
//! lost, repeated, late and crossed messages and updates change nothing. No socket, clock or thread.

pub mod collector;
pub mod day;
pub mod ledger;
pub mod recorder;
pub mod sli;
pub mod status;
