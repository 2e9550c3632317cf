//! Reports on the burn of error budgets and on usage.
//!
//! Reports are computed, without any I/O, from the configuration and the ledgers of [`tally`]. They can be
//! formatted as text tables, as JSON (all report types derive `Serialize`), and the burn report also as a
//! self-contained HTML page.

pub mod burn;
pub mod html;
mod plot;
pub mod text;
pub mod usage;

use proto::report::Day;
use tally::ledger::DayLedger;

/// The ledger of one data centre for one business day.
pub type DatedLedger = (Day, DayLedger);
