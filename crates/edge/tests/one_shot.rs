//! Requests that can't arrive any more after they were given up.

use std::{
    io::{self, Read},
    net::TcpListener,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use edge::{
    client::{Reply, SendError, json_content_type},
    one_shot::{OneShotLimits, resend_max, send_one_shot},
};
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends a request to `address`, for which `time_left` remains all the time until its time limit has passed.
async fn send(address: &str, time_left: Duration) -> Result<Reply, SendError> {
    let (headers, body) = ([json_content_type()], Bytes::from_static(b"{}"));
    let limits = OneShotLimits {
        time_left: Arc::new(move || time_left),
        arrival_margin: Duration::from_millis(200),
    };
    send_one_shot(address, "/promote", &headers, body, limits).await
}

/// A listener, and its address.
fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Sends a request to a server that answers it. Returns its outcome and what the server received.
async fn exchange(time_left: Duration) -> (Result<u16, SendError>, String) {
    let (listener, address) = listen();
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        while let Ok(1..) = stream.read_buf(&mut received).await {
            if received.ends_with(b"{}") {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await.expect("the client reads");
            }
        }
        String::from_utf8(received).expect("text")
    });
    let outcome = send(&address, time_left).await.map(|reply| reply.status.as_u16());
    (outcome, server.await.expect("the server ended"))
}

#[tokio::test]
async fn send_one_shot_writes_the_whole_request_in_time() {
    let (outcome, received) = exchange(Duration::from_secs(2)).await;
    assert_eq!(outcome, Ok(200));
    assert!(received.starts_with("POST /promote HTTP/1.1\r\n"), "{received}");
    assert!(received.contains("content-length: 2\r\n") && received.ends_with("{}"), "{received}");
}

/// Guards against a request that is written so late that the system may still send it again when it must not arrive any
/// more.
#[tokio::test]
async fn send_one_shot_writes_nothing_too_late() {
    let (outcome, received) = exchange(Duration::from_millis(15)).await;
    assert!(matches!(outcome, Err(SendError::NotSent { .. })), "{outcome:?}");
    assert_eq!(received, "");
}

/// Guards against a connection that is closed in the usual way and goes on sending what was written to it.
#[tokio::test]
async fn send_one_shot_resets_the_connection_when_given_up() {
    for is_dropped in [false, true] {
        let (listener, address) = listen();
        let limit = if is_dropped { Duration::from_secs(5) } else { Duration::from_millis(200) };
        let sent =
            tokio::time::timeout(Duration::from_millis(300), send(&address, limit)).await.ok();
        let is_unknown = |outcome| matches!(outcome, Err(SendError::ReplyLost { .. }));
        assert_eq!(sent.map(is_unknown), (!is_dropped).then_some(true), "dropped: {is_dropped}");
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read_to_end(&mut Vec::new());
        let kind = read.expect_err("the connection was closed in the usual way").kind();
        assert_eq!(kind, io::ErrorKind::ConnectionReset, "dropped: {is_dropped}");
    }
}

#[tokio::test]
async fn send_one_shot_without_connection_is_not_sent() {
    let (listener, address) = listen();
    // Drops all segments, so that no connection is established.
    SockRef::from(&listener).attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]).expect("a filter");
    let outcome = send(&address, Duration::from_millis(100)).await;
    assert!(matches!(outcome, Err(SendError::NotSent { .. })), "{outcome:?}");
    drop(listener);
    let outcome = send(&address, Duration::from_secs(1)).await;
    assert!(matches!(outcome, Err(SendError::NotSent { .. })), "{outcome:?}");
}

#[tokio::test]
async fn send_one_shot_without_reply_may_have_arrived() {
    let (listener, address) = listen();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0; 10]).expect("a request");
    });
    let outcome = send(&address, Duration::from_secs(2)).await;
    assert!(matches!(outcome, Err(SendError::ReplyLost { .. })), "{outcome:?}");
    server.join().expect("the server ended");
}

/// Instructions of a classic BPF program.
const LOAD_BYTE: u16 = 0x30;
const JUMP_IF_SET: u16 = 0x45;
const RETURN: u16 = 0x06;
/// Offset of the flags in a TCP header, and the flag of a segment that ends what was written.
const FLAGS_OFFSET: u32 = 13;
const PUSH: u32 = 0x08;

/// Guards against a request whose process is suspended, so that nothing resets its connection, and which the system
/// sends again once the path is whole.
#[test]
fn send_one_shot_of_a_suspended_process_is_not_sent_late() {
    let (listener, address) = listen();
    // Drops segments with data, also those of accepted connections, as a partition does.
    let drop_data = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, PUSH),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(&listener).attach_filter(&drop_data).expect("a filter");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let mut sent = pin!(send(&address, Duration::from_secs(10)));
    let began = Instant::now();
    let poll_for = Duration::from_millis(20);
    let polled = runtime.block_on(async { tokio::time::timeout(poll_for, &mut sent).await });
    assert!(polled.is_err(), "{polled:?}");
    let (mut stream, _) = listener.accept().expect("a connection");
    // From here on, nothing of the sender's runs.
    let round_trip = Duration::from_millis(1);
    let until = began + poll_for + resend_max(round_trip);
    std::thread::sleep(until.duration_since(Instant::now()));
    SockRef::from(&stream).detach_filter().expect("no filter");
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
    let read = stream.read(&mut [0; 1_024]).expect_err("the request arrived late");
    assert_eq!(read.kind(), io::ErrorKind::WouldBlock);
}
