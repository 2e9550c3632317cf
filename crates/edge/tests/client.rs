//! Requests with a check right before they are written.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use edge::client::{Client, SendError, json_content_type};
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Sends a request whose check has the result `may_send`. Returns its outcome and what the server received.
async fn send(may_send: bool) -> (Result<u16, SendError>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        loop {
            let mut buf = [0; 1_024];
            let read = tokio::time::timeout(Duration::from_millis(500), stream.read(&mut buf));
            match read.await {
                Ok(Ok(n)) if n > 0 => received.extend_from_slice(&buf[..n]),
                _ => return String::from_utf8(received).expect("text"),
            }
            if received.ends_with(b"{}") {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await.expect("the client reads");
            }
        }
    });
    let client = Client::new("vm-a");
    let (headers, body) = ([json_content_type()], Bytes::from_static(b"{}"));
    let limit = Duration::from_secs(2);
    let check = Some(Arc::new(move || may_send) as _);
    let sent = client.send_if(&address, Method::POST, "/promote", &headers, body, limit, check);
    let outcome = sent.await.map(|reply| reply.status.as_u16());
    (outcome, server.await.expect("the server ended"))
}

/// Guards against a request that is written long after it was decided on, as the process stood still meanwhile.
#[tokio::test]
async fn send_if_writes_nothing_when_the_check_fails() {
    let (outcome, received) = send(false).await;
    assert!(matches!(outcome, Err(SendError::NotSent { .. })), "{outcome:?}");
    assert_eq!(received, "");
}

#[tokio::test]
async fn send_if_writes_the_whole_request_when_the_check_holds() {
    let (outcome, received) = send(true).await;
    assert_eq!(outcome, Ok(200));
    assert!(received.starts_with("POST /promote HTTP/1.1\r\n"), "{received}");
    assert!(received.contains("content-length: 2\r\n") && received.ends_with("{}"), "{received}");
}
