//! Input and output of the control thread.

use failover::{
    observe::Observation,
    promotion::{PromotionEffect, PromotionEvent},
};
use fleet::distribution::{FleetEffect, FleetEvent};
use model::{prelude::*, session::SlotDigest};
use quota::events::{PortionEffect, PortionEvent};

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// Event for the [`FleetController`](fleet::distribution::FleetController).
    Fleet(FleetEvent),
    /// A status query to a database was answered or failed.
    Observed(Observation),
    /// A database or another VM reported a slot's term, and possibly its primary.
    PrimarySeen {
        /// Digest of the slot's service and name.
        slot: SlotDigest,
        /// Term of the slot.
        term: Term,
        /// Primary of the slot in the term, if known.
        primary: Option<DatabaseName>,
    },
    /// Event for the [`PortionController`](quota::portions::PortionController).
    Portions(PortionEvent),
    /// Event for the [`PromotionController`](failover::promotion::PromotionController).
    Promotion(PromotionEvent),
}

/// Output of the control thread, carried out by the `effects` module.
#[derive(Debug)]
pub enum Effect {
    /// Query the status of these databases, and of no others.
    Monitor(Vec<config::Database>),
    /// Effect of the fleet controller.
    Fleet(FleetEffect),
    /// Effect of the portion controller.
    Portions(PortionEffect),
    /// Effect of the promotion controller.
    Promotion(PromotionEffect),
}
