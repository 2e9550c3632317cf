//! The accounts of workspaces' rates on this VM, and the requests that wait for their decision.

use std::sync::{Mutex, MutexGuard};

use model::prelude::*;
use quota::{objects::VmInstance, rate_limiter::RateLimiter, workspace_limiter::Ticket};
use tokio::sync::oneshot;

use crate::lock::lock;

/// Whether a waiting request may run, or when to come back.
pub type Decision = Result<(), DurationUs>;

/// The accounts of this VM, and the requests that wait for their decision.
pub struct QuotaState {
    rate_limiter: Mutex<RateLimiter>,
    waiting: Mutex<FxHashMap<Ticket, oneshot::Sender<Decision>>>,
}

impl QuotaState {
    /// Creates a rate limiter without tokens.
    pub fn new(me: VmInstance) -> QuotaState {
        QuotaState { rate_limiter: Mutex::new(RateLimiter::new(me)), waiting: Mutex::default() }
    }

    /// The accounts, for this thread alone.
    pub fn rate_limiter(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.rate_limiter)
    }

    /// Where the requests that wait are told of their decision, for this thread alone.
    pub fn waiting(&self) -> MutexGuard<'_, FxHashMap<Ticket, oneshot::Sender<Decision>>> {
        lock(&self.waiting)
    }
}
