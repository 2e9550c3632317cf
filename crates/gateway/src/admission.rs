//! Which operations get a workspace's tokens while its callers ask for several times its rate.

use std::collections::VecDeque;

use model::prelude::*;

/// Number of classes of priorities that a rate distinguishes. Lower priorities share the last class, which
/// bounds the size of messages.
pub const CLASSES: usize = 4;
/// Demand of more urgent operations for which a less urgent one leaves tokens in a bucket, as a time. The most
/// urgent operations wait 320 ms for a token (40 % of a target latency of 800 ms), of which the request to the
/// home takes up to 60 ms.
const RESERVE_SPAN_US: f64 = 250_000.0;
/// How long tokens are kept for an operation that another VM asked for in vain. A VM whose operation still waits
/// asks again within 40 ms and a round trip, or 150 ms if the answer was lost.
const UNMET_LIFETIME: DurationUs = DurationUs::from_ms(200);

/// A figure for each class of priorities, the most urgent first.
pub type ByClass<T> = [T; CLASSES];

/// Returns the class of a priority.
pub fn class_of(priority: u32) -> usize {
    (priority as usize).min(CLASSES - 1)
}

/// Returns the demand of each class that a rate covers if the more urgent classes are served first, all in
/// operations per second.
pub fn covered(demand: &ByClass<f64>, rate_per_s: f64) -> ByClass<f64> {
    let mut left = rate_per_s;
    demand.map(|wanted| {
        let covered = wanted.min(left).max(0.0);
        left -= covered;
        covered
    })
}

/// Returns how many tokens of a bucket are kept for operations more urgent than `class`, given the demand in
/// operations per second and the bucket's capacity in tokens. A full bucket always has one token to spare: what
/// is refilled beyond its capacity would be lost.
pub fn reserve(demand: &ByClass<f64>, class: usize, capacity: f64) -> f64 {
    let expected = demand[..class].iter().sum::<f64>() * RESERVE_SPAN_US / 1e6;
    expected.min(capacity - 1.0).max(0.0)
}

/// Requests for tokens that the home of a rate could not meet: operations that wait at other VMs, for which it
/// keeps the next tokens if a less urgent request comes first.
#[derive(Clone, Debug, Default)]
pub struct UnmetRequests {
    by_vm: FxHashMap<VmName, (ByClass<u32>, MonoTime)>,
    /// Sum of `by_vm`.
    total: ByClass<u32>,
    /// Times at which the entries of `by_vm` were made, the earliest first.
    recorded: VecDeque<(MonoTime, VmName)>,
}

impl UnmetRequests {
    /// Records what a VM has asked for in vain, in place of what it asked for before.
    pub fn record(&mut self, now: MonoTime, vm: &VmName, unmet: ByClass<u32>) {
        self.expire(now);
        self.remove(vm);
        if unmet.iter().any(|count| *count > 0) {
            (0..CLASSES).for_each(|class| self.total[class] += unmet[class]);
            self.by_vm.insert(vm.clone(), (unmet, now));
            self.recorded.push_back((now, vm.clone()));
        }
    }

    /// Number of operations more urgent than `class` that wait at VMs other than `vm`.
    pub fn more_urgent(&mut self, now: MonoTime, vm: &VmName, class: usize) -> u32 {
        self.expire(now);
        let own = self.by_vm.get(vm).map_or([0; CLASSES], |(unmet, _)| *unmet);
        (0..class).map(|class| self.total[class] - own[class]).sum()
    }

    fn remove(&mut self, vm: &VmName) {
        if let Some((unmet, _)) = self.by_vm.remove(vm) {
            (0..CLASSES).for_each(|class| self.total[class] -= unmet[class]);
        }
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some((at, _)) = self.recorded.front()
            && now.since(*at) >= UNMET_LIFETIME
        {
            let Some((at, vm)) = self.recorded.pop_front() else { return };
            if self.by_vm.get(&vm).is_some_and(|(_, latest)| *latest == at) {
                self.remove(&vm);
            }
        }
    }
}
