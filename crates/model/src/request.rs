//! Identifiers of requests, transactions, processes and configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a request at an upstream, which records the outcome under it so that a lost answer
/// can be resolved later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

impl RequestId {
    /// Creates a unique identifier from the system's random source.
    pub fn random() -> RequestId {
        RequestId(random_u64(), random_u64())
    }

    /// Derives the identifier from a caller's idempotency key. The same key, workspace, service and
    /// route give the same identifier on every VM.
    pub fn from_idempotency_key(
        workspace: &str,
        service: &str,
        route: &str,
        key: &str,
    ) -> RequestId {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass request id v1");
        for part in [workspace, service, route, key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        RequestId::from_hash(&hasher.finalize())
    }

    /// Derives the identifier of a transaction's commit, the same on every VM.
    pub fn of_commit(vm: &str, incarnation: Incarnation, transaction: TransactionId) -> RequestId {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass commit id v1");
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&transaction.0.to_le_bytes());
        hasher.update(vm.as_bytes());
        RequestId::from_hash(&hasher.finalize())
    }

    /// Derives the identifier of the next attempt under the same idempotency key, once the request
    /// with this identifier was cancelled.
    pub fn next_try(self) -> RequestId {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass next try v1");
        hasher.update(&self.0.to_le_bytes());
        hasher.update(&self.1.to_le_bytes());
        RequestId::from_hash(&hasher.finalize())
    }

    fn from_hash(hash: &blake3::Hash) -> RequestId {
        let (high, low) = hash.as_bytes()[..16].split_at(8);
        RequestId(le_u64(high), le_u64(low))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// Identifies an open transaction on its VM. Random, so that it can't be guessed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransactionId(pub u64);

impl TransactionId {
    /// Creates a unique identifier from the system's random source.
    pub fn random() -> TransactionId {
        TransactionId(random_u64())
    }
}

/// Identifies one run of a VM's daemon: each restart has a new incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Version of the fleet configuration, raised by one with each accepted change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// Returns a number from the system's random source.
///
/// # Panics
/// Panics if the operating system gives no random bytes.
pub fn random_u64() -> u64 {
    getrandom::u64().expect("the operating system's random source answers")
}

/// Decodes up to 8 little-endian bytes.
pub(crate) fn le_u64(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |acc, b| acc << 8 | u64::from(*b))
}

/// Hashes a text to an evenly distributed number, the same on every VM and in every release.
pub fn stable_hash(text: &str) -> u64 {
    le_u64(&blake3::hash(text.as_bytes()).as_bytes()[..8])
}
