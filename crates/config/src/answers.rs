//! The questionnaire: a team's answers, from which its configuration is generated.

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    check::{Fault, check},
    document::Document,
    types::{Configuration, DataCentre, Database, Route, Service, Slot, Workspace, utc},
};

/// A team's answers, as a TOML document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// Data centres, by name.
    pub data_centres: Vec<DcName>,
    /// How many VMs hold connections to each database.
    pub holders_per_database: u32,
    /// How long a data centre that is cut off from everything goes on trusting keys, in seconds.
    pub cut_off_trust_s: u64,
    /// Time zone of the business days of workspaces that state none of their own.
    #[serde(default = "utc")]
    pub time_zone: String,
    /// Services.
    pub services: Vec<ServiceAnswers>,
    /// Tenants.
    pub workspaces: Vec<Workspace>,
}

/// Answers about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswers {
    /// Its name.
    pub name: ServiceName,
    /// Its upstreams.
    pub databases: Vec<Database>,
    /// Its slots. The n-th slot's first primary is the n-th database.
    pub slots: Vec<SlotName>,
    /// Its kinds of request.
    pub routes: Vec<Route>,
}

/// The answers can't become a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswersError {
    /// Each fault, in the order of the lines.
    #[error("the answers have {} faults, the first: {}", .0.len(), .0[0])]
    Faults(Vec<Fault>),
}

/// A commented questionnaire with answers that can be put in force once the addresses are right.
pub const TEMPLATE: &str = include_str!("template.toml");

/// Generates the configuration that follows `current`, keeping its keys.
pub fn generate(
    text: &str,
    current: &Configuration,
    change_id: u64,
) -> Result<Configuration, AnswersError> {
    let mut document = Document::parse(text).map_err(AnswersError::Faults)?;
    let answers = Answers::deserialize(std::mem::take(&mut document.table));
    let answers = match answers {
        Ok(answers) => answers,
        Err(e) => return Err(AnswersError::Faults(vec![unreadable(&e, &document)])),
    };
    let cfg = configuration(answers, current, change_id);
    let of_values = check(&cfg).into_iter().filter(|fault| !document.is_replaced(&fault.place));
    let located = of_values.map(|fault| {
        let line = document.line_of(&fault.place);
        fault.with_line(line)
    });
    let mut faults: Vec<Fault> = located.chain(document.faults.iter().cloned()).collect();
    faults.sort();
    match faults.is_empty() {
        true => Ok(cfg),
        false => Err(AnswersError::Faults(faults)),
    }
}

/// The schema and the types differ only by mistake; the fault that was found says more than a panic.
fn unreadable(error: &toml::de::Error, document: &Document) -> Fault {
    let found = document.faults.first().cloned();
    let fault = || Fault::new("document", error.message(), "compare it with `answers new`");
    found.unwrap_or_else(fault)
}

fn configuration(answers: Answers, current: &Configuration, change_id: u64) -> Configuration {
    Configuration {
        generation: Generation(current.generation.0 + 1),
        change_id,
        data_centres: answers.data_centres.into_iter().map(|name| DataCentre { name }).collect(),
        holders_per_database: answers.holders_per_database,
        cut_off_trust_s: answers.cut_off_trust_s,
        time_zone: answers.time_zone,
        services: answers.services.into_iter().map(service).collect(),
        workspaces: answers.workspaces,
        keys: current.keys.clone(),
        drains: current.drains.clone(),
        earlier_changes: current.earlier_changes.clone(),
    }
}

fn service(answers: ServiceAnswers) -> Service {
    let names: Vec<DatabaseName> = answers.databases.iter().map(|d| d.name.clone()).collect();
    let slot = |(at, name)| {
        let mut members = names.clone();
        let first = at % members.len().max(1);
        members.rotate_left(first);
        Slot { name, members }
    };
    Service {
        name: answers.name,
        slots: answers.slots.into_iter().enumerate().map(slot).collect(),
        databases: answers.databases,
        routes: answers.routes,
    }
}
