//! Reads traces: files of JSON Lines, ordered by virtual time.

use std::path::{Path, PathBuf};

use model::prelude::MonoTime;
use serde::{Deserialize, de::DeserializeOwned};

/// One line of a trace: an event and its virtual time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Line<E> {
    /// Virtual time, in milliseconds since the start of the trace.
    pub at_ms: u64,
    /// The event that happens at that time, or the expectation checked at it.
    #[serde(flatten)]
    pub event: E,
}

impl<E> Line<E> {
    /// Returns the line's virtual time.
    pub fn at(&self) -> MonoTime {
        MonoTime(self.at_ms * 1_000)
    }
}

/// Error while reading a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file can't be read.
    #[error("{}: {error}", .path.display())]
    File {
        /// Path of the trace.
        path: PathBuf,
        /// Error of the file system.
        error: std::io::Error,
    },
    /// A line is not valid JSON, or not an event of the expected type.
    #[error("{}:{line}: {error}; write one JSON object a line, with `at_ms` and the event", .path.display())]
    Line {
        /// Path of the trace.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
        /// Error of the parser.
        error: serde_json::Error,
    },
    /// The time of a line is before that of the line above it.
    #[error("{}:{line}: at_ms is less than in the line before; sort the lines", .path.display())]
    Order {
        /// Path of the trace.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
    },
}

/// Reads the trace `traces/<name>`. Empty lines and lines that begin with `#` are ignored.
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
