//! Share of a service's reads that leaves the nearest databases for farther ones. It answers the load of a data
//! centre (or region) whose own databases are too few or too slow for its reads.
//!
//! Databases are grouped into levels by distance: the data centre, the region, elsewhere. [`Spill::decide`] compares
//! the time that a read takes at the nearest level with the time at the next level that has capacity to spare, and
//! moves the share in bounded steps. Each statement then draws a side at random, so that VMs with the same reports
//! do not all move to the same database.

use model::prelude::*;

/// Number of levels of distance: same data centre, same region, elsewhere.
pub const LEVELS: usize = 3;
/// Cost of a read's transfer to each level, as microseconds of response time that avoiding it is worth. Chosen, not
/// measured: about a twentieth and a third of the round trips assumed until they are measured.
pub const TRANSFER_COST_US: [f64; LEVELS] = [0.0, 1_000.0, 10_000.0];
/// How often the time in a queue counts: a read that waits also delays those after it. Counted once, a mean read
/// took 59.7 ms in simulated runs instead of 50.9.
const QUEUE_COST: f64 = 2.0;
/// Shortest time between two steps. Longer than a round trip between regions and the time between two load reports,
/// so that a step shows in the reports before the next one.
pub const STEP_INTERVAL: DurationUs = DurationUs::from_ms(100);
/// Greatest change of the share in one step. Chosen: half of the reads move in half a second.
pub const STEP_MAX: f64 = 0.1;
/// Greatest share. The rest shows how the near databases do.
pub const SHARE_MAX: f64 = 0.95;
/// Excess of the near level's time over the far level's, as a fraction of the latter, from which the share grows.
/// Below zero it shrinks; between the two it follows only the trend.
pub const GROW_EXCESS: f64 = 0.15;
/// Excess from which reads are split at all. Shorter queues also form at four fifths of the capacity.
pub const START_EXCESS: f64 = 0.5;
/// How long the excess lasts before reads are split, so that a burst does not begin it.
pub const START_AFTER: DurationUs = DurationUs::from_ms(200);
/// Share for each unit of excess. The share of 80 VMs moves by 0.06 (standard deviation) in simulated runs; with a
/// gain of 0.36 and the queue counted once it was 0.08.
const EXCESS_GAIN: f64 = 0.08;
/// Share added in a second for each unit of excess beyond the margin. Small beside `EXCESS_GAIN`, since it
/// adds up while the queue does.
const BASE_GAIN_PER_S: f64 = 0.1;
/// Share removed in a second while the near level has a free slot and is no slower than the far one. Chosen: half of
/// the reads return within 2 s.
const FREE_SHRINK_PER_S: f64 = 0.3;
/// Part of the share removed in a step while the far level has nothing to spare. With a third of it and twice
/// `CAREFUL_STEP`, 3.6 requests waited at a far database of ten slots in simulated runs, with these 1.5.
const FULL_SHRINK: f64 = 0.15;
/// Part of its slots below which the far level counts as having nothing to spare, on average.
const FULL_SPARE: f64 = 0.08;
/// Weight of the present spare capacity in its moving average. A database with few slots has often none free for an
/// instant; the average spans about seven steps.
const SPARE_WEIGHT: f64 = 0.15;
/// Least amount removed in a step while the far level has nothing to spare.
const FULL_SHRINK_MIN: f64 = 0.02;
/// Greatest excess that counts. The queue before a database is limited to 500 ms, about seven times a far read.
const EXCESS_MAX: f64 = 6.0;
/// How long the share grows by no more than `CAREFUL_STEP` at a time after the far level had nothing to spare.
const CAREFUL_PERIOD: DurationUs = DurationUs::from_ms(3_000);
/// Greatest growth in a step in that period. With whole steps, 3.6 requests waited at a far database of ten
/// slots that could spare a fifteenth of the reads of 80 VMs.
const CAREFUL_STEP: f64 = 0.01;
/// Free fraction of the far level's slots from which the share grows by whole steps; smaller below.
const FREE_FOR_WHOLE_STEPS: f64 = 0.4;
/// Part of a database's slots that reads of farther VMs leave free on average. Chosen: it has room for a burst of its
/// own VMs.
const RESERVE: f64 = 0.1;
/// The same for a primary, whose writes can't go elsewhere.
const PRIMARY_RESERVE: f64 = 0.2;
/// Queue of a replica up to which reads of farther VMs are sent there, as a part of its slots. With none allowed,
/// databases of three slots at a round trip of 42 ms were used by half in simulated runs.
const QUEUE_ALLOWED: f64 = 0.67;
/// The same for a primary. With none allowed, a third of a far primary's slots was idle in simulated runs while reads
/// were refused; with this, its writes take as long.
const PRIMARY_QUEUE_ALLOWED: f64 = 0.34;
/// Least factor by which a queue lowers the weight of a database. By calculation, weights that follow the
/// reported queue without a limit oscillate where the queue is shorter than the age of the reports.
const QUEUE_WEIGHT_MIN: f64 = 0.5;
/// Time without usable reports after which the share is forgotten.
const FORGET_AFTER: DurationUs = DurationUs::from_ms(2_000);

