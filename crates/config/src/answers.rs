//! The answers file: the operators' answers to a questionnaire, from which the configuration is
//! generated.

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    check::{Diagnostic, check},
    document::Document,
    types::{
        Configuration, DataCentre, Database, Route, Service, Slot, Workspace, default_time_zone,
    },
};

/// The content of an answers file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// Names of the data centres.
    pub data_centres: Vec<DcName>,
    /// Number of VMs that hold connections to each database.
    pub holders_per_database: u32,
    /// How long a data centre that is cut off from the platform and the other data centres goes on
    /// accepting the keys that it knows, in seconds.
    pub cut_off_trust_s: u64,
    /// Time zone of the business days of workspaces that set none of their own.
    #[serde(default = "default_time_zone")]
    pub time_zone: String,
    /// Services and their databases.
    pub services: Vec<ServiceAnswers>,
    /// Workspaces, the tenants of the fleet.
    pub workspaces: Vec<Workspace>,
}

/// The answers about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswers {
    /// Name of the service.
    pub name: ServiceName,
    /// Upstream databases of the service.
    pub databases: Vec<Database>,
    /// Slots of the service. The first primary of the n-th slot is the n-th database.
    pub slots: Vec<SlotName>,
    /// Kinds of request that the service accepts.
    pub routes: Vec<Route>,
}

/// Why no configuration could be generated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswersError {
    /// Every error in the answers, sorted by line.
    #[error("the answers have {} errors, the first: {}", .0.len(), .0[0])]
    Invalid(Vec<Diagnostic>),
}

/// A commented answers file that passes all checks. It can be applied once the addresses are
/// changed to real ones.
pub const TEMPLATE: &str = include_str!("template.toml");

/// Generates the configuration of the next generation after `current` from the text of an answers
/// file. Keys, drains and the list of earlier changes are taken over from `current`.
pub fn generate(
    text: &str,
    current: &Configuration,
    change_id: u64,
) -> Result<Configuration, AnswersError> {
    let mut document = Document::parse(text).map_err(AnswersError::Invalid)?;
    let answers = Answers::deserialize(std::mem::take(&mut document.table));
    let answers = match answers {
        Ok(answers) => answers,
        Err(e) => return Err(AnswersError::Invalid(vec![type_mismatch(&e, &document)])),
    };
    let cfg = configuration(answers, current, change_id);
    let value_diagnostics =
        check(&cfg).into_iter().filter(|diagnostic| !document.is_invalid(&diagnostic.place));
    let located = value_diagnostics.map(|diagnostic| {
        let line = document.line_of(&diagnostic.place);
        diagnostic.with_line(line)
    });
    let mut diagnostics: Vec<Diagnostic> =
        located.chain(document.diagnostics.iter().cloned()).collect();
    diagnostics.sort();
    match diagnostics.is_empty() {
        true => Ok(cfg),
        false => Err(AnswersError::Invalid(diagnostics)),
    }
}

/// Reports an error of serde, which occurs only if the schema and the types disagree. A diagnostic
/// that the schema has found already is clearer, so it comes first.
fn type_mismatch(error: &toml::de::Error, document: &Document) -> Diagnostic {
    let found = document.diagnostics.first().cloned();
    let diagnostic =
        || Diagnostic::new("document", error.message(), "compare it with `answers new`");
    found.unwrap_or_else(diagnostic)
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
