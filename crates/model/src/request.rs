//! Identifiers of requests, transactions, processes and configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one request at an upstream, so that its outcome can be asked for later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64, pub u64);

impl RequestId {
    /// An identifier that nobody else has, from the system's random source.
    pub fn random() -> RequestId {
        RequestId(random_u64(), random_u64())
    }

    /// The identifier of a caller's idempotency key: the same key, workspace and route give the
    /// same identifier on every VM.
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

    /// The identifier of the commit of a transaction: the same on every VM.
    pub fn of_commit(vm: &str, incarnation: Incarnation, transaction: TransactionId) -> RequestId {
        let mut hasher = blake3::Hasher::new_derive_key("jasminepass commit id v1");
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&transaction.0.to_le_bytes());
        hasher.update(vm.as_bytes());
        RequestId::from_hash(&hasher.finalize())
    }

    /// The identifier of the next try under the same idempotency key, after this one was cancelled.
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

/// Identifies an open transaction: random, so that it can't be guessed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransactionId(pub u64);

impl TransactionId {
    /// An identifier that nobody else has, from the system's random source.
    pub fn random() -> TransactionId {
        TransactionId(random_u64())
    }
}

/// One run of a VM's daemon. A restarted VM has another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The generation of the fleet configuration: raised by one with each accepted change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// A number from the system's random source.
///
/// # Panics
/// Panics if the operating system gives no random bytes.
pub fn random_u64() -> u64 {
    getrandom::u64().expect("the operating system's random source answers")
}

pub(crate) fn le_u64(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |acc, b| acc << 8 | u64::from(*b))
}

/// A number that spreads the text evenly, the same on every VM and in every version.
pub fn stable_hash(text: &str) -> u64 {
    le_u64(&blake3::hash(text.as_bytes()).as_bytes()[..8])
}
