//! `answers`: writes and checks answers files, and generates configurations from them.

use std::{fs::OpenOptions, io::Write};

use config::{
    Configuration,
    answers::{AnswersError, TEMPLATE, generate},
};
use serde_json::json;

use crate::{error::CtlError, reply::Reply};

/// Identifier of the change in configurations that are only checked or shown. It is fixed, so that the
/// output is reproducible.
const PREVIEW_CHANGE_ID: u64 = 1;

/// Writes the commented template of an answers file to a new file, or returns it if `file` is absent.
pub fn new(file: Option<&str>) -> Result<Reply, CtlError> {
    let Some(path) = file else {
        return Ok(Reply::new(TEMPLATE, json!({ "answers": TEMPLATE })));
    };
    let file_error = |error| CtlError::File { path: path.to_owned(), error };
    let mut created =
        OpenOptions::new().write(true).create_new(true).open(path).map_err(file_error)?;
    created.write_all(TEMPLATE.as_bytes()).map_err(file_error)?;
    let text = format!("{path} is written: edit the answers, then run `answers check {path}`");
    Ok(Reply::new(text, json!({ "file": path })))
}

/// Checks whether the answers in the file make a valid configuration.
pub fn check(file: &str) -> Result<Reply, CtlError> {
    let cfg = generate_from_file(file, &Configuration::empty(), PREVIEW_CHANGE_ID)?;
    let text = format!(
        "{file} is valid: {} data centres, {} services, {} workspaces",
        cfg.data_centres.len(),
        cfg.services.len(),
        cfg.workspaces.len()
    );
    Ok(Reply::new(text, json!({ "file": file, "faults": [] })))
}

/// Returns the configuration that is generated from the answers in the file, as JSON.
pub fn show(file: &str) -> Result<Reply, CtlError> {
    let cfg = generate_from_file(file, &Configuration::empty(), PREVIEW_CHANGE_ID)?;
    let json = serde_json::to_value(&cfg).map_err(|e| CtlError::Usage(e.to_string()))?;
    Ok(Reply::new(format!("{json:#}\n"), json))
}

/// Generates the configuration of the generation after `current` from the answers in the file.
pub fn generate_from_file(
    file: &str,
    current: &Configuration,
    change_id: u64,
) -> Result<Configuration, CtlError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CtlError::File { path: file.to_owned(), error })?;
    generate(&text, current, change_id).map_err(|AnswersError::Invalid(diagnostics)| {
        CtlError::InvalidAnswers { file: file.to_owned(), diagnostics }
    })
}
