//! Tests how often a collector calls the platform. What it stores is tested in
//! `replay/tests/tally.rs`.

use model::prelude::*;
use proto::{
    platform::{UpdateResult, Version},
    report::{Counts, Day, Minute, TallyReport},
};
use serde_json::Value;
use tally::{
    collector::{Collector, CollectorEffect, CollectorEvent},
    ledger::Source,
    recorder::UsageRecorder,
};

#[test]
fn collector_calls_the_platform_once_a_round_however_many_vms_report() {
    let workspace = WorkspaceName::new("calgary").expect("a name");
    for vms in [1, 9, 400] {
        let mut collector = Collector::default();
        let mut calls = 0;
        for round in 1..=10 {
            for vm in 0..vms {
                let name = VmName::new(format!("vm{vm}")).expect("a name");
                let mut recorder = UsageRecorder::default();
                let counts = Counts { requests: round, weight: round, good: round, bad: 0 };
                recorder.record(&workspace, Day(1), Minute(round), counts);
                let source = Source { vm: name, incarnation: Incarnation(1) };
                let report = TallyReport { number: round, ..recorder.report() };
                collector.handle(CollectorEvent::Report { source, report });
            }
            let mut effects = collector.handle(CollectorEvent::Tick);
            while let Some(effect) = effects.pop() {
                calls += 1;
                let event = match effect {
                    CollectorEffect::Read { day } => {
                        CollectorEvent::Read { day, version: Version(0), value: Value::Null }
                    }
                    CollectorEffect::Update { day, expected, .. } => {
                        let version = Version(expected.0 + 1);
                        CollectorEvent::Updated { day, updated: UpdateResult::Done { version } }
                    }
                };
                effects.extend(collector.handle(event));
            }
        }
        assert_eq!(calls, 11, "{vms} VMs: one read, then an update a round");
    }
}
