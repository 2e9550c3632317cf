//! A load as a TOML file.

use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    fault::{self, Fault},
    http::{FleetClient, RouteSpec, Workspace},
    open::{self, LoadSettings, Report, Stream},
    schedule::Arrivals,
};

/// A load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Callers' listeners, `ip:port` each.
    pub entries: Vec<String>,
    /// How long requests are sent, in milliseconds.
    pub span_ms: u64,
    /// Time that each request is given, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Requests of a workspace in flight at once.
    #[serde(default = "default_in_flight_max")]
    pub in_flight_max: usize,
    /// How the requests' times are spread.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// The same seed gives the same times.
    #[serde(default)]
    pub seed: u64,
    /// Who sends.
    pub workspaces: Vec<WorkspacePlan>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A workspace of a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePlan {
    /// Its name in the report.
    pub name: String,
    /// File with its key; absent for requests without one.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Requests per second.
    pub per_second: f64,
    /// Sessions in use at once.
    #[serde(default = "default_sessions")]
    pub sessions: usize,
    /// Its kinds of request.
    pub routes: Vec<RoutePlan>,
}

/// A kind of request of a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// `service/route`.
    pub route: String,
    /// Its share of the workspace's requests, relative to the other routes.
    pub share: u32,
    /// What the upstream executes.
    pub statement: String,
    /// Its parameters.
    #[serde(default)]
    pub params: Vec<Value>,
    /// How many different slot keys the requests have.
    #[serde(default = "default_slot_keys")]
    pub slot_keys: u64,
}

fn default_timeout_ms() -> u64 {
    5_000
}

fn default_in_flight_max() -> usize {
    1_024
}

fn default_sessions() -> usize {
    16
}

fn default_slot_keys() -> u64 {
    100
}

impl Plan {
    /// Reads a plan from its text.
    pub fn parse(text: &str) -> eyre::Result<Plan> {
        let plan: Plan = toml::from_str(text)?;
        if plan.entries.is_empty() {
            return Err(eyre!("entries is empty: give at least one callers' listener"));
        }
        for workspace in &plan.workspaces {
            let sendable = workspace.per_second.is_finite() && workspace.per_second > 0.0;
            if !sendable || workspace.routes.iter().all(|r| r.share == 0) {
                let name = &workspace.name;
                return Err(eyre!(
                    "{name}: give per_second above 0 and a route with a share above 0"
                ));
            }
        }
        Ok(plan)
    }

    /// Runs the load and its faults.
    pub async fn run(&self) -> eyre::Result<Report> {
        let workspaces = self.workspaces.iter().map(read_workspace).collect::<eyre::Result<_>>()?;
        let fleet = FleetClient::new(
            self.entries.clone(),
            workspaces,
            Duration::from_millis(self.timeout_ms),
        );
        let settings = LoadSettings {
            span: Duration::from_millis(self.span_ms),
            arrivals: self.arrivals,
            in_flight_max: self.in_flight_max,
            seed: self.seed,
        };
        let streams: Vec<Stream> = self.workspaces.iter().map(stream).collect();
        let started = Instant::now();
        let faults: Vec<_> =
            self.faults.iter().map(|f| tokio::spawn(fault::run(f.clone(), started))).collect();
        let report = open::run(Arc::new(fleet), &streams, settings).await?;
        for fault in faults {
            fault.await??;
        }
        Ok(report)
    }
}

fn stream(workspace: &WorkspacePlan) -> Stream {
    let mix = workspace.routes.iter().map(|r| (r.route.clone(), r.share));
    Stream { name: workspace.name.clone(), per_second: workspace.per_second, mix: mix.collect() }
}

fn read_workspace(workspace: &WorkspacePlan) -> eyre::Result<Workspace> {
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path);
        text.wrap_err_with(|| format!("key_file {} can't be read", path.display()))
    };
    let key = workspace.key_file.as_ref().map(read).transpose()?;
    let routes = workspace.routes.iter().map(|r| RouteSpec {
        route: r.route.clone(),
        statement: r.statement.clone(),
        params: r.params.clone(),
        slot_keys: r.slot_keys,
    });
    Ok(Workspace {
        key: key.map(|key| key.trim().to_owned()),
        sessions: workspace.sessions,
        routes: routes.collect(),
    })
}
