//! Validated names.

use std::{borrow::Borrow, fmt};

use serde::{Deserialize, Serialize};

/// Longest name accepted, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// The text is not a usable name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a name: use 1 to 63 lower-case letters, digits, `-` or `_`, starting with a letter or digit"
)]
pub struct NameError {
    /// What was given, shortened.
    pub text: String,
}

fn validate(text: &str) -> Result<(), NameError> {
    let mut chars = text.bytes();
    let first = chars.next().is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let rest =
        chars.all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_');
    if first && rest && text.len() <= NAME_MAX_BYTES {
        return Ok(());
    }
    Err(NameError { text: text.chars().take(NAME_MAX_BYTES).collect() })
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Checks the text and makes a name of it.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                validate(text.as_ref())?;
                Ok(Self(text.as_ref().into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A data centre.
    DcName
);
name!(
    /// A VM that runs the daemon.
    VmName
);
name!(
    /// A service: a set of databases that carry the same slots.
    ServiceName
);
name!(
    /// One upstream database.
    DatabaseName
);
name!(
    /// A partition of a service, with a primary and replicas of its own.
    SlotName
);
name!(
    /// A named kind of request.
    RouteName
);
name!(
    /// A tenant of the system.
    WorkspaceName
);
name!(
    /// The public part of a caller's key.
    KeyName
);
