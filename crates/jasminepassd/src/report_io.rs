//! Reports this VM's status and request counts to the collector, the VM of its data centre that
//! writes them to the platform.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use board::{Board, DatabaseKey, SlotKey};
use fleet::placement::holders;
use model::{prelude::*, request::stable_hash};
use proto::{
    peer::{PeerReply, PeerRequest},
    platform::{UpdateResult, Version, VmRecord, VmState},
    report::{SlotReport, TallyReport, VmReport},
};

use crate::{app::App, clock::unix_s, counters::Counter, fleet_io, tally_io};

/// Interval of reports while nothing changes, and of storing counts on the platform.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// How often a change that triggers a report is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of the last report before a planned stop.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of VMs that a report is sent to, until one of them takes it.
const COLLECTORS_MAX: usize = 2;

/// Values whose change triggers a report at once: the configuration's generation, whether this VM
/// is stopping, and the suspects.
type ReportTrigger = (Generation, bool, Vec<VmName>);

/// Reports until the process exits; also starts the task that writes what this VM collects.
pub async fn run(app: Arc<App>) {
    tokio::spawn(run_writer(app.clone()));
    let mut last: Option<(Instant, ReportTrigger)> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let board = app.board();
        let trigger = trigger(&board);
        let due = last
            .as_ref()
            .is_none_or(|(at, old)| at.elapsed() >= REPORT_INTERVAL || *old != trigger);
        if due && board.catalog.cfg.generation > Generation(0) {
            report(&app, &board).await;
            last = Some((Instant::now(), trigger));
        }
    }
}

/// Sends the last report before a planned stop, and stores the counts that this VM has collected.
pub async fn report_final(app: &Arc<App>) {
    let final_report = async {
        report(app, &app.board()).await;
        tally_io::store(app).await;
    };
    // Counts that are not stored by then are lost.
    let _ = tokio::time::timeout(FINAL_REPORT_TIMEOUT, final_report).await;
}

/// Handles the report of a VM. Returns the number of its last report of which all counts are
/// stored.
pub fn handle_report(app: &App, report: VmReport, tally: TallyReport) -> u64 {
    let stored = app.tallies.collect(&report, tally);
    app.status_reports.lock().record(report, unix_s());
    stored
}

async fn report(app: &Arc<App>, board: &Board) {
    let report = vm_report(board);
    let tally = app.tallies.report();
    for collector in collectors(board) {
        if collector.vm == app.settings.vm {
            let stored = handle_report(app, report, tally);
            return app.tallies.mark_stored(stored);
        }
        let req = PeerRequest::Report(Box::new(report.clone()), tally.clone());
        let sent = fleet_io::call(app, collector, &req, SEND_TIMEOUT).await;
        if let Ok(PeerReply::Reported { stored }) = sent {
            return app.tallies.mark_stored(stored);
        }
    }
}

/// VMs that may collect reports in this data centre, in order of preference. Two VMs that collect
/// at the same time do no harm.
fn collectors(board: &Board) -> Vec<&VmRecord> {
    let fleet = &board.fleet;
    let mut vms: Vec<&VmRecord> = fleet.vms.iter().filter(|vm| vm.dc == fleet.me.dc).collect();
    vms.sort_by_key(|vm| {
        let rank = stable_hash(&format!("collector {} {}", vm.vm, vm.incarnation.0));
        (vm.state == VmState::Leaving, fleet.suspects.contains_key(&vm.vm), rank)
    });
    vms.truncate(COLLECTORS_MAX);
    vms
}

fn trigger(board: &Board) -> ReportTrigger {
    let mut suspects: Vec<VmName> = board.fleet.suspects.keys().cloned().collect();
    suspects.sort();
    (board.catalog.cfg.generation, board.fleet.stopping, suspects)
}

fn vm_report(board: &Board) -> VmReport {
    let (generation, stopping, suspects) = trigger(board);
    let slots = board.slots.keys().filter(|slot| reports_slot(board, *slot));
    VmReport {
        vm: board.fleet.me.vm.clone(),
        incarnation: board.fleet.me.incarnation,
        generation,
        stopping,
        portions: board.quota.portions.len() as u64,
        suspects,
        slots: slots.map(|slot| slot_report(board, slot)).collect(),
    }
}

/// Whether this VM reports the slot: it is the first holder of a database of the slot in this data
/// centre.
fn reports_slot(board: &Board, slot: SlotKey) -> bool {
    let me = &board.fleet.me;
    let members = board.catalog.slots[slot].members.iter();
    let mut in_dc = members.filter(|db| board.catalog.databases[**db].cfg.dc == me.dc);
    in_dc.any(|db| holders(board, *db).first().is_some_and(|holder| holder.vm == me.vm))
}

fn slot_report(board: &Board, slot: SlotKey) -> SlotReport {
    let (entry, state) = (&board.catalog.slots[slot], &board.slots[slot]);
    let name = |database: DatabaseKey| board.catalog.databases[database].name.clone();
    let lag: BTreeMap<DatabaseName, Option<u64>> = state
        .members
        .iter()
        .map(|member| {
            let silent = board.databases[member.database].silent_since.is_some();
            let same_log = member.position.term == state.confirmed.term;
            let behind = state.confirmed.index.saturating_sub(member.position.index);
            (name(member.database), (!silent && same_log).then_some(behind))
        })
        .collect();
    SlotReport {
        service: board.catalog.services[entry.service].name.clone(),
        slot: entry.name.clone(),
        term: state.term,
        primary: state.primary.map(name),
        lag,
    }
}

async fn run_writer(app: Arc<App>) {
    let mut version = None;
    let mut stored_at = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if stored_at.elapsed() >= REPORT_INTERVAL {
            tally_io::store(&app).await;
            stored_at = Instant::now();
        }
        let board = app.board();
        let collects = collectors(&board).first().is_some_and(|vm| vm.vm == app.settings.vm);
        let configured = board.catalog.cfg.generation > Generation(0);
        if collects && configured && app.status_reports.lock().is_due(unix_s()) {
            version = write_status(&app, &board, version).await;
        }
    }
}

/// Writes the data centre's status object, and returns its new version if the write succeeded. The
/// write replaces the version `known`, or the current one if that is `None`.
async fn write_status(app: &App, board: &Board, known: Option<Version>) -> Option<Version> {
    let object = format!("status/{}", app.settings.dc);
    let expected = match known {
        Some(version) => Some(version),
        None => {
            app.counters.count(Counter::PlatformCalls);
            app.platform.get(&object).await.ok().map(|object| object.version)
        }
    };
    let in_dc = board.fleet.vms.iter().filter(|vm| vm.dc == app.settings.dc);
    let listed: Vec<VmName> = in_dc.map(|vm| vm.vm.clone()).collect();
    let now_s = unix_s();
    let status = app.status_reports.lock().status(&listed, &app.settings.vm, now_s);
    let value = serde_json::to_value(&status).ok()?;
    let updated = match expected {
        Some(expected) => {
            app.counters.count(Counter::PlatformCalls);
            app.platform.update(&object, expected, value).await.ok()
        }
        None => None,
    };
    let version = match updated {
        Some(UpdateResult::Done { version }) => Some(version),
        _ => None,
    };
    app.status_reports.lock().mark_written(now_s, version.is_some());
    version
}
