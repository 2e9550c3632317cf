//! Bounds how many further sendings a VM adds to its load when answers get lost.

const CREDIT_PER_REQUEST: u64 = 1;
const COST_PER_RETRY: u64 = 10;
const CREDIT_MAX: u64 = 1_000;

/// Retries that a VM may still make: one for every ten requests, and a hundred at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    credit: u64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> RetryBudget {
        RetryBudget { credit: CREDIT_MAX }
    }

    /// Counts a request of a caller.
    pub fn earn(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(CREDIT_MAX);
    }

    /// Takes a retry, if one is left.
    pub fn try_spend(&mut self) -> bool {
        let left = self.credit.checked_sub(COST_PER_RETRY);
        self.credit = left.unwrap_or(self.credit);
        left.is_some()
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
