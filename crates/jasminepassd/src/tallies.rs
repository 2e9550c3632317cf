//! Request counts by workspace, for the service level: those of this VM, and those collected from
//! other VMs.

use std::sync::{Mutex, MutexGuard};

use board::{Board, Catalog};
use model::prelude::*;
use proto::report::{TallyReport, VmReport};
use tally::{
    collector::{Collector, CollectorEvent},
    day::{self, DayClock},
    ledger::Source,
    recorder::UsageRecorder,
    sli::{RequestEnd, counts},
};

use crate::{clock::unix_s, lock::lock};

/// Request counts of this VM, and those collected from other VMs.
#[derive(Default)]
pub struct Tallies {
    local: Mutex<LocalTallies>,
    collector: Mutex<Collector>,
}

#[derive(Default)]
struct LocalTallies {
    recorder: UsageRecorder,
    /// Generation of the configuration that `clocks` were built from.
    generation: Generation,
    /// Tells each workspace's current day, in its time zone.
    clocks: FxHashMap<WorkspaceName, DayClock>,
}

impl Tallies {
    /// Counts a request of the workspace by how it ended.
    pub fn count(
        &self,
        board: &Board,
        workspace: &WorkspaceName,
        weight: u32,
        end: RequestEnd<'_>,
    ) {
        let now_s = unix_s();
        let mut local = lock(&self.local);
        let LocalTallies { recorder, generation, clocks } = &mut *local;
        let cfg = &board.catalog.cfg;
        if *generation != cfg.generation {
            *generation = cfg.generation;
            clocks.clear();
        }
        let clock = match clocks.get_mut(workspace) {
            Some(clock) => clock,
            None => {
                let clock = day_clock(&board.catalog, workspace);
                clocks.entry(workspace.clone()).or_insert(clock)
            }
        };
        let day = clock.day(now_s);
        recorder.record(workspace, day, day::minute(now_s), counts(end, weight));
    }

    /// Report of all counts of this VM that are not known to be stored.
    pub fn report(&self) -> TallyReport {
        lock(&self.local).recorder.report()
    }

    /// Marks the counts of all reports up to `number` as stored.
    pub fn mark_stored(&self, number: u64) {
        lock(&self.local).recorder.mark_stored(number);
    }

    /// Locks the counts collected from other VMs.
    pub fn collector(&self) -> MutexGuard<'_, Collector> {
        lock(&self.collector)
    }

    /// Adds the counts that a VM reported. Returns the number of its last report of which
    /// everything is stored.
    pub fn collect(&self, from: &VmReport, report: TallyReport) -> u64 {
        let source = Source { vm: from.vm.clone(), incarnation: from.incarnation };
        let mut collector = lock(&self.collector);
        collector.handle(CollectorEvent::Report { source: source.clone(), report });
        collector.stored(&source)
    }
}

fn day_clock(catalog: &Catalog, workspace: &WorkspaceName) -> DayClock {
    let key = catalog.workspace(workspace.as_str());
    let zone = key.and_then(|key| catalog.workspaces[key].cfg.time_zone.as_deref());
    DayClock::new(zone.unwrap_or(&catalog.cfg.time_zone))
}
