//! The rate limiter of this VM, and the requests that wait for its decision.

use std::sync::{Mutex, MutexGuard};

use model::prelude::*;
use quota::{objects::VmInstance, rate_limiter::RateLimiter, workspace_limiter::Ticket};
use tokio::sync::oneshot;

use crate::lock::lock;

/// Decision on a waiting request: it may run, or is to be retried after this time.
pub type Decision = Result<(), DurationUs>;

/// The rate limiter of this VM, and the requests that wait for its decision.
pub struct QuotaState {
    rate_limiter: Mutex<RateLimiter>,
    waiting: Mutex<FxHashMap<Ticket, oneshot::Sender<Decision>>>,
}

impl QuotaState {
    /// Creates a rate limiter without tokens, for this VM and incarnation.
    pub fn new(me: VmInstance) -> QuotaState {
        QuotaState { rate_limiter: Mutex::new(RateLimiter::new(me)), waiting: Mutex::default() }
    }

    /// Locks the rate limiter.
    pub fn rate_limiter(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.rate_limiter)
    }

    /// Locks the map of waiting requests, with the sender of each decision.
    pub fn waiting(&self) -> MutexGuard<'_, FxHashMap<Ticket, oneshot::Sender<Decision>>> {
        lock(&self.waiting)
    }
}
