//! Fault: a few requesters send their statements ahead of the answers, and processes exceed their memory.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Deployment, Record, Setup,
    caller::{Answer, Caller},
    database::Options,
    fleet::MEMORY_MB,
    has_trouble, pause,
};

/// Rude requesters at a time, for each of two VMs.
const RUDE: usize = 8;
/// Statements that each of them sends, and the length of a message; a message may have 1 MiB.
const STATEMENTS: usize = 60;
const MESSAGE_BYTES: usize = 1_000_000;
/// Times that they come.
const ROUNDS: usize = 3;
const ROUND_MS: u64 = 12_000;

/// Returns whether the rule was broken.
pub fn run(root: &Path, case: &Path, temp: &Path) -> bool {
    let options = Options {
        slots: 3,
        connections_max: 36,
        work_ms: (4, 12),
        promote_ms: 1_000,
        is_synchronous: false,
    };
    let mut deployment =
        Deployment::start(root, case, temp, Setup { vms: 3, options, has_ways: false });
    let record = deployment.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let cut = Arc::new(AtomicU64::new(0));
    let addresses: Vec<SocketAddr> = deployment.vms.iter().map(|vm| vm.callers).collect();
    let mut threads = Vec::new();
    for (vm, address) in addresses.iter().copied().enumerate() {
        for session in 0..4 {
            let (is_over, served, cut) = (is_over.clone(), served.clone(), cut.clone());
            threads.push(thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Some(mut caller) = Caller::open(address, "draft", "key-a") else {
                        pause(200);
                        continue;
                    };
                    while !is_over.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("v{vm}s{session}x{number}");
                        match caller.query(&id, &format!("READ item{session}")) {
                            Answer::Done(_) => drop(served.fetch_add(1, Ordering::Relaxed)),
                            Answer::Error(..) => {}
                            Answer::Cut => {
                                cut.fetch_add(1, Ordering::Relaxed);
                                break;
                            }
                        }
                        pause(50);
                    }
                }
            }));
        }
    }
    pause(3_000);
    let mut ends = [0; 3];
    let mut peaks = [0; 3];
    for round in 0..ROUNDS {
        if has_trouble() {
            record.write(&format!(
                "{RUDE} requesters each send {STATEMENTS} statements of {MESSAGE_BYTES} bytes to two VMs"
            ));
            for address in &addresses[..2] {
                for peer in 0..RUDE {
                    let (address, record) = (*address, record.clone());
                    thread::spawn(move || flood(address, round, peer, &record));
                }
            }
        }
        let until = Instant::now() + Duration::from_millis(ROUND_MS);
        let mut restarts: Vec<(usize, Instant)> = Vec::new();
        while Instant::now() < until {
            for (index, vm) in deployment.vms.iter_mut().enumerate() {
                let Some(mb) = resident_mb(vm.pid()) else { continue };
                peaks[index] = peaks[index].max(mb);
                let is_away = restarts.iter().any(|(away, _)| *away == index);
                if mb > MEMORY_MB && !is_away {
                    ends[index] += 1;
                    record.write(&format!("{} uses {mb} MB of {MEMORY_MB} and is killed", vm.name));
                    vm.kill();
                    restarts.push((index, Instant::now() + Duration::from_millis(500)));
                }
            }
            restarts.retain(|(index, at)| {
                let is_due = Instant::now() >= *at;
                if is_due {
                    deployment.vms[*index].restart();
                }
                !is_due
            });
            thread::sleep(Duration::from_millis(2));
        }
        for (index, _) in restarts {
            deployment.vms[index].restart();
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let (served, cut) = (served.load(Ordering::Relaxed), cut.load(Ordering::Relaxed));
    let text = format!(
        "processes ended for their memory: {ends:?}, peaks {peaks:?} MB; other requesters: {served} served, {cut} cut"
    );
    record.write(&text);
    println!("{text}");
    if served < 500 {
        record.write("too few requests were served for a check");
        crate::fail(deployment, 2);
    }
    // On a tenth of the machines, two at least, three times.
    ends.iter().filter(|ends| **ends >= 3).count() >= 2
}

/// Sends all statements at once, and reads the answers.
fn flood(address: SocketAddr, round: usize, peer: usize, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let _ = stream.write_all(b"START draft key-b\r\n");
    let mut read = stream.try_clone().expect("clone the socket");
    let mut first = [0; 64];
    if !matches!(read.read(&mut first), Ok(len) if first[..len].starts_with(b"READY")) {
        return;
    }
    let reader = thread::spawn(move || {
        let mut buffer = [0; 65_536];
        let mut total = 0;
        while let Ok(len @ 1..) = read.read(&mut buffer) {
            total += len;
        }
        total
    });
    let data = "d".repeat(MESSAGE_BYTES - 100);
    for number in 0..STATEMENTS {
        let line = format!("QUERY r{round}p{peer}x{number} WRITE item{peer} {data}\r\n");
        if stream.write_all(line.as_bytes()).is_err() {
            record.write(&format!("rude requester {peer}: cut after {number} statements"));
            return;
        }
    }
    let _ = reader.join();
}

/// Memory of a process that is in use, in MB.
fn resident_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024)
}
