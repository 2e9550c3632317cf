//! Transfers configurations from VM to VM: as changes since the receiver's generation if they are known
//! and smaller, otherwise as a whole. Both are compressed.

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

/// Latest changes that are kept for VMs that are a few generations behind.
const CHANGES_KEPT: usize = 32;

/// Most bytes that a transfer is decompressed to.
const UNPACKED_MAX_BYTES: u64 = 4 << 20;

/// Why a transfer can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The bytes can't be decompressed or parsed.
    #[error(
        "the configuration that a VM sent can't be read: {0}; check that both run the same version"
    )]
    Unreadable(String),
    /// The changes start from another generation, or result in another configuration than at the
    /// sender.
    #[error(
        "the configuration changes that a VM sent don't apply here: request the whole configuration"
    )]
    Mismatch,
}

/// The current configuration and the changes that led to it, for transfers to other VMs. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct ConfigurationHistory {
    current: Arc<Configuration>,
    /// The current configuration as compressed JSON, made when first needed.
    compressed: Arc<OnceLock<Bytes>>,
    /// Changes up to the current configuration, oldest first.
    changes: VecDeque<Change>,
}

impl ConfigurationHistory {
    /// The history of the empty configuration.
    pub fn empty() -> ConfigurationHistory {
        let current = Arc::new(Configuration::empty());
        ConfigurationHistory { current, compressed: Arc::default(), changes: VecDeque::new() }
    }

    /// The history after `next` became the current configuration.
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

    /// What a VM with generation `have` needs to reach the current one; `None` if it is as new.
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

/// The configuration that results from applying a transfer to the current one.
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

/// Hash by which the receiver checks the result of changes.
fn hash(cfg: &Configuration) -> u64 {
    let hash = blake3::hash(&json(cfg));
    hash.as_bytes()[..8].iter().fold(0, |acc, b| acc << 8 | u64::from(*b))
}

/// Encodes a value as JSON. All types sent here can be; the receiver would reject the empty result for
/// one that can't.
fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, TransferError> {
    serde_json::from_slice(bytes).map_err(|e| TransferError::Unreadable(e.to_string()))
}

fn deflate(bytes: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory can't fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default().into()
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, TransferError> {
    let mut out = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(UNPACKED_MAX_BYTES);
    decoder.read_to_end(&mut out).map_err(|e| TransferError::Unreadable(e.to_string()))?;
    Ok(out)
}
