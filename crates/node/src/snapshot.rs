//! Snapshots of what a VM has read from the platform's store. Peers fetch updates of their parts, each
//! compressed with a version that the peer has as the dictionary, so that a small change is a small update.

use std::{
    collections::VecDeque,
    io::{self, Write},
};

use bytes::Bytes;
use model::prelude::*;
use serde::{Deserialize, Serialize};
use zstd::{bulk::Decompressor, stream::write::Encoder};

/// Compression level: documents are compressed while peers wait for them.
const COMPRESSION_LEVEL: i32 = 1;
/// Earlier versions of each part are kept up to this size in total, in bytes.
const EARLIER_MAX_BYTES: usize = 256 << 10;
/// Number of earlier versions that are kept whatever their size: peers may be two changes behind.
const EARLIER_MIN_VERSIONS: usize = 2;
/// Binary logarithms of the smallest and the largest window of the compression, in bytes.
const WINDOW_LOG_MIN: u32 = 17;
const WINDOW_LOG_MAX: u32 = 25;
/// Maximum size of a document, in bytes.
const DOCUMENT_MAX_BYTES: usize = 16 << 20;

/// The configuration, the databases, the VMs and the evacuations as a VM has read them from the store. The program
/// that runs the node defines the encoding of the documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Generation of the configuration.
    pub generation: u64,
    /// Encoded configuration.
    #[serde(with = "serde_bytes_as_vec")]
    pub configuration: Bytes,
    /// Version of the list of databases.
    pub registry: u64,
    /// Encoded list of databases.
    #[serde(with = "serde_bytes_as_vec")]
    pub databases: Bytes,
    /// Version of the list of VMs.
    pub members_version: u64,
    /// Encoded list of VMs.
    #[serde(with = "serde_bytes_as_vec")]
    pub members: Bytes,
    /// Version of the list of evacuations. It is only sent as an update: whole snapshots are sent to builds that
    /// know neither.
    #[serde(skip)]
    pub evacuations_version: u64,
    /// Encoded list of evacuations.
    #[serde(skip)]
    pub evacuations: Bytes,
}

/// Versions of the parts of a snapshot that a VM already has; zero for a part that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotVersions {
    /// Generation of the configuration.
    pub generation: u64,
    /// Version of the list of databases.
    pub registry: u64,
    /// Version of the list of VMs.
    pub members: u64,
    /// Version of the list of evacuations; `None` for a VM whose build does not know that part.
    #[serde(default)]
    pub evacuations: Option<u64>,
}

/// A document of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Part {
    /// The configuration.
    Configuration,
    /// The list of databases.
    Databases,
    /// The list of VMs.
    Members,
    /// The list of evacuations.
    Evacuations,
}

/// A newer version of a part, as it is sent to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartUpdate {
    part: Part,
    version: u64,
    /// Version whose document is the dictionary of `compressed`; zero if there is none.
    base: u64,
    #[serde(with = "serde_bytes_as_vec")]
    compressed: Bytes,
}

impl Part {
    const ALL: [Part; 4] = [Part::Configuration, Part::Databases, Part::Members, Part::Evacuations];
}

impl Snapshot {
    /// Returns the parts that are newer than `known`. The other parts are empty, with version zero.
    pub fn newer_than(&self, known: SnapshotVersions) -> Snapshot {
        let mut newer = Snapshot::default();
        for part in Part::ALL {
            let (version, document) = self.part(part);
            if known.of(part).is_some_and(|known| version > known) {
                newer.set_part(part, version, document.clone());
            }
        }
        newer
    }

    fn part(&self, part: Part) -> (u64, &Bytes) {
        match part {
            Part::Configuration => (self.generation, &self.configuration),
            Part::Databases => (self.registry, &self.databases),
            Part::Members => (self.members_version, &self.members),
            Part::Evacuations => (self.evacuations_version, &self.evacuations),
        }
    }

    fn set_part(&mut self, part: Part, version: u64, document: Bytes) {
        let (of_version, of_document) = match part {
            Part::Configuration => (&mut self.generation, &mut self.configuration),
            Part::Databases => (&mut self.registry, &mut self.databases),
            Part::Members => (&mut self.members_version, &mut self.members),
            Part::Evacuations => (&mut self.evacuations_version, &mut self.evacuations),
        };
        (*of_version, *of_document) = (version, document);
    }
}

impl SnapshotVersions {
    /// The parts that a build knows, with no version of any.
    pub const NONE: SnapshotVersions =
        SnapshotVersions { generation: 0, registry: 0, members: 0, evacuations: Some(0) };

    /// The version of a part; `None` if the VM does not know the part.
    fn of(self, part: Part) -> Option<u64> {
        match part {
            Part::Configuration => Some(self.generation),
            Part::Databases => Some(self.registry),
            Part::Members => Some(self.members),
            Part::Evacuations => self.evacuations,
        }
    }
}

/// This VM's snapshot with the versions before it, from which peers' updates are encoded.
#[derive(Debug, Default)]
pub struct SnapshotHistory {
    current: Snapshot,
    /// Earlier versions of the parts, the newest last.
    earlier: FxHashMap<Part, VecDeque<(u64, Bytes)>>,
    /// Encoded updates to the present version of a part, by the version that they are based on.
    encoded: FxHashMap<(Part, u64), Bytes>,
}

