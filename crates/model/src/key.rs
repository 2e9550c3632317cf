//! Callers' API keys, and the secret that authenticates tokens and messages of the fleet.

use std::fmt;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD as BASE64};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::names::KeyName;

/// Number of random bytes in the secret part of a generated key.
pub const KEY_SECRET_BYTES: usize = 24;

/// Minimum length of a secret of the fleet, in bytes.
pub const FLEET_SECRET_MIN_BYTES: usize = 16;

/// Minimum length of a truncated authentication code, in bytes.
pub const TRUNCATED_MAC_MIN_BYTES: usize = 16;

/// Start of every key's text.
const PREFIX: &str = "jp.";

/// The text doesn't have the form of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the key is malformed: send it as `Authorization: Bearer jp.<name>.<secret>`, exactly as it was issued"
)]
pub struct KeyError;

/// A caller's API key with its secret, as the caller presents it. It must not be logged, forwarded
/// or stored; the configuration holds its hash.
pub struct PresentedKey {
    /// Public part of the key, the name of its record in the configuration.
    pub name: KeyName,
    secret: String,
}

impl PresentedKey {
    /// Generates a key with a random secret.
    pub fn random(name: KeyName) -> PresentedKey {
        let mut bytes = [0; KEY_SECRET_BYTES];
        for chunk in bytes.chunks_mut(8) {
            chunk.copy_from_slice(&crate::request::random_u64().to_le_bytes());
        }
        PresentedKey { name, secret: BASE64.encode(bytes) }
    }

    /// Parses a key of the form `jp.<name>.<secret>`.
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

    /// The key's text with the secret, to be shown once to the person who receives the key.
    pub fn reveal(&self) -> String {
        format!("{PREFIX}{}.{}", self.name, self.secret)
    }

    /// The hash that the configuration stores.
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

/// Hash of a key's name and secret, as hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

/// Maximum number of secrets of the fleet that are valid at a time.
pub const FLEET_SECRETS_MAX: usize = 2;

/// The secret shared by all VMs of the fleet, from their settings. During a rotation two secrets
/// are valid: the first signs, and both verify.
#[derive(Clone)]
pub struct FleetSecret {
    mac_keys: Vec<[u8; 32]>,
}

/// Why a text can't be used as the fleet's secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetSecretError {
    /// A secret has fewer than [`FLEET_SECRET_MIN_BYTES`] bytes, or there is none.
    #[error("the fleet secret is too short: give at least 16 random bytes, the same on every VM")]
    TooShort,
    /// There are more than [`FLEET_SECRETS_MAX`] secrets.
    #[error("there are more than 2 fleet secrets: give one per line, the signing one first")]
    TooMany,
}

impl FleetSecret {
    /// Parses the secrets, one per line. Blank lines are ignored.
    pub fn new(text: &str) -> Result<FleetSecret, FleetSecretError> {
        let lines: Vec<&str> =
            text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
        if lines.len() > FLEET_SECRETS_MAX {
            return Err(FleetSecretError::TooMany);
        }
        if lines.is_empty() || lines.iter().any(|line| line.len() < FLEET_SECRET_MIN_BYTES) {
            return Err(FleetSecretError::TooShort);
        }
        let derive =
            |line: &str| blake3::derive_key("jasminepass fleet secret v1", line.as_bytes());
        Ok(FleetSecret { mac_keys: lines.into_iter().map(derive).collect() })
    }

    /// Computes the authentication code of the parts with the first secret. Each part is hashed
    /// with its length, so that other divisions of the same bytes have other codes.
    pub fn mac(&self, parts: &[&[u8]]) -> [u8; 32] {
        mac(&self.mac_keys[0], parts)
    }

    /// Checks the authentication code of the parts against every valid secret, in constant time.
    pub fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        self.mac_keys.iter().any(|key| mac(key, parts).ct_eq(code).into())
    }

    /// Checks a code of which only the first bytes were kept, at least
    /// [`TRUNCATED_MAC_MIN_BYTES`].
    pub fn verify_truncated(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        let is_long_enough = (TRUNCATED_MAC_MIN_BYTES..=32).contains(&code.len());
        let matches = |key| mac(key, parts)[..code.len()].ct_eq(code).into();
        is_long_enough && self.mac_keys.iter().any(matches)
    }
}

fn mac(key: &[u8; 32], parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret")
    }
}
