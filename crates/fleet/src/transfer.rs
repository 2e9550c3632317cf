//! Configurations on their way from VM to VM: the changes where the receiver knows the generation from
//! which they start, else the whole, both compressed.

use std::{
    collections::VecDeque,
    io::{Read, Write},
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use config::Configuration;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use json_patch::Patch;
use model::prelude::*;
use proto::gossip::{Change, Transfer};
use serde::Serialize;

/// Changes kept for VMs that are a few generations behind.
const CHANGES_KEPT: usize = 32;

/// Largest configuration unpacked, in bytes.
const UNPACKED_MAX_BYTES: u64 = 4 << 20;

/// A transfer can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The bytes are not what they should be.
    #[error(
        "the configuration that a VM sent can't be read: {0}; check that both run the same version"
    )]
    Unreadable(String),
    /// The changes start from another generation, or lead to another configuration.
    #[error("the changes that a VM sent don't fit: ask for the whole configuration")]
    Mismatch,
}

/// What a VM can send of the configuration in force. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ConfigurationHistory {
    current: Arc<Configuration>,
    compressed: Arc<OnceLock<Bytes>>,
    changes: VecDeque<Change>,
}

impl ConfigurationHistory {
    /// Nothing is in force yet.
    pub fn empty() -> ConfigurationHistory {
        let current = Arc::new(Configuration::empty());
        ConfigurationHistory { current, compressed: Arc::default(), changes: VecDeque::new() }
    }

    /// The same after `next` was put in force.
    pub fn with_next(&self, next: Configuration) -> ConfigurationHistory {
        let mut changes = self.changes.clone();
        match diff(&self.current, &next) {
            Some(change) => changes.push_back(change),
            None => changes.clear(),
        }
        while changes.len() > CHANGES_KEPT {
            changes.pop_front();
        }
        ConfigurationHistory { current: Arc::new(next), compressed: Arc::default(), changes }
    }

    /// What a VM that has generation `have` needs; nothing where it is as new.
    pub fn transfer_from(&self, have: Generation) -> Option<Transfer> {
        if have >= self.current.generation {
            return None;
        }
        let missing = self.changes.iter().skip_while(|change| change.from != have);
        let missing: Vec<Change> = missing.cloned().collect();
        let size: usize = missing.iter().map(|change| change.patch.len()).sum();
        let compressed = self.compressed.get_or_init(|| deflate(&json(&*self.current)));
        if missing.is_empty() || size >= compressed.len() {
            return Some(Transfer::Whole(compressed.clone()));
        }
        Some(Transfer::Changes(missing))
    }
}

/// Makes the configuration that a transfer stands for, from the one in force.
pub fn apply_transfer(
    current: &Configuration,
    transfer: &Transfer,
) -> Result<Configuration, TransferError> {
    match transfer {
        Transfer::Whole(bytes) => parse(&inflate(bytes)?),
        Transfer::Changes(changes) => apply_changes(current, changes),
    }
}

fn diff(from: &Configuration, to: &Configuration) -> Option<Change> {
    let before = serde_json::to_value(from).ok()?;
    let after = serde_json::to_value(to).ok()?;
    let patch = json_patch::diff(&before, &after);
    Some(Change {
        from: from.generation,
        to: to.generation,
        hash: hash(to),
        patch: deflate(&json(&patch)),
    })
}

fn apply_changes(
    current: &Configuration,
    changes: &[Change],
) -> Result<Configuration, TransferError> {
    let mut value =
        serde_json::to_value(current).map_err(|e| TransferError::Unreadable(e.to_string()))?;
    let mut generation = current.generation;
    for change in changes {
        if change.from != generation {
            return Err(TransferError::Mismatch);
        }
        let patch: Patch = parse(&inflate(&change.patch)?)?;
        json_patch::patch(&mut value, &patch).map_err(|_| TransferError::Mismatch)?;
        generation = change.to;
    }
    let made: Configuration =
        serde_json::from_value(value).map_err(|e| TransferError::Unreadable(e.to_string()))?;
    let expected = changes.last().map(|change| change.hash);
    match expected == Some(hash(&made)) && made.generation == generation {
        true => Ok(made),
        false => Err(TransferError::Mismatch),
    }
}

fn hash(cfg: &Configuration) -> u64 {
    let hash = blake3::hash(&json(cfg));
    hash.as_bytes()[..8].iter().fold(0, |acc, b| acc << 8 | u64::from(*b))
}

/// The types sent all can be expressed in JSON; what could not would be refused by the receiver.
fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, TransferError> {
    serde_json::from_slice(bytes).map_err(|e| TransferError::Unreadable(e.to_string()))
}

fn deflate(bytes: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default().into()
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, TransferError> {
    let mut out = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(UNPACKED_MAX_BYTES);
    decoder.read_to_end(&mut out).map_err(|e| TransferError::Unreadable(e.to_string()))?;
    Ok(out)
}
