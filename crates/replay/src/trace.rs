//! Reads traces.

use std::path::{Path, PathBuf};

use model::prelude::MonoTime;
use serde::{Deserialize, de::DeserializeOwned};

/// A line of a trace.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Line<E> {
    /// Virtual time in milliseconds.
    pub at_ms: u64,
    /// What happens then, or what must have happened.
    #[serde(flatten)]
    pub event: E,
}

impl<E> Line<E> {
    /// Virtual time of the line.
    pub fn at(&self) -> MonoTime {
        MonoTime(self.at_ms * 1_000)
    }
}

/// Why a trace can't be read.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file can't be read.
    #[error("{}: {error}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        error: std::io::Error,
    },
    /// A line is not one of the area's events.
    #[error("{}:{line}: {error}; write one JSON object a line, with `at_ms` and the event", .path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// Number of the line, from one.
        line: usize,
        /// What was found.
        error: serde_json::Error,
    },
    /// Times go backwards.
    #[error("{}:{line}: at_ms is less than in the line before; sort the lines", .path.display())]
    Order {
        /// The file.
        path: PathBuf,
        /// Number of the line, from one.
        line: usize,
    },
}

/// Reads a trace from `traces/<name>`. Empty lines and lines that begin with `#` are passed over.
pub fn read<E: DeserializeOwned>(name: &str) -> Result<Vec<Line<E>>, TraceError> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces").join(name);
    let text = std::fs::read_to_string(&path)
        .map_err(|error| TraceError::File { path: path.clone(), error })?;
    let mut lines: Vec<Line<E>> = Vec::new();
    for (number, text) in text.lines().enumerate() {
        let line = number + 1;
        if text.trim().is_empty() || text.starts_with('#') {
            continue;
        }
        let parsed: Line<E> = serde_json::from_str(text).map_err(|error| TraceError::Line {
            path: path.clone(),
            line,
            error,
        })?;
        if lines.last().is_some_and(|last| parsed.at_ms < last.at_ms) {
            return Err(TraceError::Order { path, line });
        }
        lines.push(parsed);
    }
    Ok(lines)
}