/// Load of a database as a VM knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatabaseLoad {
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Slots that nothing occupies.
    pub free: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Mean time for which a request occupies a slot, in microseconds.
    pub service_us: f64,
    /// Time to the database and back, in microseconds.
    pub round_trip_us: f64,
    /// Whether it is its service's primary.
    pub is_primary: bool,
}

impl DatabaseLoad {
    /// Returns the load with `sent` more requests in progress, which the report does not include. Only a part of
    /// them occupies a slot; the others are on their way.
    pub fn with_sent(mut self, sent: u32) -> DatabaseLoad {
        let whole_us = self.service_us + self.round_trip_us;
        let part = if whole_us > 0.0 { self.service_us / whole_us } else { 1.0 };
        let sent = (f64::from(sent) * part).round() as u32;
        let started = sent.min(self.free);
        self.free -= started;
        self.queued += sent - started;
        self
    }

    /// Returns the time until the answer to a read that is sent now, in microseconds, with the time in the queue
    /// counted `QUEUE_COST` times.
    pub fn expected_us(&self) -> f64 {
        let before = if self.free > 0 { 0.0 } else { f64::from(self.queued) + 1.0 };
        self.round_trip_us + self.service_us * (1.0 + QUEUE_COST * before / self.slots())
    }

    /// Returns how many more requests of farther VMs it can run at once.
    pub fn spare(&self) -> f64 {
        let reserve = if self.is_primary { PRIMARY_RESERVE } else { RESERVE };
        match self.queued {
            0 => (f64::from(self.free) - (reserve * self.slots()).floor()).max(0.0),
            _ => 0.0,
        }
    }

    /// Whether a read of a farther VM may be sent there now. Reports are older than a statement takes, so there may be
    /// a short queue by them; the share keeps to what is spare on average.
    pub fn accepts_far_reads(&self) -> bool {
        let allowed = if self.is_primary { PRIMARY_QUEUE_ALLOWED } else { QUEUE_ALLOWED };
        f64::from(self.queued) <= allowed * self.slots()
    }

    /// Returns the weight with which reads choose it among the databases of its level.
    pub fn weight(&self) -> f64 {
        let queue = 1.0 / (1.0 + f64::from(self.queued) / self.slots());
        self.capacity_per_us() * queue.max(QUEUE_WEIGHT_MIN)
    }

    fn capacity_per_us(&self) -> f64 {
        self.slots() / self.service_us.max(1.0)
    }

    fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// Load of the databases of one level of distance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Level {
    /// There is no database that may be used.
    #[default]
    Empty,
    /// The load of none of them is known.
    Unknown,
    /// Sum of those whose load is known.
    Known(LevelLoad),
}

/// Summed load of the databases of a level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelLoad {
    slots: f64,
    free: f64,
    queued: f64,
    spare: f64,
    spare_per_s: f64,
    weight: f64,
    /// Sum of the expected times, each multiplied by the database's weight.
    weighted_us: f64,
}

