//! Validated names of VMs, services, databases and other configured objects.

use std::{borrow::Borrow, fmt};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// A text that doesn't follow the rules for names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a name: use 1 to 63 lower-case letters, digits, `-` or `_`, starting with a letter or digit"
)]
pub struct NameError {
    /// The rejected text, cut to [`NAME_MAX_BYTES`] characters.
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
            /// Creates a name from a text that follows the rules.
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
    /// Name of a data centre.
    DcName
);
name!(
    /// Name of a VM that runs the proxy.
    VmName
);
name!(
    /// Name of a service: a set of databases that replicate the same slots.
    ServiceName
);
name!(
    /// Name of an upstream database, unique in the fleet.
    DatabaseName
);
name!(
    /// Name of a slot: a partition of a service's data, with its own primary and replicas.
    SlotName
);
name!(
    /// Name of a route: a kind of request that a service accepts.
    RouteName
);
name!(
    /// Name of a workspace: a tenant of the fleet.
    WorkspaceName
);
name!(
    /// Name of a caller's key, its public part.
    KeyName
);
