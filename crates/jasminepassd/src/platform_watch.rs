//! Reads the configuration, the list of VMs and the data centre's object from the platform, while
//! this VM is one of those that watch the platform for the others.

use std::{sync::Arc, time::Duration};

use edge::client::SendError;
use fleet::distribution::FleetEvent;
use proto::platform::{Object, Version};
use serde_json::Value;

use crate::{app::App, counters::Counter, event::Event};

/// Name of the platform object that holds the configuration.
pub const CONFIGURATION_OBJECT: &str = "configuration";

/// How long a watch call waits for a change. Short, so that an unreachable platform is noticed
/// soon.
const WATCH_WAIT: Duration = Duration::from_secs(1);

const LIST_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Watches the configuration object while this VM is a watcher.
pub async fn configuration(app: Arc<App>) {
    let handle = |app: &App, object: Object| match serde_json::from_value(object.value) {
        Ok(cfg) => app.send_event(Event::Fleet(FleetEvent::ConfigurationRead(Box::new(cfg)))),
        Err(e) => {
            slog::warn!(app.log, "the configuration object can't be read: write it with jasminepassctl";
                "version" => object.version.0, "error" => e.to_string());
        }
    };
    watch_object(app, CONFIGURATION_OBJECT, handle).await;
}

/// Watches the data centre's object, which records the owners of portions of rates, while this VM
/// is a watcher.
pub async fn dc_object(app: Arc<App>) {
    let name = format!("dc/{}", app.settings.dc);
    let handle = |app: &App, object| app.send_event(Event::Fleet(FleetEvent::DcObjectRead(object)));
    watch_object(app, &name, handle).await;
}

/// Reads the list of VMs periodically while this VM is a watcher.
pub async fn vms(app: Arc<App>) {
    let mut watching = app.watching.subscribe();
    while watching.wait_for(|watching| *watching).await.is_ok() {
        let sent_at = app.now();
        app.counters.count(Counter::PlatformCalls);
        if let Ok(list) = app.platform.vms().await {
            app.send_event(Event::Fleet(FleetEvent::PlatformAnswered(sent_at)));
            app.send_event(Event::Fleet(FleetEvent::ListRead(sent_at, list.vms)));
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

async fn watch_object(app: Arc<App>, name: &str, handle: impl Fn(&App, Object)) {
    let mut watching = app.watching.subscribe();
    let mut version = Version(0);
    while watching.wait_for(|watching| *watching).await.is_ok() {
        let sent_at = app.now();
        match watch_once(&app, name, version).await {
            Ok(object) => {
                app.send_event(Event::Fleet(FleetEvent::PlatformAnswered(sent_at)));
                if object.version > version && object.value != Value::Null {
                    version = object.version;
                    handle(&app, object);
                }
            }
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn watch_once(app: &App, name: &str, version: Version) -> Result<Object, SendError> {
    app.counters.count(Counter::PlatformCalls);
    app.platform.watch(name, version, WATCH_WAIT).await
}
