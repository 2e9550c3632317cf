//! Callers' keys and the fleet's secret.

use std::fmt;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::names::KeyName;

/// Random bytes in a key's secret part.
pub const KEY_SECRET_BYTES: usize = 24;

/// Fewest bytes accepted for the fleet's secret.
pub const FLEET_SECRET_MIN_BYTES: usize = 16;

const PREFIX: &str = "jp.";

/// The text is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the key is malformed: send it as `Authorization: Bearer jp.<name>.<secret>`, just as it was given out"
)]
pub struct KeyError;

/// A caller's key as presented: its public name and its secret. Never logged, sent on or stored.
pub struct PresentedKey {
    /// Public part, which names the key's record in the configuration.
    pub name: KeyName,
    secret: String,
}

impl PresentedKey {
    /// Makes a new key with a random secret.
    pub fn random(name: KeyName) -> PresentedKey {
        let mut bytes = [0; KEY_SECRET_BYTES];
        for chunk in bytes.chunks_mut(8) {
            chunk.copy_from_slice(&crate::request::random_u64().to_le_bytes());
        }
        PresentedKey { name, secret: BASE64.encode(bytes) }
    }

    /// Parses the text of a key.
    pub fn parse(text: &str) -> Result<PresentedKey, KeyError> {
        let rest = text.strip_prefix(PREFIX).ok_or(KeyError)?;
        let (name, secret) = rest.split_once('.').ok_or(KeyError)?;
        let name = KeyName::new(name).map_err(|_| KeyError)?;
        let plausible = (16..=128).contains(&secret.len());
        if !plausible {
            return Err(KeyError);
        }
        Ok(PresentedKey { name, secret: secret.to_owned() })
    }

    /// The text that the caller presents. To be shown once, to whoever is given the key.
    pub fn reveal(&self) -> String {
        format!("{PREFIX}{}.{}", self.name, self.secret)
    }

    /// The hash under which the key is recorded.
    pub fn hash(&self) -> KeyHash {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass caller key v1");
        hasher.update(self.name.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.secret.as_bytes());
        KeyHash(hasher.finalize().to_hex().to_string())
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PresentedKey({})", self.name)
    }
}

/// The hash of a key, as hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Whether both hashes are the same, in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

/// The secret that every VM of the fleet has in its settings.
#[derive(Clone)]
pub struct FleetSecret {
    mac_key: [u8; 32],
}

/// The fleet's secret is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet secret is too short: give at least 16 random bytes, the same on every VM")]
pub struct FleetSecretError;

impl FleetSecret {
    /// Takes the secret from its text.
    pub fn new(text: &str) -> Result<FleetSecret, FleetSecretError> {
        if text.len() < FLEET_SECRET_MIN_BYTES {
            return Err(FleetSecretError);
        }
        Ok(FleetSecret {
            mac_key: blake3::derive_key("jasminepass fleet secret v1", text.as_bytes()),
        })
    }

    /// The authentication code of the parts, each taken with its length.
    pub fn mac(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.mac_key);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }

    /// Whether `mac` is the authentication code of the parts, in constant time.
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac(parts).ct_eq(mac).into()
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret")
    }
}
