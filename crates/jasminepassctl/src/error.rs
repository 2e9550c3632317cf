//! Why a command could not be carried out.

use config::check::Diagnostic;
use edge::client::SendError;
use model::prelude::*;
use serde_json::json;

/// The exit code of a reply that names what is not in force yet.
pub const ROLLOUT_INCOMPLETE_CODE: u8 = 8;

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file can't be read or written.
    #[error("{path}: {error}; check the path and its permissions")]
    File {
        /// The file.
        path: String,
        /// What failed.
        error: std::io::Error,
    },
    /// Something on the command line is wrong in a way that only shows when it is used.
    #[error("{0}")]
    Usage(String),
    /// The answers have faults.
    #[error("{file} has {} faults:\n{}", .diagnostics.len(), format_diagnostics(.diagnostics))]
    InvalidAnswers {
        /// The file.
        file: String,
        /// Every fault.
        diagnostics: Vec<Diagnostic>,
    },
    /// The changed configuration has faults.
    #[error("the changed configuration has {} faults:\n{}", .0.len(), format_diagnostics(.0))]
    InvalidConfiguration(Vec<Diagnostic>),
    /// Somebody else changed the configuration meanwhile. Nothing was changed.
    #[error(
        "this change was made for generation {}, and generation {} is in force: look at it with `plan`, then do it again",
        .expected.0, .found.0
    )]
    Conflict {
        /// What the change was based on.
        expected: Generation,
        /// What is in force.
        found: Generation,
    },
    /// The platform gave no answer. Nothing was changed.
    #[error("the platform gave no answer, and nothing was changed: {0}")]
    Platform(SendError),
    /// The platform's answer to an update was lost and what became of it can't be found out.
    #[error(
        "whether generation {} came into force is unknown: {error}; once the platform answers, look with `plan` and do it again if need be",
        .generation.0
    )]
    UnknownOutcome {
        /// The generation that the change was to make.
        generation: Generation,
        /// What failed.
        error: SendError,
    },
    /// An object on the platform can't be read.
    #[error("the object {object} can't be read: {reason}; use a tool of the version that wrote it")]
    Unreadable {
        /// The object.
        object: String,
        /// What was found.
        reason: String,
    },
    /// There is no such thing.
    #[error("there is no {what} `{name}`: {remedy}")]
    NotFound {
        /// What was looked for.
        what: &'static str,
        /// Its name.
        name: String,
        /// How to see which there are.
        remedy: &'static str,
    },
}

impl CtlError {
    /// The exit code. Code 2 is also used for a command line that can't be parsed.
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

    /// What is printed.
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

/// A fault for a program.
pub fn diagnostic_json(diagnostic: &Diagnostic) -> serde_json::Value {
    let Diagnostic { line, place, problem, remedy } = diagnostic;
    json!({"line": line, "place": place, "problem": problem, "remedy": remedy})
}

fn format_diagnostics(diagnostics: &[Diagnostic]) -> String {
    diagnostics.iter().map(|f| format!("  {f}")).collect::<Vec<_>>().join("\n")
}
