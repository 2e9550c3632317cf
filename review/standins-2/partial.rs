//! LOST: a replica starts again without its log, receives the log anew, and counts as proof before it has all of it.

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::{
    Deployment, Setup,
    caller::{Answer, Caller},
    database::{self, Options},
    fleet::ZONES,
    has_trouble, pause, random,
};

const SESSIONS_PER_VM: usize = 6;
/// How long db-2 receives nothing, and the primary is down.
const DEAF_MS: u64 = 6_500;
const DOWN_MS: u64 = 7_000;

/// Returns whether the rule was broken.
pub fn run(root: &Path, case: &Path, temp: &Path) -> bool {
    let options = Options {
        slots: 3,
        connections_max: 36,
        work_ms: (4, 12),
        promote_ms: 1_000,
        is_synchronous: true,
    };
    let deployment =
        Deployment::start(root, case, temp, Setup { vms: 3, options, has_ways: false });
    let (record, databases) = (deployment.record.clone(), deployment.databases.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut threads = Vec::new();
    for (vm, process) in deployment.vms.iter().enumerate() {
        for session in 0..SESSIONS_PER_VM {
            let (is_over, acknowledged) = (is_over.clone(), acknowledged.clone());
            let (address, name, record) =
                (process.callers, format!("v{vm}s{session}"), record.clone());
            threads.push(thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Some(mut caller) = Caller::open(address, "draft", "key-a") else {
                        pause(200);
                        continue;
                    };
                    while !is_over.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("{name}x{number}");
                        let answer =
                            caller.query(&id, &format!("WRITE item{session} data{number}"));
                        if matches!(answer, Answer::Done(_)) {
                            record.write(&format!("write {id} acknowledged"));
                            acknowledged.lock().unwrap().insert(id);
                        }
                        if answer == Answer::Cut {
                            break;
                        }
                        pause(80 + (random() * 80.0) as u64);
                    }
                }
            }));
        }
    }
    let set_deaf = |is_deaf: bool| {
        databases.state.0.lock().unwrap().members[2].is_deaf = is_deaf;
        record.write(&format!("db-2 receives nothing: {is_deaf}"));
    };
    pause(8_000);
    if has_trouble() {
        set_deaf(true);
        pause(1_000);
        record.write("db-1, a replica, crashes");
        databases.set_up(1, false);
        pause(300);
        databases.start_again(1, 1);
        let entry = databases.entry(1, ZONES[1]);
        deployment.store.put("servers", &database::name(1), &entry);
        record.write("db-1 starts again under its id, holding nothing, and receives the log anew");
        pause(1_200);
        databases.set_up(0, false);
        let state = databases.state.0.lock().unwrap();
        let lengths: Vec<usize> = state.members.iter().map(|member| member.log.len()).collect();
        drop(state);
        record.write(&format!("db-0, the primary, crashes; commits in the logs: {lengths:?}"));
        pause(DEAF_MS - 2_500);
        set_deaf(false);
        pause(DOWN_MS + 2_500 - DEAF_MS);
        databases.set_up(0, true);
        record.write("db-0 comes back with its log");
    }
    pause(6_000);
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let acknowledged = acknowledged.lock().unwrap().clone();
    let led = databases.state.0.lock().unwrap().led.clone();
    let mut lost = 0;
    // The first promotion is the one that follows the crash. What was acknowledged under its term or a later one is in
    // the log of the last primary.
    if let Some((at, log)) = led.first() {
        let state = databases.state.0.lock().unwrap();
        let primaries = state.members.iter().filter(|member| member.is_primary);
        let last = primaries.max_by_key(|member| member.term).cloned();
        drop(state);
        let last = last.map(|member| member.log).unwrap_or_default();
        let kept: BTreeSet<&String> = last.iter().map(|(_, id)| id).collect();
        for id in acknowledged.iter().filter(|id| !log.contains(*id) && !kept.contains(id)) {
            lost += 1;
            record.write(&format!(
                "BROKEN: {id} was acknowledged and is not in the log of db-{at}, which was promoted"
            ));
        }
    }
    println!(
        "{} writes acknowledged, {} promotions, {lost} acknowledged writes lost",
        acknowledged.len(),
        led.len()
    );
    if acknowledged.len() < 300 {
        record.write("too few writes were acknowledged for a check");
        crate::fail(deployment, 2);
    }
    lost > 0
}
