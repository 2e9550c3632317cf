//! The output of a successful command.

use serde_json::Value;

/// The output of a successful command in both formats, and its exit code.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The output for people.
    pub text: String,
    /// The output for programs.
    pub json: Value,
    /// Exit code of the process.
    pub code: u8,
}

impl Reply {
    /// Creates a reply with exit code 0.
    pub fn new(text: impl Into<String>, json: Value) -> Reply {
        Reply { text: text.into(), json, code: 0 }
    }

    /// Sets the exit code.
    pub fn with_code(mut self, code: u8) -> Reply {
        self.code = code;
        self
    }

    /// Formats the reply for standard output, with a newline at the end unless it is empty.
    pub fn render(&self, is_json: bool) -> String {
        match is_json {
            true => format!("{:#}\n", self.json),
            false if self.text.is_empty() || self.text.ends_with('\n') => self.text.clone(),
            false => format!("{}\n", self.text),
        }
    }
}
