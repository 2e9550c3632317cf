//! Versioned objects in memory.

use std::collections::BTreeMap;

use proto::platform::{Object, Update, UpdateResult, Version};
use serde_json::Value;

/// Objects of the platform, by name.
#[derive(Default)]
pub(super) struct Objects {
    by_name: BTreeMap<String, Object>,
}

impl Objects {
    /// Returns an object; one that doesn't exist has version 0 and a null value.
    pub(super) fn get(&self, name: &str) -> Object {
        let missing = Object { version: Version(0), value: Value::Null };
        self.by_name.get(name).cloned().unwrap_or(missing)
    }

    /// Replaces the value if the current version is the expected one.
    pub(super) fn update(&mut self, name: &str, update: Update) -> UpdateResult {
        let version = self.get(name).version;
        if version != update.expected {
            return UpdateResult::Conflict { version };
        }
        let version = Version(version.0 + 1);
        self.by_name.insert(name.to_owned(), Object { version, value: update.value });
        UpdateResult::Done { version }
    }

    /// Returns a copy of all objects.
    pub(super) fn all(&self) -> BTreeMap<String, Object> {
        self.by_name.clone()
    }
}