impl Level {
    /// Adds a database; `None` where its load is not known.
    pub fn add(&mut self, load: Option<DatabaseLoad>) {
        let Some(load) = load else {
            if *self == Level::Empty {
                *self = Level::Unknown;
            }
            return;
        };
        let mut sum = match *self {
            Level::Known(sum) => sum,
            Level::Empty | Level::Unknown => LevelLoad {
                slots: 0.0,
                free: 0.0,
                queued: 0.0,
                spare: 0.0,
                spare_per_s: 0.0,
                weight: 0.0,
                weighted_us: 0.0,
            },
        };
        sum.slots += load.slots();
        sum.free += f64::from(load.free);
        sum.queued += f64::from(load.queued);
        sum.spare += load.spare();
        sum.spare_per_s += load.spare() * 1e6 / load.service_us.max(1.0);
        sum.weight += load.weight();
        sum.weighted_us += load.weight() * load.expected_us();
        *self = Level::Known(sum);
    }
}

impl LevelLoad {
    /// Mean time until the answer to a read, in microseconds.
    pub fn expected_us(&self) -> f64 {
        self.weighted_us / self.weight
    }

    /// How many more requests of farther VMs its databases can run now.
    pub fn spare(&self) -> f64 {
        self.spare
    }

    fn has_free_slot(&self) -> bool {
        self.queued == 0.0 && self.free >= 1.0
    }
}

/// Load of a service's databases as a VM knows it, and the VM's own demand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// By distance, the nearest first.
    pub levels: [Level; LEVELS],
    /// Reads that this VM sends in a second.
    pub reads_per_s: f64,
}

/// Where reads of a service go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The near databases suffice, or too little is known: each read goes where its estimated time is least.
    Unrestricted,
    /// Each read draws its level.
    Split(Split),
}

/// Split of reads between two levels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// The nearest level that has databases.
    pub near: usize,
    /// The level that gets the share.
    pub far: usize,
    /// Share of the reads for the far level, from 0 to `SHARE_MAX`.
    pub share: f64,
}

/// Which of two levels a read goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The nearest level.
    Near,
    /// The level that gets the share.
    Far,
}

impl Split {
    /// Returns the side of the read with this seed.
    pub fn side(&self, seed: u64) -> Side {
        if uniform(seed) < self.share { Side::Far } else { Side::Near }
    }
}

/// State of the decision for one service.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    share: f64,
    /// Whether reads draw their level.
    is_split: bool,
    /// Part of the share that does not follow the excess at once.
    base: f64,
    stepped_at: Option<MonoTime>,
    /// Since when the excess has been greater than `START_EXCESS`, while reads are not split.
    exceeded_since: Option<MonoTime>,
    /// Moving average of the far level's spare part of its slots.
    far_spare: f64,
    /// When the far level last had nothing to spare.
    full_at: Option<MonoTime>,
    /// When the load was last known.
    known_at: MonoTime,
}

