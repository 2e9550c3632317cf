//! Checks that a configuration is consistent and can be applied.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

use crate::types::{
    Configuration, Database, KeyState, PUBLIC_WORKSPACE, Route, RouteKind, Service, Slot,
    VALID_KEYS_MAX, Workspace,
};

/// Route names that are reserved, since callers' URL paths use them for transactions.
pub const RESERVED_ROUTES: [&str; 3] = ["transactions", "commit", "rollback"];

/// One error in a configuration or an answers file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{}{place}: {problem}; {remedy}", line_text(.line))]
pub struct Diagnostic {
    /// Line in the answers file, counted from one; absent if unknown.
    pub line: Option<usize>,
    /// Path of the setting, such as `services.quotes.slots.s1.members`.
    pub place: String,
    /// Description of the error, with the value found.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

fn line_text(line: &Option<usize>) -> String {
    line.map(|line| format!("line {line}: ")).unwrap_or_default()
}

impl Diagnostic {
    /// Creates a diagnostic without a line.
    pub fn new(
        place: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            line: None,
            place: place.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    /// Sets the line in the answers file.
    pub fn with_line(mut self, line: Option<usize>) -> Diagnostic {
        self.line = line;
        self
    }
}

/// Returns every error of the configuration; none if it can be applied.
pub fn check(cfg: &Configuration) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    if cfg.data_centres.is_empty() {
        diagnostics.push(Diagnostic::new("data_centres", "there is none", "name at least one"));
    }
    if cfg.holders_per_database == 0 {
        let remedy = "give 1 or more, 2 or 3 to survive a failed VM";
        diagnostics.push(Diagnostic::new("holders_per_database", "it is 0", remedy));
    }
    check_time_zone("time_zone", &cfg.time_zone, &mut diagnostics);
    check_unique(
        cfg.data_centres.iter().map(|dc| dc.name.as_str()),
        "data_centres",
        &mut diagnostics,
    );
    check_unique(cfg.services.iter().map(|s| s.name.as_str()), "services", &mut diagnostics);
    check_unique(cfg.workspaces.iter().map(|w| w.name.as_str()), "workspaces", &mut diagnostics);
    check_unique(cfg.keys.iter().map(|k| k.name.as_str()), "keys", &mut diagnostics);
    check_database_names(cfg, &mut diagnostics);
    for service in &cfg.services {
        check_service(cfg, service, &mut diagnostics);
    }
    check_public(cfg, &mut diagnostics);
    for workspace in &cfg.workspaces {
        check_workspace(cfg, workspace, &mut diagnostics);
    }
    check_keys(cfg, &mut diagnostics);
    diagnostics
}

fn check_database_names(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    let mut seen = BTreeSet::new();
    for service in &cfg.services {
        for database in service.databases.iter().filter(|d| !seen.insert(&d.name)) {
            let place = format!("services.{}.databases.{}", service.name, database.name);
            diagnostics.push(duplicate(place, database.name.as_str()));
        }
    }
}

fn check_service(cfg: &Configuration, service: &Service, diagnostics: &mut Vec<Diagnostic>) {
    let place = format!("services.{}", service.name);
    check_unique(
        service.slots.iter().map(|s| s.name.as_str()),
        &format!("{place}.slots"),
        diagnostics,
    );
    check_unique(
        service.routes.iter().map(|r| r.name.as_str()),
        &format!("{place}.routes"),
        diagnostics,
    );
    if service.databases.is_empty() {
        let remedy = "give at least one";
        diagnostics.push(Diagnostic::new(
            format!("{place}.databases"),
            "it has no database",
            remedy,
        ));
    }
    if service.slots.is_empty() {
        let remedy = "give at least one";
        diagnostics.push(Diagnostic::new(format!("{place}.slots"), "it has no slot", remedy));
    }
    for database in &service.databases {
        check_database(cfg, &place, database, diagnostics);
    }
    for slot in &service.slots {
        check_slot(service, &place, slot, diagnostics);
    }
    for route in &service.routes {
        check_route(&place, route, diagnostics);
    }
}

fn check_database(
    cfg: &Configuration,
    place: &str,
    database: &Database,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let place = format!("{place}.databases.{}", database.name);
    if !cfg.data_centres.iter().any(|dc| dc.name == database.dc) {
        let problem = format!("data centre `{}` is unknown", database.dc);
        diagnostics.push(Diagnostic::new(
            format!("{place}.dc"),
            problem,
            "name one of data_centres",
        ));
    }
    let (limit, holders) = (database.connection_limit, cfg.holders_per_database);
    if limit < holders {
        let problem = format!("connection_limit is {limit}, fewer than its {holders} holders");
        let remedy = "raise it to one connection per holder or more";
        diagnostics.push(Diagnostic::new(format!("{place}.connection_limit"), problem, remedy));
    }
    let addresses = [("address", &database.address), ("admin_address", &database.admin_address)];
    for (setting, address) in addresses {
        if address.parse::<std::net::SocketAddr>().is_err() {
            let problem = format!("`{address}` is not an address");
            let remedy = "write an IP address and a port, such as 10.0.0.7:5432";
            diagnostics.push(Diagnostic::new(format!("{place}.{setting}"), problem, remedy));
        }
    }
}

fn check_slot(service: &Service, place: &str, slot: &Slot, diagnostics: &mut Vec<Diagnostic>) {
    let place = format!("{place}.slots.{}", slot.name);
    check_unique(slot.members.iter().map(|m| m.as_str()), &format!("{place}.members"), diagnostics);
    if slot.members.is_empty() && !service.databases.is_empty() {
        diagnostics.push(Diagnostic::new(
            &place,
            "it has no member",
            "name the databases that carry it",
        ));
    }
    let known = |name: &DatabaseName| service.databases.iter().any(|d| d.name == *name);
    for member in slot.members.iter().filter(|m| !known(m)) {
        let problem = format!("member `{member}` is unknown");
        diagnostics.push(Diagnostic::new(&place, problem, "name a database of the service"));
    }
}

fn check_route(place: &str, route: &Route, diagnostics: &mut Vec<Diagnostic>) {
    let place = format!("{place}.routes.{}", route.name);
    if RESERVED_ROUTES.contains(&route.name.as_str()) {
        let remedy = "choose another name";
        diagnostics.push(Diagnostic::new(format!("{place}.name"), "the name is reserved", remedy));
    }
    if route.weight == 0 {
        diagnostics.push(Diagnostic::new(
            format!("{place}.weight"),
            "weight is 0",
            "give 1 or more",
        ));
    }
    if route.kind == RouteKind::Write && route.max_age_ms > 0 {
        let problem = format!("max_age_ms is {} on a write", route.max_age_ms);
        let remedy = "leave it out: a write runs on the primary";
        diagnostics.push(Diagnostic::new(format!("{place}.max_age_ms"), problem, remedy));
    }
}

fn check_public(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    if cfg.workspaces.iter().any(|w| w.name.as_str() == PUBLIC_WORKSPACE) {
        return;
    }
    for service in &cfg.services {
        for route in service.routes.iter().filter(|r| r.open) {
            let place = format!("services.{}.routes.{}.open", service.name, route.name);
            let problem = format!("it is open, and there is no workspace `{PUBLIC_WORKSPACE}`");
            let remedy = "add that workspace with a rate for all requests without a key";
            diagnostics.push(Diagnostic::new(place, problem, remedy));
        }
    }
}

fn check_workspace(cfg: &Configuration, workspace: &Workspace, diagnostics: &mut Vec<Diagnostic>) {
    let place = format!("workspaces.{}", workspace.name);
    let known = |name: &ServiceName| cfg.services.iter().any(|s| s.name == *name);
    for service in workspace.services.iter().filter(|s| !known(s)) {
        let problem = format!("service `{service}` is unknown");
        diagnostics.push(Diagnostic::new(
            format!("{place}.services"),
            problem,
            "name one of services",
        ));
    }
    let (burst, heaviest) = (workspace.burst, heaviest_route(cfg, &workspace.services));
    if burst < heaviest {
        let problem =
            format!("burst is {burst}, less than the heaviest request of weight {heaviest}");
        let remedy = "raise burst to that weight or more";
        diagnostics.push(Diagnostic::new(format!("{place}.burst"), problem, remedy));
    }
    if workspace.rate_per_s == 0 {
        diagnostics.push(Diagnostic::new(
            format!("{place}.rate_per_s"),
            "rate_per_s is 0",
            "give 1 or more",
        ));
    }
    if workspace.objective_ppm >= 1_000_000 {
        let problem = format!("objective_ppm is {}", workspace.objective_ppm);
        let remedy = "give less than 1000000, such as 999000";
        diagnostics.push(Diagnostic::new(format!("{place}.objective_ppm"), problem, remedy));
    }
    if let Some(zone) = &workspace.time_zone {
        check_time_zone(&format!("{place}.time_zone"), zone, diagnostics);
    }
}

fn check_keys(cfg: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    let known = |name: &WorkspaceName| cfg.workspaces.iter().any(|w| w.name == *name);
    // The record of a withdrawn key is kept after its workspace was removed.
    let valid = || cfg.keys.iter().filter(|k| k.state == KeyState::Valid);
    for key in valid().filter(|k| !known(&k.workspace)) {
        let problem = format!("workspace `{}` is unknown", key.workspace);
        let remedy = "withdraw the key, or keep the workspace";
        diagnostics.push(Diagnostic::new(format!("keys.{}", key.name), problem, remedy));
    }
    let mut count: BTreeMap<&WorkspaceName, usize> = BTreeMap::new();
    for key in valid() {
        *count.entry(&key.workspace).or_default() += 1;
    }
    for (workspace, count) in count.into_iter().filter(|(_, count)| *count > VALID_KEYS_MAX) {
        let problem = format!("{count} keys are valid, and at most {VALID_KEYS_MAX} can be");
        let remedy = "withdraw one of them first: see `jasminepassctl key list`";
        diagnostics.push(Diagnostic::new(format!("workspaces.{workspace}"), problem, remedy));
    }
}

fn check_time_zone(place: &str, zone: &str, diagnostics: &mut Vec<Diagnostic>) {
    if jiff::tz::TimeZone::get(zone).is_err() {
        let problem = format!("`{zone}` is not a time zone");
        let remedy = "give a name of the time zone database, such as Europe/Helsinki";
        diagnostics.push(Diagnostic::new(place, problem, remedy));
    }
}

fn heaviest_route(cfg: &Configuration, services: &[ServiceName]) -> u32 {
    let used = cfg.services.iter().filter(|s| services.contains(&s.name));
    used.flat_map(|s| &s.routes).map(|r| r.weight).max().unwrap_or(1)
}

fn check_unique<'a>(
    names: impl Iterator<Item = &'a str>,
    place: &str,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            diagnostics.push(duplicate(format!("{place}.{name}"), name));
        }
    }
}

fn duplicate(place: String, name: &str) -> Diagnostic {
    Diagnostic::new(place, format!("`{name}` is there twice"), "give each a unique name")
}
