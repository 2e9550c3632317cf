//! PINNED: the primary fails part of its requests, also those with which the gateway sets up a connection.

use std::{
    collections::BTreeMap,
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
    database::Options,
    has_trouble, pause, random,
};

const SESSIONS_PER_VM: usize = 6;
/// Share of the requests that fail, and for how long: the largest dose of `srv_grey` on bfq-showroom-grown is 0.45 for
/// 7.2 s.
const FAILING: f64 = 0.45;
const FAILING_MS: u64 = 6_500;

/// What became of a write.
#[derive(Clone, Debug)]
struct Sent {
    /// Values that were acknowledged to the session when it sent the write.
    variables: BTreeMap<String, String>,
    answer: Answer,
}

type Writes = Arc<Mutex<BTreeMap<String, Sent>>>;

/// Returns whether the rule was broken.
pub fn run(root: &Path, case: &Path, temp: &Path) -> bool {
    let options = Options {
        slots: 3,
        connections_max: 36,
        work_ms: (4, 12),
        promote_ms: 1_000,
        is_synchronous: false,
    };
    let deployment =
        Deployment::start(root, case, temp, Setup { vms: 3, options, has_ways: false });
    let record = deployment.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let writes = Writes::default();
    let mut threads = Vec::new();
    for (vm, process) in deployment.vms.iter().enumerate() {
        for session in 0..SESSIONS_PER_VM {
            let (is_over, writes) = (is_over.clone(), writes.clone());
            let (address, name) = (process.callers, format!("v{vm}s{session}"));
            // Every other session has no values of its own.
            let value = (session % 2 == 0).then(|| name.clone());
            threads.push(thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Some(mut caller) = Caller::open(address, "draft", "key-a") else {
                        pause(200);
                        continue;
                    };
                    let mut variables = BTreeMap::new();
                    if let Some(value) = &value {
                        let answer = caller
                            .query(&format!("{name}x{number}set"), &format!("SET lang {value}"));
                        if !matches!(answer, Answer::Done(_)) {
                            continue;
                        }
                        variables.insert("lang".to_owned(), value.clone());
                    }
                    while !is_over.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("{name}x{number}");
                        let answer =
                            caller.query(&id, &format!("WRITE item{} data{number}", session));
                        let cut = answer == Answer::Cut;
                        let sent = Sent { variables: variables.clone(), answer };
                        writes.lock().unwrap().insert(id, sent);
                        if cut {
                            break;
                        }
                        pause(60 + (random() * 80.0) as u64);
                    }
                }
            }));
        }
    }
    pause(3_000);
    if has_trouble() {
        record.write(&format!("db-0 fails {FAILING} of its requests for {FAILING_MS} ms"));
        deployment.databases.state.0.lock().unwrap().failing.insert(0, FAILING);
    }
    pause(FAILING_MS);
    deployment.databases.state.0.lock().unwrap().failing.clear();
    record.write("db-0 fails no more requests");
    pause(1_500);
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let writes = writes.lock().unwrap().clone();
    let runs = deployment.databases.state.0.lock().unwrap().runs.clone();
    let mut wrong = 0;
    for run in &runs {
        let Some(sent) = writes.get(&run.id) else { continue };
        record.write(&format!(
            "write {}: acknowledged values {:?}, ran at db-{} for {} with {:?}, answer {:?}",
            run.id, sent.variables, run.database, run.tenant, run.variables, sent.answer
        ));
        if sent.variables != run.variables {
            wrong += 1;
            record.write(&format!("BROKEN: {} ran with other session values", run.id));
        }
    }
    let answered = writes.values().filter(|sent| matches!(sent.answer, Answer::Done(_))).count();
    record.write(&format!(
        "{} writes sent, {answered} answered with success, {} ran, {wrong} of them with other session values",
        writes.len(),
        runs.len()
    ));
    println!("{} writes, {} runs, {wrong} with other session values", writes.len(), runs.len());
    if answered < 100 {
        return false_start(deployment);
    }
    wrong > 0
}

fn false_start(deployment: Deployment) -> bool {
    deployment.record.write("too few writes were served for a check");
    crate::fail(deployment, 2)
}
