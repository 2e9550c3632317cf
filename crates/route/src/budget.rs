//! Retry budget: bounds the load that a VM adds by retries when replies are lost.

const CREDIT_PER_REQUEST: u64 = 1;
const COST_PER_RETRY: u64 = 10;
/// Limits a burst to a hundred retries.
const CREDIT_MAX: u64 = 1_000;

/// Budget of retries: one per ten caller requests, with bursts of up to a hundred.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    credit: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> RetryBudget {
        RetryBudget { credit: CREDIT_MAX }
    }

    /// Adds the credit of one caller request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(CREDIT_MAX);
    }

    /// Spends the credit of one retry, or returns `false` if too little is left.
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
