//! ONE: the way from the acting VM to the platform's interface for promotions is cut while a request is on it, and the request
//! arrives after a later one.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Deployment, Record, Setup,
    caller::{Answer, Caller},
    database::Options,
    has_trouble, pause,
};

/// How long the way is cut.
const CUT: Duration = Duration::from_millis(3_300);
/// When TCP sends unacknowledged bytes again, after they were sent first: the time doubles from 0.2 s.
const RETRANSMISSIONS_MS: [u64; 6] = [200, 600, 1_400, 3_000, 6_200, 12_600];

/// Whether the next promotion request meets a cut.
pub type Armed = Arc<AtomicBool>;

/// Starts the way of one VM to the interface at `cloud`.
pub fn start_way(cloud: SocketAddr, vm: usize, armed: &Armed, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("local address");
    let cut_until: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (armed, record) = (armed.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (cut_until, armed, record) = (cut_until.clone(), armed.clone(), record.clone());
            thread::spawn(move || carry(stream, cloud, vm, &cut_until, &armed, &record));
        }
    });
    address
}

fn carry(
    mut vm_side: TcpStream,
    cloud: SocketAddr,
    vm: usize,
    cut_until: &Mutex<Option<Instant>>,
    armed: &AtomicBool,
    record: &Record,
) {
    let until = *cut_until.lock().unwrap();
    if let Some(until) = until.filter(|until| Instant::now() < *until) {
        // Its first packet is lost.
        thread::sleep(until.saturating_duration_since(Instant::now()));
        return;
    }
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&request) {
        match vm_side.read(&mut buffer) {
            Ok(len @ 1..) => request.extend_from_slice(&buffer[..len]),
            _ => return,
        }
    }
    if armed.swap(false, Ordering::SeqCst) {
        let sent = Instant::now();
        *cut_until.lock().unwrap() = Some(sent + CUT);
        record.write(&format!(
            "the way of VM {vm} to the platform is cut for {CUT:?}, a request is on it"
        ));
        let after = RETRANSMISSIONS_MS.iter().map(|ms| Duration::from_millis(*ms));
        let arrives = sent + after.into_iter().find(|after| *after > CUT).expect("a time");
        let _ = vm_side.set_read_timeout(Some(Duration::from_millis(20)));
        while Instant::now() < arrives {
            match vm_side.read(&mut buffer) {
                // The VM has closed its side in order; what it sent before is still sent again.
                Ok(0) => thread::sleep(Duration::from_millis(20)),
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => {
                    return record.write(&format!("reset by VM {vm}, the bytes are lost: {e}"));
                }
            }
        }
        record.write(&format!("the request of VM {vm} that was held up arrives"));
    }
    let Ok(mut cloud_side) = TcpStream::connect(cloud) else { return };
    if cloud_side.write_all(&request).is_err() {
        return;
    }
    let _ = cloud_side.set_read_timeout(Some(Duration::from_secs(2)));
    if let Ok(len) = cloud_side.read(&mut buffer) {
        let _ = vm_side.write_all(&buffer[..len]);
    }
}

/// Whether the bytes hold a whole request.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse::<usize>().ok()
    });
    body.len() >= length.unwrap_or(0)
}

/// Returns whether the rule was broken.
pub fn run(root: &Path, case: &Path, temp: &Path) -> bool {
    let options = Options {
        slots: 3,
        connections_max: 36,
        work_ms: (4, 12),
        promote_ms: 1_000,
        is_synchronous: false,
    };
    let deployment = Deployment::start(root, case, temp, Setup { vms: 3, options, has_ways: true });
    let record = deployment.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for vm in &deployment.vms {
        let (is_over, address) = (is_over.clone(), vm.callers);
        threads.push(thread::spawn(move || {
            let mut served = 0;
            while !is_over.load(Ordering::Relaxed) {
                let Some(mut caller) = Caller::open(address, "draft", "key-a") else {
                    pause(200);
                    continue;
                };
                while !is_over.load(Ordering::Relaxed) {
                    served += 1;
                    if caller.query(&format!("w{served}"), "WRITE item data") == Answer::Cut {
                        break;
                    }
                    pause(50);
                }
            }
            served
        }));
    }
    pause(5_000);
    if has_trouble() {
        deployment.armed.store(true, Ordering::SeqCst);
        record.write("db-0, the primary, crashes");
        deployment.databases.set_up(0, false);
        pause(7_000);
        deployment.databases.set_up(0, true);
        record.write("db-0 comes back with its log");
    }
    pause(6_000);
    is_over.store(true, Ordering::Relaxed);
    let served: usize = threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    let tokens = deployment.tokens.lock().unwrap().clone();
    let mut newest = 0;
    let mut lower = 0;
    for token in &tokens {
        if *token < newest {
            lower += 1;
            record.write(&format!("BROKEN: token {token} came after {newest}"));
        }
        newest = newest.max(*token);
    }
    println!("tokens of the promotion requests as they came: {tokens:?}; {served} writes sent");
    if served < 100 {
        crate::fail(deployment, 2);
    }
    lower > 0
}
