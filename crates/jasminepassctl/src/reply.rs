//! What a command has to say.

use serde_json::Value;

/// The result of a command that could be carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// For a person.
    pub text: String,
    /// The same for a program.
    pub json: Value,
    /// The exit code.
    pub code: u8,
}

impl Reply {
    /// A reply with exit code 0.
    pub fn new(text: impl Into<String>, json: Value) -> Reply {
        Reply { text: text.into(), json, code: 0 }
    }

    /// The same with another exit code.
    pub fn with_code(mut self, code: u8) -> Reply {
        self.code = code;
        self
    }

    /// What is printed.
    pub fn render(&self, is_json: bool) -> String {
        match is_json {
            true => format!("{:#}\n", self.json),
            false if self.text.is_empty() || self.text.ends_with('\n') => self.text.clone(),
            false => format!("{}\n", self.text),
        }
    }
}
