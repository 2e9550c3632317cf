//! Reads the configuration and the list of VMs from the platform.

use std::{sync::Arc, time::Duration};

use proto::platform::{Object, Version};

use crate::{app::App, control::Event, counters::Counter};

/// Name of the object that holds the configuration.
pub const CONFIGURATION_OBJECT: &str = "configuration";

const WATCH_WAIT: Duration = Duration::from_secs(20);
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the configuration for ever.
pub async fn configuration(app: Arc<App>) {
    let mut version = Version(0);
    loop {
        app.counters.count(Counter::PlatformCalls);
        match app.platform.watch(CONFIGURATION_OBJECT, version, WATCH_WAIT).await {
            Ok(object) if object.version > version => {
                version = object.version;
                take(&app, object);
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Reads the list of VMs for ever.
pub async fn vms(app: Arc<App>) {
    loop {
        app.counters.count(Counter::PlatformCalls);
        if let Ok(list) = app.platform.vms().await {
            app.tell(Event::Vms(list.vms));
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn take(app: &App, object: Object) {
    match serde_json::from_value(object.value) {
        Ok(cfg) => app.tell(Event::Configuration(Box::new(cfg))),
        Err(e) => {
            slog::warn!(app.log, "the configuration object can't be read: write it with jasminepassctl";
                "version" => object.version.0, "error" => e.to_string());
        }
    }
}
