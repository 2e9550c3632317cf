//! A server of HTTP/1.1 with a thread for each connection.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
    /// Further header lines.
    pub headers: String,
}

impl Response {
    pub fn new(status: u16, body: String) -> Response {
        Response { status, body, headers: String::new() }
    }
}

/// Serves until the process ends.
pub fn serve(handler: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("local address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(read: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    read.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        read.read_line(&mut line).ok().filter(|len| *len > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    read.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

pub fn encode(response: &Response) -> Vec<u8> {
    let Response { status, body, headers } = response;
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let mut read = BufReader::new(stream.try_clone().expect("clone the socket"));
    while let Some(request) = read_request(&mut read) {
        if stream.write_all(&encode(&handler(request))).is_err() {
            return;
        }
    }
}
