//! Carries out what the control thread asks for.

use std::sync::Arc;

use quota::seats::{SeatEffect, SeatEvent};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    app::App,
    control::{Effect, Event},
    counters::Counter,
    failover_io, fleet_io,
    monitor::Monitors,
};

/// Carries out effects until there can be no more.
pub async fn run(app: Arc<App>, mut effects: UnboundedReceiver<Effect>) {
    let mut monitors = Monitors::new(app.clone());
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::Monitor(databases) => monitors.set(&databases),
            Effect::Promotion(effect) => failover_io::carry_out(&app, effect),
            Effect::Fleet(effect) => fleet_io::perform(&app, effect),
            Effect::Seats(effect) => {
                tokio::spawn(call_platform(app.clone(), effect));
            }
        }
    }
}

async fn call_platform(app: Arc<App>, effect: SeatEffect) {
    let name = format!("dc/{}", app.settings.dc);
    let event = match effect {
        SeatEffect::Read => match app.platform.get(&name).await {
            Ok(object) => SeatEvent::Read { version: object.version, value: object.value },
            Err(_) => SeatEvent::NoAnswer,
        },
        SeatEffect::Update { expected, value } => {
            match app.platform.update(&name, expected, value).await {
                Ok(updated) => SeatEvent::Updated(updated),
                Err(_) => SeatEvent::NoAnswer,
            }
        }
        SeatEffect::SeatsChanged => return,
    };
    app.counters.count(Counter::PlatformCalls);
    app.tell(Event::Seats(event));
}
