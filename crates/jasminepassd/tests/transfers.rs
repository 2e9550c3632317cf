//! Documents that arrive slowly, from the platform and from other VMs.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    time::Duration,
};

use edge::{
    client::Client,
    peer::{PeerClient, PeerInstance, encode, sign_reply, verify},
    platform::PlatformClient,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use jasminepassd::fleet_io::PULL_PATIENCE;
use model::{key::FleetSecret, prelude::*};
use proto::{
    gossip::{Pull, PullReply, Transfer},
    peer::{PeerReply, PeerRequest},
    platform::Version,
};

/// Time in which a reply arrives, in pieces: longer than the daemon waits for a reply to begin.
const TRANSFER: Duration = Duration::from_millis(2_800);
const PIECES: usize = 10;

/// Reads a request; returns its headers and its body.
fn read_request(stream: &TcpStream) -> (HeaderMap, Vec<u8>) {
    let mut reader = BufReader::new(stream);
    let mut headers = HeaderMap::new();
    let mut line = String::new();
    reader.read_line(&mut line).expect("a request line");
    loop {
        line.clear();
        reader.read_line(&mut line).expect("a header");
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        let name = HeaderName::try_from(name).expect("a header name");
        headers.insert(name, HeaderValue::try_from(value).expect("a header value"));
    }
    let len = headers.get("content-length").and_then(|len| len.to_str().ok()?.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body).expect("a body");
    (headers, body)
}

/// Starts a server that answers one request in pieces, over [`TRANSFER`]. Returns its address.
fn slow_server(
    answer: impl FnOnce(HeaderMap, Vec<u8>) -> (BTreeMap<String, String>, Vec<u8>) + Send + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("local address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let (headers, body) = read_request(&stream);
        let (headers, body) = answer(headers, body);
        let mut head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        stream.write_all(format!("{head}\r\n").as_bytes()).expect("sent");
        for piece in body.chunks(body.len().div_ceil(PIECES)) {
            std::thread::sleep(TRANSFER / PIECES as u32);
            // Fails once the other side has given up.
            let _ = stream.write_all(piece);
        }
    });
    address
}

/// Guards against configurations that are requested again and again where one takes longer to arrive than the
/// platform may take to answer.
#[tokio::test]
async fn platform_get_goes_on_while_bytes_arrive() {
    let value = "x".repeat(40_000);
    let body = serde_json::json!({ "name": "configuration", "version": 7, "value": value });
    let address = slow_server(move |_, _| (BTreeMap::new(), body.to_string().into_bytes()));
    let platform = PlatformClient::new(Client::new("vm-1"), address);
    let object = platform.get("configuration").await.expect("the whole object");
    assert_eq!(object.version, Version(7));
    assert_eq!(object.value.as_str(), Some(value.as_str()));
}

/// Guards against the same repetition between VMs.
#[tokio::test]
async fn pull_goes_on_while_bytes_arrive() {
    let secret = FleetSecret::new("a fleet secret for tests").expect("long enough");
    let instance = |vm: &str| PeerInstance {
        vm: VmName::new(vm).expect("a name"),
        incarnation: Incarnation(1),
    };
    let document = vec![7; 40_000];
    let pulled = PullReply {
        configuration: Some(Transfer::Whole(document.into())),
        list: None,
        dc_object: None,
    };
    let reply = PeerReply::Pulled(Box::new(pulled));
    let (key, me, body) = (secret.clone(), instance("vm-2"), encode(&reply));
    let address = slow_server(move |headers, received| {
        let stamp = verify(&key, &me, &headers, &received).expect("an authentic pull");
        let (name, value) = sign_reply(&key, &stamp, &body);
        let value = value.to_str().expect("ASCII").to_owned();
        ([(name.to_string(), value)].into_iter().collect(), body.to_vec())
    });
    let client = PeerClient::new(Client::new("vm-1"), secret, instance("vm-1"));
    let pull = PeerRequest::Pull(Pull { have: Generation(0), list: false, dc_object: None });
    let answer = client.call(&instance("vm-2"), &address, &pull, PULL_PATIENCE).await;
    assert_eq!(answer.expect("the whole answer"), reply);
}
