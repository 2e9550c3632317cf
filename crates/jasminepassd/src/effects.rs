//! Carries out the effects that the control thread requests.

use std::sync::Arc;

use tokio::sync::mpsc::UnboundedReceiver;

use crate::{app::App, event::Effect, failover_io, fleet_io, monitor::Monitors, quota_io};

/// Carries out effects until the control thread has ended.
pub async fn run(app: Arc<App>, mut effects: UnboundedReceiver<Effect>) {
    let mut monitors = Monitors::new(app.clone());
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::Monitor(databases) => monitors.set(&databases),
            Effect::Promotion(effect) => failover_io::carry_out(&app, effect),
            Effect::Fleet(effect) => fleet_io::carry_out(&app, effect),
            Effect::Portions(effect) => {
                tokio::spawn(quota_io::call_platform(app.clone(), effect));
            }
        }
    }
}
