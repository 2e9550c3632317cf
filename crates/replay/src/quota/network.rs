//! The simulated network: latency, lost, duplicated and delayed messages, and cuts.

use model::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SAME_DC_LATENCY: DurationUs = DurationUs(500);
const OTHER_DC_LATENCY: DurationUs = DurationUs::from_ms(20);
const PLATFORM_LATENCY: DurationUs = DurationUs::from_ms(3);

/// How many messages between VMs are affected by each fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MessageFaults {
    /// Messages that are lost, in parts per million.
    pub lost_ppm: u32,
    /// Messages that arrive twice, in parts per million.
    pub doubled_ppm: u32,
    /// Messages that are delayed, in parts per million.
    pub delayed_ppm: u32,
    /// Longest delay of delayed messages, in milliseconds.
    pub delay_ms: u64,
}

/// The network between VMs, and between VMs and the platform.
#[derive(Debug)]
pub struct Network {
    /// Faults of messages between VMs.
    pub faults: MessageFaults,
    /// Data centres that are cut off from the others and the platform.
    pub cut_dcs: FxHashSet<DcName>,
    /// VMs that are cut off from everything.
    pub cut_vms: FxHashSet<VmName>,
    rng: StdRng,
}

impl Network {
    /// Creates a network without faults; the seed decides which messages later faults affect.
    pub fn new(seed: u64) -> Network {
        Network {
            faults: MessageFaults::default(),
            cut_dcs: FxHashSet::default(),
            cut_vms: FxHashSet::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the times after which a message arrives: none if it is lost, two if it is duplicated.
    pub fn delivery_delays(
        &mut self,
        from: (&VmName, &DcName),
        to: (&VmName, &DcName),
    ) -> Vec<DurationUs> {
        let cut = |(vm, _): (&VmName, &DcName)| self.cut_vms.contains(vm);
        let far = from.1 != to.1;
        let parted = far && (self.cut_dcs.contains(from.1) || self.cut_dcs.contains(to.1));
        if cut(from) || cut(to) || parted || self.chance(self.faults.lost_ppm) {
            return Vec::new();
        }
        let base = if far { OTHER_DC_LATENCY } else { SAME_DC_LATENCY };
        let copies = if self.chance(self.faults.doubled_ppm) { 2 } else { 1 };
        (0..copies).map(|_| DurationUs(base.0 + self.delay().0)).collect()
    }

    /// Returns the latency between a VM and the platform, or `None` if the VM is cut off from it.
    pub fn platform_latency(&self, vm: &VmName, dc: &DcName) -> Option<DurationUs> {
        let cut = self.cut_vms.contains(vm) || self.cut_dcs.contains(dc);
        (!cut).then_some(PLATFORM_LATENCY)
    }

    fn delay(&mut self) -> DurationUs {
        if !self.chance(self.faults.delayed_ppm) {
            return DurationUs::default();
        }
        DurationUs(self.rng.random_range(0..=self.faults.delay_ms * 1_000))
    }

    fn chance(&mut self, ppm: u32) -> bool {
        ppm > 0 && self.rng.random_range(0..1_000_000) < ppm
    }
}
