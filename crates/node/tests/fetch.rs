//! Fetching a peer's snapshot.

use std::{
    io::{Read, Write},
    net::TcpListener,
    time::Duration,
};

use edge::client::Client;
use node::{SharedSnapshot, Snapshot, SnapshotHistory, SnapshotVersions, fetch_snapshot};
use slog::{Discard, Logger, o};

/// Guards against fetches that are repeated for ever where a document takes longer to arrive than a peer may
/// take to answer.
#[tokio::test]
async fn fetch_goes_on_while_bytes_arrive() {
    /// Time in which the answer arrives, in pieces.
    const TRANSFER: Duration = Duration::from_millis(2_500);
    const PIECES: usize = 10;
    let mut ahead = SnapshotHistory::default();
    let document: Vec<u8> =
        (0..40_000u64).map(|n| (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8).collect();
    ahead.change(|snapshot| {
        (snapshot.generation, snapshot.configuration) = (7, document.clone().into());
    });
    let updates = ahead.updates_since(SnapshotVersions::default()).expect("an update");
    let body = rmp_serde::to_vec(&updates).expect("updates can be encoded");
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let peer = listener.local_addr().expect("local address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("sent");
        for piece in body.chunks(body.len().div_ceil(PIECES)) {
            std::thread::sleep(TRANSFER / PIECES as u32);
            // Fails once the other side has given up.
            let _ = stream.write_all(piece);
        }
    });
    let log = Logger::root(Discard, o!());
    let own = SharedSnapshot::default();
    let fetched = fetch_snapshot(&Client::new("vm-1"), peer, &own, &log).await.expect("fetched");
    let expected =
        Snapshot { generation: 7, configuration: document.into(), ..Snapshot::default() };
    assert_eq!(fetched.snapshot, expected);
}
