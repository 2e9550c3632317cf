//! Domain types shared by every part of jasminepass.
//!
//! This crate holds names, positions, time, request identifiers, session tokens and keys. It knows
//! no sockets, clocks or threads, and no messages: those are in `proto`.

pub mod key;
pub mod names;
pub mod position;
pub mod prelude;
pub mod request;
pub mod session;
pub mod time;
pub mod transaction;

/// A hash map with a fast hasher, for keys that callers do not choose freely.
pub type FxHashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher, for keys that callers do not choose freely.
pub type FxHashSet<K> = rustc_hash::FxHashSet<K>;