impl Spill {
    /// The share as of the last step.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns where reads go, and changes the share if a step is due.
    pub fn decide(&mut self, load: &ServiceLoad, now: MonoTime) -> Decision {
        let Some((near, far, near_load, far_load)) = compared_levels(&load.levels) else {
            // Reports may come back at once; the share is then the best guess.
            if now.since(self.known_at) >= FORGET_AFTER {
                *self = Spill { known_at: self.known_at, ..Spill::default() };
            }
            return Decision::Unrestricted;
        };
        self.known_at = now;
        let far_us = far_load.expected_us() + TRANSFER_COST_US[far];
        let near_us = near_load.expected_us() + TRANSFER_COST_US[near];
        let excess = (near_us / far_us - 1.0).min(EXCESS_MAX);
        if !self.is_split {
            // Without capacity to spare on the far side, a split with share 0 keeps reads from moving there.
            if excess <= START_EXCESS {
                self.exceeded_since = None;
                return Decision::Unrestricted;
            }
            if now.since(*self.exceeded_since.get_or_insert(now)) < START_AFTER {
                return Decision::Unrestricted;
            }
            self.is_split = true;
            self.base = 0.0;
            self.far_spare = far_load.spare / far_load.slots;
            self.stepped_at = None;
        }
        let since = self.stepped_at.map_or(STEP_INTERVAL, |at| now.since(at));
        if since >= STEP_INTERVAL {
            let seconds = since.0.min(2 * STEP_INTERVAL.0) as f64 / 1e6;
            // A VM's own reads alone must not take more than there is to spare.
            let spare = far_load.spare_per_s / load.reads_per_s.max(1.0);
            let spare_part = far_load.spare / far_load.slots;
            self.far_spare += SPARE_WEIGHT * (spare_part - self.far_spare);
            if self.far_spare < FULL_SPARE {
                self.full_at = Some(now);
            }
            let is_careful = self.full_at.is_some_and(|at| now.since(at) < CAREFUL_PERIOD);
            let most = if is_careful { CAREFUL_STEP } else { STEP_MAX }.min(spare);
            let step = self.step(excess, seconds, &near_load).min(most);
            self.share = (self.share + step).clamp(0.0, SHARE_MAX);
            self.stepped_at = Some(now);
            // Once the share is zero and reads take no longer near, the near side suffices again.
            self.is_split = self.share > 0.0 || excess > 0.0;
        }
        match self.is_split {
            true => Decision::Split(Split { near, far, share: self.share }),
            false => Decision::Unrestricted,
        }
    }

    /// Returns the change of the share for a step after `seconds`: towards the sum of `base` and a part in
    /// proportion to the excess, within the bounds.
    fn step(&mut self, excess: f64, seconds: f64, near: &LevelLoad) -> f64 {
        if self.far_spare < FULL_SPARE {
            // Once it has capacity to spare, the share grows from here, not by a leap.
            self.base = self.share - EXCESS_GAIN * excess;
            return -(self.share * FULL_SHRINK).clamp(FULL_SHRINK_MIN, STEP_MAX);
        }
        let beyond = (excess - GROW_EXCESS).max(0.0) + excess.min(0.0);
        let is_free = near.has_free_slot() && excess <= GROW_EXCESS;
        let shrink = if is_free { FREE_SHRINK_PER_S } else { 0.0 };
        let base = self.base + (BASE_GAIN_PER_S * beyond - shrink) * seconds;
        self.base = base.clamp(-EXCESS_GAIN * EXCESS_MAX, SHARE_MAX);
        let most = STEP_MAX * (self.far_spare / FREE_FOR_WHOLE_STEPS).min(1.0);
        (self.base + EXCESS_GAIN * excess - self.share).clamp(-STEP_MAX, most)
    }
}

/// Returns the nearest level and the next one with capacity to spare, or else the next one; `None` where the load of
/// a level that may come into question is not known.
fn compared_levels(levels: &[Level; LEVELS]) -> Option<(usize, usize, LevelLoad, LevelLoad)> {
    let mut present = levels.iter().enumerate().filter(|(_, level)| **level != Level::Empty);
    let (near, Level::Known(near_load)) = present.next()? else { return None };
    let mut full = None;
    for (far, level) in present {
        match level {
            Level::Known(load) if load.spare > 0.0 => return Some((near, far, *near_load, *load)),
            Level::Known(load) => full = full.or(Some((near, far, *near_load, *load))),
            Level::Empty | Level::Unknown => return None,
        }
    }
    full
}

/// Returns the index that a draw chooses among `weights`, in proportion to them; `None` if none is above zero.
pub fn pick(weights: &[f64], seed: u64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = uniform(seed) * total;
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        *weight > 0.0 && left < 0.0
    });
    // Rounding may leave a remainder after the last one.
    chosen.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}

/// Returns a number below 1, evenly distributed over the seeds.
fn uniform(seed: u64) -> f64 {
    (mix(seed) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns a seed that differs in all bits for values that differ in one (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
