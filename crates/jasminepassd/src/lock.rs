//! Locking of mutexes that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, even if a thread panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
