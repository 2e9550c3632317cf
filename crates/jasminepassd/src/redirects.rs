//! What errors of databases say about who leads.

use model::{prelude::*, session::SlotDigest};
use proto::database::DatabaseError;
use route::errors;

use crate::{app::App, event::Event};

/// Tells the control thread what a database's refusal says of the slot's primary.
pub fn report_redirect(app: &App, service: &ServiceName, slot: &SlotName, error: &DatabaseError) {
    if let Some(redirect) = errors::redirect_for(error) {
        let slot = SlotDigest::new(service.as_str(), slot.as_str());
        app.send_event(Event::PrimarySeen { slot, term: redirect.term, primary: redirect.primary });
    }
}
