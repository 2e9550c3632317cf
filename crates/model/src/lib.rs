//! Domain types that all crates share: names, log positions, time, identifiers, session tokens and
//! keys.
//!
//! The crate reads no clock and does no I/O except for the system's random source. Messages are
//! defined in `proto`.

pub mod key;
pub mod names;
pub mod position;
pub mod prelude;
pub mod request;
pub mod session;
pub mod time;
pub mod transaction;

/// A hash map with a fast hasher, for keys that callers can't choose: the hasher doesn't resist
/// deliberate collisions.
pub type FxHashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher, for the same keys as [`FxHashMap`].
pub type FxHashSet<K> = rustc_hash::FxHashSet<K>;
