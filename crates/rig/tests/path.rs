//! Requests from a caller through the daemons to a database and back, and invalid requests.

use proto::caller::{CallerError, ErrorKind, Outcome};
use rig::{Caller, Fleet, FleetSpec};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const ANSWERS: &str = include_str!("../../../examples/quoting.toml");
const WRITE: &str = "quote-ledger-1/annotate-quote";
const READ: &str = "quote-ledger-1/quote";
const WORKSPACE: &str = "calgary-dealer";

async fn fleet() -> Fleet {
    Fleet::start(FleetSpec::new(ANSWERS).expect("valid answers")).await.expect("start the fleet")
}

/// Returns how many statements all databases have executed.
async fn executed_statements(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for database in &fleet.databases {
        let counts = fleet.counts(&database.process).await.expect("counts");
        sum += counts["executed"].as_u64().expect("a number");
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn request_sees_own_writes_after_roaming() {
    let fleet = fleet().await;
    let mut caller = Caller::new(fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key"));
    for (round, site) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        let writer = &fleet.vms[round % 3];
        let reader = &fleet.vms[(round + 1) % 3];
        let params = [json!("quote"), json!(round)];
        let written =
            caller.call(&writer.address(), WRITE, site, "put", &params).await.expect("a response");
        assert_eq!(written.status, 200, "{written:?}");
        let read = caller
            .call(&reader.address(), READ, site, "get", &params[..1])
            .await
            .expect("a response");
        assert_eq!((read.status, read.result()), (200, &json!(round)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_the_same_idempotency_key_runs_once() {
    let fleet = fleet().await;
    let mut caller = Caller::new(fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key"));
    for vm in &fleet.vms {
        let params = [json!("orders"), json!("squat rack")];
        let reply = caller
            .call_idempotent(&vm.address(), WRITE, "gym", "append", &params, Some("order-1"))
            .await;
        assert_eq!(
            reply.expect("a response").result(),
            &json!(1),
            "the list has one entry after each repetition"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_bad_is_refused_and_sent_nowhere() {
    let fleet = fleet().await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let address = fleet.vms[0].address();
    let body = json!({"slot_key": "a", "statement": "get", "params": ["x"]}).to_string();
    let before = executed_statements(&fleet).await;
    let long = "x".repeat(300_000);
    for (path, key, session, body, expected) in [
        (
            "/v1/quote-ledger-1/nothing",
            Some(key.as_str()),
            None,
            body.as_str(),
            ErrorKind::NotFound,
        ),
        ("/v1/nothing/quote", Some(&key), None, &body, ErrorKind::NotFound),
        ("/elsewhere", Some(&key), None, &body, ErrorKind::NotFound),
        ("/v1/quote-ledger-1/quote", None, None, &body, ErrorKind::Unauthorized),
        ("/v1/quote-ledger-1/quote", Some("no key at all"), None, &body, ErrorKind::Unauthorized),
        (
            "/v1/quote-ledger-1/quote",
            Some("jp.k1.0123456789abcdef0123"),
            None,
            &body,
            ErrorKind::Unauthorized,
        ),
        ("/v1/quote-ledger-1/quote", Some(&key), Some("forged"), &body, ErrorKind::BadRequest),
        ("/v1/quote-ledger-1/quote", Some(&key), Some(&long[..5_000]), &body, ErrorKind::TooLarge),
        ("/v1/quote-ledger-1/quote", Some(&key), None, "{", ErrorKind::BadRequest),
        ("/v1/quote-ledger-1/quote", Some(&key), None, "{\"slot_key\": 7}", ErrorKind::BadRequest),
        ("/v1/quote-ledger-1/quote", Some(&key), None, &long, ErrorKind::TooLarge),
    ] {
        let mut caller = Caller::anonymous();
        caller.key = key.map(str::to_owned);
        caller.session = session.map(str::to_owned);
        let reply = caller.post(&address, path, body.to_owned(), None).await.expect("a response");
        let error: CallerError = reply.error().expect("an error");
        assert_eq!((error.kind, error.outcome), (expected, Outcome::NotRun), "{path}: {error:?}");
        assert!((400..500).contains(&reply.status), "{path}: {}", reply.status);
        assert!(error.message.contains(": "), "the message states a remedy: {}", error.message);
    }
    assert_eq!(executed_statements(&fleet).await, before, "nothing was sent to a database");
    let mut caller = Caller::new(key);
    let reply = caller.call(&address, READ, "a", "get", &[json!("x")]).await.expect("a response");
    assert_eq!(reply.status, 200, "the daemon still serves");
}

/// Sends raw bytes on a new connection and reads until the peer closes it.
async fn raw_response(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("send the bytes");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let patience = std::time::Duration::from_secs(5);
    tokio::time::timeout(patience, read)
        .await
        .expect("closed in time")
        .expect("connection not reset");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_too_many_headers_is_refused() {
    let fleet = fleet().await;
    let address = fleet.vms[0].address();
    let head = "POST /v1/quote-ledger-1/quote HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n";
    // 60 exceeds the daemon's limit, 300 and 3000 exceed the HTTP parser's.
    for count in [60, 300, 3_000] {
        let headers: String = (0..count).map(|n| format!("x-header-{n}: x\r\n")).collect();
        let bytes = format!("{head}{headers}content-length: 2\r\n\r\n{{}}");
        let answer = raw_response(&address, bytes.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{count} headers: {answer}");
        if count == 60 {
            assert!(answer.contains("too_many_headers") && answer.contains("not_run"), "{answer}");
        }
    }
}

/// A `content-length` above the limit is refused before any of the body arrives.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_declares_too_long_a_body_is_refused_at_once() {
    let fleet = fleet().await;
    let key = fleet.issue_key(WORKSPACE, "k1").await.expect("issue a key");
    let head = format!(
        "POST /v1/quote-ledger-1/quote HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {key}\r\n\
         content-length: 10000000\r\n\r\n"
    );
    let answer = raw_response(&fleet.vms[0].address(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(answer.contains("too_large") && answer.contains("not_run"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_is_not_http_is_refused() {
    let fleet = fleet().await;
    let mut stream = TcpStream::connect(fleet.vms[0].address()).await.expect("connect");
    stream.write_all(&[0x16, 0x03, 0x01, 0x02, 0x00]).await.expect("send the bytes");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("a response");
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("send one, such as POST"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_exits_with_0_on_sigterm() {
    let mut fleet = fleet().await;
    let vm = &mut fleet.vms[2];
    vm.process.terminate().expect("send a signal");
    assert_eq!(vm.process.wait().expect("process exit"), Some(0));
}

#[test]
fn invalid_setting_is_named_in_the_error() {
    let run = |args: &[&str]| {
        let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
        rig::process::run_program("jasminepassd", &args).expect_err("wrong settings").to_string()
    };
    let sound = ["--vm", "v1", "--incarnation", "1", "--dc", "d1", "--platform", "127.0.0.1:1"];
    let with = |more: &[&'static str]| [&sound[..], more].concat();
    for (args, expected) in [
        (with(&["--fleet-secret-file", "/nonexistent"]), "--fleet-secret-file /nonexistent"),
        (with(&["--fleet-secret-file", "/dev/null"]), "too short"),
        (with(&["--listen", "here"]), "such as 10.0.0.7:8080"),
        (with(&["--threads", "0"]), "from 1 to 64"),
        (vec!["--vm", "V 1"], "lower-case letters"),
    ] {
        let message = run(&args);
        assert!(message.contains(expected), "{expected}: {message}");
    }
}
