//! Detects that the configuration asks this VM to drain: to finish its work and exit.

use std::time::Duration;

use crate::app::App;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until the configuration lists a drain of this VM in its current incarnation.
pub async fn requested(app: &App) {
    let is_me = |drain: &config::Drain| {
        drain.vm == app.settings.vm && drain.incarnation == app.settings.incarnation
    };
    while !app.board().catalog.cfg.drains.iter().any(is_me) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
