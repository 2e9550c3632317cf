//! The questionnaire: a team's answers, from which its configuration is generated.

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    check::{Fault, check},
    types::{Configuration, DataCentre, Database, Route, Service, Slot, Workspace},
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

/// Why answers can't become a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswersError {
    /// Not a TOML document of the expected shape.
    #[error("the answers can't be read: {0}")]
    Syntax(String),
    /// Readable, but wrong.
    #[error("the answers have {} faults, the first: {}", .0.len(), .0[0])]
    Faults(Vec<Fault>),
}

/// Generates the configuration that follows `current`, keeping its keys.
pub fn generate(
    text: &str,
    current: &Configuration,
    change_id: u64,
) -> Result<Configuration, AnswersError> {
    let answers: Answers = toml::from_str(text).map_err(|e| AnswersError::Syntax(e.to_string()))?;
    let cfg = Configuration {
        generation: Generation(current.generation.0 + 1),
        change_id,
        data_centres: answers.data_centres.into_iter().map(|name| DataCentre { name }).collect(),
        holders_per_database: answers.holders_per_database,
        cut_off_trust_s: answers.cut_off_trust_s,
        services: answers.services.into_iter().map(service).collect(),
        workspaces: answers.workspaces,
        keys: current.keys.clone(),
    };
    match check(&cfg) {
        faults if faults.is_empty() => Ok(cfg),
        faults => Err(AnswersError::Faults(faults)),
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
