//! The network in virtual time: latency, loss, copies, delays and cuts.

use model::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SAME_DC_LATENCY: DurationUs = DurationUs(500);
const OTHER_DC_LATENCY: DurationUs = DurationUs::from_ms(20);
const PLATFORM_LATENCY: DurationUs = DurationUs::from_ms(3);

/// What is wrong with messages between VMs, in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MessageFaults {
    /// Messages that are lost.
    pub lost_ppm: u32,
    /// Messages that arrive twice.
    pub doubled_ppm: u32,
    /// Messages that are delayed.
    pub delayed_ppm: u32,
    /// Longest delay of those, in milliseconds.
    pub delay_ms: u64,
}

/// The network between VMs, and to the platform.
#[derive(Debug)]
pub struct Network {
    /// What is wrong.
    pub faults: MessageFaults,
    /// Data centres that are cut off from the others and the platform.
    pub cut_dcs: FxHashSet<DcName>,
    /// VMs that are cut off from everything.
    pub cut_vms: FxHashSet<VmName>,
    rng: StdRng,
}

impl Network {
    /// A sound network; the seed decides which messages later faults hit.
    pub fn new(seed: u64) -> Network {
        Network {
            faults: MessageFaults::default(),
            cut_dcs: FxHashSet::default(),
            cut_vms: FxHashSet::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Times after which a message arrives: none if it is lost, two if it is doubled.
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

    /// Time to the platform, if it can be reached.
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
