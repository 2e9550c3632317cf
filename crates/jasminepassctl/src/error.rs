//! Errors of commands, their exit codes and their output as text or JSON.

use config::check::Diagnostic;
use edge::client::SendError;
use model::prelude::*;
use serde_json::json;

/// Exit code of a successful change that is not in force everywhere within the wait limit.
pub const ROLLOUT_INCOMPLETE_CODE: u8 = 8;

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file could not be read or written.
    #[error("{path}: {error}; check the path and its permissions")]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// An argument is missing or invalid in a way that the parser doesn't detect; holds the message.
    #[error("{0}")]
    Usage(String),
    /// The answers file is invalid.
    #[error("{file} has {} errors:\n{}", .diagnostics.len(), format_diagnostics(.diagnostics))]
    InvalidAnswers {
        /// Path of the answers file.
        file: String,
        /// Every error in the file.
        diagnostics: Vec<Diagnostic>,
    },
    /// The changed configuration is invalid; holds every error in it.
    #[error("the changed configuration has {} errors:\n{}", .0.len(), format_diagnostics(.0))]
    InvalidConfiguration(Vec<Diagnostic>),
    /// The configuration was changed concurrently, and this change was not made.
    #[error(
        "this change is based on generation {}, but generation {} is current: check it with `plan`, then try again",
        .expected.0, .found.0
    )]
    Conflict {
        /// Generation that the change was based on.
        expected: Generation,
        /// The current generation.
        found: Generation,
    },
    /// A request to the platform failed. Nothing was changed.
    #[error("the request to the platform failed, and nothing was changed: {0}")]
    Platform(SendError),
    /// The platform's reply to an update was lost, and whether it was applied could not be determined.
    #[error(
        "whether generation {} was accepted is unknown: {error}; once the platform is reachable, check with `plan` and try again if necessary",
        .generation.0
    )]
    UnknownOutcome {
        /// Generation that the change would have made.
        generation: Generation,
        /// Why the reply is missing.
        error: SendError,
    },
    /// An object on the platform could not be decoded.
    #[error(
        "the object {object} can't be decoded: {reason}; use jasminepassctl of the version that wrote it"
    )]
    Unreadable {
        /// Name of the object.
        object: String,
        /// The decoding error.
        reason: String,
    },
    /// The key, workspace or VM does not exist.
    #[error("there is no {what} `{name}`: {remedy}")]
    NotFound {
        /// Kind of thing, such as `key`.
        what: &'static str,
        /// The name that was not found.
        name: String,
        /// How to correct the command.
        remedy: &'static str,
    },
}

impl CtlError {
    /// Returns the exit code. Clap also exits with code 2 if it can't parse the command line.
    pub fn code(&self) -> u8 {
        match self {
            CtlError::File { .. } => 1,
            CtlError::Usage(_) => 2,
            CtlError::InvalidAnswers { .. } | CtlError::InvalidConfiguration(_) => 3,
            CtlError::Conflict { .. } => 4,
            CtlError::Platform(_) | CtlError::Unreadable { .. } => 5,
            CtlError::UnknownOutcome { .. } => 6,
            CtlError::NotFound { .. } => 7,
        }
    }

    /// Formats the error for standard error, as text or as JSON.
    pub fn render(&self, is_json: bool) -> String {
        if !is_json {
            return format!("jasminepassctl: {self}");
        }
        let diagnostics: Vec<_> = self.diagnostics().iter().map(diagnostic_json).collect();
        let error =
            json!({"code": self.code(), "message": self.to_string(), "faults": diagnostics});
        format!("{:#}", json!({ "error": error }))
    }

    fn diagnostics(&self) -> &[Diagnostic] {
        match self {
            CtlError::InvalidAnswers { diagnostics, .. }
            | CtlError::InvalidConfiguration(diagnostics) => diagnostics,
            _ => &[],
        }
    }
}

/// Returns the diagnostic as JSON.
pub fn diagnostic_json(diagnostic: &Diagnostic) -> serde_json::Value {
    let Diagnostic { line, place, problem, remedy } = diagnostic;
    json!({"line": line, "place": place, "problem": problem, "remedy": remedy})
}

fn format_diagnostics(diagnostics: &[Diagnostic]) -> String {
    diagnostics.iter().map(|d| format!("  {d}")).collect::<Vec<_>>().join("\n")
}
