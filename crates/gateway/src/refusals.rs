//! Counts of operations and statements that were refused at once for lack of capacity or contact, by reason and
//! priority, for operators who see callers refused under load.

use crate::admission::{ByClass, CLASSES, class_of};

/// Why an operation or a statement was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its workspace is past its rate.
    Rate,
    /// A more urgent operation took its place in the queue for tokens.
    Displaced,
    /// This VM has no lease.
    NoContact,
    /// It would start after its time limit.
    LateStart,
}

impl RefusalReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [RefusalReason; 4] = [
        RefusalReason::Rate,
        RefusalReason::Displaced,
        RefusalReason::NoContact,
        RefusalReason::LateStart,
    ];

    /// The reason's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Rate => "rate",
            RefusalReason::Displaced => "displaced",
            RefusalReason::NoContact => "no_contact",
            RefusalReason::LateStart => "late_start",
        }
    }
}

/// Numbers of refusals since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refusals([ByClass<u64>; RefusalReason::ALL.len()]);

impl Refusals {
    /// Counts a refusal of an operation of the given priority.
    pub fn record(&mut self, reason: RefusalReason, priority: u32) {
        self.0[reason as usize][class_of(priority)] += 1;
    }

    /// Number of refusals for a reason, of all priorities.
    pub fn total(&self, reason: RefusalReason) -> u64 {
        self.0[reason as usize].iter().sum()
    }

    /// Reason, class of priorities and number of refusals of each.
    pub fn iter(&self) -> impl Iterator<Item = (RefusalReason, usize, u64)> {
        RefusalReason::ALL.into_iter().flat_map(move |reason| {
            (0..CLASSES).map(move |class| (reason, class, self.0[reason as usize][class]))
        })
    }
}
