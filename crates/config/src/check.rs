//! Checks of a whole configuration.

use std::collections::BTreeSet;

use model::prelude::*;

use crate::types::{Configuration, Service};

/// Names that mean something else in a caller's path.
pub const RESERVED_ROUTES: [&str; 3] = ["transactions", "commit", "rollback"];

/// A fault in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {problem}; {remedy}")]
pub struct Fault {
    /// Where it stands, such as `services.quotes.slots.s1`.
    pub place: String,
    /// What is wrong, with the value found.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl Fault {
    /// A fault at the place.
    pub fn new(
        place: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Fault {
        Fault { place: place.into(), problem: problem.into(), remedy: remedy.into() }
    }
}

/// Every fault of the configuration; empty where it can be put in force.
pub fn check(cfg: &Configuration) -> Vec<Fault> {
    let mut faults = Vec::new();
    let dcs: BTreeSet<&DcName> = cfg.data_centres.iter().map(|dc| &dc.name).collect();
    if cfg.data_centres.is_empty() {
        faults.push(Fault::new("data_centres", "there is none", "name at least one"));
    }
    if cfg.holders_per_database == 0 {
        faults.push(Fault::new(
            "holders_per_database",
            "it is 0",
            "give 1 or more, 2 or 3 to survive a failed VM",
        ));
    }
    unique(cfg.data_centres.iter().map(|dc| dc.name.as_str()), "data_centres", &mut faults);
    unique(cfg.services.iter().map(|s| s.name.as_str()), "services", &mut faults);
    unique(cfg.workspaces.iter().map(|w| w.name.as_str()), "workspaces", &mut faults);
    unique(cfg.keys.iter().map(|k| k.name.as_str()), "keys", &mut faults);
    let databases = cfg.services.iter().flat_map(|s| &s.databases);
    unique(databases.map(|d| d.name.as_str()), "databases", &mut faults);
    for service in &cfg.services {
        check_service(service, &dcs, cfg.holders_per_database, &mut faults);
    }
    check_workspaces(cfg, &mut faults);
    faults
}

fn check_service(
    service: &Service,
    dcs: &BTreeSet<&DcName>,
    holders: u32,
    faults: &mut Vec<Fault>,
) {
    let place = format!("services.{}", service.name);
    let names: BTreeSet<&DatabaseName> = service.databases.iter().map(|d| &d.name).collect();
    unique(service.slots.iter().map(|s| s.name.as_str()), &format!("{place}.slots"), faults);
    unique(service.routes.iter().map(|r| r.name.as_str()), &format!("{place}.routes"), faults);
    if service.slots.is_empty() {
        faults.push(Fault::new(&place, "it has no slot", "give at least one"));
    }
    for database in &service.databases {
        let place = format!("{place}.databases.{}", database.name);
        if !dcs.contains(&database.dc) {
            let problem = format!("data centre `{}` is unknown", database.dc);
            faults.push(Fault::new(&place, problem, "name one of data_centres"));
        }
        if database.connection_limit < holders {
            let problem = format!(
                "connection_limit is {}, fewer than its {holders} holders",
                database.connection_limit
            );
            faults.push(Fault::new(
                &place,
                problem,
                "raise it to one connection per holder or more",
            ));
        }
        for address in [&database.address, &database.admin_address] {
            if address.parse::<std::net::SocketAddr>().is_err() {
                let problem = format!("`{address}` is not an address");
                faults.push(Fault::new(
                    &place,
                    problem,
                    "write an IP number and a port, such as 10.0.0.7:5432",
                ));
            }
        }
    }
    for slot in &service.slots {
        let place = format!("{place}.slots.{}", slot.name);
        unique(slot.members.iter().map(|m| m.as_str()), &format!("{place}.members"), faults);
        if slot.members.is_empty() {
            faults.push(Fault::new(&place, "it has no member", "name the databases that carry it"));
        }
        for member in slot.members.iter().filter(|m| !names.contains(m)) {
            let problem = format!("member `{member}` is unknown");
            faults.push(Fault::new(&place, problem, "name a database of the service"));
        }
    }
    for route in service.routes.iter().filter(|r| RESERVED_ROUTES.contains(&r.name.as_str())) {
        let place = format!("{place}.routes.{}", route.name);
        faults.push(Fault::new(place, "the name is reserved", "choose another name"));
    }
    for route in service.routes.iter().filter(|r| r.weight == 0) {
        let place = format!("{place}.routes.{}", route.name);
        faults.push(Fault::new(place, "weight is 0", "give 1 or more"));
    }
}

fn check_workspaces(cfg: &Configuration, faults: &mut Vec<Fault>) {
    let services: BTreeSet<&ServiceName> = cfg.services.iter().map(|s| &s.name).collect();
    let workspaces: BTreeSet<&WorkspaceName> = cfg.workspaces.iter().map(|w| &w.name).collect();
    for workspace in &cfg.workspaces {
        let place = format!("workspaces.{}", workspace.name);
        for service in workspace.services.iter().filter(|s| !services.contains(s)) {
            let problem = format!("service `{service}` is unknown");
            faults.push(Fault::new(&place, problem, "name one of services"));
        }
        let heaviest = heaviest_route(cfg, &workspace.services);
        if workspace.burst < heaviest {
            let problem = format!(
                "burst is {}, less than the heaviest request of weight {heaviest}",
                workspace.burst
            );
            faults.push(Fault::new(&place, problem, "raise burst to that weight or more"));
        }
        if workspace.rate_per_s == 0 {
            faults.push(Fault::new(&place, "rate_per_s is 0", "give 1 or more"));
        }
        if workspace.objective_ppm >= 1_000_000 {
            let problem = format!("objective_ppm is {}", workspace.objective_ppm);
            faults.push(Fault::new(&place, problem, "give less than 1000000, such as 999000"));
        }
    }
    for key in cfg.keys.iter().filter(|k| !workspaces.contains(&k.workspace)) {
        let problem = format!("workspace `{}` is unknown", key.workspace);
        faults.push(Fault::new(format!("keys.{}", key.name), problem, "name one of workspaces"));
    }
}

fn heaviest_route(cfg: &Configuration, services: &[ServiceName]) -> u32 {
    let used = cfg.services.iter().filter(|s| services.contains(&s.name));
    used.flat_map(|s| &s.routes).map(|r| r.weight).max().unwrap_or(1)
}

fn unique<'a>(names: impl Iterator<Item = &'a str>, place: &str, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            faults.push(Fault::new(
                place,
                format!("`{name}` is there twice"),
                "give each a name of its own",
            ));
        }
    }
}
