//! Reports terms and primaries that are named in errors of databases.

use model::{prelude::*, session::SlotDigest};
use proto::database::DatabaseError;
use route::errors;

use crate::{app::App, event::Event};

/// Reports to the control thread the slot's term, and its primary if known, from a database's
/// refusal.
pub fn report_redirect(app: &App, service: &ServiceName, slot: &SlotName, error: &DatabaseError) {
    if let Some(redirect) = errors::redirect_for(error) {
        let slot = SlotDigest::new(service.as_str(), slot.as_str());
        app.send_event(Event::PrimarySeen { slot, term: redirect.term, primary: redirect.primary });
    }
}
