//! What the control thread hears, and what it asks for.

use failover::{
    observe::Observation,
    promotion::{PromotionEffect, PromotionEvent},
};
use fleet::distribution::{FleetEffect, FleetEvent};
use model::{prelude::*, session::SlotDigest};
use quota::events::{PortionEffect, PortionEvent};

/// What the control thread hears.
#[derive(Debug)]
pub enum Event {
    /// For the controller of the fleet.
    Fleet(FleetEvent),
    /// A database was asked for its status.
    Observed(Observation),
    /// Somebody said who a slot's primary is.
    PrimarySeen {
        /// The slot.
        slot: SlotDigest,
        /// Its term.
        term: Term,
        /// Its primary, where that is known.
        primary: Option<DatabaseName>,
    },
    /// For the controller of the rates.
    Portions(PortionEvent),
    /// For the controller of promotions.
    Promotion(PromotionEvent),
}

/// What the control thread asks for.
#[derive(Debug)]
pub enum Effect {
    /// Watch these databases, and no others.
    Monitor(Vec<config::Database>),
    /// From the controller of the fleet.
    Fleet(FleetEffect),
    /// From the controller of the rates.
    Portions(PortionEffect),
    /// From the controller of promotions.
    Promotion(PromotionEffect),
}