impl SnapshotHistory {
    /// Returns the present snapshot.
    pub fn current(&self) -> &Snapshot {
        &self.current
    }

    /// Returns the versions of the present snapshot.
    pub fn versions(&self) -> SnapshotVersions {
        SnapshotVersions {
            generation: self.current.generation,
            registry: self.current.registry,
            members: self.current.members_version,
            evacuations: Some(self.current.evacuations_version),
        }
    }

    /// Changes the snapshot; the versions before the change are kept.
    pub fn change(&mut self, change: impl FnOnce(&mut Snapshot)) {
        let before = self.current.clone();
        change(&mut self.current);
        for part in Part::ALL {
            let (version, document) = before.part(part);
            if self.current.part(part) != (version, document) {
                self.encoded.retain(|(of, _), _| *of != part);
            }
            if self.current.part(part).0 != version {
                self.keep_earlier(part, version, document.clone());
            }
        }
    }

    fn keep_earlier(&mut self, part: Part, version: u64, document: Bytes) {
        let earlier = self.earlier.entry(part).or_default();
        earlier.push_back((version, document));
        let mut len: usize = earlier.iter().map(|(_, document)| document.len()).sum();
        while len > EARLIER_MAX_BYTES
            && earlier.len() > EARLIER_MIN_VERSIONS
            && let Some((_, oldest)) = earlier.pop_front()
        {
            len -= oldest.len();
        }
    }

    /// Returns updates for the parts that are newer than `known`.
    ///
    /// # Errors
    /// A document can't be compressed.
    pub fn updates_since(&mut self, known: SnapshotVersions) -> io::Result<Vec<PartUpdate>> {
        let mut updates = Vec::new();
        for part in Part::ALL {
            if let Some(known) = known.of(part)
                && self.current.part(part).0 > known
            {
                updates.push(self.update(part, known)?);
            }
        }
        Ok(updates)
    }

    /// The update of a part for a VM that has the version `known`.
    fn update(&mut self, part: Part, known: u64) -> io::Result<PartUpdate> {
        let (version, document) = self.current.part(part);
        let (base, dictionary) = match self.document(part, known) {
            Some(dictionary) => (known, dictionary),
            None => (0, Bytes::new()),
        };
        let compressed = match self.encoded.get(&(part, base)) {
            Some(compressed) => compressed.clone(),
            None => {
                let compressed = compress(document, &dictionary)?;
                self.encoded.insert((part, base), compressed.clone());
                compressed
            }
        };
        Ok(PartUpdate { part, version, base, compressed })
    }

    /// Decodes a peer's updates. The parts without an update are empty, with version zero.
    ///
    /// # Errors
    /// This VM no longer has a version that an update is based on, or has it with another content.
    pub fn decode(&self, updates: &[PartUpdate]) -> io::Result<Snapshot> {
        let mut snapshot = Snapshot::default();
        for update in updates {
            let dictionary = match update.base {
                0 => Bytes::new(),
                base => self.document(update.part, base).ok_or_else(|| {
                    io::Error::other(format!("version {base} of {:?} is gone", update.part))
                })?,
            };
            let document = decompress(&update.compressed, &dictionary)?;
            snapshot.set_part(update.part, update.version, document);
        }
        Ok(snapshot)
    }

    /// The document of a version, if it is kept. Version zero has none.
    fn document(&self, part: Part, version: u64) -> Option<Bytes> {
        if version == 0 {
            return None;
        }
        let (present, document) = self.current.part(part);
        if version == present {
            return Some(document.clone());
        }
        let earlier = self.earlier.get(&part)?;
        earlier.iter().find(|(of, _)| *of == version).map(|(_, document)| document.clone())
    }
}

/// Compresses a document. A dictionary that resembles it makes the result small wherever the two differ.
fn compress(document: &[u8], dictionary: &[u8]) -> io::Result<Bytes> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, dictionary)?;
    // The window has to reach back to the beginning of the dictionary.
    let reach = (dictionary.len() + document.len()).max(1);
    encoder.window_log((reach.ilog2() + 1).clamp(WINDOW_LOG_MIN, WINDOW_LOG_MAX))?;
    encoder.long_distance_matching(true)?;
    // Reveals a dictionary that differs from the one that was used here.
    encoder.include_checksum(true)?;
    // The decoder reserves as much as the encoder says.
    encoder.set_pledged_src_size(Some(document.len() as u64))?;
    encoder.write_all(document)?;
    encoder.finish().map(Bytes::from)
}

fn decompress(compressed: &[u8], dictionary: &[u8]) -> io::Result<Bytes> {
    let mut decompressor = Decompressor::with_dictionary(dictionary)?;
    let len = Decompressor::upper_bound(compressed).unwrap_or(DOCUMENT_MAX_BYTES);
    decompressor.decompress(compressed, len.min(DOCUMENT_MAX_BYTES)).map(Bytes::from)
}

/// Serialises [`Bytes`] as a byte string instead of a sequence of numbers.
mod serde_bytes_as_vec {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Bytes, D::Error> {
        Bytes::deserialize(d)
    }
}
