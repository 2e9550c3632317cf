//! LOST: transactions go on beyond the first half of the grace period, and the process ends in the middle of a statement.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Deployment, Setup,
    caller::{Answer, Caller},
    database::Options,
    has_trouble, pause, random,
};

const SESSIONS: usize = 16;
const STATEMENTS: usize = 12;
const GRACE_MS: u64 = 6_000;

/// A statement of a transaction.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Instant,
    ended: Instant,
    answer: Answer,
}

/// Returns whether the rule was broken.
pub fn run(root: &Path, case: &Path, temp: &Path) -> bool {
    // Statements of catalogue-browse take up to 300 ms.
    let options = Options {
        slots: 3,
        connections_max: 36,
        work_ms: (150, 300),
        promote_ms: 1_000,
        is_synchronous: false,
    };
    let mut deployment =
        Deployment::start(root, case, temp, Setup { vms: 3, options, has_ways: false });
    let record = deployment.record.clone();
    pause(4_000);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let address = deployment.vms[0].callers;
    let mut threads = Vec::new();
    for session in 0..SESSIONS {
        let (sent, record) = (sent.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let opened = Caller::open(address, "browse", "key-a");
            let Some(mut caller) = opened else { return };
            let ask = |caller: &mut Caller, id: String, text: &str| {
                let at = Instant::now();
                let answer = caller.query(&id, text);
                record.write(&format!("{id} {text}: {answer:?} after {:?}", at.elapsed()));
                sent.lock().unwrap().push(Sent {
                    id,
                    at,
                    ended: Instant::now(),
                    answer: answer.clone(),
                });
                matches!(answer, Answer::Done(_))
            };
            if !ask(&mut caller, format!("t{session}begin"), "BEGIN READ") {
                return;
            }
            for number in 0..STATEMENTS {
                if !ask(&mut caller, format!("t{session}x{number}"), &format!("READ item{number}"))
                {
                    return;
                }
                pause(150 + (random() * 150.0) as u64);
            }
            ask(&mut caller, format!("t{session}commit"), "COMMIT");
        }));
    }
    pause(200);
    let stopped = Instant::now();
    if has_trouble() {
        record.write(&format!("SIGTERM to {}", deployment.vms[0].name));
        deployment.vms[0].signal("-TERM");
        let ended = deployment.vms[0].wait(Duration::from_millis(GRACE_MS));
        record.write(&format!("the process ended by itself: {ended}"));
        if !ended {
            deployment.vms[0].kill();
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let runs = deployment.databases.state.0.lock().unwrap().runs.clone();
    let sent = sent.lock().unwrap().clone();
    let mut lost = 0;
    for one in sent.iter().filter(|one| one.answer == Answer::Cut) {
        let reached = runs.iter().any(|run| run.id == one.id);
        let after = one.at.saturating_duration_since(stopped);
        let took = one.ended.duration_since(one.at);
        // Excuses of the rule: sent no later than 3 s after the SIGTERM, or the route's timeout was reached.
        let is_excused = after <= Duration::from_secs(3) || took >= Duration::from_millis(2_000);
        record.write(&format!(
            "{} was sent {after:?} after the SIGTERM, cut {took:?} later; at a database: {reached}; excused: {is_excused}",
            one.id
        ));
        if reached && !is_excused && has_trouble() {
            lost += 1;
            record.write(&format!("BROKEN: {} got no answer", one.id));
        }
    }
    println!(
        "{} statements sent, {} at databases, {lost} cut without an answer",
        sent.len(),
        runs.len()
    );
    let done = sent.iter().filter(|one| matches!(one.answer, Answer::Done(_))).count();
    if done < SESSIONS * 4 {
        record.write("too few statements were served for a check");
        crate::fail(deployment, 2);
    }
    lost > 0
}
