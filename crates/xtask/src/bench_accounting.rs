//! Measures usage accounting: the time to count a request, the sizes of reports and ledgers, and the
//! time that the collector takes for one report of every VM.

use std::time::Instant;

use edge::peer::encode;
use model::prelude::*;
use proto::{
    peer::PeerRequest,
    platform::{UpdateResult, Version},
    report::{Counts, Day, Minute, VmReport},
};
use serde_json::Value;
use tally::{
    collector::{Collector, CollectorEffect, CollectorEvent},
    ledger::Source,
    recorder::UsageRecorder,
};

const RECORDS: u32 = 1_000_000;
const DAY: Day = Day(20_000);
const FIRST_MINUTE: u64 = 29_000_000;
/// Counts of a busy day. Large numbers give the encoded reports and ledgers a realistic length.
const BUSY_DAY_COUNTS: Counts =
    Counts { requests: 10_000_000, weight: 30_000_000, good: 9_990_000, bad: 10_000 };

/// Runs the measurements and prints them.
pub fn run() -> eyre::Result<()> {
    println!("counting: {:.0} ns a request", count_ns()?);
    println!("{:>10} {:>22}", "workspaces", "report, bytes");
    for workspaces in [0, 8, 64, 256] {
        println!("{workspaces:>10} {:>22}", report_bytes(workspaces)?);
    }
    println!("{:>6} {:>10} {:>16} {:>16}", "VMs", "workspaces", "ledger, bytes", "collection, ms");
    for (vms, workspaces) in [(3, 8), (25, 8), (100, 8), (100, 64), (125, 200)] {
        let (bytes, ms) = measure_collection(vms, workspaces)?;
        println!("{vms:>6} {workspaces:>10} {bytes:>16} {ms:>16.1}");
    }
    Ok(())
}

fn names(count: usize) -> eyre::Result<Vec<WorkspaceName>> {
    Ok((0..count)
        .map(|n| WorkspaceName::new(format!("workspace-{n}")))
        .collect::<Result<_, _>>()?)
}

fn busy_recorder(workspaces: &[WorkspaceName]) -> UsageRecorder {
    let mut recorder = UsageRecorder::default();
    for workspace in workspaces {
        recorder.record(workspace, DAY, Minute(FIRST_MINUTE), BUSY_DAY_COUNTS);
    }
    recorder
}

fn count_ns() -> eyre::Result<f64> {
    let names = names(8)?;
    let mut recorder = busy_recorder(&names);
    let one = Counts { requests: 1, weight: 1, good: 1, bad: 0 };
    let started = Instant::now();
    for number in 0..RECORDS {
        recorder.record(&names[number as usize % names.len()], DAY, Minute(FIRST_MINUTE), one);
    }
    Ok(started.elapsed().as_nanos() as f64 / f64::from(RECORDS))
}

fn report_bytes(workspaces: usize) -> eyre::Result<usize> {
    let report = VmReport {
        vm: VmName::new("uusimaa-a-17")?,
        incarnation: Incarnation(1_700_000_000),
        generation: Generation(4_711),
        stopping: false,
        portions: 4,
        suspects: Vec::new(),
        slots: Vec::new(),
    };
    let tally = busy_recorder(&names(workspaces)?).report();
    Ok(encode(&PeerRequest::Report(Box::new(report), tally)).len())
}

/// Returns the size of a day's ledger in bytes, and the milliseconds in which the collector takes in one
/// report of every VM and stores the ledger. Measures the second collection, for which the collector
/// already holds the ledger.
fn measure_collection(vms: usize, workspaces: usize) -> eyre::Result<(usize, f64)> {
    let names = names(workspaces)?;
    let mut recorders: Vec<UsageRecorder> = (0..vms).map(|_| busy_recorder(&names)).collect();
    let mut collector = Collector::default();
    let (mut bytes, mut ms) = (0, 0.0);
    for _ in 0..2 {
        let one = Counts { requests: 1, weight: 3, good: 1, bad: 0 };
        let reports = recorders.iter_mut().map(|recorder| {
            names.iter().for_each(|name| recorder.record(name, DAY, Minute(FIRST_MINUTE), one));
            recorder.report()
        });
        let reports: Vec<_> = reports.collect();
        let started = Instant::now();
        for (vm, report) in reports.into_iter().enumerate() {
            let source =
                Source { vm: VmName::new(format!("uusimaa-a-{vm}"))?, incarnation: Incarnation(1) };
            collector.handle(CollectorEvent::Report { source, report });
        }
        let mut effects = collector.handle(CollectorEvent::Tick);
        while let Some(effect) = effects.pop() {
            let event = match effect {
                CollectorEffect::Read { day } => {
                    CollectorEvent::Read { day, version: Version(0), value: Value::Null }
                }
                CollectorEffect::Update { day, expected, value } => {
                    bytes = serde_json::to_vec(&value)?.len();
                    let version = Version(expected.0 + 1);
                    CollectorEvent::Updated { day, updated: UpdateResult::Done { version } }
                }
            };
            effects.extend(collector.handle(event));
        }
        ms = started.elapsed().as_secs_f64() * 1_000.0;
    }
    Ok((bytes, ms))
}
