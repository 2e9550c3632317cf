//! Queries the status of databases, with one task per database.

use std::{sync::Arc, time::Duration};

use config::Database;
use failover::observe::Observation;
use model::prelude::*;
use proto::database::{DatabaseError, Status, StatusQuery};
use tokio::task::JoinHandle;

use crate::{app::App, event::Event};

/// Time limit of a status query.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Tasks that query the status of databases.
pub struct Monitors {
    app: Arc<App>,
    tasks: FxHashMap<DatabaseName, (Database, JoinHandle<()>)>,
}

impl Monitors {
    /// Creates an empty set of tasks.
    pub fn new(app: Arc<App>) -> Monitors {
        Monitors { app, tasks: FxHashMap::default() }
    }

    /// Starts and stops tasks so that exactly these databases are queried.
    pub fn set(&mut self, databases: &[Database]) {
        self.tasks.retain(|_, (database, task)| {
            let keep = databases.contains(database);
            if !keep {
                task.abort();
            }
            keep
        });
        for database in databases {
            let app = &self.app;
            let start = || (database.clone(), tokio::spawn(monitor(app.clone(), database.clone())));
            self.tasks.entry(database.name.clone()).or_insert_with(start);
        }
    }
}

async fn monitor(app: Arc<App>, database: Database) {
    let interval = Duration::from_micros(app.settings.status_interval.0);
    loop {
        let asked_at = app.now();
        let address = &database.admin_address;
        let reply = app
            .admin_client
            .post_json::<Status, DatabaseError>(address, "/status", &StatusQuery {}, TIMEOUT)
            .await;
        let status = reply.ok().and_then(Result::ok);
        app.send_event(Event::Observed(Observation {
            database: database.name.clone(),
            asked_at,
            status,
        }));
        tokio::time::sleep(interval).await;
    }
}
