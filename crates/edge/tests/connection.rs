//! Complete, late and truncated replies on an upstream connection.

use std::time::Duration;

use edge::{client::SendError, connection::Connection};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

/// Starts an upstream that accepts one connection and answers each request with the next text from
/// the channel.
async fn upstream() -> (String, mpsc::UnboundedSender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (tx, mut rx) = mpsc::unbounded_channel::<String>();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4096];
        while let Ok(1..) = stream.read(&mut buf).await {
            let Some(answer) = rx.recv().await else {
                return;
            };
            send(&mut stream, &answer).await;
        }
    });
    (address, tx)
}

async fn send(stream: &mut TcpStream, text: &str) {
    // The client may have closed the connection already.
    let _ = stream.write_all(text.as_bytes()).await;
    if text.ends_with("CLOSE") {
        let _ = stream.shutdown().await;
    }
}

fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

async fn call(connection: &mut Connection, timeout: Duration) -> Result<Value, SendError> {
    let reply = connection.call::<Value, Value>("/execute", &json!({}), timeout).await?;
    Ok(reply.unwrap_or_else(|error| error))
}

#[tokio::test]
async fn call_after_a_late_reply_sends_nothing() {
    let (address, answers) = upstream().await;
    let mut connection = Connection::open(&address, "test", TIMEOUT).await.expect("open");
    let first = call(&mut connection, SHORT_TIMEOUT).await.expect_err("no reply in time");
    assert!(matches!(first, SendError::ReplyLost { .. }), "{first}");
    answers.send(whole("\"for the first\"")).expect("the upstream runs");
    answers.send(whole("\"for the second\"")).expect("the upstream runs");
    let second = call(&mut connection, TIMEOUT).await.expect_err("the reply is incomplete");
    assert!(matches!(second, SendError::NotSent { .. }), "{second}");
    assert!(!connection.is_open(), "the connection is not reused");
}

#[tokio::test]
async fn call_refuses_a_truncated_reply() {
    for cut_short in [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n\"half an ansCLOSE",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n\"hal\r\nCLOSE",
        "HTTP/1.1 200 OK\r\ncontent-len CLOSE",
    ] {
        let (address, answers) = upstream().await;
        answers.send(cut_short.to_owned()).expect("the upstream runs");
        let mut connection = Connection::open(&address, "test", TIMEOUT).await.expect("open");
        let error = call(&mut connection, TIMEOUT).await.expect_err("a truncated reply");
        assert!(matches!(error, SendError::ReplyLost { .. }), "{cut_short:?}: {error}");
        assert!(!connection.is_open(), "{cut_short:?}");
    }
}

#[tokio::test]
async fn call_matches_each_reply_to_its_request() {
    let (address, answers) = upstream().await;
    let mut connection = Connection::open(&address, "test", TIMEOUT).await.expect("open");
    for n in 0..3 {
        answers.send(whole(&n.to_string())).expect("the upstream runs");
        assert_eq!(call(&mut connection, TIMEOUT).await, Ok(json!(n)));
    }
}
