//! What this VM has counted for workspaces, and what it collects from other VMs.

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

/// What this VM has counted, and what it collects from others.
#[derive(Default)]
pub struct Tallies {
    local: Mutex<LocalTallies>,
    collector: Mutex<Collector>,
}

#[derive(Default)]
struct LocalTallies {
    book: UsageRecorder,
    generation: Generation,
    clocks: FxHashMap<WorkspaceName, DayClock>,
}

impl Tallies {
    /// Counts a request's end.
    pub fn count(
        &self,
        board: &Board,
        workspace: &WorkspaceName,
        weight: u32,
        end: RequestEnd<'_>,
    ) {
        let now_s = unix_s();
        let mut local = lock(&self.local);
        let LocalTallies { book, generation, clocks } = &mut *local;
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
        book.record(workspace, day, day::minute(now_s), counts(end, weight));
    }

    /// Everything that is not known to be stored.
    pub fn report(&self) -> TallyReport {
        lock(&self.local).book.report()
    }

    /// Takes note that everything in the reports up to `number` is stored.
    pub fn mark_stored(&self, number: u64) {
        lock(&self.local).book.mark_stored(number);
    }

    /// What is collected from others, for this thread alone.
    pub fn collector(&self) -> MutexGuard<'_, Collector> {
        lock(&self.collector)
    }

    /// Takes the counts that a VM reported, and says up to which of its reports everything is stored.
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
