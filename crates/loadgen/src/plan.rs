//! The load plan: a TOML file that states who sends which requests, for how long, and which faults occur.

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

/// A load plan, as read from its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Addresses of the VMs' listeners for callers, `ip:port` each.
    pub entries: Vec<String>,
    /// Time during which requests are sent, in milliseconds.
    pub span_ms: u64,
    /// Timeout of each request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum number of requests that a workspace has in flight at once.
    #[serde(default = "default_in_flight_max")]
    pub in_flight_max: usize,
    /// Distribution of the intervals between requests.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Seed of the schedule: the same seed gives the same send times.
    #[serde(default)]
    pub seed: u64,
    /// Workspaces that send requests, with the rate of each.
    pub workspaces: Vec<WorkspacePlan>,
    /// Faults that are injected while the load runs.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The requests that one workspace sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePlan {
    /// Name of the workspace's stream in the report.
    pub name: String,
    /// File that holds the workspace's key; `None` sends requests without a key.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Requests per second.
    pub per_second: f64,
    /// Number of sessions; requests use them in turn.
    #[serde(default = "default_sessions")]
    pub sessions: usize,
    /// Routes that the workspace calls, with the share of each.
    pub routes: Vec<RoutePlan>,
}

/// A route and the statement that a workspace sends to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Service and route, as `service/route`.
    pub route: String,
    /// Share of the workspace's requests that use this route, relative to its other routes.
    pub share: u32,
    /// Statement that the upstream executes.
    pub statement: String,
    /// Parameters of the statement.
    #[serde(default)]
    pub params: Vec<Value>,
    /// Number of distinct slot keys among the requests.
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
    /// Parses a plan from TOML and checks its entries, rates and shares.
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

    /// Runs the load and injects its faults. Fails if a key file can't be read or a fault can't be injected.
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
