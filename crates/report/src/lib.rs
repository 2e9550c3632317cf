//! Reports of service-level burn and of usage.
//!
//! Pure: they are worked out from the configuration and the ledgers of [`tally`], and written as text,
//! JSON (all types derive `Serialize`) or a self-contained HTML page.

pub mod burn;
pub mod html;
mod plot;
pub mod text;
pub mod usage;

use proto::report::Day;
use tally::ledger::DayLedger;

/// What one data centre counted on one business day.
pub type DatedLedger = (Day, DayLedger);
